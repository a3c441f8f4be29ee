package org.honeyjunction.core.capacity

import org.honeyjunction.core.placement.TaskRow
import kotlin.math.ceil

/**
 * Tasks that are expected to arrive while an instance boots. If [hasStartObjective], their class has a start-time objective, and
 * instances are rented before the tasks arrive; for other classes idle machines are kept, but no instance is rented in advance. If
 * [scaleOutTooSlow], an instance rented on arrival would miss the objective, so that machines are reserved from work of the lowest
 * priority.
 */
class ExpectedDemand(val demand: TaskDemand, val hasStartObjective: Boolean, val scaleOutTooSlow: Boolean = false)

/**
 * Forecasts the arrivals of each job class in the time that an instance takes to boot, from those in the last [windowMs]. Times
 * are monotonic milliseconds.
 */
class Forecast(private val windowMs: Long) {
    private class Arrival(val at: Long, val demand: TaskDemand)

    private val arrivalsOf = HashMap<Int, ArrayDeque<Arrival>>()

    /** Records that the tasks of [demand], of [jobClass], arrived at [now]. */
    fun recordArrival(jobClass: Int, demand: TaskDemand, now: Long) {
        arrivalsOf.getOrPut(jobClass, ::ArrayDeque).addLast(Arrival(now, demand))
    }

    /**
     * The tasks expected within [horizonMs], multiplied by [factor], the highest priority first. [hasStartObjective] and [scaleOutTooSlow]
     * give the properties of [ExpectedDemand] with the same names for a job class.
     */
    fun expected(
        now: Long,
        horizonMs: Long,
        factor: Double,
        hasStartObjective: (Int) -> Boolean,
        scaleOutTooSlow: (Int, TaskRow) -> Boolean = { _, _ -> false },
    ): List<ExpectedDemand> =
        arrivalsOf.entries
            .mapNotNull { (jobClass, arrivals) ->
                while (arrivals.isNotEmpty() && arrivals.first().at < now - windowMs) arrivals.removeFirst()
                val latest = arrivals.lastOrNull()?.demand ?: return@mapNotNull null
                val count = ceil(usualCount(arrivals, now) * factor * horizonMs / windowMs).toInt()
                val demand = TaskDemand(latest.sample, count, latest.runS)
                ExpectedDemand(demand, hasStartObjective(jobClass), scaleOutTooSlow(jobClass, latest.sample))
            }.sortedByDescending { it.demand.sample.priority }

    /**
     * The number of tasks that usually arrive in one window. The busiest part of the window is left out, since a burst, as after the
     * start of the cluster, does not predict later arrivals. A history shorter than the window is not extrapolated.
     */
    private fun usualCount(arrivals: ArrayDeque<Arrival>, now: Long): Double {
        val countByPart = IntArray(PARTS)
        for (arrival in arrivals) {
            val part = ((now - arrival.at) * PARTS / windowMs).toInt().coerceIn(0, PARTS - 1)
            countByPart[part] += arrival.demand.count
        }
        return (countByPart.sum() - countByPart.max()) * PARTS.toDouble() / (PARTS - 1)
    }

    private companion object {
        /** The number of equal parts that the window is divided into. */
        const val PARTS = 6
    }
}
