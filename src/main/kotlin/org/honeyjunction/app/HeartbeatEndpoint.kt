package org.honeyjunction.app

import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.WorkerCodec
import org.slf4j.LoggerFactory

/**
 * Receives workers' heartbeats: the leader answers with its fencing token and commands, any other node redirects the worker
 * to the leader as far as it knows one that is alive.
 */
internal class HeartbeatEndpoint(private val node: Node, private val candidacy: Candidacy) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val received = RecentCount(WINDOW_MS)

    /** The number of heartbeats that reached this node within the last seconds before [now]. */
    fun recent(now: Long): Int = received.count(now)

    fun handle(request: Request): Response {
        val heartbeat =
            try {
                WorkerCodec.heartbeat(request.body)
            } catch (e: MalformedException) {
                log.debug("report: {}", e.message)
                return Response(400)
            }
        received.note(node.clock.steady())
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

        /** A heartbeat that has grown too large must be answered all the same: only the answer makes it smaller. */
        const val MAX_BYTES = 512 * 1024
        private const val WINDOW_MS = 5_000L
    }
}
