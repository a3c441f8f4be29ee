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

/** Accepts jobs. A submission is idempotent by the job's id: a retry of an accepted one is responded to with the job's status. */
internal class JobSubmission(
    private val node: Node,
    private val statuses: JobStatusReader,
    private val forward: suspend (Request) -> Response?,
) {
    /** Submissions of jobs that had been accepted already, since the last call of [statistics]. */
    private var repeated = 0

    fun statistics() = "$repeated repeated submissions".also { repeated = 0 }

    /**
     * A submission with the id of an accepted job is a query for its status, whatever its body is now: it takes no admission
     * token, changes nothing, and is never rejected as a new job would be. Only a job without a record is validated and
     * admitted.
     */
    suspend fun submit(request: Request, forwarded: Boolean): Response {
        val id = JobCodec.id(request.body) ?: return Response(400, Json.error("not an object with a valid Ref"))
        statuses.certainStatus(id)?.let { return accepted(200, id, it) }
        if (!forwarded && node.stateRefused) {
            // Only this node is cut off from the state service: the leader decides and takes the job.
            return forward(request) ?: node.serviceUnavailable("the state service refuses this node", id)
        }
        return when (val recorded = statuses.isRecorded(id)) {
            is QueryOutcome.Answered -> if (recorded.answer) repeatedSubmission(id) else newSubmission(request, id)
            QueryOutcome.Rejected -> serviceUnavailable(JobApi.TOO_MANY_QUERIES)
            QueryOutcome.NoResponse -> node.serviceUnavailable(JobApi.NO_STATE_SERVICE, id)
        }
    }

    private suspend fun repeatedSubmission(id: String): Response {
        repeated++
        return when (val result = statuses.read(id)) {
            is StatusResult.Found -> accepted(200, id, result.status)
            StatusResult.NotFound -> serviceUnavailable("the job is being written")
            is StatusResult.Unavailable -> node.serviceUnavailable(result.reason, id)
        }
    }

    /** Admission is decided by the head alone, before the rest is parsed: a rejection must be cheap. */
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

    /** Whether the job can ever run on the cluster and under the rules; rules that were not read yet may forbid it. */
    private fun validate(spec: JobSpec): Feasibility {
        val rules = node.rules ?: return node.settings.cluster.checkFeasibility(spec)
        val feasibility = rules.book.checkFeasibility(spec)
        val neverRead = !rules.known && rules.current.version == 0L
        return if (feasibility == Feasibility.Feasible && neverRead) Feasibility.Unknown else feasibility
    }

    private suspend fun record(spec: JobSpec, priority: WritePriority): Response {
        val record = JobCodec.record(spec, node.settings.node, node.clock.wall(), JobStage.ACTIVE)
        val absent = listOf(Condition(Keys.job(spec.id), 0), Condition(Keys.final(spec.id), 0))
        return when (node.state.commit(absent, listOf(Write(Keys.job(spec.id), record)), priority, spec.team)) {
            is CompareAndSwapOutcome.Applied -> accepted(201, spec.id, JobStatus(JobStage.ACTIVE, 0, 0))
            // Accepted by another node a moment ago, or by an earlier attempt of this write.
            CompareAndSwapOutcome.Conflict -> repeatedSubmission(spec.id)
            CompareAndSwapOutcome.Unknown -> node.serviceUnavailable("not known to be written", spec.id)
        }
    }

    private fun accepted(statusCode: Int, id: String, job: JobStatus) =
        Response(statusCode, JobCodec.statusResponse(id, job, counts = false))
}
