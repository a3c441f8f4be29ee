package org.honeyjunction.io

import kotlinx.coroutines.delay
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response

/** Sends requests to the key-value store within its request limit, and retries those that it rejected for load. */
internal class KeyValueRequests(loop: EventLoop, address: String, limits: StateLimits, clock: Clock) {
    private val http = HttpClient(ConnectionPool(loop, maxIdle = MAX_CONNECTIONS), address, bodyLimit = MAX_RESPONSE_BYTES)
    private val budget = RateLimiter(limits.requestsPerS * BUDGET_SHARE, limits.requestsPerS * BUDGET_SHARE, clock)

    /**
     * Sends one request; an [urgent] one may use the reserve of the budget.
     *
     * @throws NoResponseException when no response arrived within [timeoutMs]; the request may have been executed
     * @throws StateUnavailableException when the store rejected every attempt for load; none was executed
     */
    suspend fun send(
        method: String,
        path: String,
        body: ByteArray = Response.NO_BODY,
        urgent: Boolean = false,
        timeoutMs: Long = TIMEOUT_MS,
    ): Response {
        repeat(MAX_ATTEMPTS) { attempt ->
            budget.take(1, urgent)
            val response = http.send(method, path, body, timeoutMs)
            // A rejected request was not executed: other nodes used up the store's limit, which recovers with time.
            if (response.status != TOO_MANY_REQUESTS) return response
            delay(BACKOFF_MS * (attempt + 1))
        }
        throw StateUnavailableException("state service: over its limit")
    }

    companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409

        /** The requested revision is no longer in the store's change log. */
        const val GONE = 410
        const val COMMIT = "/commit"
        private const val TOO_MANY_REQUESTS = 429
        private const val MAX_CONNECTIONS = 6
        private const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024

        /** Share of the store's request limit that one node uses. */
        private const val BUDGET_SHARE = 0.8
        private const val TIMEOUT_MS = 1_500L
        private const val MAX_ATTEMPTS = 4

        /** Pause after the first rejected attempt; it grows linearly with each further one. */
        private const val BACKOFF_MS = 120L
    }
}

/** Returns [response] if its status is 200; otherwise throws [StateUnavailableException]. */
internal fun requireOk(response: Response): Response =
    if (response.status == KeyValueRequests.OK) response else throw StateUnavailableException("state service: ${response.status}")

/** Returns the result of [read]; throws [StateUnavailableException] for a malformed response. */
internal inline fun <T> parseResponse(read: () -> T): T =
    try {
        read()
    } catch (e: MalformedException) {
        throw StateUnavailableException("state service: ${e.message}")
    }
