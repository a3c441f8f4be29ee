package org.honeyjunction.app

import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.io.Clock
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.io.NoResponseException
import org.honeyjunction.io.RateLimiter
import org.honeyjunction.wire.CloudCodec
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import java.io.IOException

/**
 * The client of the cloud service that rents out machines. Stays below the cloud's rate limit of [requestsPerS]. All calls throw
 * [IOException] if the cloud rejects a request or does not respond; the cloud may have executed the request all the same.
 */
class CloudClient(loop: EventLoop, address: String, requestsPerS: Double, clock: Clock) {
    /** The cloud's response to a request to rent machines. */
    sealed interface ScaleOutResult {
        /** The cloud rented out the machines of these names. */
        class Started(val machines: List<String>) : ScaleOutResult

        /** The cloud has no machine of the requested type at present, or rejects the request. */
        data object NoCapacity : ScaleOutResult
    }

    private val http = HttpClient(ConnectionPool(loop, maxIdle = 3), address)
    private val budget = RateLimiter(requestsPerS * BUDGET_SHARE, requestsPerS * 2 * BUDGET_SHARE, clock)

    /** The machine types that the cloud offers, as JSON. */
    suspend fun machineTypes(): ByteArray = requireOk(send("GET", "/machine_types")).body

    /** Rents machines. The request is sent only if [mayStillAct] returns true immediately before. */
    suspend fun scaleOut(request: Effect.ScaleOut, mayStillAct: () -> Boolean): ScaleOutResult {
        val response = send("POST", "/rentals", CloudCodec.scaleOut(request), urgent = true, mayStillAct)
        return when {
            response.status == 200 -> ScaleOutResult.Started(parse { CloudCodec.readNames(response.body) })
            response.status == 503 && "no capacity" in String(response.body) -> ScaleOutResult.NoCapacity
            response.status == 400 -> ScaleOutResult.NoCapacity
            else -> throw NoResponseException("cloud: ${response.status}")
        }
    }

    /** Ends the rental of machines; [mayStillAct] has the same meaning as for [scaleOut]. */
    suspend fun scaleIn(machines: List<String>, mayStillAct: () -> Boolean) {
        requireOk(send("POST", "/rentals/release", CloudCodec.names(machines), urgent = true, mayStillAct))
    }

    /** Lists one page of the rented machines, ordered by name. The page starts after the machine [after], or with the first one. */
    suspend fun listMachines(after: String?): CloudCodec.Page {
        val since = after?.let { "Since=$it&" }.orEmpty()
        return parse { CloudCodec.instancePage(requireOk(send("GET", "/rentals?${since}Most=500")).body) }
    }

    private suspend fun send(
        method: String,
        path: String,
        body: ByteArray = Response.NO_BODY,
        urgent: Boolean = false,
        mayStillAct: () -> Boolean = { true },
    ): Response {
        budget.take(1, urgent)
        return http.send(method, path, body, TIMEOUT_MS, mayStillAct)
    }

    private fun requireOk(response: Response) = if (response.status == 200) response else throw IOException("cloud: ${response.status}")

    private inline fun <T> parse(read: () -> T): T =
        try {
            read()
        } catch (e: MalformedException) {
            throw IOException("cloud: ${e.message}")
        }

    private companion object {
        /** The share of the cloud's rate limit that a node uses; the rest is for the requests of an overlapping term. */
        const val BUDGET_SHARE = 0.85
        const val TIMEOUT_MS = 4_000L
    }
}
