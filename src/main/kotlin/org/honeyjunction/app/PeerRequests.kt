package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.wire.PeerMessage
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response

/** Answers the other controllers' requests. */
internal class PeerRequests(private val node: Node, private val router: RequestRouter) {
    private val clock = node.clock
    private val leadership = node.leadership

    /** The response to [message]. */
    suspend fun answer(message: PeerMessage): PeerMessage =
        when (message) {
            is PeerMessage.SummaryRequest -> summary(message)
            is PeerMessage.PlacementProposals -> proposalResult(message)
            is PeerMessage.ForwardedRequest -> forwarded(message)
            is PeerMessage.TermConfirmationRequest -> leadership.confirmTerm(message)
            is PeerMessage.StatusQuery -> status(message)
            is PeerMessage.SummaryResponse,
            is PeerMessage.NotLeader,
            is PeerMessage.ProposalResult,
            is PeerMessage.ForwardedResponse,
            is PeerMessage.StatusResponse,
            is PeerMessage.TermConfirmation,
            -> notLeader()
        }

    private fun notLeader() = PeerMessage.NotLeader(node.election.term)

    private suspend fun summary(request: PeerMessage.SummaryRequest): PeerMessage {
        node.reachability.peerContacted()
        val before = leadership.driver
        leadership.observeTerm(request.term, "")
        if (before != null) leadership.resignIfUnreachableByWorkers(before, request)
        val driver = leadership.driver ?: return notLeader()
        val writesPerS = node.writeBudget.allocateShare(request.node, request.queuedWrites)
        val summary = summaryFor(driver, request.node)
        // The quota plan is made last, since its validity starts when it is made and summaryFor may wait.
        val plan = node.admission.planFor(request.node, request.demand, request.planEpoch, request.grantedPerS) ?: QuotaPlan.NONE
        return PeerMessage.SummaryResponse(driver.term.number, driver.holdsLease, plan, writesPerS, summary)
    }

    /** Waits until there are tasks to place, up to `summaryWaitMs`, so that a new job need not wait for the next request of [peer]. */
    private suspend fun summaryFor(driver: LeaderDriver, peer: String): Summary {
        val until = clock.steady() + node.tuning.summaryWaitMs
        while (true) {
            val summary = driver.leader.summaryFor(peer, clock.steady())
            if (summary.rows.isNotEmpty() || clock.steady() >= until || leadership.driver !== driver) return summary
            delay(SUMMARY_POLL_MS)
        }
    }

    private fun proposalResult(message: PeerMessage.PlacementProposals): PeerMessage {
        val driver = leadership.driver?.takeIf { it.term.number == message.term }
        val accepted = driver?.leader?.acceptProposals(message.proposals, clock.steady())
        driver?.executeEffects()
        return PeerMessage.ProposalResult(accepted?.count { it } ?: 0)
    }

    private suspend fun forwarded(message: PeerMessage.ForwardedRequest): PeerMessage {
        val request = Request(message.method, message.path, message.body)
        val response = if (node.isLeader) router.route(request, forwarded = true) else Response(503)
        return PeerMessage.ForwardedResponse(response.status, response.retryAfterS ?: 0, response.body)
    }

    private fun status(query: PeerMessage.StatusQuery): PeerMessage {
        val leader = node.driverWithLease?.leader ?: return notLeader()
        return PeerMessage.StatusResponse(query.jobs.mapNotNull { id -> leader.confirmedStatus(id)?.let { id to it } }.toMap())
    }

    private companion object {
        const val SUMMARY_POLL_MS = 60L
    }
}
