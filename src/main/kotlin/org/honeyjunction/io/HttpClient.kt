package org.honeyjunction.io

import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.honeyjunction.wire.HttpLimits
import org.honeyjunction.wire.HttpMessage
import org.honeyjunction.wire.HttpParser
import org.honeyjunction.wire.HttpWriter
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import java.io.IOException
import java.nio.ByteBuffer

/** No response arrived: the request may have been executed, or may still be executed later. */
class NoResponseException(message: String, cause: Throwable? = null) : IOException(message, cause)

/**
 * HTTP client for one address; [connections] may be shared with clients of other addresses. A response body may have at most
 * [bodyLimit] bytes.
 */
class HttpClient(private val connections: ConnectionPool, private val address: String, bodyLimit: Int = 4 * 1024 * 1024) {
    private val limits = HttpLimits(maxBodyBytes = bodyLimit)

    /**
     * Sends one request and waits up to [timeoutMs] for the response.
     *
     * [maySend] is called once a connection is open, just before anything is sent: by then the caller may no longer be entitled
     * to send the request, for instance because it lost the leader lease.
     *
     * @throws NoResponseException whenever no complete response arrives
     */
    suspend fun send(
        method: String,
        path: String,
        body: ByteArray = Response.NO_BODY,
        timeoutMs: Long,
        maySend: () -> Boolean = { true },
    ): Response =
        try {
            withTimeout(timeoutMs) { exchange(Request(method, path, body), maySend) }
        } catch (e: TimeoutCancellationException) {
            throw NoResponseException("no answer from $address within $timeoutMs ms", e)
        } catch (e: NoResponseException) {
            throw e
        } catch (e: IOException) {
            throw NoResponseException("no answer from $address: ${e.message}", e)
        }

    private suspend fun exchange(request: Request, maySend: () -> Boolean): Response {
        val connection = connections.acquire(address)
        var reusable = false
        try {
            if (!maySend()) throw NoResponseException("request to $address not sent: the sender is no longer entitled to send it")
            connection.write(HttpWriter.request(address, request))
            val message = read(connection)
            val status = message.startLine[1].toIntOrNull() ?: throw IOException("invalid status code in the response")
            reusable = !message.closesConnection
            if (reusable) connections.release(address, connection)
            return Response(status, message.body, message.headers["retry-after"]?.toIntOrNull())
        } finally {
            if (!reusable) connection.close()
        }
    }

    private suspend fun read(connection: Connection): HttpMessage {
        val parser = HttpParser(HttpParser.Kind.RESPONSE, limits)
        val buffer = ByteBuffer.allocate(BUFFER_BYTES)
        while (true) {
            buffer.clear()
            val count = connection.read(buffer)
            buffer.flip()
            val outcome = if (count < 0) parser.endOfStream() else parser.feed(buffer)
            when (outcome) {
                is HttpParser.Complete -> return outcome.message
                is HttpParser.Failed -> throw IOException(outcome.reason)
                is HttpParser.Incomplete -> Unit
            }
        }
    }

    private companion object {
        const val BUFFER_BYTES = 8192
    }
}
