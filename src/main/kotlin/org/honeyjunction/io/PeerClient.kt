package org.honeyjunction.io

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.PeerMessage
import java.io.IOException

/** Client of one peer controller. Concurrent requests use separate connections; at most [MAX_IDLE] are kept when idle. */
class PeerClient(private val loop: EventLoop, private val address: String) {
    private val idle = ArrayDeque<PeerConnection>()

    /**
     * Sends [request] and waits up to [timeoutMs] for its response, including the time to connect.
     *
     * @throws NoResponseException when no valid response arrived in time; the request may have been executed
     * @throws IOException when the connection failed; the request may have been executed
     */
    suspend fun ask(request: PeerMessage, timeoutMs: Long): PeerMessage {
        var connection = idle.removeLastOrNull()
        var reusable = false
        try {
            return withTimeout(timeoutMs) {
                val current = connection ?: PeerConnection(loop.connect(address)).also { connection = it }
                current.write(request)
                val response = current.read() ?: throw IOException("closed")
                reusable = true
                response
            }
        } catch (e: TimeoutCancellationException) {
            throw NoResponseException("peer $address did not answer", e)
        } catch (e: MalformedException) {
            throw NoResponseException("peer $address: ${e.message}", e)
        } finally {
            connection?.let { release(it, reusable) }
        }
    }

    private fun release(connection: PeerConnection, reusable: Boolean) {
        if (reusable && idle.size < MAX_IDLE) idle.addLast(connection) else connection.close()
    }

    private companion object {
        const val MAX_IDLE = 4
    }
}
