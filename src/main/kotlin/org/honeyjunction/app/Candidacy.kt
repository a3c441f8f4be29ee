package org.honeyjunction.app

import org.honeyjunction.io.Clock

/**
 * Decides whether this node may campaign for the next term. A node whose terms fail backs off exponentially. A node that resigned
 * because no worker reached it waits, so that other nodes campaign first. Used on the event loop only; times are steady milliseconds.
 */
internal class Candidacy(private val clock: Clock) {
    /** When [mayCampaign] first saw no leader while workers did not reach this node; [Long.MIN_VALUE] while there is a leader. */
    private var leaderlessSince = Long.MIN_VALUE

    /** The number of consecutive terms of this node that ended by a failure of this node. */
    private var failedTerms = 0
    private var backOffUntil = Long.MIN_VALUE

    /** Whether this node resigned because no worker reached it, and has received no heartbeat since. */
    private var unreachableByWorkers = false

    /** Whether this node may acquire the next term now. */
    fun mayCampaign(): Boolean {
        if (clock.steady() < backOffUntil) return false
        if (!unreachableByWorkers) return true
        if (leaderlessSince == Long.MIN_VALUE) leaderlessSince = clock.steady()
        return clock.steady() - leaderlessSince > BACK_OFF_MS
    }

    /** Resets the time without a leader, since some node leads. */
    fun leaderObserved() {
        leaderlessSince = Long.MIN_VALUE
    }

    /** Notes that a worker reached this node. */
    fun heartbeatReceived() {
        unreachableByWorkers = false
    }

    /** Notes that this node resigned because no worker reached it. */
    fun resignedAsUnreachableByWorkers() {
        unreachableByWorkers = true
    }

    /** Starts a back-off after the failure of a term that began at [termStartedAt]; doubles the previous one unless the term was long. */
    fun backOff(termStartedAt: Long) {
        failedTerms = if (clock.steady() - termStartedAt > STABLE_TERM_MS) 1 else failedTerms + 1
        val doublings = minOf(failedTerms - 1, MAX_DOUBLINGS)
        backOffUntil = clock.steady() + minOf(BACK_OFF_MS shl doublings, MAX_BACK_OFF_MS)
    }

    private companion object {
        const val BACK_OFF_MS = 3_000L
        const val MAX_DOUBLINGS = 4
        const val MAX_BACK_OFF_MS = 30_000L
        const val STABLE_TERM_MS = 60_000L
    }
}
