package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.UpcomingCapacity
import org.honeyjunction.core.rules.RuleTable

/** One kind of instance that the cloud rents, by dense indices. */
data class Offer(val type: Int, val zone: Int, val spot: Boolean)

/**
 * Capacity that is there, or will be: a machine that is up or booting, or a requested instance. The planner fills it with tasks.
 * [machine] is the machine's index or [NOT_A_MACHINE], [leaving] what its tasks free when they end.
 */
class Bin(
    val machine: Int,
    val offer: Offer,
    var free: Resources,
    val empty: Boolean,
    leaving: List<UpcomingCapacity> = emptyList(),
    private var scene: RuleTable.MachineContext = RuleTable.MachineContext.EMPTY,
    /** It does not report: work that can wait counts on its recovery, production does not. */
    private val unresponsive: Boolean = false,
) {
    private val leaving = leaving.sortedBy { it.availableInS }.toMutableList()

    /** Whether the plan uses it. */
    var needed = false

    /** Whether a task like [row] may be started here, beside the tasks that are. */
    fun permits(row: TaskRow, rules: ScaleOutPolicy?): Boolean =
        !(unresponsive && row.priority == Priority.PRODUCTION) &&
            (rules == null || row.shape < 0 || rules.table.firstViolation(row.shape, scene, row.mates) == null)

    /** Takes capacity for a task like [row], [fromS] seconds from now. */
    fun take(row: TaskRow, runS: Double?, fromS: Double = 0.0) {
        take(row.need, runS, fromS)
        scene = scene.plusTasks(row.shape)
    }

    /** Takes [need], [fromS] seconds from now, for a task that runs for [runS] seconds and then frees it; null: without end. */
    fun take(need: Resources, runS: Double?, fromS: Double = 0.0) {
        free -= need
        needed = true
        if (runS != null) leaves(need, fromS + runS)
    }

    /** [need] is freed [atS] seconds from now. */
    fun leaves(need: Resources, atS: Double) {
        val later = leaving.indexOfFirst { it.availableInS > atS }
        val position = if (later < 0) leaving.size else later
        leaving.add(position, UpcomingCapacity(atS, need))
    }

    /** In how many seconds, at most [withinS], [need] fits once running tasks have ended; null if not within that time. */
    fun freeFor(need: Resources, withinS: Double): Double? {
        var available = free
        for (upcoming in leaving) {
            if (upcoming.availableInS > withinS) return null
            available += upcoming.resources
            if (need.fitsIn(available)) return upcoming.availableInS
        }
        return null
    }

    companion object {
        /** The [machine] of an instance that was requested, or is planned, and has no index yet. */
        const val NOT_A_MACHINE = -1
    }
}
