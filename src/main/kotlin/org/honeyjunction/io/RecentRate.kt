package org.honeyjunction.io

import kotlin.math.exp

/** How much a second has happened lately: an average that forgets with a time constant of five seconds. */
class RecentRate(private val clock: Clock) {
    private var perS = 0.0
    private var at = clock.steady()

    fun note(count: Int) {
        perS = perS() + count * 1000 / TAU_MS
    }

    fun perS(): Double {
        val now = clock.steady()
        perS *= exp(-(now - at) / TAU_MS)
        at = now
        return perS
    }

    private companion object {
        const val TAU_MS = 5_000.0
    }
}
