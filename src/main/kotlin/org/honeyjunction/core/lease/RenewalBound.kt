package org.honeyjunction.core.lease

/**
 * Determines until when a leader may renew workers' leases. A heartbeat response keeps the worker's tasks alive, so it requires
 * authority: another node may have become the leader of a later term and confirmed a cancellation that this leader does not know
 * of, and cancelled tasks must have stopped within the configured time (`cancel_s`).
 *
 * A leader of a later term confirms a cancellation at once only if no earlier leader can keep the job alive, that is, if every
 * worker that may run the job has acknowledged the later fencing token. It confirms any other cancellation only
 * [CONFIRMATION_DELAY_MS] after its term began. [noLaterTermUntil] is the time up to which it is proven that no later term has
 * begun. A worker's lease runs from the sending of its last answered heartbeat. So if a leader answers no heartbeat after
 * `noLaterTermUntil + gracePeriodMs`, no lease outlives the deadline of the first cancellation that the leader may not know of;
 * see [gracePeriodMs]. The proofs that no later term has begun are:
 *
 * - the leader lease: until it expires, no other node can become the leader;
 * - confirmations by all other controllers that they have neither won a later term nor know of one. One of them must have won a
 *   later term, so confirmations by all of them are a proof even while the key-value store is unreachable. A confirmation covers
 *   only the time since the confirming process started, because the peer may have won a term before a restart. A confirmation
 *   counts only if that process started before the time up to which the peer is already known to have won no later term.
 *
 * Times are monotonic milliseconds of this node. [on] is the only function that changes the state.
 */
class RenewalBound(peers: Collection<String>, private val gracePeriodMs: Long) {
    /** Whether heartbeats may be answered, and on what grounds. */
    enum class State {
        /** The leader lease is valid. */
        LEASED,

        /** The leader lease has expired. Heartbeats are answered for a limited time, which each further proof extends. */
        GRACE_PERIOD,

        /** The grace period is over: no heartbeat is answered until there is a new proof. */
        EXPIRED,

        /** A later term has begun: this leader never renews a lease again. */
        SUPERSEDED,
    }

    /** What may change the [state]; [now] is the time of the event. */
    sealed interface Event {
        val now: Long

        /** The leader lease was renewed and is valid until [until]. */
        data class LeaderLeaseRenewed(val until: Long, override val now: Long) : Event

        /** In answer to a request sent at [askedAt], [by] confirmed that it knows of no later term and has been up for [upMs]. */
        data class PeerConfirmed(val by: String, val askedAt: Long, val upMs: Long, override val now: Long) : Event

        /** A message with the fencing token of a later term was received. */
        data class LaterTermObserved(override val now: Long) : Event

        /** No other event happened, but the leader lease or the grace period may have ended. */
        data class TimePassed(override val now: Long) : Event
    }

    /** As of the latest event. */
    var state = State.EXPIRED
        private set
    private var leasedUntil = Long.MIN_VALUE / 2
    private val confirmedUntil = peers.associateWithTo(HashMap()) { Long.MIN_VALUE / 2 }

    /** No later term can have begun before this time. Without other controllers none ever can. */
    val noLaterTermUntil: Long get() = confirmedUntil.keys.minOfOrNull(::noTermOfPeerUntil) ?: FOREVER

    /** Whether heartbeats may be answered. */
    val mayRenew get() = state == State.LEASED || state == State.GRACE_PERIOD

    /** The time up to which [peer] is known not to have become the leader. */
    private fun noTermOfPeerUntil(peer: String) = maxOf(leasedUntil, confirmedUntil.getValue(peer))

    /** Applies [event] and returns the resulting state. */
    fun on(event: Event): State {
        when (event) {
            is Event.LeaderLeaseRenewed -> leasedUntil = maxOf(leasedUntil, event.until)
            is Event.PeerConfirmed -> recordConfirmation(event)
            is Event.LaterTermObserved, is Event.TimePassed -> Unit
        }
        state = next(event)
        return state
    }

    private fun next(event: Event): State =
        when {
            event is Event.LaterTermObserved || state == State.SUPERSEDED -> State.SUPERSEDED
            event.now < leasedUntil -> State.LEASED
            event.now < noLaterTermUntil + gracePeriodMs -> State.GRACE_PERIOD
            else -> State.EXPIRED
        }

    private fun recordConfirmation(confirmation: Event.PeerConfirmed) {
        val peer = confirmation.by
        val before = confirmedUntil[peer] ?: return
        // The peer's clock may run faster than this node's. This is the latest time at which the peer's process can have started.
        val startedBy = confirmation.now - (confirmation.upMs / DRIFT).toLong()
        if (startedBy <= noTermOfPeerUntil(peer)) confirmedUntil[peer] = maxOf(before, confirmation.askedAt)
    }

    companion object {
        /** The largest ratio of the rates of two clocks. It is applied both to the cancellation time and to the lease. */
        const val DRIFT = 1.002

        /** Covers the delay until a worker's next clock check, at which it notices that its lease has expired, and rounding of times. */
        const val MARGIN_MS = 1_500L
        private const val FOREVER = Long.MAX_VALUE / 2

        /**
         * For how long after a cancellation a worker's heartbeats may still be answered: [cancelMs] less the time that a worker's
         * lease of [workerLeaseMs] needs to expire with certainty. Negative if the settings leave no time.
         */
        fun cancellationBudgetMs(cancelMs: Long, workerLeaseMs: Long): Long =
            (cancelMs / DRIFT - workerLeaseMs * DRIFT).toLong() - MARGIN_MS

        /**
         * How long after the start of its term a leader may confirm cancellations of jobs whose leases earlier leaders may still
         * renew. With a longer delay, former leaders can keep workers alive for longer without a proof, but users wait longer for
         * the cancellation of a job on an unreachable machine.
         */
        const val CONFIRMATION_DELAY_MS = 60_000L

        /**
         * How long after [noLaterTermUntil] heartbeats may be answered. The first cancellation that this leader may not know of is
         * confirmed [confirmationDelayMs] after a later term began. 0 if the settings leave no time: then heartbeats are answered
         * only until [noLaterTermUntil].
         */
        fun gracePeriodMs(cancelMs: Long, workerLeaseMs: Long, confirmationDelayMs: Long = CONFIRMATION_DELAY_MS): Long =
            ((confirmationDelayMs / DRIFT).toLong() + cancellationBudgetMs(cancelMs, workerLeaseMs)).coerceAtLeast(0)
    }
}
