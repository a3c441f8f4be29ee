package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.lease.RenewalBound

/**
 * Whether this leader may renew workers' leases. [RenewalBound] decides; this class feeds it with events and logs its changes for
 * operators. Times are monotonic milliseconds.
 */
internal class WorkerLeaseRenewals(private val state: ClusterState, otherNodes: Collection<String>) {
    private val bound = RenewalBound(otherNodes, RenewalBound.gracePeriodMs(state.cluster.cancelMs, state.cluster.leaseMs))

    /** Whether leases may be renewed, as of the latest event; see [timePassed]. */
    val allowed: Boolean get() = bound.mayRenew

    /** The leader lease was renewed: this node holds it until [until]. */
    fun leaderLeaseRenewed(until: Long, now: Long) {
        on(RenewalBound.Event.LeaderLeaseRenewed(until, now))
    }

    /** [node] confirmed, on a request sent at [requestedAt], that it knows of no later term and has been up for [upMs]. */
    fun peerConfirmed(node: String, requestedAt: Long, upMs: Long, now: Long) {
        on(RenewalBound.Event.PeerConfirmed(node, requestedAt, upMs, now))
    }

    /** A worker has seen a fencing token of a later term: this leader never renews a lease again. */
    fun superseded(now: Long) {
        on(RenewalBound.Event.LaterTermObserved(now))
    }

    /** Checks whether the right to renew leases has ended at [now]. */
    fun timePassed(now: Long): RenewalBound.State = on(RenewalBound.Event.TimePassed(now))

    private fun on(event: RenewalBound.Event): RenewalBound.State {
        val before = bound.state
        val after = bound.on(event)
        if (after == RenewalBound.State.EXPIRED && before != after) {
            state.effects += Effect.LogEvent("renewals-stopped", STOPPED_REASON)
        } else if (before == RenewalBound.State.EXPIRED && bound.mayRenew && state.now > state.startedAt) {
            state.effects += Effect.LogEvent("renewals-resumed", "worker leases are renewed again ($after)")
        }
        return after
    }

    private companion object {
        const val STOPPED_REASON = "worker leases are no longer renewed: it is not proven that no later term has confirmed cancellations"
    }
}
