package org.honeyjunction.io

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.honeyjunction.wire.HttpLimits
import org.honeyjunction.wire.HttpMessage
import org.honeyjunction.wire.HttpParser
import org.honeyjunction.wire.HttpWriter
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.ByteBuffer

/**
 * HTTP/1.1 server without pipelining; a coroutine serves each connection.
 *
 * @param maxConnections maximum number of open connections; see [SocketBudget]
 * @param isWorkerRequest whether a request comes from a worker, whose connection may be closed to keep sockets free for users
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param handle answers a request; an [IllegalStateException] becomes status 500
 */
class HttpServer(
    private val loop: EventLoop,
    private val maxConnections: Int,
    private val isWorkerRequest: (Request) -> Boolean,
    private val maxBodyBytes: Int = HttpLimits().maxBodyBytes,
    private val handle: suspend (Request) -> Response,
) {
    private val log = LoggerFactory.getLogger(HttpServer::class.java)
    private val budget = SocketBudget<Connection>(maxConnections)

    /** Open connections now and at the peak, for the log. */
    val statistics get() = "${budget.open} connections, at most ${budget.peak} of $maxConnections"

    /** Starts to accept connections at [address]. */
    fun listen(address: String): Listener {
        val server = loop.listen(address)
        loop.scope.launch { acceptAll(server, this) }
        return server
    }

    private suspend fun acceptAll(server: Listener, scope: CoroutineScope) {
        while (server.isOpen) {
            val connection =
                try {
                    server.accept()
                } catch (e: IOException) {
                    // The process is probably out of sockets; the listener itself is still usable.
                    log.debug("accept failed: {}", e.message)
                    delay(ACCEPT_RETRY_MS)
                    continue
                }
            if (admit(connection)) scope.launch { serveUntilClosed(connection) }
        }
    }

    /** Admits [connection], evicting another one if necessary; closes [connection] and returns false if it is rejected. */
    private fun admit(connection: Connection): Boolean {
        when (val admission = budget.admit(connection)) {
            is SocketBudget.Admission.Rejected -> {
                connection.close()
                return false
            }
            is SocketBudget.Admission.Evicting -> admission.evicted.close()
            is SocketBudget.Admission.Admitted -> Unit
        }
        return true
    }

    private suspend fun serveUntilClosed(connection: Connection) {
        try {
            serve(connection)
        } catch (_: IOException) {
            // The client closed the connection, or did not send a request in time.
        } catch (_: TimeoutCancellationException) {
            // The client does not read the response.
        } finally {
            budget.closed(connection)
            connection.close()
        }
    }

    private suspend fun serve(connection: Connection) {
        val parser = HttpParser(HttpParser.Kind.REQUEST, HttpLimits(maxBodyBytes = maxBodyBytes))
        val buffer = ByteBuffer.allocate(BUFFER_BYTES)
        buffer.flip()
        while (true) {
            when (val outcome = readRequest(connection, parser, buffer) ?: return) {
                is HttpParser.Complete -> {
                    val keepOpen = respond(connection, outcome.message)
                    if (!keepOpen) return
                }
                is HttpParser.Failed -> {
                    write(connection, Response(outcome.status, close = true))
                    return
                }
                is HttpParser.Incomplete -> Unit
            }
        }
    }

    /** Reads until a request is complete or invalid; null when the client closed the connection. */
    private suspend fun readRequest(connection: Connection, parser: HttpParser, buffer: ByteBuffer): HttpParser.Outcome? {
        var outcome = parser.feed(buffer)
        val deadline = loop.clock.steady() + MESSAGE_TIMEOUT_MS
        while (outcome is HttpParser.Incomplete) {
            buffer.clear()
            val timeoutMs = if (parser.isMidMessage) deadline - loop.clock.steady() else IDLE_TIMEOUT_MS
            val count =
                try {
                    withTimeout(maxOf(timeoutMs, 1)) { connection.read(buffer) }
                } catch (e: TimeoutCancellationException) {
                    throw IOException("the client did not send a request in time", e)
                }
            if (count < 0) return null
            buffer.flip()
            outcome = parser.feed(buffer)
        }
        return outcome
    }

    /** Answers one request; returns whether the connection stays open. */
    private suspend fun respond(connection: Connection, message: HttpMessage): Boolean {
        val request = Request(message.startLine[0], message.startLine[1], message.body)
        budget.requestStarted(connection)
        val response = answer(request)
        val close = message.closesConnection || response.close || !budget.requestFinished(connection, isWorkerRequest(request))
        write(connection, Response(response.status, response.body, response.retryAfterS, close, response.headers))
        return !close
    }

    private suspend fun write(connection: Connection, response: Response) =
        withTimeout(MESSAGE_TIMEOUT_MS) { connection.write(HttpWriter.response(response)) }

    private suspend fun answer(request: Request): Response =
        try {
            handle(request)
        } catch (e: CancellationException) {
            throw e
        } catch (e: IllegalStateException) {
            // A violated invariant fails only this request, not the process.
            log.error("{} {} failed", request.method, request.path, e)
            Response(INTERNAL_ERROR)
        }

    private companion object {
        const val BUFFER_BYTES = 4096

        /**
         * Time limit for receiving a request and for sending a response. For a request the time counts from the end of the
         * previous one, but the limit applies only once its first byte has arrived.
         */
        const val MESSAGE_TIMEOUT_MS = 8_000L

        /** Longest time that a connection may be idle between requests. */
        const val IDLE_TIMEOUT_MS = 120_000L
        const val ACCEPT_RETRY_MS = 50L
        const val INTERNAL_ERROR = 500
    }
}
