package org.honeyjunction.core.control.leader

/**
 * Retains finished jobs and removed machines for [RETENTION_MS], so that delayed messages about them are still recognised.
 */
internal class RemovalQueue {
    /** An entry that is due for removal; [forget] returns false if it is still needed and must be retained for another period. */
    private class Removal(val at: Long, val forget: () -> Boolean)

    private val removals = ArrayDeque<Removal>()

    /** Adds an entry that is removed by [forget] after the retention period. */
    fun add(now: Long, forget: () -> Boolean) {
        removals += Removal(now, forget)
    }

    /** Removes the entries whose retention period has ended. */
    fun purge(now: Long) {
        while (removals.isNotEmpty() && now - removals.first().at > RETENTION_MS) {
            val first = removals.removeFirst()
            if (!first.forget()) removals += Removal(now, first.forget)
        }
    }

    private companion object {
        const val RETENTION_MS = 600_000L
    }
}
