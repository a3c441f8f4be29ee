package org.honeyjunction.core.admission

import kotlin.math.exp

/**
 * Measures how many jobs a second of each traffic class are submitted to this node, as an exponentially weighted moving
 * average with the time constant [TIME_CONSTANT_MS]. A retry after a rejection counts as demand again. Memory
 * is bounded: beyond [MAX_CLASSES] the class with the smallest rate is evicted. Times are steady milliseconds.
 */
class DemandMeter {
    private class Rate(var urgent: Boolean, var jobsPerS: Double, var updatedAt: Long)

    private val rates = LinkedHashMap<TrafficClass, Rate>()

    /** Counts one submission of [trafficClass]. */
    fun record(trafficClass: TrafficClass, urgent: Boolean, now: Long) {
        val rate =
            rates[trafficClass] ?: Rate(urgent, 0.0, now).also {
                if (rates.size >= MAX_CLASSES) rates.remove(rates.minBy { (_, candidate) -> decayed(candidate, now) }.key)
                rates[trafficClass] = it
            }
        rate.jobsPerS = decayed(rate, now) + 1000.0 / TIME_CONSTANT_MS
        rate.updatedAt = now
        rate.urgent = urgent
    }

    private fun decayed(rate: Rate, now: Long) = rate.jobsPerS * exp(-(now - rate.updatedAt).coerceAtLeast(0) / TIME_CONSTANT_MS)

    /** The current demand by class, largest first; classes whose rate has decayed below [IDLE_PER_S] are dropped. */
    fun demand(now: Long): List<Demand> {
        rates.values.removeIf { decayed(it, now) < IDLE_PER_S }
        return rates
            .map { (trafficClass, rate) -> Demand(trafficClass, rate.urgent, decayed(rate, now)) }
            .sortedByDescending { it.jobsPerS }
    }

    companion object {
        /** The number of traffic classes that are measured at the same time. */
        const val MAX_CLASSES = 64
        private const val TIME_CONSTANT_MS = 3_000.0
        private const val IDLE_PER_S = 0.01
    }
}
