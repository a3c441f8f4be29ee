package org.honeyjunction.io

import kotlinx.coroutines.delay

/**
 * Token bucket that keeps a client within the limit of another service. It starts full.
 *
 * @param ratePerS tokens that are added each second
 * @param burst tokens that the bucket holds at most
 */
class RateLimiter(ratePerS: Double, private val burst: Double, private val clock: Clock) {
    /** Tokens that are added each second. */
    var ratePerS = ratePerS
        private set
    private var tokens = burst
    private var lastRefillAt = clock.steady()

    fun setRate(ratePerS: Double) {
        this.ratePerS = ratePerS
    }

    /**
     * Waits until [count] tokens are there and takes them; only [urgent] callers may use the reserve. More tokens than the
     * bucket holds are taken once it is full, and leave a debt that later callers wait for.
     */
    suspend fun take(count: Int, urgent: Boolean = false) {
        val reservedTokens = if (urgent) 0.0 else burst * RESERVED_SHARE
        while (true) {
            val now = clock.steady()
            tokens = minOf(burst, tokens + (now - lastRefillAt) * ratePerS / 1000)
            lastRefillAt = now
            val needed = minOf(count.toDouble(), burst - reservedTokens)
            if (tokens - needed >= reservedTokens) {
                tokens -= count
                return
            }
            val refillMs = ((needed + reservedTokens - tokens) * 1000 / ratePerS).toLong()
            delay(refillMs.coerceAtLeast(MIN_DELAY_MS))
        }
    }

    private companion object {
        /** Part of the burst that is kept for urgent callers. */
        const val RESERVED_SHARE = 0.15
        const val MIN_DELAY_MS = 2L
    }
}
