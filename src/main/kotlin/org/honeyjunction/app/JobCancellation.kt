package org.honeyjunction.app

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response

/** Cancels jobs at the leader. The response is sent once the job's terminal record is durable. */
internal class JobCancellation(
    private val node: Node,
    private val statuses: JobStatusReader,
    private val forward: suspend (Request) -> Response?,
) {
    /** Cancels job [id]; [forwarded]: another controller forwarded the request, so it is not forwarded again. */
    suspend fun cancel(id: String, forwarded: Boolean): Response {
        statuses.terminalStatus(id)?.let { return terminalResponse(id, it) }
        val driver = node.driverWithLease ?: return forwardToLeader(id, forwarded)
        var stage = driver.cancel(id)
        if (stage == null) {
            // This leader has not seen the job yet; another node may have accepted the job a moment ago.
            val job = statuses.readRecord(id) ?: return Response(404)
            if (job.stage != JobStage.ACTIVE) return terminalResponse(id, statuses.status(job))
            driver.leader.jobObserved(job, node.clock.steady(), node.clock.wall())
            stage = driver.cancel(id) ?: return serviceUnavailable(JobApi.NO_LEADER)
        }
        return awaitTerminalRecord(id, driver, stage)
    }

    private suspend fun forwardToLeader(id: String, forwarded: Boolean): Response {
        if (forwarded) return serviceUnavailable(JobApi.NO_LEADER)
        val request = Request("POST", "${JobApi.JOBS_PATH}/$id${JobApi.CANCEL_SUFFIX}", Response.NO_BODY)
        return forward(request) ?: serviceUnavailable(JobApi.NO_LEADER)
    }

    private suspend fun awaitTerminalRecord(id: String, driver: LeaderDriver, stage: CompletableDeferred<JobStage>): Response {
        withTimeoutOrNull(CANCEL_TIMEOUT_MS) { stage.join() }
        // The deferred stage is cancelled if the term ends first; the user's retry then goes to the next leader.
        if (!stage.isCompleted || stage.isCancelled) return serviceUnavailable("the cancellation is being written")
        val status = JobStatus(stage.await(), driver.leader.status(id)?.done ?: 0, 0)
        statuses.cacheTerminal(id, status)
        return terminalResponse(id, status)
    }

    private fun terminalResponse(id: String, status: JobStatus) = Response(200, JobCodec.statusResponse(id, status, counts = false))

    private companion object {
        const val CANCEL_TIMEOUT_MS = 3_000L
    }
}
