package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources

/** A task that runs, as preemption sees it: what stopping it would free and lose. */
class Running<T>(
    val of: T,
    val machine: Int,
    val team: Int,
    val priority: Priority,
    val guaranteed: Boolean,
    val need: Resources,
    val lostS: Double,
)

object Preemption {
    /** Lower priority makes room for higher; borrowed work of another team makes room for a guarantee. */
    fun <T> mayStop(row: Row, victim: Running<T>): Boolean =
        victim.priority < row.priority || row.guaranteed && victim.team != row.team && !victim.guaranteed

    /**
     * The victims on the one machine where stopping them loses least, together with the wait that [delayS] tells; none
     * if no machine could be freed.
     */
    fun <T> victims(
        row: Row,
        rooms: List<Room>,
        running: Map<Int, List<Running<T>>>,
        delayS: (Int, Row) -> Double = { _, _ -> 0.0 },
    ): List<Running<T>> =
        rooms.mapNotNull { room -> onMachine(row, room, running[room.machine].orEmpty()) }
            .minByOrNull { chosen -> chosen.sumOf { it.lostS } + delayS(chosen.first().machine, row) }
            .orEmpty()

    private fun <T> onMachine(row: Row, room: Room, running: List<Running<T>>): List<Running<T>>? {
        var free = room.free
        val chosen = ArrayList<Running<T>>()
        val candidates = running.filter { mayStop(row, it) }.sortedWith(compareBy({ it.priority }, { it.lostS }))
        for (victim in candidates) {
            if (row.need.fitsIn(free)) break
            chosen += victim
            free += victim.need
        }
        return chosen.takeIf { it.isNotEmpty() && row.allows(room.withFree(free)) }
    }
}
