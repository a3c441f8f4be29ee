package org.honeyjunction.core.capacity

import org.honeyjunction.core.placement.TaskRow

/** Demands for which no capacity was found, so that the search can be skipped for larger tasks with the same or more restrictions. */
internal class ExhaustedDemands {
    /** No capacity for [sample] was found within [withinS] seconds in [zone], or in any zone if null. */
    private class Demand(val sample: TaskRow, val zone: Int?, val withinS: Double) {
        fun covers(sample: TaskRow, zone: Int?, withinS: Double): Boolean =
            (this.zone == null || this.zone == zone) &&
                this.sample.shape == sample.shape &&
                withinS <= this.withinS &&
                (this.sample.spot || !sample.spot) &&
                this.sample.need.fitsIn(sample.need) &&
                sample.zones and this.sample.zones.inv() == 0L &&
                sample.types and this.sample.types.inv() == 0L
    }

    private val demands = ArrayList<Demand>()

    /** Records that no capacity for [sample] was found within [withinS] seconds in [zone], or in any zone if null. */
    fun record(sample: TaskRow, zone: Int?, withinS: Double = 0.0) {
        demands += Demand(sample, zone, withinS)
    }

    /** Whether a recorded demand implies that there is no capacity for [sample] either. */
    fun covers(sample: TaskRow, zone: Int?, withinS: Double = 0.0): Boolean = demands.any { it.covers(sample, zone, withinS) }

    /** Forgets all recorded demands; needed whenever capacity is added. */
    fun clear() = demands.clear()
}
