package org.honeyjunction.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.io.socketAddress
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import java.io.IOException

/** Asks controllers on behalf of an operator: the first of [addresses] that answers, with retries while it is unavailable or throttles. */
class OperatorClient(private val addresses: List<String>) {
    /** The first answer; throws [IOException] with a message of one line when no controller gives one within some seconds. */
    fun ask(method: String, path: String, body: ByteArray = Response.NO_BODY): Response =
        EventLoop().use { loop ->
            runBlocking {
                var lastError = "nobody answers"
                repeat(ATTEMPTS) { attempt ->
                    for (address in addresses) {
                        try {
                            val response =
                                withContext(loop.scope.coroutineContext) {
                                    HttpClient(ConnectionPool(loop, maxIdle = 1), address).send(method, path, body, TIMEOUT_MS)
                                }
                            if (response.status != 503 && response.status != 429) return@runBlocking response
                            lastError = "$address says to come back: ${why(response)}"
                        } catch (e: IOException) {
                            lastError = e.message ?: "$address does not answer"
                        }
                    }
                    if (attempt < ATTEMPTS - 1) delay(RETRY_MS)
                }
                throw IOException(lastError)
            }
        }

    companion object {
        private const val ATTEMPTS = 5
        private const val RETRY_MS = 1_000L
        private const val TIMEOUT_MS = 5_000L

        /** A client of the addresses in [text], the value of --at; throws [IllegalArgumentException] where one is invalid. */
        fun at(text: String): OperatorClient =
            OperatorClient(text.split(',').map { it.trim().removePrefix("http://").removeSuffix("/") }.onEach { socketAddress(it) })

        /** The error that [response] names, or else its status. */
        fun why(response: Response): String =
            try {
                Json.readObject(response.body).get("error")?.textValue() ?: "status ${response.status}"
            } catch (_: MalformedException) {
                "status ${response.status}"
            }
    }
}

/** Runs a command that reads files and asks controllers: an error is printed in one line and becomes its documented exit status. */
inline fun reporting(run: () -> Int): Int =
    try {
        run()
    } catch (e: MalformedException) {
        complain(e.message!!, Status.BAD_FILE)
    } catch (e: IllegalArgumentException) {
        complain("--at: ${e.message}", Status.USAGE)
    } catch (e: IOException) {
        complain(e.message!!, if (e is BadFileException) Status.BAD_FILE else Status.NO_ANSWER)
    }
