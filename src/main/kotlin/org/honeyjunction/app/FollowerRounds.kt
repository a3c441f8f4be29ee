package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.placement.PlacementRound
import org.honeyjunction.io.PeerClient
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * The placement rounds of a controller that does not lead: it asks the leader for a summary of its shard, and sends back
 * proposals of where to place this controller's tasks. The leader alone decides.
 */
internal class FollowerRounds(private val node: Node) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val clock = node.clock
    private val round = PlacementRound(node.tuning.cost)

    /** Runs for as long as the node does, and is idle while it leads or knows no leader. */
    suspend fun placePeriodically() {
        while (true) {
            val leader =
                node.election.leader
                    .takeIf { !node.isLeader }
                    ?.let(node.peers::get)
            if (leader == null) {
                delay(Leadership.CAMPAIGN_MS)
                continue
            }
            try {
                val planRequestedAt = node.admission.beginPlanRequest()
                when (val response = leader.ask(summaryRequest(), node.tuning.summaryWaitMs + RESPONSE_MS)) {
                    is PeerMessage.SummaryResponse -> {
                        apply(response, planRequestedAt)
                        delay(place(response, leader))
                    }
                    else -> delay(Leadership.CAMPAIGN_MS)
                }
            } catch (e: IOException) {
                log.debug("summary: {}", e.message)
                delay(Leadership.CAMPAIGN_MS)
            }
        }
    }

    private fun summaryRequest() =
        PeerMessage.SummaryRequest(
            node.settings.node,
            node.election.term,
            node.recentHeartbeats(clock.steady()),
            node.state.queuedWrites,
            node.admission.demand,
            node.admission.epoch,
            node.admission.grantedPerS,
        )

    /** Takes over what the leader granted this node, and what it says of itself. */
    private fun apply(response: PeerMessage.SummaryResponse, planRequestedAt: Long) {
        node.reachability.peerContacted()
        node.leaderLiveness.recordResponse(clock.steady())
        node.admission.installPlan(response.plan, planRequestedAt)
        if (response.holdsLease) node.reachability.leaderHeldLease()
        node.writeBudget.granted(response.writesPerS)
        node.rules?.noteVersion(response.summary.rules.version)
    }

    /** Sends what this node proposes to [leader]; the milliseconds until the next round. */
    private suspend fun place(response: PeerMessage.SummaryResponse, leader: PeerClient): Long {
        val proposals = round.place(response.summary)
        if (proposals.isEmpty()) return node.tuning.placementIntervalMs
        leader.ask(PeerMessage.PlacementProposals(response.term, proposals), RESPONSE_MS)
        return AFTER_PROPOSALS_MS
    }

    private companion object {
        const val RESPONSE_MS = 1_500L
        const val AFTER_PROPOSALS_MS = 100L
    }
}
