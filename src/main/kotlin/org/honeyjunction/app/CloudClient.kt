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
 * The client of the cloud that machines are rented from. Keeps to its rate limit of [requestsPerS]. All calls throw
 * [IOException] where the cloud refuses or does not answer; whether it carried out the request is unknown then.
 */
class CloudClient(loop: EventLoop, address: String, requestsPerS: Double, clock: Clock) {
    sealed interface ScaleOutResult {
        class Started(val machines: List<String>) : ScaleOutResult

        /** The cloud has no such machine at present, or refuses the request. */
        data object NoCapacity : ScaleOutResult
    }

    private val http = HttpClient(ConnectionPool(loop, maxIdle = 3), address)
    private val budget = RateLimiter(requestsPerS * BUDGET_SHARE, requestsPerS * 2 * BUDGET_SHARE, clock)

    suspend fun machineTypes(): ByteArray = requireOk(send("GET", "/machine_types")).body

    /** Rents machines; [mayStillAct] is asked at the last moment before the request is sent. */
    suspend fun scaleOut(request: Effect.ScaleOut, mayStillAct: () -> Boolean): ScaleOutResult {
        val response = send("POST", "/rentals", CloudCodec.scaleOut(request), urgent = true, mayStillAct)
        return when {
            response.status == 200 -> ScaleOutResult.Started(parse { CloudCodec.readNames(response.body) })
            response.status == 503 && "no capacity" in String(response.body) -> ScaleOutResult.NoCapacity
            response.status == 400 -> ScaleOutResult.NoCapacity
            else -> throw NoResponseException("cloud: ${response.status}")
        }
    }

    /** Returns machines; [mayStillAct] as with [scaleOut]. */
    suspend fun scaleIn(machines: List<String>, mayStillAct: () -> Boolean) {
        requireOk(send("POST", "/rentals/release", CloudCodec.names(machines), urgent = true, mayStillAct))
    }

    /** One page of the rented machines, ordered by name, [after] the named one or from the first. */
    suspend fun listMachines(after: String?): CloudCodec.Page {
        val since = after?.let { "Since=$it&" }.orEmpty()
        return parse { CloudCodec.page(requireOk(send("GET", "/rentals?${since}Most=500")).body) }
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
        /** The share of the cloud's rate limit that a node uses: the rest is for a term that overlaps with the next. */
        const val BUDGET_SHARE = 0.85
        const val TIMEOUT_MS = 4_000L
    }
}
