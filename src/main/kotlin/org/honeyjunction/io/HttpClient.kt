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
class NoAnswerException(message: String, cause: Throwable? = null) : IOException(message, cause)

/** HTTP client of one address; [connections] may be shared with other addresses. A response's body has [bodyLimit] bytes at most. */
class HttpClient(private val connections: Connections, private val address: String, bodyLimit: Int = 4 * 1024 * 1024) {
    private val limits = HttpLimits(maxBodyBytes = bodyLimit)

    /**
     * Sends one request and waits up to [timeoutMs] for the response.
     *
     * [still] is asked once there is a connection, just before anything is sent: the caller may no longer be entitled to the
     * request by then, for instance because it lost the leader lease.
     *
     * @throws NoAnswerException in every case without a whole response
     */
    suspend fun send(
        method: String,
        path: String,
        body: ByteArray = Response.NO_BODY,
        timeoutMs: Long,
        still: () -> Boolean = { true },
    ): Response =
        try {
            withTimeout(timeoutMs) { exchange(Request(method, path, body), still) }
        } catch (e: TimeoutCancellationException) {
            throw NoAnswerException("no answer from $address within $timeoutMs ms", e)
        } catch (e: NoAnswerException) {
            throw e
        } catch (e: IOException) {
            throw NoAnswerException("no answer from $address: ${e.message}", e)
        }

    private suspend fun exchange(request: Request, still: () -> Boolean): Response {
        val channel = connections.take(address)
        var reusable = false
        try {
            if (!still()) throw NoAnswerException("not sent to $address: it is over")
            channel.write(HttpWriter.request(address, request))
            val message = read(channel)
            val status = message.startLine[1].toIntOrNull() ?: throw IOException("bad status")
            reusable = !message.closesConnection
            if (reusable) connections.keep(address, channel)
            return Response(status, message.body, message.headers["retry-after"]?.toIntOrNull())
        } finally {
            if (!reusable) channel.close()
        }
    }

    private suspend fun read(channel: Link): HttpMessage {
        val parser = HttpParser(HttpParser.Kind.RESPONSE, limits)
        val buffer = ByteBuffer.allocate(BUFFER_BYTES)
        while (true) {
            buffer.clear()
            val count = channel.read(buffer)
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
