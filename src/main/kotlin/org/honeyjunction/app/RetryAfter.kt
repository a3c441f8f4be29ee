package org.honeyjunction.app

import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Response

private const val MIN_RETRY_S = 1
private const val MAX_RETRY_S = 4L
private const val OUTAGE_STEP_MS = 15_000L

/** A 503 response that asks the client to retry after [retryAfterS] seconds. */
internal fun serviceUnavailable(reason: String, retryAfterS: Int = MIN_RETRY_S) =
    Response(503, Json.error(reason), retryAfterS = retryAfterS)

/** A 503 response to a request about the job [id] while the state service is unavailable; see [retryAfterS] for the delay. */
internal fun Node.serviceUnavailable(reason: String, id: String) = serviceUnavailable(reason, retryAfterS(outageMs, id))

/**
 * The seconds after which a client retries during an outage of the state service that has lasted for [outageMs] milliseconds. The
 * delay grows with the outage, since an outage that has lasted long will probably last as long again. The hash of the job's [id]
 * spreads the retries.
 */
internal fun retryAfterS(outageMs: Long, id: String): Int {
    val maxS = (MIN_RETRY_S + outageMs / OUTAGE_STEP_MS).coerceAtMost(MAX_RETRY_S).toInt()
    return MIN_RETRY_S + Math.floorMod(id.hashCode(), maxS)
}
