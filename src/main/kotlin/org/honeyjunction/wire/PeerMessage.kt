package org.honeyjunction.wire

import org.honeyjunction.core.admission.Demand
import org.honeyjunction.core.admission.PlanEpoch
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.placement.Proposal
import org.honeyjunction.core.placement.Summary

/**
 * Messages between controllers. A request gets exactly one response, on the same connection. A controller that is not the leader
 * responds with [NotLeader] to a request that only the leader can serve. [PeerCodec] defines the encoding.
 */
sealed interface PeerMessage {
    /**
     * Follower to leader, once in each of the follower's placement rounds: asks for the pending tasks of its shard. It is
     * answered by [SummaryResponse] or [NotLeader].
     *
     * @property node name of the follower
     * @property term latest leader term (epoch) that the follower knows
     * @property heartbeatingWorkers number of workers that recently sent heartbeats to the follower
     * @property queuedWrites number of writes that wait for the follower's write budget
     * @property demand rate of submissions that the follower receives, by traffic class, in jobs per second
     * @property planEpoch epoch of the quota plan that the follower applies
     * @property grantedPerS jobs per second that the follower may admit under that plan
     */
    data class SummaryRequest(
        val node: String,
        val term: Long,
        val heartbeatingWorkers: Int,
        val queuedWrites: Int,
        val demand: List<Demand>,
        val planEpoch: PlanEpoch,
        val grantedPerS: Double,
    ) : PeerMessage

    /**
     * Leader to follower, in response to [SummaryRequest]: as soon as there are tasks to place, or after a bounded wait.
     *
     * @property term the leader's term
     * @property holdsLease whether the leader is certain that it holds the leader lease, which means that the key-value store
     *   answers it
     * @property plan the quota plan: how many jobs of each traffic class the follower may admit
     * @property writesPerS the follower's share of the key-value store's write limit, in writes per second
     * @property summary pending tasks of the follower's shard and the free capacity to place them on
     */
    class SummaryResponse(val term: Long, val holdsLease: Boolean, val plan: QuotaPlan, val writesPerS: Double, val summary: Summary) :
        PeerMessage

    /**
     * Any controller to any other, in response to a request that only the leader can serve, if the sender is not the leader or is
     * not certain that it still holds the leader lease.
     *
     * @property term latest leader term that the sender knows
     */
    data class NotLeader(val term: Long) : PeerMessage

    /**
     * Follower to leader, at the end of a placement round that found placements. It is answered by [ProposalResult].
     *
     * @property term term of the leader whose summary the proposals were computed from; a leader of another term applies none of them
     * @property proposals placements; jobs, tasks and machines are identified by their numbers in the summary
     */
    data class PlacementProposals(val term: Long, val proposals: List<Proposal>) : PeerMessage

    /**
     * Leader to follower, in response to [PlacementProposals].
     *
     * @property count number of proposals that were accepted
     */
    data class ProposalResult(val count: Int) : PeerMessage

    /**
     * Follower to leader, when a follower received a user's HTTP request that only the leader can serve. It is answered by
     * [ForwardedResponse].
     *
     * @property method HTTP method
     * @property path HTTP request target, with its query
     * @property body HTTP body, unchanged
     */
    class ForwardedRequest(val method: String, val path: String, val body: ByteArray) : PeerMessage

    /**
     * Leader to follower, in response to [ForwardedRequest].
     *
     * @property status HTTP status
     * @property retryAfterS seconds for the `Retry-After` header; 0 for none
     * @property body HTTP body for the user
     */
    class ForwardedResponse(val status: Int, val retryAfterS: Int, val body: ByteArray) : PeerMessage

    /**
     * Follower to leader, when its users ask for the status of jobs; the queries of many users are coalesced into one. It is
     * answered by [StatusResponse] or [NotLeader].
     *
     * @property jobs job ids
     */
    data class StatusQuery(val jobs: List<String>) : PeerMessage

    /**
     * Leader to each peer, to announce its term and to ask whether the peer knows a later one, before it trusts its lease
     * without the key-value store. It is answered by [TermConfirmation].
     *
     * @property node name of the leader
     * @property term the leader's term
     */
    data class TermConfirmationRequest(val node: String, val term: Long) : PeerMessage

    /**
     * Peer to leader, in response to [TermConfirmationRequest].
     *
     * @property term latest leader term that the peer knows
     * @property leader name of that term's leader; empty when the peer does not know it
     * @property uptimeMs milliseconds since the peer's process started: a peer that restarted may have forgotten a later term
     */
    data class TermConfirmation(val term: Long, val leader: String, val uptimeMs: Long) : PeerMessage

    /**
     * Leader to follower, in response to [StatusQuery].
     *
     * @property jobs status by job id, for the jobs whose status the leader knows for certain; the status of any other job has to be
     *   read from its record in the key-value store
     */
    class StatusResponse(val jobs: Map<String, JobStatus>) : PeerMessage
}
