package org.honeyjunction.app

import org.honeyjunction.core.batching.RequestCoalescer
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.wire.PeerMessage

/** The result of a read: the job's record, or null if there is none. */
class JobLookup(val job: StoredJob?)

/**
 * Users' status queries that this node can't answer from its own memory: they go to the leader or to the records in the state
 * service. Queries of the same kind are coalesced. Times are milliseconds.
 *
 * @param readRecord reads a job's record from the state service; null if there is none
 */
class StatusQueries(private val node: Node, private val readRecord: suspend (String) -> StoredJob?) {
    private val limits = node.settings.stateLimits
    private val readIntervalMs = (1000 * REQUESTS_PER_READ / (limits.requestsPerS * REQUEST_SHARE)).toLong().coerceAtLeast(1)

    /** Queries for the status of a job as the leader has confirmed it. */
    val leaderStatus =
        CoalescedQueries<JobStatus>(node.scope, node.clock, RequestCoalescer(LEADER_INTERVAL_MS, MAX_LEADER_BATCH, MAX_WAIT_MS)) { ids ->
            val response = node.askLeader(PeerMessage.StatusQuery(ids), LEADER_TIMEOUT_MS)
            (response as? PeerMessage.StatusResponse)?.jobs
        }

    /**
     * Queries for the record of a job. Records are read one by one, at a rate that leaves the state service's requests for the
     * lease, journal pages and submissions.
     */
    val jobRecord =
        CoalescedQueries<JobLookup>(node.scope, node.clock, RequestCoalescer(readIntervalMs, maxBatch = 1, MAX_WAIT_MS)) { ids ->
            ids.associateWith { JobLookup(readRecord(it)) }
        }

    /**
     * Queries whether a job with an id was ever accepted, which only its record shows. One transaction with conditions but no
     * writes checks many ids. It uses no write of the rate limit, whereas a second attempt to write the record would use one even
     * though the state service rejects it.
     */
    val acceptance =
        CoalescedQueries<Boolean>(node.scope, node.clock, RequestCoalescer(readIntervalMs, maxComparedJobs(), MAX_WAIT_MS)) { ids ->
            val existing = node.state.existing(ids.flatMap { listOf(Keys.job(it), Keys.terminalRecord(it)) })
            ids.associateWith { Keys.job(it) in existing || Keys.terminalRecord(it) in existing }
        }

    private fun maxComparedJobs() = limits.transactionWrites * CONDITIONS_PER_WRITE / KEYS_PER_JOB

    /** For the log: the used fraction of the allowed wait of each kind, and the number of queries rejected since the last call. */
    fun statistics(): String {
        val rejected = leaderStatus.takeRejectedCount() + jobRecord.takeRejectedCount() + acceptance.takeRejectedCount()
        val pressure = "pressure %.2f at the leader, %.2f at the records, %.2f before admission"
        return "status queries: ${pressure.format(leaderStatus.pressure(), jobRecord.pressure(), acceptance.pressure())}, $rejected refused"
    }

    private companion object {
        /** A single query is sent at once; under load, queries that arrive within this interval are coalesced. */
        const val LEADER_INTERVAL_MS = 40L
        const val MAX_LEADER_BATCH = 400

        /** Half of the two seconds that users wait for a response. */
        const val MAX_WAIT_MS = 1_000L
        const val LEADER_TIMEOUT_MS = 700L

        /** The maximum number of requests to read a record. */
        const val REQUESTS_PER_READ = 2.0

        /** The state service allows this many conditions in a transaction for each write that it allows. */
        const val CONDITIONS_PER_WRITE = 4

        /** A job has one key while it is active, and another one for its terminal record. */
        const val KEYS_PER_JOB = 2

        /** The share of the state service's requests per second that one node's status queries may use, whatever the number of nodes. */
        const val REQUEST_SHARE = 0.1
    }
}
