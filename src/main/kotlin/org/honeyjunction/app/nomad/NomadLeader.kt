package org.honeyjunction.app.nomad

import kotlinx.coroutines.delay
import org.honeyjunction.app.Keys
import org.honeyjunction.app.LeaderDriver
import org.honeyjunction.app.Node
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.nomad.Cron
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.nomad.Meaning
import org.honeyjunction.nomad.NomadJob
import org.honeyjunction.nomad.Periodic
import org.honeyjunction.nomad.registry.Action
import org.honeyjunction.nomad.registry.Change
import org.honeyjunction.nomad.registry.Fact
import org.honeyjunction.nomad.registry.Head
import org.honeyjunction.nomad.registry.HeadCodec
import org.honeyjunction.nomad.registry.Pace
import org.honeyjunction.nomad.registry.Piece
import org.honeyjunction.nomad.registry.Registry
import org.honeyjunction.nomad.registry.Rollout
import org.honeyjunction.nomad.registry.VersionState
import org.honeyjunction.nomad.registry.Watched
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Write
import org.slf4j.LoggerFactory
import java.io.IOException

/** What the leader does for registered jobs; everything it writes is fenced by the term and by the head as it was read. */
class NomadLeader(private val node: Node, private val registry: NomadRegistry, private val driver: LeaderDriver) {
    /** What is known of a native job's record that is not, or not yet, in the leader's memory. */
    private enum class Record { ABSENT, SUBMITTED, DONE, CANCELLED }

    private val log = LoggerFactory.getLogger(NomadLeader::class.java)
    private val records = HashMap<String, Record>()
    private var rulesAt = -1L
    private val watched = HashMap<String, Watched>()
    private val state get() = node.state
    private val fence get() = Condition(Keys.LEADER_RECORD, driver.term.leaderRecordVersion)
    private val names = (node.settings.peers.map { it.name } + node.settings.node).sorted()

    suspend fun run() {
        while (true) {
            // Heads are copied: they change while this waits for answers.
            val open = registry.all.filter { !it.head.settled || it.head.template }
            for (kept in open) {
                if (!driver.holdsLease) return
                try {
                    if (rulesAt != registry.changedAt) useRules()
                    if (!kept.head.settled) step(kept)
                    if (kept.head.template) launch(kept)
                } catch (e: IOException) {
                    log.debug("{}: {}", kept.head.id, e.message)
                } catch (e: MalformedException) {
                    log.error("{}: {}", kept.head.id, e.message)
                }
            }
            watched.keys.retainAll(open.mapTo(HashSet()) { it.head.born })
            tidy()
            delay(STEP_MS)
        }
    }

    /** The rules of all jobs that may have tasks; they must hold before any of those is submitted. */
    private suspend fun useRules() {
        val at = registry.changedAt
        driver.leader.useJobRules(rules(registry))
        rulesAt = at
    }

    /** Periods and dispatches come without end: those that have long been over are forgotten. */
    private suspend fun tidy() {
        val old =
            registry.all.filter {
                it.head.parent != null && it.head.settled && node.clock.wall() - it.head.latest.atMs > KEEP_CHILD_MS
            }
        try {
            old.take(MOST_FORGOTTEN).forEach { delete(it) }
        } catch (e: IOException) {
            log.debug("failed to delete old jobs: {}", e.message)
        }
    }

