package org.honeyjunction.io

import kotlinx.coroutines.delay

/** A token bucket: what another service allows this client a second, with one burst's worth in hand. */
class Budget(perS: Double, private val burst: Double, private val clock: Clock) {
    var perS = perS
        private set
    private var tokens = burst
    private var at = clock.steady()

    fun setRate(rate: Double) {
        perS = rate
    }

    /** Urgent requests may use the last part of the budget, which others leave alone. */
    suspend fun take(count: Int, urgent: Boolean = false) {
        val floor = if (urgent) 0.0 else burst * RESERVED
        while (true) {
            val now = clock.steady()
            tokens = minOf(burst, tokens + (now - at) * perS / 1000)
            at = now
            val needed = minOf(count.toDouble(), burst - floor)
            if (tokens - needed >= floor) {
                tokens -= count
                return
            }
            delay(((needed + floor - tokens) * 1000 / perS).toLong().coerceAtLeast(2))
        }
    }

    private companion object {
        const val RESERVED = 0.15
    }
}
