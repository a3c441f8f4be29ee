package org.honeyjunction.app

import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.MalformedException
import java.io.IOException

/** The result of reading the status of a job. */
internal sealed interface StatusResult {
    /** The job exists and has this [status]. */
    class Found(val status: JobStatus) : StatusResult

    /** No such job was ever accepted. */
    data object NotFound : StatusResult

    /** The status can't be read at present, for this [reason]. */
    class Unavailable(val reason: String) : StatusResult
}

/**
 * Reads the status of jobs from the first source that is certain of it: the cached terminal statuses, the leader's memory while
 * it holds its lease, the record in the state service.
 */
internal class JobStatusReader(private val node: Node) {
    /** Terminal statuses never change, so they are cached; the oldest are evicted. */
    private val terminalStatuses =
        object : LinkedHashMap<String, JobStatus>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, JobStatus>) = size > MAX_TERMINAL_STATUSES
        }

    private val queries = StatusQueries(node, ::readRecord)

    fun statistics() = queries.statistics()

    /** The cached terminal status of a job, or null. */
    fun terminalStatus(id: String): JobStatus? = terminalStatuses[id]

    /** Caches the terminal [status] of job [id]. */
    fun cacheTerminal(id: String, status: JobStatus) {
        terminalStatuses[id] = status
    }

    /** The status of job [id] if no query is needed: cached as terminal, or in this node's memory while it holds the leader lease. */
    fun certainStatus(id: String): JobStatus? = terminalStatuses[id] ?: node.driverWithLease?.leader?.confirmedStatus(id)

    /** Whether a job of this id was ever accepted, as its records in the state service say; coalesced with other queries. */
    suspend fun isRecorded(id: String): QueryOutcome<Boolean> = queries.acceptance.query(id)

    /** Reads the status of job [id]. Queries to the leader and to the state service are coalesced with those of other users. */
    suspend fun read(id: String): StatusResult {
        certainStatus(id)?.let { return found(id, it) }
        if (node.isLeaderReachable) {
            when (val outcome = queries.leaderStatus.query(id)) {
                is QueryOutcome.Answered -> return found(id, outcome.answer)
                QueryOutcome.Rejected -> return StatusResult.Unavailable(JobApi.TOO_MANY_QUERIES)
                // The leader is not certain, or does not respond: the record is read instead.
                QueryOutcome.NoResponse -> Unit
            }
        }
        return when (val outcome = queries.jobRecord.query(id)) {
            is QueryOutcome.Answered -> outcome.answer.job?.let { found(id, status(it)) } ?: StatusResult.NotFound
            QueryOutcome.Rejected -> StatusResult.Unavailable(JobApi.TOO_MANY_QUERIES)
            QueryOutcome.NoResponse -> StatusResult.Unavailable(JobApi.NO_STATE_SERVICE)
        }
    }

    private fun found(id: String, status: JobStatus): StatusResult {
        if (status.stage != JobStage.ACTIVE) cacheTerminal(id, status)
        return StatusResult.Found(status)
    }

    /**
     * The record of a job in the state service, or null. A record moves from the active keys to the terminal ones and never
     * back, so it is looked up in this order.
     */
    suspend fun readRecord(id: String): StoredJob? {
        val active = node.state.get(Keys.job(id))
        val entry = if (active.value != null) active else node.state.get(Keys.terminalRecord(id))
        return try {
            entry.value?.let { JobCodec.stored(it, entry.version) }
        } catch (e: MalformedException) {
            throw IOException("the record of $id: ${e.message}", e)
        }
    }

    /** The status that follows from the record alone, without the leader's counts of tasks. */
    fun status(job: StoredJob) = JobStatus(job.stage, if (job.stage == JobStage.DONE) job.spec.tasks else 0, 0)

    private companion object {
        const val MAX_TERMINAL_STATUSES = 20_000
    }
}
