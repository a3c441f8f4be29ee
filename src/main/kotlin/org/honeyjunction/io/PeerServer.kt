package org.honeyjunction.io

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/** Serves requests of other controllers; [answer] computes the response to each request. */
class PeerServer(private val loop: EventLoop, private val answer: suspend (PeerMessage) -> PeerMessage) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)
    private var open = 0

    /** Starts to accept connections at [address]; connections beyond [MAX_CONNECTIONS] are closed at once. */
    fun listen(address: String) {
        val server = loop.listen(address)
        loop.scope.launch {
            while (server.isOpen) {
                val channel =
                    try {
                        server.accept()
                    } catch (e: IOException) {
                        log.debug("accept failed: {}", e.message)
                        delay(ACCEPT_RETRY_MS)
                        continue
                    }
                if (open >= MAX_CONNECTIONS) {
                    channel.close()
                    continue
                }
                open++
                launch { serve(channel) }
            }
        }
    }

    private suspend fun serve(channel: Connection) {
        val connection = PeerConnection(channel)
        try {
            while (true) {
                val request = withTimeout(IDLE_TIMEOUT_MS) { connection.read() } ?: break
                val response = answer(request)
                withTimeout(WRITE_TIMEOUT_MS) { connection.write(response) }
            }
        } catch (e: IOException) {
            log.debug("peer connection ended: {}", e.message)
        } catch (e: MalformedException) {
            log.warn("malformed message from a peer: {}", e.message)
        } catch (_: TimeoutCancellationException) {
            // The connection was idle for too long, or the peer does not read the response.
        } finally {
            open--
            connection.close()
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 64
        const val IDLE_TIMEOUT_MS = 60_000L
        const val WRITE_TIMEOUT_MS = 5_000L
        const val ACCEPT_RETRY_MS = 50L
    }
}