    private suspend fun step(kept: KeptHead) {
        val head = kept.head
        val job = registry.meaning(head, head.latest) ?: return
        val pieces = head.pieces(head.open)
        // Nothing is submitted before the version rolls: a thousand new jobs need not be looked for one by one.
        if (head.latest.state == VersionState.REGISTERED) {
            val own = head.latest.copy(groups = head.latest.groups.filter { it.basis == head.latest.number })
            head.pieces(own).forEach { records.putIfAbsent(it.first.id, Record.ABSENT) }
        }
        pieces.forEach { learn(it) }
        val watch = watched.getOrPut(head.born, ::Watched).apply { forget(pieces.mapTo(HashSet()) { it.id }) }
        val actions = Rollout(head, ::fact, { pace(job, it) }, watch, node.clock.steady()).step()
        var submitted = 0
        for (action in actions) {
            when (action) {
                is Action.Submit -> if (submitted++ < MOST_SUBMITS && !state.congested) submit(kept, job, action.piece)
                is Action.Cancel -> driver.cancel(action.piece.id)
                is Action.Write -> write(kept, action.head)
                Action.Revert -> revert(kept)
                Action.Delete -> delete(kept)
            }
        }
    }

    private fun pace(job: NomadJob, group: String): Pace {
        val u = job.groups.firstOrNull { it.name == group }?.update
        return Pace(u?.minHealthyMs ?: 0, u?.deadlineMs ?: Long.MAX_VALUE, u?.autoRevert ?: false)
    }

    /** Reads what only the state service can tell. Nobody else can submit in this term, so what was absent stays so. */
    private suspend fun learn(piece: Piece) {
        if (driver.leader.status(piece.id) != null || piece.id in records) return
        val final = state.get(Keys.terminalRecord(piece.id)).value
        records[piece.id] =
            when {
                final != null -> if (JobCodec.stored(final, 0).stage == JobStage.DONE) Record.DONE else Record.CANCELLED
                state.get(Keys.job(piece.id)).value != null -> Record.SUBMITTED
                else -> Record.ABSENT
            }
    }

    private fun fact(piece: Piece): Fact {
        val job = driver.leader.state.job(piece.id)
        if (job == null) {
            return when (records[piece.id]) {
                Record.DONE, Record.CANCELLED -> Fact.Over(records[piece.id] == Record.DONE, gone = true)
                Record.SUBMITTED -> Fact.Active(0, started = false)
                Record.ABSENT, null -> Fact.Absent
            }
        }
        if (job.stage == JobStage.ACTIVE) return Fact.Active(job.running, job.placements.isNotEmpty() || job.doneCount > 0)
        // The leader will forget it, its final record stays.
        records[piece.id] = if (job.stage == JobStage.DONE) Record.DONE else Record.CANCELLED
        return Fact.Over(job.stage == JobStage.DONE, gone = job.placements.isEmpty())
    }

    private suspend fun submit(kept: KeptHead, job: NomadJob, piece: Piece) {
        val spec = NomadRegistry.spec(job, piece.group, piece.id, piece.size) ?: return
        val record = JobCodec.record(spec, names[Math.floorMod(piece.id.hashCode(), names.size)], node.clock.wall(), JobStage.ACTIVE)
        val conditions =
            listOf(fence, Condition(kept.key, kept.version), Condition(Keys.job(piece.id), 0), Condition(Keys.terminalRecord(piece.id), 0))
        when (state.commit(conditions, listOf(Write(Keys.job(piece.id), record)))) {
            is CompareAndSwapOutcome.Applied -> records[piece.id] = Record.SUBMITTED
            // Known already, or the head has changed: both are read anew.
            CompareAndSwapOutcome.Conflict, CompareAndSwapOutcome.Unknown -> {
                records -= piece.id
                registry.refresh()
            }
        }
    }

    private suspend fun write(kept: KeptHead, head: Head) {
        state.commit(listOf(fence, Condition(kept.key, kept.version)), listOf(Write(kept.key, HeadCodec.write(head))))
        val before = kept.head.latest
        if (head.latest.state !=
            before.state
        ) {
            log.info("{} version {}: {} -> {}", head.id, head.latest.number, before.state, head.latest.state)
        }
        registry.refresh()
    }

