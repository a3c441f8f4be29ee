package org.honeyjunction.app

import org.honeyjunction.io.Clock

/**
 * Tracks which of the state service, the leader and the other controllers have recently been in contact with this node. Used on
 * the event loop only.
 */
internal class Reachability(private val clock: Clock, private val election: Election) {
    private var lastPeerContactAt = clock.steady()
    private var leaderHeldLeaseAt = Long.MIN_VALUE / 2

    /** Whether the state service has not answered this node for [UNREACHABLE_MS]. */
    val stateServiceUnreachable: Boolean get() = clock.steady() - election.lastResponseAt > UNREACHABLE_MS

    /** How long the state service has not answered this node, in milliseconds; 0 if it answered recently. */
    val outageMs: Long get() = if (stateServiceUnreachable) clock.steady() - election.lastResponseAt else 0

    /** Whether the state service answers the leader, but not this node. */
    val refusedByStateService: Boolean get() = stateServiceUnreachable && clock.steady() - leaderHeldLeaseAt < UNREACHABLE_MS

    /** Whether no other controller has been in contact with this node for twice [UNREACHABLE_MS]. */
    val isolatedFromPeers: Boolean get() = clock.steady() - lastPeerContactAt > UNREACHABLE_MS * 2

    /** Records that another controller answered this node or sent it a request. */
    fun peerContacted() {
        lastPeerContactAt = clock.steady()
    }

    /** Records that the leader reported that it holds its lease, so the state service answers the leader. */
    fun leaderHeldLease() {
        leaderHeldLeaseAt = clock.steady()
    }

    private companion object {
        const val UNREACHABLE_MS = 3_000L
    }
}
