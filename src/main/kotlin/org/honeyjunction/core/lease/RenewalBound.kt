package org.honeyjunction.core.lease

/**
 * Until when a leader may renew workers' leases. A heartbeat response keeps the worker's tasks alive, so it needs authority too:
 * another node may have become the leader of a later term and confirmed a cancellation that this one does not know of, and the
 * cancelled tasks must be gone within the time that the settings give.
 *
 * A leader of a later term confirms a cancellation at once only if no earlier leader can keep the job alive, that is, if every
 * worker that may run it has acknowledged the later fencing token. Anything else it confirms only [CONFIRMATION_DELAY_MS] after
 * its term began. [noLaterTermUntil] is the moment up to which it is proven that no later term has begun. A worker's lease runs
 * from the sending of its last answered heartbeat. So a leader that answers none after `noLaterTermUntil + gracePeriodMs` leaves
 * no lease that outlives the deadline of the first cancellation that it may not know of; see [gracePeriodMs]. The proofs are:
 *
 * - the leader lease: until it expires, no other node can become the leader;
 * - confirmations by all other controllers that they have neither won a later term nor know of one. Some controller must have won
 *   it, so that confirmations by all of them are a proof even while the key-value store is unreachable. A confirmation reaches
 *   back only to the start of the confirming process: one that was restarted may have won a term before. It counts only if that
 *   process started before the moment up to which the peer is already known to have won none.
 *
 * Times are monotonic milliseconds of this node. [on] is the only function that changes the state.
 */
class RenewalBound(peers: Collection<String>, private val gracePeriodMs: Long) {
    enum class State {
        /** Within the leader lease. */
        LEASED,

        /** Past the leader lease: heartbeats are answered for a limited time, which each further proof extends. */
        GRACE_PERIOD,

        /** Too long without a proof: no heartbeat is answered until there is one. */
        EXPIRED,

        /** A later term is known: no lease is ever renewed again. */
        SUPERSEDED,
    }

    sealed interface Event {
        val now: Long

        /** The leader lease was renewed and is valid until [until]. */
        data class LeaderLeaseRenewed(val until: Long, override val now: Long) : Event

        /** In answer to a request sent at [askedAt], [by] confirmed that it knows of no later term and has been up for [upMs]. */
        data class PeerConfirmed(val by: String, val askedAt: Long, val upMs: Long, override val now: Long) : Event

        /** A message with the fencing token of a later term was received. */
        data class LaterTermObserved(override val now: Long) : Event

        data class TimePassed(override val now: Long) : Event
    }

    var state = State.EXPIRED
        private set
    private var leasedUntil = Long.MIN_VALUE / 2
    private val confirmedUntil = peers.associateWithTo(HashMap()) { Long.MIN_VALUE / 2 }

    /** Up to then no later term can have begun; without other controllers, for ever. */
    val noLaterTermUntil: Long get() = confirmedUntil.keys.minOfOrNull(::noTermOfPeerUntil) ?: FOREVER

    /** Whether heartbeats may be answered. */
    val mayRenew get() = state == State.LEASED || state == State.GRACE_PERIOD

    /** Up to then [peer] cannot have become the leader. */
    private fun noTermOfPeerUntil(peer: String) = maxOf(leasedUntil, confirmedUntil.getValue(peer))

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
        // The peer's clock may run faster than this one: its process started no later than this.
        val startedBy = confirmation.now - (confirmation.upMs / DRIFT).toLong()
        if (startedBy <= noTermOfPeerUntil(peer)) confirmedUntil[peer] = maxOf(before, confirmation.askedAt)
    }

    companion object {
        /** The most by which two clocks may differ in rate, applied twice. */
        const val DRIFT = 1.002

        /** A worker acts on the expiry of its lease at its next clock check; also covers the rounding of times. */
        const val MARGIN_MS = 1_500L
        private const val FOREVER = Long.MAX_VALUE / 2

        /**
         * For how long after a cancellation a worker's heartbeats may still be answered: what is left of [cancelMs] when the
         * worker's lease of [workerLeaseMs] has surely expired. Negative if the settings leave no time for that.
         */
        fun cancellationBudgetMs(cancelMs: Long, workerLeaseMs: Long): Long =
            (cancelMs / DRIFT - workerLeaseMs * DRIFT).toLong() - MARGIN_MS

        /**
         * How long after the start of its term a leader may confirm cancellations of jobs whose leases earlier leaders may still
         * renew. A longer delay lets former leaders keep workers alive for longer without a proof, but users wait longer for a
         * job on an unreachable machine.
         */
        const val CONFIRMATION_DELAY_MS = 60_000L

        /**
         * How long after [noLaterTermUntil] heartbeats may be answered. The first cancellation that may be unknown is confirmed
         * [confirmationDelayMs] after a later term began. 0 if the settings leave no time: then only the leader lease counts.
         */
        fun gracePeriodMs(cancelMs: Long, workerLeaseMs: Long, confirmationDelayMs: Long = CONFIRMATION_DELAY_MS): Long =
            ((confirmationDelayMs / DRIFT).toLong() + cancellationBudgetMs(cancelMs, workerLeaseMs)).coerceAtLeast(0)
    }
}
