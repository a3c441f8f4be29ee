package org.honeyjunction.io

import kotlinx.coroutines.delay

/**
 * Token bucket that keeps a client within the rate limit of another service. The bucket starts full.
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

    /** Changes the refill rate; tokens that are already in the bucket stay. */
    fun setRate(ratePerS: Double) {
        this.ratePerS = ratePerS
    }

    /**
     * Waits until [count] tokens are available and takes them. Only [urgent] callers may use the reserved share. A request for
     * more tokens than the bucket can hold is granted once the bucket is full, and leaves a negative balance that later callers
     * wait for.
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
        /** Share of the burst that is reserved for urgent callers. */
        const val RESERVED_SHARE = 0.15
        const val MIN_DELAY_MS = 2L
    }
}
