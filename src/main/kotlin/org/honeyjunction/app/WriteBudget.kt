package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.control.writes.WriteRateAllocator

/**
 * This node's share of the changes a second that the state service allows all controllers. The leader allocates the shares;
 * a node that has received none for [WriteRateAllocator.SHARE_VALID_MS] falls back to its fixed one. Used on the event loop only.
 */
internal class WriteBudget(private val node: Node) {
    private val state = node.state
    private val limits = node.settings.stateLimits
    private var allocator = WriteRateAllocator(limits.writesPerS, limits.nodes)
    private var grantedAt = Long.MIN_VALUE / 2

    /** Runs for as long as the node does. */
    suspend fun adjustPeriodically() {
        while (true) {
            val now = node.clock.steady()
            if (node.isLeader) {
                useLeaderShare(now)
                node.admission.refreshOwnPlan()
            } else if (now - grantedAt > WriteRateAllocator.SHARE_VALID_MS) {
                useFixedShare()
            }
            delay(ADJUST_MS)
        }
    }

    /** This node leads: it allocates the shares from now on, and knows nothing yet of what waits at the others. */
    fun startTerm() {
        allocator = WriteRateAllocator(limits.writesPerS, limits.nodes)
        useLeaderShare(node.clock.steady())
    }

    /** The share of a node to which no leader grants one. */
    fun useFixedShare() = state.setWriteRate(limits.writesPerS * WriteRateAllocator.fixedShare(node.isLeader, limits.nodes))

    /** The leader granted this node [writesPerS] changes a second. */
    fun useGrantedRate(writesPerS: Double) {
        state.setWriteRate(writesPerS)
        grantedAt = node.clock.steady()
    }

    /** At the leader: the share of [peer], where [queued] writes wait; in changes a second. */
    fun allocateShare(peer: String, queued: Int): Double =
        allocator.followerShare(peer, queued, state.queuedJobWrites, state.schedulingWritesPerS, node.clock.steady())

    private fun useLeaderShare(now: Long) =
        state.setWriteRate(allocator.leaderShare(state.queuedJobWrites, state.schedulingWritesPerS, now))

    private companion object {
        const val ADJUST_MS = 250L
    }
}
