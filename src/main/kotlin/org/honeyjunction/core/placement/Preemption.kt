package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources

/** A running task as a candidate for preemption: stopping it frees [need] and loses [lostWorkS] seconds of work. */
class PreemptibleTask<T>(
    val task: T,
    val machine: Int,
    val team: Int,
    val priority: Priority,
    val guaranteed: Boolean,
    val need: Resources,
    val lostWorkS: Double,
)

/** Chooses the running tasks to preempt for a waiting one; pure functions. */
object Preemption {
    /** A task may preempt lower priorities, and, within its team's guarantee, other teams' work beyond theirs. */
    fun <T> mayPreempt(row: TaskRow, victim: PreemptibleTask<T>): Boolean =
        victim.priority < row.priority || row.guaranteed && victim.team != row.team && !victim.guaranteed

    /** The victims among [running] that make [free] enough for [row]; null if all of them together do not. */
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
