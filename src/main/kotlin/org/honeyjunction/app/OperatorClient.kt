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

/** Sends an operator's requests to controllers: to each of [addresses] in turn, with retries, until one answers neither 503 nor 429. */
class OperatorClient(private val addresses: List<String>) {
    /** The first response that is neither 503 nor 429; throws [IOException] with a one-line message if all attempts fail. */
    fun ask(method: String, path: String, body: ByteArray = Response.NO_BODY): Response =
        EventLoop().use { loop ->
            runBlocking {
                var lastError = "no controller answers"
                repeat(ATTEMPTS) { attempt ->
                    for (address in addresses) {
                        try {
                            val response =
                                withContext(loop.scope.coroutineContext) {
                                    HttpClient(ConnectionPool(loop, maxIdle = 1), address).send(method, path, body, TIMEOUT_MS)
                                }
                            if (response.status != 503 && response.status != 429) return@runBlocking response
                            lastError = "$address is unavailable for now: ${reason(response)}"
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

        /**
         * A client for the comma-separated addresses in [text], the value of `--at`; throws [IllegalArgumentException] if one is
         * invalid.
         */
        fun at(text: String): OperatorClient =
            OperatorClient(text.split(',').map { it.trim().removePrefix("http://").removeSuffix("/") }.onEach { socketAddress(it) })

        /** Why a request failed: the error message in the body of [response], or its status if the body has none. */
        fun reason(response: Response): String =
            try {
                Json.readObject(response.body).get("error")?.textValue() ?: "status ${response.status}"
            } catch (_: MalformedException) {
                "status ${response.status}"
            }
    }
}

/** Runs a command that reads files and asks controllers. An error is printed as one line and mapped to its documented exit status. */
inline fun withErrorReporting(run: () -> Int): Int =
    try {
        run()
    } catch (e: MalformedException) {
        printError(e.message!!, ExitStatus.BAD_FILE)
    } catch (e: IllegalArgumentException) {
        printError("--at: ${e.message}", ExitStatus.USAGE)
    } catch (e: IOException) {
        printError(e.message!!, if (e is UnreadableFileException) ExitStatus.BAD_FILE else ExitStatus.NO_ANSWER)
    }
