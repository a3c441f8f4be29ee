package org.honeyjunction.app

import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.WorkerCodec
import org.slf4j.LoggerFactory

/**
 * Receives workers' heartbeats. The leader responds with its fencing token and commands; any other node redirects the worker to
 * the leader, if it knows a live one.
 */
internal class HeartbeatEndpoint(private val node: Node, private val candidacy: Candidacy) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val received = RecentEventCounter(WINDOW_MS)

    /** The number of heartbeats that reached this node within [WINDOW_MS] before [now]. */
    fun recent(now: Long): Int = received.count(now)

    /** The response to the heartbeat in [request]. */
    fun handle(request: Request): Response {
        val heartbeat =
            try {
                WorkerCodec.heartbeat(request.body)
            } catch (e: MalformedException) {
                log.debug("malformed heartbeat: {}", e.message)
                return Response(400)
            }
        received.record(node.clock.steady())
        candidacy.heartbeatReceived()
        val driver = node.leadership.driver
        val answer = driver?.leader?.answerHeartbeat(heartbeat, node.clock.steady())
        driver?.executeEffects()
        if (answer != null) return Response(200, WorkerCodec.heartbeatResponse(answer.token, answer.commands))
        return redirect()
    }

    private fun redirect(): Response {
        val liveLeader = node.leaderLiveness.reachableLeader(node.clock.steady())
        return Response(421, WorkerCodec.redirect(liveLeader.takeIf { it != node.settings.node }))
    }

    companion object {
        const val PATH = "/hello"

        /** The limit is high, because a heartbeat that has grown large shrinks only once the leader has responded to it. */
        const val MAX_BYTES = 512 * 1024
        private const val WINDOW_MS = 5_000L
    }
}
