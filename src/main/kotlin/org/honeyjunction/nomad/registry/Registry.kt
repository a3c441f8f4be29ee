package org.honeyjunction.nomad.registry

import org.honeyjunction.nomad.registry.VersionState.FAILED
import org.honeyjunction.nomad.registry.VersionState.REGISTERED
import org.honeyjunction.nomad.registry.VersionState.STOPPED
import org.honeyjunction.nomad.registry.VersionState.SUPERSEDED

/** What a registration asks for, as far as the registry goes by it. */
class Wanted(
    val digest: String,
    val parts: Int,
    val service: Boolean,
    val template: Boolean,
    val stopped: Boolean,
    val groups: List<Slot>,
) {
    class Slot(val name: String, val definition: String, val count: Int, val piece: Int)
}

/** What becomes of a request to change a registered job. */
sealed interface Change {
    class To(val head: Head) : Change

    /** The same was asked for before. */
    class Same(val head: Head) : Change

    class Refused(val why: String) : Change

    /** Earlier changes must end first. */
    class Later(val why: String) : Change
}

/** What users may change of the registry: each function gives the head that is to be written on condition that the old one stands. */
object Registry {
    /** Earlier versions that are kept to be looked at and brought back. */
    private const val KEPT = 4
    private const val MOST_OPEN = 6

    fun register(
        old: Head?,
        namespace: String,
        id: String,
        wanted: Wanted,
        born: String,
        atMs: Long,
        parent: String? = null,
        revertOf: Version? = null,
    ): Change {
        if (old == null) {
            val version =
                Version(
                    0,
                    wanted.digest,
                    wanted.parts,
                    if (wanted.stopped) STOPPED else REGISTERED,
                    stable = false,
                    settled =
                        wanted.stopped || wanted.template,
                    groups(wanted, 0, null, null),
                    atMs,
                )
            return Change.To(
                Head(namespace, id, born, wanted.service, listOf(version), parent = parent, launchedMs = atMs, template = wanted.template),
            )
        }
        val latest = old.latest
        val again = latest.digest == wanted.digest && !old.purge && (latest.state == STOPPED) == wanted.stopped && latest.state != FAILED
        if (again) return Change.Same(old)
        if (old.service != wanted.service &&
            old.open.isNotEmpty()
        ) {
            return Change.Refused("job \"$id\" is a ${if (old.service) "service" else "batch job"}; stop it before its type changes")
        }
        if (wanted.stopped) return stop(old, purge = false)
        if (old.open.size >= MOST_OPEN) return Change.Later("$MOST_OPEN changes of job \"$id\" are still under way")
        val number = latest.number + 1
        // What was stopped is over for good: its names can't be used again.
        val carried = latest.groups.takeIf { latest.state != STOPPED && !old.purge }.orEmpty()
        val next =
            Version(
                number,
                wanted.digest,
                wanted.parts,
                REGISTERED,
                stable = false,
                settled = wanted.template,
                groups(wanted, number, carried, revertOf),
                atMs,
                revertOf?.number,
            )
        val before =
            old.versions.map {
                if (it.number == latest.number &&
                    it.state.leadsTo(SUPERSEDED) &&
                    it.state != FAILED
                ) {
                    it.enter(SUPERSEDED)
                } else {
                    it
                }
            }
        return Change.To(
            trim(
                old.copy(
                    versions = before + next,
                    purge = false,
                    service = wanted.service,
                    template = wanted.template,
                    launchedMs = if (wanted.template) atMs else old.launchedMs,
                ),
            ),
        )
    }

    private fun groups(wanted: Wanted, number: Long, carried: List<GroupBasis>?, revertOf: Version?): List<GroupBasis> =
        wanted.groups.map { g ->
            val same = carried.orEmpty().firstOrNull { it.name == g.name && it.definition == g.definition }
            val back = revertOf?.groups?.firstOrNull { it.name == g.name && it.definition == g.definition }
            when {
                same != null -> same.copy(count = g.count, piece = g.piece)
                else -> GroupBasis(g.name, number, back?.basis, g.definition, g.count, g.piece)
            }
        }

    fun stop(old: Head, purge: Boolean): Change {
        val latest = old.latest
        if (latest.state == STOPPED && old.purge == (old.purge || purge)) return Change.Same(old)
        val stopped = if (latest.state == STOPPED) latest else latest.enter(STOPPED)
        return Change.To(old.replace(stopped).copy(purge = old.purge || purge))
    }

    /** [stable] brought back as a new version, as [wanted] says of it; null where that can't be. */
    fun revert(head: Head, stable: Version, wanted: Wanted, atMs: Long): Head? =
        (register(head, head.namespace, head.id, wanted, head.born, atMs, revertOf = stable) as? Change.To)?.head

    /** Versions that are neither needed nor among the last few. */
    private fun trim(head: Head): Head {
        val stable = head.versions.lastOrNull { it.stable }?.number
        val spare =
            head.versions
                .dropLast(1)
                .filter { it.settled && it.number != stable }
                .dropLast(KEPT - 1)
                .map { it.number }
                .toSet()
        return head.copy(versions = head.versions.filter { it.number !in spare })
    }
}
