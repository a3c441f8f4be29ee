package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources

/** A running task that may be preempted: stopping the task frees [need] and loses [lostWorkS] seconds of work. */
class PreemptibleTask<T>(
    val task: T,
    val machine: Int,
    val team: Int,
    val priority: Priority,
    val guaranteed: Boolean,
    val need: Resources,
    val lostWorkS: Double,
)

/** Pure functions that choose the running tasks to preempt for a waiting task. */
object Preemption {
    /**
     * Whether [row] may preempt [victim]: a task may preempt lower priorities and, within its own team's guarantee, tasks of other teams
     * that exceed their guarantees.
     */
    fun <T> mayPreempt(row: TaskRow, victim: PreemptibleTask<T>): Boolean =
        victim.priority < row.priority || row.guaranteed && victim.team != row.team && !victim.guaranteed

    /** The tasks of [running] to stop so that [row] fits in [free] and what they free; null if stopping all of them is not enough. */
    fun <T> victims(row: TaskRow, free: Resources, running: List<PreemptibleTask<T>>): List<PreemptibleTask<T>>? {
        var available = free
        val chosen = ArrayList<PreemptibleTask<T>>()
        for (victim in running.filter { mayPreempt(row, it) }.sortedWith(compareBy({ it.priority }, { it.lostWorkS }))) {
            if (row.need.fitsIn(available)) break
            chosen += victim
            available += victim.need
        }
        return chosen.takeIf { row.need.fitsIn(available) }
    }
}
