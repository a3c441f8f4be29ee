package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.control.writes.WriteRateAllocator

/**
 * This node's share of the write rate that the state service allows all controllers together. The leader allocates the shares; a
 * node that has received none for [WriteRateAllocator.SHARE_VALID_MS] falls back to its fixed share. Used on the event loop only.
 */
internal class WriteBudget(private val node: Node) {
    private val state = node.state
    private val limits = node.settings.stateLimits
    private var allocator = WriteRateAllocator(limits.writesPerS, limits.nodes)
    private var grantedAt = Long.MIN_VALUE / 2

    /** Periodically updates this node's write rate; never returns. */
    suspend fun adjustPeriodically() {
        while (true) {
            val now = node.clock.steady()
            if (node.isLeader) {
                useLeaderShare(now)
                node.admission.refreshOwnPlan()
            } else if (now - grantedAt > WriteRateAllocator.SHARE_VALID_MS) {
                useFixedShare()
            }
            delay(ADJUST_INTERVAL_MS)
        }
    }

    /** Starts allocating the shares as the new leader, without knowing yet how many writes are queued at the other nodes. */
    fun startTerm() {
        allocator = WriteRateAllocator(limits.writesPerS, limits.nodes)
        useLeaderShare(node.clock.steady())
    }

    /** Sets the fixed share, for a node without a share granted by the leader. */
    fun useFixedShare() = state.setWriteRate(limits.writesPerS * WriteRateAllocator.fixedShare(node.isLeader, limits.nodes))

    /** Sets the rate that the leader granted this node, [writesPerS] writes per second. */
    fun useGrantedRate(writesPerS: Double) {
        state.setWriteRate(writesPerS)
        grantedAt = node.clock.steady()
    }

    /** At the leader: the share of [peer], which has [queued] writes waiting, in writes per second. */
    fun allocateShare(peer: String, queued: Int): Double =
        allocator.followerShare(peer, queued, state.queuedJobWrites, state.schedulingWritesPerS, node.clock.steady())

    private fun useLeaderShare(now: Long) =
        state.setWriteRate(allocator.leaderShare(state.queuedJobWrites, state.schedulingWritesPerS, now))

    private companion object {
        const val ADJUST_INTERVAL_MS = 250L
    }
}
