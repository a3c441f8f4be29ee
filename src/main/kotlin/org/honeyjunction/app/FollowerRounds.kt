package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.placement.PlacementRound
import org.honeyjunction.io.PeerClient
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * The placement rounds of a controller that does not lead. In each round the controller requests a summary of its shard from the
 * leader, and sends back proposals for placing the shard's tasks. The leader alone decides.
 */
internal class FollowerRounds(private val node: Node) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val clock = node.clock
    private val round = PlacementRound(node.tuning.cost)

    /** Runs placement rounds while this node follows a leader; idle while it leads or knows no leader. Never returns. */
    suspend fun placePeriodically() {
        while (true) {
            val leader =
                node.election.leader
                    .takeIf { !node.isLeader }
                    ?.let(node.peers::get)
            if (leader == null) {
                delay(Leadership.CAMPAIGN_INTERVAL_MS)
                continue
            }
            try {
                val planRequestedAt = node.admission.beginPlanRequest()
                when (val response = leader.ask(summaryRequest(), node.tuning.summaryWaitMs + RESPONSE_TIMEOUT_MS)) {
                    is PeerMessage.SummaryResponse -> {
                        apply(response, planRequestedAt)
                        delay(place(response, leader))
                    }
                    else -> delay(Leadership.CAMPAIGN_INTERVAL_MS)
                }
            } catch (e: IOException) {
                log.debug("failed to run a placement round with the leader: {}", e.message)
                delay(Leadership.CAMPAIGN_INTERVAL_MS)
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

    /** Applies what the leader's response says beside the summary: quota plan, write budget, lease and version of the rules. */
    private fun apply(response: PeerMessage.SummaryResponse, planRequestedAt: Long) {
        node.reachability.peerContacted()
        node.leaderLiveness.recordResponse(clock.steady())
        node.admission.installPlan(response.plan, planRequestedAt)
        if (response.holdsLease) node.reachability.leaderHeldLease()
        node.writeBudget.useGrantedRate(response.writesPerS)
        node.rules?.observeVersion(response.summary.rules.version)
    }

    /** Sends this node's proposals to [leader]. Returns the delay until the next round, in milliseconds. */
    private suspend fun place(response: PeerMessage.SummaryResponse, leader: PeerClient): Long {
        val proposals = round.place(response.summary)
        if (proposals.isEmpty()) return node.tuning.placementIntervalMs
        leader.ask(PeerMessage.PlacementProposals(response.term, proposals), RESPONSE_TIMEOUT_MS)
        return DELAY_AFTER_PROPOSALS_MS
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 1_500L
        const val DELAY_AFTER_PROPOSALS_MS = 100L
    }
}
