package org.honeyjunction.nomad.registry

import org.honeyjunction.nomad.registry.VersionState.FAILED
import org.honeyjunction.nomad.registry.VersionState.LIVE
import org.honeyjunction.nomad.registry.VersionState.PURGED
import org.honeyjunction.nomad.registry.VersionState.REGISTERED
import org.honeyjunction.nomad.registry.VersionState.ROLLING
import org.honeyjunction.nomad.registry.VersionState.STOPPED
import org.honeyjunction.nomad.registry.VersionState.SUPERSEDED

/** How things stand with a native job, as the leader knows it. */
sealed interface Fact {
    /** No record of it: it was never submitted, or nobody knows yet. */
    data object Absent : Fact

    /** [running]: tasks that run; [started]: one was, or may be, on a machine since this leader knows of it. */
    data class Active(val running: Int, val started: Boolean) : Fact

    /** [gone]: on evidence, no task of it is on any machine. */
    data class Over(val done: Boolean, val gone: Boolean) : Fact
}

/** How long a group's tasks must run to count as healthy, and how long they may take for it; in milliseconds. */
class Pace(val minHealthyMs: Long, val deadlineMs: Long, val autoRevert: Boolean)

/** One step of a rollout, to be carried out by the leader. */
sealed interface Action {
    /** On condition that the head still stands as it was read, and that the native job has no record. */
    data class Submit(val piece: Piece) : Action

    data class Cancel(val piece: Piece) : Action

    data class Write(val head: Head) : Action

    /** The last version that was live is to be brought back. */
    data object Revert : Action

    /** The head goes, with all its versions' parts. */
    data object Delete : Action
}

/** Since when pieces run, or wait to run, as this leader saw it: a new leader counts anew, which only takes longer. */
class Watched {
    private val since = HashMap<String, Long>()
    private val healthySince = HashMap<String, Long>()

    fun note(piece: Piece, fact: Fact, now: Long) {
        since.putIfAbsent(piece.id, now)
        if (fact is Fact.Active && fact.running >= piece.size) healthySince.putIfAbsent(piece.id, now) else healthySince -= piece.id
    }

    fun healthy(piece: Piece, pace: Pace, now: Long): Boolean = healthySince[piece.id]?.let { now - it >= pace.minHealthyMs } ?: false

    fun late(piece: Piece, pace: Pace, now: Long): Boolean = !healthy(piece, pace, now) && now - (since[piece.id] ?: now) > pace.deadlineMs

    fun forget(keep: Set<String>) {
        since.keys.retainAll(keep)
        healthySince.keys.retainAll(keep)
    }
}

/**
 * What the leader does next for a registered job. It goes by the durable head and by facts alone, so it does not matter how
 * far an earlier leader came. Rules of thumb: a later version's piece is submitted only when every task in its place is gone
 * on evidence; no more is stopped at a time than one piece of a group; what an older head decided can't be written any more.
 */
