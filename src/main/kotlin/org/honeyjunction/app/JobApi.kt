package org.honeyjunction.app

import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.PeerMessage
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import java.io.IOException

/**
 * The HTTP API of jobs: submission, status and cancellation. A response is at least as recent as any response that any node
 * sent before the request.
 */
class JobApi(private val node: Node) {
    private val statuses = JobStatusReader(node)
    private val submission = JobSubmission(node, statuses, ::forward)
    private val cancellation = JobCancellation(node, statuses, ::forward)

    /** Counts since the last call, for the statistics in the log. */
    fun statistics() = "${statuses.statistics()}, ${submission.statistics()}"

    /** The response to [request]; [forwarded]: another controller forwarded the request, so it is not forwarded again. */
    suspend fun handle(request: Request, forwarded: Boolean = false): Response {
        val path = request.path
        val id = path.removePrefix(JOBS_PATH).removePrefix("/").removeSuffix(CANCEL_SUFFIX)
        return try {
            when {
                path == JOBS_PATH -> if (request.method == "POST") submission.submit(request, forwarded) else Response(405)
                !JobCodec.isId(id) -> Response(404)
                path.endsWith(CANCEL_SUFFIX) -> if (request.method == "POST") cancellation.cancel(id, forwarded) else Response(405)
                else -> if (request.method == "GET") status(id) else Response(405)
            }
        } catch (e: IOException) {
            node.log.debug("{} {}: {}", request.method, path, e.message)
            node.serviceUnavailable(NO_STATE_SERVICE, id)
        }
    }

    private suspend fun status(id: String): Response =
        when (val result = statuses.read(id)) {
            is StatusResult.Found -> Response(200, JobCodec.statusResponse(id, result.status, counts = true))
            StatusResult.NotFound -> Response(404)
            is StatusResult.Unavailable -> node.serviceUnavailable(result.reason, id)
        }

    /** Whether a job of this id was ever accepted. */
    suspend fun wasAccepted(id: String): Boolean = statuses.certainStatus(id) != null || statuses.readRecord(id) != null

    /** Forwards [request] to the leader. Returns the leader's response, or null if there is none. */
    suspend fun forward(request: Request): Response? {
        val message = PeerMessage.ForwardedRequest(request.method, request.path, request.body)
        val response = node.askLeader(message, FORWARD_TIMEOUT_MS) as? PeerMessage.ForwardedResponse ?: return null
        return Response(response.status, response.body, response.retryAfterS.takeIf { it > 0 })
    }

    companion object {
        /** The path of all jobs; a job's own path appends its id. */
        const val JOBS_PATH = "/v2/runs"

        /** Appended to a job's path to cancel the job. */
        const val CANCEL_SUFFIX = "/cancel"

        /** The error of requests that need the state service while it does not respond to this node. */
        const val NO_STATE_SERVICE = "the state service does not answer this node"

        /** The error of requests that need the leader while no node is certain to lead. */
        const val NO_LEADER = "no node is sure to hold the term"

        /** The error of requests that were rejected because too many queries are queued. */
        const val TOO_MANY_QUERIES = "too many questions are waiting"
        private const val FORWARD_TIMEOUT_MS = 1_500L
    }
}
