package org.honeyjunction.app.leader

import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.WorkerCodec
import org.slf4j.LoggerFactory
import java.io.IOException

/** Sends a leader's commands to the workers, and passes their responses to the leader. */
internal class CommandSender(private val context: TermContext, loop: EventLoop) {
    private val log = LoggerFactory.getLogger(CommandSender::class.java)
    private val connections = ConnectionPool(loop, context.leader.state.cluster.maxCommandsInFlight, maxIdlePerAddress = 1)

    /** Sends the commands of [effect] to its worker, and reports to the leader whether the worker executed them. */
    suspend fun sendCommands(effect: Effect.Send) {
        val leader = context.leader
        try {
            val response = post(effect)
            val now = context.clock.steady()
            when (response.status) {
                200 -> leader.commandExecuted(effect.id, WorkerCodec.heartbeat(response.body), now)
                409 -> leader.commandRejected(effect.id, WorkerCodec.heartbeat(response.body), now)
                else -> leader.commandUnanswered(effect.id, now)
            }
        } catch (e: IOException) {
            log.debug("failed to send commands to {}: {}", effect.machine, e.message)
            leader.commandUnanswered(effect.id, context.clock.steady())
        } catch (e: MalformedException) {
            log.warn("malformed response to commands from {}: {}", effect.machine, e.message)
            leader.commandUnanswered(effect.id, context.clock.steady())
        }
        context.executeEffects()
    }

    /** Commands that are safe to repeat may also be sent without a lease. */
    private suspend fun post(effect: Effect.Send) =
        HttpClient(connections, effect.address, bodyLimit = MAX_RESPONSE_BYTES).send(
            "POST",
            "/commands",
            WorkerCodec.commands(effect.token, effect.session, effect.commands),
            RESPONSE_TIMEOUT_MS,
            context.mayStillAct(withinLease = !effect.startsNothing),
        )

    /** Closes the connections to all workers. */
    fun close() = connections.closeAll()

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 2_000L
        const val MAX_RESPONSE_BYTES = 256 * 1024
    }
}
