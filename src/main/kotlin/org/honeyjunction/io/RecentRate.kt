package org.honeyjunction.io

import kotlin.math.exp

/** Recent rate of events: an exponential moving average with a time constant of five seconds. */
class RecentRate(private val clock: Clock) {
    private var perS = 0.0
    private var updatedAt = clock.steady()

    /** Records [count] events that happen now. */
    fun record(count: Int) {
        perS = perS() + count * 1000 / TIME_CONSTANT_MS
    }

    /** Events a second. */
    fun perS(): Double {
        val now = clock.steady()
        perS *= exp(-(now - updatedAt) / TIME_CONSTANT_MS)
        updatedAt = now
        return perS
    }

    private companion object {
        const val TIME_CONSTANT_MS = 5_000.0
    }
}
