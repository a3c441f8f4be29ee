package org.honeyjunction.app

import org.honeyjunction.app.nomad.NativeStatus
import org.honeyjunction.wire.HttpLimits
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response

/** Routes HTTP requests to their handlers by path. */
internal class RequestRouter(
    private val node: Node,
    private val heartbeats: HeartbeatEndpoint,
    private val nativeStatus: NativeStatus,
    private val rulesApi: RulesApi?,
) {
    /** Handles a request that this node received over HTTP. */
    suspend fun handle(request: Request): Response =
        when (request.path) {
            "/up" -> if (request.method == "GET") readiness() else Response(405)
            HeartbeatEndpoint.PATH -> if (request.method == "POST") heartbeats.handle(request) else Response(405)
            else -> if (request.body.size > HttpLimits().maxBodyBytes) Response(413) else route(request, forwarded = false)
        }

    /** Handles a request of a user or an operator; [forwarded]: another controller received the request and forwarded it. */
    suspend fun route(request: Request, forwarded: Boolean): Response =
        when {
            forwarded && nativeStatus.handles(request.path) -> nativeStatus.answer(request)
            rulesApi != null && rulesApi.handles(request.path) -> rulesApi.handle(request, forwarded)
            request.path == RulesApi.RULES_PATH || request.path.endsWith(RulesApi.EXPLAIN_SUFFIX) -> RulesApi.disabled()
            else -> node.jobApi.handle(request, forwarded)
        }

    /**
     * The readiness probe: 200 if this node knows the machine types and is not cut off from both the state service and all other
     * controllers, otherwise 503.
     */
    private fun readiness(): Response {
        val reachability = node.reachability
        val cutOff =
            reachability.stateServiceUnreachable &&
                node.peers.isNotEmpty() &&
                node.driverWithLease == null &&
                !reachability.refusedByStateService &&
                reachability.isolatedFromPeers
        return Response(if (node.settings.cluster.types.isEmpty() || cutOff) 503 else 200)
    }
}
