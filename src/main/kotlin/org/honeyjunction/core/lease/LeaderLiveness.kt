package org.honeyjunction.core.lease

/**
 * Tracks whether the current leader responds, so that a follower redirects workers and users only to a live leader.
 *
 * A follower does not redirect to a leader that has stopped responding, even while the leader's lease is valid: a redirected
 * worker would wait four seconds for a timeout, and its own lease could expire in that time. Without a redirect the worker tries
 * the next node, which may have become the leader by then.
 *
 * Times are monotonic milliseconds of this node.
 */
class LeaderLiveness(now: Long) {
    private var leader: String? = null
    private var lastResponseAt = now

    /** Records the leader that the key-value store names; null if there is none. A new leader counts as responsive at [now]. */
    fun observeLeader(current: String?, now: Long) {
        if (current == leader) return
        leader = current
        lastResponseAt = now
    }

    /** Records that the leader answered a request of this node. */
    fun recordResponse(now: Long) {
        lastResponseAt = maxOf(lastResponseAt, now)
    }

    /** The leader, if it has responded within the last [RESPONSE_TIMEOUT_MS]; null otherwise. */
    fun reachableLeader(now: Long): String? = leader.takeIf { now - lastResponseAt <= RESPONSE_TIMEOUT_MS }

    companion object {
        /** A live leader answers within half a second, and every follower queries it continuously. */
        const val RESPONSE_TIMEOUT_MS = 2_000L
    }
}
