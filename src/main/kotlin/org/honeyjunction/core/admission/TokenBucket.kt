package org.honeyjunction.core.admission

import kotlin.math.exp

/**
 * The token bucket of one traffic class, with one token per admitted job, and a decaying count of the rejected jobs of the class. Times
 * are steady milliseconds.
 */
internal class TokenBucket(private var tokens: Double, now: Long) {
    /** The time of the last refill. */
    var refilledAt = now
        private set
    private var rejections = 0.0
    private var rejectedAt = now

    /** Whether at least one whole token is available. */
    val hasToken: Boolean get() = tokens >= 1

    /** Adds the tokens accrued at [ratePerS] since the last refill, up to [capacity]. */
    fun refill(ratePerS: Double, capacity: Double, now: Long) {
        tokens = minOf(capacity, tokens + (now - refilledAt) / 1000.0 * ratePerS)
        refilledAt = now
    }

    /** Removes one token. */
    fun take() {
        tokens -= 1
    }

    /** Counts a rejected job and returns the decaying number of recent rejections, which includes retries that were rejected again. */
    fun recordRejection(now: Long): Double {
        rejections = rejections * exp(-(now - rejectedAt) / REJECTION_TIME_CONSTANT_MS) + 1
        rejectedAt = now
        return rejections
    }

    private companion object {
        const val REJECTION_TIME_CONSTANT_MS = 10_000.0
    }
}
