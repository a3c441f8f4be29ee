package org.honeyjunction.app

import org.honeyjunction.core.batching.RequestCoalescer
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.wire.PeerMessage

/** A job's record, or that there is none. */
class JobLookup(val job: StoredJob?)

/**
 * Users' queries that this node can't answer by itself: by the leader, or by the records in the state service. Every query is
 * coalesced with others. Times are milliseconds.
 */
class StatusQueries(private val node: Node, private val readRecord: suspend (String) -> StoredJob?) {
    private val limits = node.settings.stateLimits
    private val readIntervalMs = (1000 * REQUESTS_PER_READ / (limits.requestsPerS * REQUEST_SHARE)).toLong().coerceAtLeast(1)

    /** The status of a job as the leader is certain of it. */
    val leaderStatus =
        CoalescedQueries<JobStatus>(node.scope, node.clock, RequestCoalescer(LEADER_INTERVAL_MS, MAX_LEADER_BATCH, MAX_WAIT_MS)) { ids ->
            val response = node.askLeader(PeerMessage.StatusQuery(ids), LEADER_TIMEOUT_MS)
            (response as? PeerMessage.StatusResponse)?.jobs
        }

    /** The record of a job. Records are read one by one, at a rate that leaves requests for the lease, journal pages and submissions. */
    val jobRecord =
        CoalescedQueries<JobLookup>(node.scope, node.clock, RequestCoalescer(readIntervalMs, maxBatch = 1, MAX_WAIT_MS)) { ids ->
            ids.associateWith { JobLookup(readRecord(it)) }
        }

    /**
     * Whether a job of this id was ever accepted, which only its record tells: many ids in one transaction that only compares.
     * That uses up no change, while an attempt to write the record a second time would use up one although it is refused.
     */
    val acceptance =
        CoalescedQueries<Boolean>(node.scope, node.clock, RequestCoalescer(readIntervalMs, maxComparedJobs(), MAX_WAIT_MS)) { ids ->
            val existing = node.state.existing(ids.flatMap { listOf(Keys.job(it), Keys.final(it)) })
            ids.associateWith { Keys.job(it) in existing || Keys.final(it) in existing }
        }

    private fun maxComparedJobs() = limits.transactionWrites * CONDITIONS_PER_WRITE / KEYS_PER_JOB

    /** For the statistics in the log: how much of the allowed wait is used up, and how many were rejected since the last call. */
    fun statistics(): String {
        val rejected = leaderStatus.takeRejectedCount() + jobRecord.takeRejectedCount() + acceptance.takeRejectedCount()
        val pressure = "pressure %.2f at the leader, %.2f at the records, %.2f before admission"
        return "status queries: ${pressure.format(leaderStatus.pressure(), jobRecord.pressure(), acceptance.pressure())}, $rejected refused"
    }

    private companion object {
        /** A lone query is sent at once; under load this coalesces what comes within a twenty-fifth of a second. */
        const val LEADER_INTERVAL_MS = 40L
        const val MAX_LEADER_BATCH = 400

        /** Users wait for two seconds. */
        const val MAX_WAIT_MS = 1_000L
        const val LEADER_TIMEOUT_MS = 700L

        /** Reading a record takes two requests at most. */
        const val REQUESTS_PER_READ = 2.0

        /** The state service takes so many conditions for each write that a transaction may hold; a job may have two keys. */
        const val CONDITIONS_PER_WRITE = 4
        const val KEYS_PER_JOB = 2

        /** The share of the state service's requests that status queries of one node may use, however many nodes there are. */
        const val REQUEST_SHARE = 0.1
    }
}