class Rollout(
    private val head: Head,
    private val fact: (Piece) -> Fact,
    private val pace: (group: String) -> Pace,
    private val watched: Watched,
    private val now: Long,
) {
    private val actions = ArrayList<Action>()
    private val latest = head.latest

    fun step(): List<Action> {
        // Over for good: what is done must not be taken for something that is missing.
        if (head.settled) return emptyList()
        when (latest.state) {
            REGISTERED -> actions += Action.Write(head.replace(latest.enter(ROLLING)))
            ROLLING, LIVE, FAILED -> if (head.template) rest() else roll()
            STOPPED -> stop()
            SUPERSEDED, PURGED -> error("version ${latest.number} is the latest and ${latest.state}")
        }
        return actions
    }

    /** A later piece of another group must not wait for this one: [resolved] is what stands for the version now. */
    private fun resolved(v: Version): List<Piece> =
        head.pieces(v).map { (own, earlier) ->
            if (earlier != null &&
                fact(earlier).stands
            ) {
                earlier
            } else {
                own
            }
        }

    private val Fact.stands get() = this is Fact.Active || this is Fact.Over && done

    /** Something of it may still be on a machine, or come there. */
    private val Fact.rests get() = this is Fact.Active || this is Fact.Over && !gone

    /** Pieces of earlier versions that are none of the latest one's. */
    private fun old(wanted: Set<String>): List<Piece> = head.pieces(head.open - latest).filter { it.id !in wanted }

    /** What its user has stopped, before asking for the latest: it neither goes on nor keeps its place. */
    private val stopped: Set<String> by lazy {
        val last = (head.versions - latest).lastOrNull { it.state == STOPPED }?.number ?: -1
        head.pieces(head.open.filter { it.number <= last }).mapTo(HashSet()) { it.id }
    }

    private fun roll() {
        val wanted = resolved(latest)
        val old = old(wanted.mapTo(HashSet()) { it.id })
        wanted.forEach { watched.note(it, fact(it), now) }
        val groups = (wanted + old).map { it.group }.distinct()
        val ready =
            groups.map { g ->
                if (head.service) {
                    replace(wanted.filter { it.group == g }, old.filter { it.group == g })
                } else {
                    rearrange(
                        wanted.filter {
                            it.group ==
                                g
                        },
                        old.filter { it.group == g },
                    )
                }
            }
        if (actions.isEmpty()) advance(wanted, old, ready.all { it })
    }

    /** Of a service: one piece of a group after the other. True when all of them stand as wanted. */
    private fun replace(wanted: List<Piece>, old: List<Piece>): Boolean {
        val before =
            head.versions
                .dropLast(1)
                .lastOrNull()
                ?.groups
                ?.firstOrNull { g -> g.name == (wanted + old).first().group }
                ?.count ?: 0
        val surplus = old.filter { o -> wanted.none { it.overlaps(o) } }
        surplus.filter { fact(it) is Fact.Active }.forEach { actions += Action.Cancel(it) }
        // Until all others of the group run, no replica that runs is stopped.
        val unserved = wanted.filter { it.from < before && !served(it, old) }.toMutableSet()
        var ready = surplus.none { fact(it).rests }
        for (p in wanted) {
            val inPlace = old.filter { it.overlaps(p) }
            val active = inPlace.filter { fact(it) is Fact.Active }
            when {
                active.isNotEmpty() -> {
                    ready = false
                    if (latest.state != FAILED && (p in unserved || unserved.isEmpty())) {
                        active.forEach { actions += Action.Cancel(it) }
                        unserved += p
                    }
                }
                inPlace.any { fact(it).rests } -> ready = false
                fact(p) == Fact.Absent -> {
                    actions += Action.Submit(p)
                    ready = false
                }
                !well(p) -> ready = false
            }
        }
        return ready
    }

    private fun well(p: Piece) = fact(p) is Fact.Over || watched.healthy(p, pace(p.group), now)

    /** Its replicas run: those of an earlier version, or its own for long enough. */
    private fun served(p: Piece, old: List<Piece>): Boolean {
        val active = old.filter { it.overlaps(p) && fact(it) is Fact.Active }
        return if (active.isEmpty()) well(p) else active.all { o -> (fact(o) as Fact.Active).running >= o.size }
    }

    /** Of a batch job: what has not started makes way, what has goes on to its end. */
    private fun rearrange(wanted: List<Piece>, old: List<Piece>): Boolean {
        var ready = true
        for (o in old) {
            if (fact(o).let { it is Fact.Active && (!it.started || o.id in stopped) }) {
                actions += Action.Cancel(o)
                ready = false
            }
        }
        for (p in wanted) {
            val inPlace = old.filter { it.overlaps(p) }
            when {
                inPlace.any { o ->
                    o.id !in stopped && fact(o).let { it is Fact.Active && it.started || it is Fact.Over && it.done }
                } -> Unit
                inPlace.any { fact(it).rests } -> ready = false
                fact(p) == Fact.Absent -> {
                    actions += Action.Submit(p)
                    ready = false
                }
            }
        }
        return ready
    }

    private fun advance(wanted: List<Piece>, old: List<Piece>, ready: Boolean) {
        val rests = old.any { fact(it).rests }
        val ended = !rests && wanted.all { p -> fact(p).let { it is Fact.Over && it.gone || it == Fact.Absent } } && ready
        // What a batch job has done keeps its place until all of it is over.
        val settled =
            head.versions.map {
                if (it.number ==
                    latest.number
                ) {
                    it.copy(settled = it.settled || ended)
                } else if (!rests &&
                    (head.service || ended)
                ) {
                    it.copy(settled = true)
                } else {
                    it
                }
            }
        val next =
            when {
                latest.state == ROLLING && ready -> LIVE
                latest.state == ROLLING &&
                    head.service &&
                    wanted.any {
                        fact(
                            it,
                        ) is Fact.Active &&
                            watched.late(it, pace(it.group), now)
                    } -> FAILED
                else -> latest.state
            }
        if (next == FAILED &&
            latest.state != FAILED &&
            latest.revertOf == null &&
            wanted.any { pace(it.group).autoRevert } &&
            head.stable != null
        ) {
            actions += Action.Revert
            return
        }
        val made = head.copy(versions = settled).let { it.replace(it.latest.enter(next)) }
        if (made != head) actions += Action.Write(made)
    }

    /** A job that only starts others is live as soon as it is known. */
    private fun rest() {
        val old = old(emptySet())
        old.filter { fact(it) is Fact.Active }.forEach { actions += Action.Cancel(it) }
        if (actions.isEmpty()) advance(emptyList(), old, ready = true)
    }

    private fun stop() {
        val all = (resolved(latest) + old(emptySet())).distinctBy { it.id }
        all.filter { fact(it) is Fact.Active }.forEach { actions += Action.Cancel(it) }
        if (all.any { fact(it).rests }) return
        val made = head.copy(versions = head.versions.map { it.copy(settled = true) })
        if (head.purge) {
            actions += Action.Delete
        } else if (made != head) {
            actions += Action.Write(made)
        }
    }
}
