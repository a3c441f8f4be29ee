package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.UpcomingCapacity
import org.honeyjunction.core.rules.RuleTable

/** An instance offer of the cloud: the dense indices of instance type and zone, and whether it is a spot instance. */
data class Offer(val type: Int, val zone: Int, val spot: Boolean)

/**
 * A bin for bin packing: a machine that is up or booting, or a requested or planned instance. [machine] is the index of the machine,
 * or [NOT_A_MACHINE]; [free] is the free capacity, [empty] says that no task runs there, and [upcoming] is the capacity that running
 * tasks will free when they end.
 */
class Bin(
    val machine: Int,
    val offer: Offer,
    var free: Resources,
    val empty: Boolean,
    upcoming: List<UpcomingCapacity> = emptyList(),
    private var scene: RuleTable.MachineContext = RuleTable.MachineContext.EMPTY,
    /** Whether the machine has missed its heartbeats: work that can wait counts on its recovery, production work does not. */
    private val unresponsive: Boolean = false,
) {
    private val upcoming = upcoming.sortedBy { it.availableInS }.toMutableList()

    /** Whether the plan uses this bin. */
    var needed = false

    /** Whether a task like [row] may be started here, next to the tasks that already are. */
    fun permits(row: TaskRow, rules: ScaleOutPolicy?): Boolean =
        !(unresponsive && row.priority == Priority.PRODUCTION) &&
            (rules == null || row.shape < 0 || rules.table.firstViolation(row.shape, scene, row.mates) == null)

    /** Takes the need of one task like [row], as the other overload does, and adds the task to what placement rules see. */
    fun take(row: TaskRow, runS: Double?, fromS: Double = 0.0) {
        take(row.need, runS, fromS)
        scene = scene.plusTasks(row.shape)
    }

    /**
     * Takes [need], [fromS] seconds from now, for a task that frees it after running for [runS] seconds; null if the task runs without
     * end.
     */
    fun take(need: Resources, runS: Double?, fromS: Double = 0.0) {
        free -= need
        needed = true
        if (runS != null) addUpcoming(need, fromS + runS)
    }

    /** Adds [need] to the upcoming capacity, as freed [atS] seconds from now. */
    fun addUpcoming(need: Resources, atS: Double) {
        val later = upcoming.indexOfFirst { it.availableInS > atS }
        val position = if (later < 0) upcoming.size else later
        upcoming.add(position, UpcomingCapacity(atS, need))
    }

    /** The seconds until enough running tasks have ended for [need] to fit; null if that takes more than [withinS] seconds. */
    fun freeFor(need: Resources, withinS: Double): Double? {
        var available = free
        for (freed in upcoming) {
            if (freed.availableInS > withinS) return null
            available += freed.resources
            if (need.fitsIn(available)) return freed.availableInS
        }
        return null
    }

    companion object {
        /** The value of [machine] for a requested or planned instance, which has no index yet. */
        const val NOT_A_MACHINE = -1
    }
}