    private suspend fun revert(kept: KeptHead) {
        val stable = kept.head.stable ?: return
        val job = registry.meaning(kept.head, stable) ?: return
        val failed = kept.head.replace(kept.head.latest.enter(VersionState.FAILED))
        val back =
            Registry.revert(failed, stable, NomadRegistry.wanted(job, stable.digest, stable.parts), node.clock.wall())
                ?: return write(kept, failed)
        log.warn("{} version {} failed; version {} is brought back", back.id, kept.head.latest.number, stable.number)
        write(kept, back)
    }

    private suspend fun delete(kept: KeptHead) {
        val applied =
            state.commit(
                listOf(fence, Condition(kept.key, kept.version)),
                listOf(Write(kept.key, null)),
            ) is CompareAndSwapOutcome.Applied
        registry.refresh()
        if (!applied) return
        registry.forget(kept.head)
        log.info("{} is purged", kept.head.id)
        // Nobody can name these parts any more; those that a crash leaves are only in the way.
        state.scan("${Keys.NOMAD_PARTS}${kept.head.born}/").entries.forEach {
            state.commit(listOf(fence, Condition(it.key, it.version)), listOf(Write(it.key, null)))
        }
    }

    /**
     * A periodic job's child: its head and the note that this time was served are one change, so it is started once whoever
     * holds the term.
     */
    private suspend fun launch(kept: KeptHead) {
        val head = kept.head
        if (head.latest.state != VersionState.LIVE) return
        val job = registry.meaning(head, head.latest) ?: return
        val periodic = job.periodic?.takeIf { it.enabled } ?: return
        val due = due(periodic, head.launchedMs) ?: return
        val served = HeadCodec.write(head.copy(launchedMs = due))
        val busy =
            periodic.prohibitOverlap &&
                registry.all.any { it.head.parent == head.id && it.head.namespace == head.namespace && !it.head.settled }
        val writes = arrayListOf(Write(kept.key, served))
        val conditions = arrayListOf(fence, Condition(kept.key, kept.version))
        if (!busy) {
            val document =
                JobReader.read(
                    registry.child(registry.document(head, head.latest), "${head.id}/periodic-${due / 1000}", emptyMap()),
                )
            val child = Meaning(document, registry.site()).accepted() ?: return
            val text = registry.parts.split(String(Json.write(document.json))) ?: return
            val born = JobDocument.hash("${head.born}/$due").hex().take(18)
            val made =
                Registry.register(
                    null,
                    child.namespace,
                    child.id,
                    NomadRegistry.wanted(child, document.digest, text.size),
                    born,
                    node.clock.wall(),
                    parent = head.id,
                ) as Change.To
            conditions += registry.parts.writeMissing(text) { Keys.nomadPart(born, document.digest, it) } ?: return
            val key = NomadRegistry.key(child.namespace, child.id)
            conditions += Condition(key, 0)
            writes += Write(key, HeadCodec.write(made.head))
        }
        state.commit(conditions, writes)
        registry.refresh()
    }

    /** The last time that is due: of several that passed while nobody could serve them one is made up for. */
    private fun due(p: Periodic, lastMs: Long): Long? {
        val cron = Cron.of(p)
        val now = node.clock.wall()
        var due: Long? = null
        var at = maxOf(lastMs, now - MAKE_UP_MS)
        repeat(MOST_TIMES) {
            at = cron.next(at)?.takeIf { it <= now } ?: return due
            due = at
        }
        return due
    }

    companion object {
        private const val STEP_MS = 200L
        private const val MOST_SUBMITS = 32
        private const val MOST_TIMES = 1_500
        private const val KEEP_CHILD_MS = 3_600_000L
        private const val MOST_FORGOTTEN = 8
        private const val MAKE_UP_MS = 86_400_000L

        /** In the order of the heads, so that the same jobs give the same rules. */
        suspend fun rules(registry: NomadRegistry): List<Rule> =
            registry.all
                .toList()
                .filter { !it.head.settled }
                .flatMap { kept ->
                    kept.head.open.flatMap { registry.meaning(kept.head, it)?.groups.orEmpty() }.flatMap { it.rules }
                }.distinct()
    }
}
