package org.honeyjunction.core.control.preemption

import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.PreemptibleTask
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/**
 * A machine on which tasks may be preempted. [capacity] is its free capacity once all stopping tasks have ended, and [running] are
 * its other tasks. A preemption round updates both as it goes.
 */
internal class PreemptionSite(
    val machine: Machine,
    var capacity: FreeCapacity,
    val running: MutableList<PreemptibleTask<Placement>>,
    private val rules: RuleTable,
) {
    /** The running tasks next to which placement rules forbid [row]; null if they forbid [row] on this machine in any case. */
    fun conflicts(row: TaskRow): List<PreemptibleTask<Placement>>? {
        if (row.shape < 0) return emptyList()
        if (forbidden(row, NO_TASKS)) return null
        return running.filter { forbidden(row, intArrayOf(it.task.task.job.shape)) }
    }

    private fun forbidden(row: TaskRow, besideShapes: IntArray): Boolean {
        val scene = RuleTable.MachineContext(capacity.place, besideShapes, capacity.images)
        return rules.firstViolation(row.shape, scene, row.mates) != null
    }

    /** Takes [need] from the free capacity. */
    fun take(need: Resources) {
        capacity = capacity.withFree(capacity.free - need)
    }

    /** Removes [victims] from the running tasks and adds their resources to the free capacity. */
    fun preempt(victims: List<PreemptibleTask<Placement>>) {
        running.removeAll(victims.toSet())
        capacity = capacity.withFree(victims.fold(capacity.free) { sum, victim -> sum + victim.need })
    }

    private companion object {
        val NO_TASKS = IntArray(0)
    }
}

/** A planned start of one task on [site] after stopping [victims], which loses [lostS] seconds of work. */
internal class PreemptionStep(val site: PreemptionSite, val victims: List<PreemptibleTask<Placement>>, val lostS: Double)
