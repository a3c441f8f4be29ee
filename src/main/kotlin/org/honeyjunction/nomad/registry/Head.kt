package org.honeyjunction.nomad.registry

import org.honeyjunction.nomad.JobDocument
import java.math.BigInteger

/** Where a version of a registered job stands. */
enum class VersionState {
    /** Durable; nothing of it has been submitted. */
    REGISTERED,

    /** Its native jobs take the place of those of earlier versions. */
    ROLLING,

    /** All of it is submitted, and of a service all replicas ran for as long as was asked. */
    LIVE,

    /** A part of it did not run in time; what has not been replaced by then stays as it is. */
    FAILED,

    /** A later version has come. */
    SUPERSEDED,

    /** Its user stopped the job. */
    STOPPED,

    /** Nothing is left of it but, perhaps, final records of native jobs. */
    PURGED,
    ;

    fun leadsTo(next: VersionState): Boolean =
        when (this) {
            REGISTERED -> next == ROLLING || next == SUPERSEDED || next == STOPPED
            ROLLING -> next == LIVE || next == FAILED || next == SUPERSEDED || next == STOPPED
            LIVE -> next == SUPERSEDED || next == STOPPED
            FAILED -> next == SUPERSEDED || next == STOPPED
            SUPERSEDED, STOPPED -> next == PURGED
            PURGED -> false
        }
}

/**
 * A group of a version: its native jobs are named by [basis], the version in which what they are changed last. After a
 * revert those of [earlier] that still run are as good as new ones.
 */
data class GroupBasis(val name: String, val basis: Long, val earlier: Long?, val definition: String, val count: Int, val piece: Int)

/** What one registration asked for. [settled]: none of its native jobs can have a task any more, but those of later versions too. */
data class Version(
    val number: Long,
    val digest: String,
    val parts: Int,
    val state: VersionState,
    val stable: Boolean,
    val settled: Boolean,
    val groups: List<GroupBasis>,
    val atMs: Long,
    /** The version that this one brought back by itself. */
    val revertOf: Long? = null,
) {
    /** The only way a version's state changes. */
    fun enter(next: VersionState): Version {
        if (next == state) return this
        check(state.leadsTo(next)) { "version $number: $state -> $next" }
        return copy(state = next, stable = stable || next == VersionState.LIVE)
    }
}

/** Tasks [from] until [from] + [size] of a group, as one native job. */
data class Piece(val id: String, val group: String, val from: Int, val size: Int) {
    fun overlaps(o: Piece) = group == o.group && from < o.from + o.size && o.from < from + size
}

/** The durable record of a registered job: what a new leader goes on from. [born] tells it from others that had its name. */
data class Head(
    val namespace: String,
    val id: String,
    val born: String,
    val service: Boolean,
    val versions: List<Version>,
    val purge: Boolean = false,
    /** Whose dispatch or period this is; null: a user's. */
    val parent: String? = null,
    /** Of a periodic job: the last time for which a child was started, in milliseconds of the epoch. */
    val launchedMs: Long = 0,
    /** It only starts others. */
    val template: Boolean = false,
) {
    val latest: Version get() = versions.last()

    /** The last version before the latest that was live. */
    val stable: Version? get() = versions.dropLast(1).lastOrNull { it.stable }

    /** Versions that may still have native jobs. */
    val open: List<Version> get() = versions.filter { !it.settled }

    /** Nothing is left to do for it. */
    val settled: Boolean get() = versions.all { it.settled } && !purge

    fun replace(v: Version): Head = copy(versions = versions.map { if (it.number == v.number) v else it })

    /** The native jobs of [v], each with the one that may stand in its place. */
    fun pieces(v: Version): List<Pair<Piece, Piece?>> =
        if (template) {
            emptyList()
        } else {
            v.groups.flatMap { g ->
                (0 until g.count step g.piece).map { from ->
                    val size = minOf(g.piece, g.count - from)
                    piece(g, g.basis, from, size) to g.earlier?.let { piece(g, it, from, size) }
                }
            }
        }

    /** All that [of] may have brought to be, once each. */
    fun pieces(of: List<Version>): List<Piece> =
        of.flatMap { v -> pieces(v).flatMap { listOfNotNull(it.first, it.second) } }.distinctBy { it.id }

    private fun piece(g: GroupBasis, basis: Long, from: Int, size: Int) =
        Piece(nativeId("$born/$basis/${g.name}/${g.definition}/$from/$size"), g.name, from, size)

    companion object {
        private val range = BigInteger.TEN.pow(18)

        /** The same for every leader, so that what one has begun the next one finds. */
        fun nativeId(name: String): String =
            "j-" + BigInteger(1, JobDocument.hash(name).toByteArray()).mod(range).toString().padStart(18, '0')
    }
}
