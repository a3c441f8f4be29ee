package org.honeyjunction.core.control.preemption

import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.PreemptibleTask
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/**
 * A machine on which tasks may be preempted: its free [capacity] as it will be when all tasks that are stopping have gone, and the
 * other tasks that are [running] there. Both change while a preemption round plans.
 */
internal class PreemptionSite(
    val machine: Machine,
    var capacity: FreeCapacity,
    val running: MutableList<PreemptibleTask<Placement>>,
    private val rules: RuleTable,
) {
    /** The running tasks beside which a rule forbids [row]; null where a rule forbids the machine as such. */
    fun conflicts(row: TaskRow): List<PreemptibleTask<Placement>>? {
        if (row.shape < 0) return emptyList()
        if (barred(row, NO_TASKS)) return null
        return running.filter { barred(row, intArrayOf(it.task.task.job.shape)) }
    }

    private fun barred(row: TaskRow, besideShapes: IntArray): Boolean {
        val scene = RuleTable.MachineContext(capacity.place, besideShapes, capacity.images)
        return rules.firstViolation(row.shape, scene, row.mates) != null
    }

    fun take(need: Resources) {
        capacity = capacity.withFree(capacity.free - need)
    }

    fun preempt(victims: List<PreemptibleTask<Placement>>) {
        running.removeAll(victims.toSet())
        capacity = capacity.withFree(victims.fold(capacity.free) { sum, victim -> sum + victim.need })
    }

    private companion object {
        val NO_TASKS = IntArray(0)
    }
}

/** Starts one task on [site] after stopping [victims]; [lostS]: the seconds of work that this costs. */
internal class PreemptionStep(val site: PreemptionSite, val victims: List<PreemptibleTask<Placement>>, val lostS: Double)
