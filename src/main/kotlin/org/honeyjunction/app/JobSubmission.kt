package org.honeyjunction.app

import org.honeyjunction.core.admission.AdmissionController.Decision
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.model.Feasibility
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.checkFeasibility
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.WritePriority
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.Write

/** Accepts jobs. A submission is idempotent by the job's id: the response to a retry of an accepted one is the job's status. */
internal class JobSubmission(
    private val node: Node,
    private val statuses: JobStatusReader,
    private val forward: suspend (Request) -> Response?,
) {
    /** The number of submissions of jobs that had been accepted already, since the last call of [statistics]. */
    private var repeatedCount = 0

    /** Counts since the last call, for the statistics in the log. */
    fun statistics() = "$repeatedCount repeated submissions".also { repeatedCount = 0 }

    /**
     * A submission with the id of an accepted job is a query for the job's status, even if its body differs: the submission takes
     * no admission token, changes nothing, and is never rejected as a new job can be. Only a job without a record passes
     * admission control and validation.
     */
    suspend fun submit(request: Request, forwarded: Boolean): Response {
        val id = JobCodec.id(request.body) ?: return Response(400, Json.error("not an object with a valid Ref"))
        statuses.certainStatus(id)?.let { return statusResponse(200, id, it) }
        if (!forwarded && node.refusedByStateService) {
            // Only this node is cut off from the state service: the leader decides, and accepts the job if it is admitted.
            return forward(request) ?: node.serviceUnavailable("the state service refuses this node", id)
        }
        return when (val recorded = statuses.isRecorded(id)) {
            is QueryOutcome.Answered -> if (recorded.answer) repeatedSubmission(id) else newSubmission(request, id)
            QueryOutcome.Rejected -> serviceUnavailable(JobApi.TOO_MANY_QUERIES)
            QueryOutcome.NoResponse -> node.serviceUnavailable(JobApi.NO_STATE_SERVICE, id)
        }
    }

    private suspend fun repeatedSubmission(id: String): Response {
        repeatedCount++
        return when (val result = statuses.read(id)) {
            is StatusResult.Found -> statusResponse(200, id, result.status)
            StatusResult.NotFound -> serviceUnavailable("the job is being written")
            is StatusResult.Unavailable -> node.serviceUnavailable(result.reason, id)
        }
    }

    /** Admission is decided by the job's head alone, before the rest of the body is parsed, so that rejections are cheap. */
    private suspend fun newSubmission(request: Request, id: String): Response {
        val priority =
            when (val decision = node.admission.decide(JobCodec.head(request.body))) {
                is Decision.Rejected -> {
                    return serviceUnavailable(decision.reason, maxOf(decision.retryAfterS, retryAfterS(node.outageMs, id)))
                }
                is Decision.Admitted -> if (decision.withinQuota) WritePriority.WITHIN_QUOTA else WritePriority.BEYOND_QUOTA
            }
        val spec =
            try {
                parse(request.body, id)
            } catch (e: MalformedException) {
                return Response(400, Json.error(e.message!!))
            }
        return when (val feasibility = validate(spec)) {
            Feasibility.Unknown -> serviceUnavailable("not all is known yet that the job must be judged by")
            is Feasibility.Infeasible -> Response(422, Json.error(feasibility.reason))
            Feasibility.Feasible -> record(spec, priority)
        }
    }

    private fun parse(body: ByteArray, id: String): JobSpec {
        val spec = JobCodec.spec(Json.readObject(body))
        if (spec.id != id) throw MalformedException("Ref is given twice")
        return spec
    }

    /** Whether the job can ever run on the cluster under the rules in force; unknown until the rules have been read. */
    private fun validate(spec: JobSpec): Feasibility {
        val rules = node.rules ?: return node.settings.cluster.checkFeasibility(spec)
        val feasibility = rules.book.checkFeasibility(spec)
        val neverRead = !rules.isUpToDate && rules.current.version == 0L
        return if (feasibility == Feasibility.Feasible && neverRead) Feasibility.Unknown else feasibility
    }

    private suspend fun record(spec: JobSpec, priority: WritePriority): Response {
        val record = JobCodec.record(spec, node.settings.node, node.clock.wall(), JobStage.ACTIVE)
        val absent = listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.terminalRecord(spec.id), 0))
        return when (node.state.commit(absent, listOf(Write(Keys.job(spec.id), record)), priority, spec.team)) {
            is CompareAndSwapOutcome.Applied -> statusResponse(201, spec.id, JobStatus(JobStage.ACTIVE, 0, 0))
            // Another node accepted the job a moment ago, or an earlier attempt of this write was applied.
            CompareAndSwapOutcome.Conflict -> repeatedSubmission(spec.id)
            CompareAndSwapOutcome.Unknown -> node.serviceUnavailable("not known to be written", spec.id)
        }
    }

    private fun statusResponse(statusCode: Int, id: String, job: JobStatus) =
        Response(statusCode, JobCodec.statusResponse(id, job, counts = false))
}
