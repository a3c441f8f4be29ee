package org.honeyjunction.core.control.writes

/**
 * Divides the write rate that the state service allows among all nodes. While no node has queued writes, the leader has the
 * largest share, for the pages of its journal. Otherwise shares follow the queued writes: if all users use one node that is
 * not the leader, then with a fixed share that node would take a minute to accept jobs for which the others have rate to spare.
 *
 * A granted share is valid for [SHARE_VALID_MS]; a node without a granted share uses its fixed share. Rates are in writes per
 * second, times in milliseconds.
 */
class WriteRateAllocator(private val ratePerS: Double, private val nodes: Int) {
    /** A follower had [queued] writes waiting at the time [at]. */
    private class Request(val queued: Int, val at: Long)

    /** The latest request of each follower, by node. */
    private val requests = HashMap<String, Request>()

    /**
     * The share of the follower [node], which has [queued] writes waiting. [leaderQueued] new jobs wait at the leader, which
     * needs [leaderRequired] writes per second to schedule tasks and to end jobs.
     */
    fun followerShare(node: String, queued: Int, leaderQueued: Int, leaderRequired: Double, now: Long): Double {
        requests[node] = Request(queued, now)
        val total = totalQueued(leaderQueued, now)
        if (total == 0) return ratePerS * fixedShare(leading = false, nodes)
        return ratePerS * MIN_FOLLOWER_PART + divisible(leaderRequired) * queued / total
    }

    /** The leader's own share: the rate that it requires, and a part of the rest in proportion to its queued writes. */
    fun leaderShare(queued: Int, required: Double, now: Long): Double {
        val total = totalQueued(queued, now)
        if (total == 0) return ratePerS * fixedShare(leading = true, nodes)
        return reservedForLeader(required) + divisible(required) * queued / total
    }

    /** Each accepted job has to be ended later: a leader with too small a share for this would fall behind without limit. */
    private fun reservedForLeader(required: Double) = required.coerceIn(ratePerS * MIN_LEADER_PART, ratePerS * MAX_LEADER_PART)

    private fun totalQueued(leaderQueued: Int, now: Long): Int {
        requests.values.removeIf { now - it.at > SHARE_VALID_MS }
        return leaderQueued + requests.values.sumOf { it.queued }
    }

    /** The rate that is divided in proportion to the queued writes, beyond each node's minimum. */
    private fun divisible(leaderRequired: Double): Double {
        val beyondFollowers = ratePerS * (USABLE_PART - MIN_FOLLOWER_PART * (nodes - 1))
        return (beyondFollowers - reservedForLeader(leaderRequired)).coerceAtLeast(0.0)
    }

    companion object {
        /** How long a granted share is valid. */
        const val SHARE_VALID_MS = 3_000L

        /** The rest is kept for writes that count twice: failed writes, and those of overlapping terms. */
        private const val USABLE_PART = 0.95
        private const val FIXED_LEADER_PART = 0.65
        private const val MIN_LEADER_PART = 0.3
        private const val MAX_LEADER_PART = 0.75
        private const val MIN_FOLLOWER_PART = 0.03

        /** The part of the total rate that one of [nodes] nodes has while no shares are granted. */
        fun fixedShare(leading: Boolean, nodes: Int): Double =
            if (leading || nodes == 1) FIXED_LEADER_PART else (USABLE_PART - FIXED_LEADER_PART) / (nodes - 1)
    }
}
