package org.honeyjunction.core.lease

/**
 * Decides whether the leader may send its decisions: the leader lease must be valid, and the process must not have been suspended.
 *
 * After a suspension (a stopped virtual machine, a long garbage collection) the clock has jumped ahead and the queues hold
 * decisions that were made on stale state, while another node may have become the leader. So the leader has to renew its lease
 * before it does anything else.
 *
 * Times are monotonic milliseconds of this node. The leader calls [recordTick] for each event. A timer fires every 100 ms, so a
 * gap of more than [SUSPENSION_THRESHOLD_MS] shows that the process was suspended or overloaded; both are handled in the same way.
 */
class LeaseGuard(now: Long) {
    /** The validity of the leader lease, with the restrictions that follow from it. */
    enum class State {
        /** The lease is valid: everything is sent. */
        HELD,

        /**
         * The lease has expired, as in an outage of the key-value store: no task is started and no machine is rented or released,
         * but everything else goes on.
         */
        EXPIRED,

        /**
         * The process resumed from a suspension after the lease had expired. Until the lease is renewed, the leader sends only
         * heartbeat responses, which keep the workers' leases alive, and the other effects that need no leader lease.
         */
        RESUMED_EXPIRED,
    }

    /** As of the latest tick or renewal. */
    var state = State.EXPIRED
        private set

    /** No other node can become the leader before this time. */
    var validUntil = Long.MIN_VALUE
        private set

    /** When the process last resumed from a suspension. Heartbeats may have been missed during it, so timeouts start anew here. */
    var resumedAt = Long.MIN_VALUE / 2
        private set
    private var lastTickAt = now

    /** Records that the leader lease was renewed; [until] counts from the time when the renewal was requested. */
    fun renewed(until: Long, now: Long) {
        recordTick(now)
        validUntil = until
        state = next(now, suspended = false, renewed = true)
    }

    /** Records that the process runs at [now]. Returns for how many milliseconds the process was suspended before, or 0. */
    fun recordTick(now: Long): Long {
        val gapMs = now - lastTickAt
        lastTickAt = maxOf(lastTickAt, now)
        val suspended = gapMs > SUSPENSION_THRESHOLD_MS
        if (suspended) resumedAt = now
        state = next(now, suspended, renewed = false)
        return if (suspended) gapMs else 0
    }

    private fun next(now: Long, suspended: Boolean, renewed: Boolean): State =
        when {
            now < validUntil && (state != State.RESUMED_EXPIRED || renewed) -> State.HELD
            suspended || state == State.RESUMED_EXPIRED -> State.RESUMED_EXPIRED
            else -> State.EXPIRED
        }

    companion object {
        /** The gap between two ticks, in milliseconds, beyond which the process counts as suspended. */
        const val SUSPENSION_THRESHOLD_MS = 1_500L
    }
}
