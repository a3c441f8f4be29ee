package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable

/**
 * Estimates, by first fit in the given order, which waiting tasks there is room for when all are taken together.
 *
 * A round is given the rows that fit before all others, so that rows that nothing can take do not fill its bounds; what it goes on
 * not placing of them is what the work conservation monitor reports. [skipFetching]: a machine that fetches an image is no room for a
 * task that would fetch after that, since the round lets such a task wait.
 */
class FirstFitEstimate(rooms: List<FreeCapacity>, private val rules: RuleTable, private val skipFetching: Boolean = false) {
    private class Site(val room: FreeCapacity, var free: Resources, var scene: RuleTable.MachineContext)

    /** Fuller machines first, which leaves whole ones to gangs. */
    private val sites =
        rooms.sortedBy { it.free.gpus }.map {
            Site(
                it,
                it.free,
                if (rules.empty) RuleTable.MachineContext.EMPTY else it.scene,
            )
        }
    private val jobsWithReservation = rooms.mapNotNullTo(HashSet()) { room -> room.heldFor.takeIf { it >= 0 } }

    /** Rows that did not fit beside those before: what asks for the same or more does not fit either. */
    private val failed = ArrayList<TaskRow>()

    /** Indices of the machines that something was counted into. */
    private val used = HashSet<Int>()

    /**
     * At most [most] of [rooms], which bounds the summary of a very large fleet: machines that something was counted into come first,
     * then those that cache an image of [rows].
     */
    fun bounded(rooms: List<FreeCapacity>, rows: List<TaskRow>, most: Int): List<FreeCapacity> {
        if (rooms.size <= most) return rooms
        val images = rows.mapTo(HashSet()) { it.image }
        val usedFirst = compareBy<FreeCapacity> { it.machine !in used }
        return rooms.sortedWith(usedFirst.thenBy { room -> room.images.none { it in images } }).take(most)
    }

    /** Takes room for [count] tasks like [sample] beside those before and returns for how many there was; of a gang all or none. */
    fun take(sample: TaskRow, count: Int): Int {
        val hasReservation = sample.job in jobsWithReservation
        if (!hasReservation && failed.any { sample.noEasierThan(it) }) return 0
        val taken = if (sample.oneZone) takeInOneZone(sample, count) else takeAmong(sites, sample, count)
        if (taken == 0 && !hasReservation) failed += sample
        return taken
    }

    private fun takeInOneZone(sample: TaskRow, count: Int): Int {
        val zones = sites.filter { sample.allows(it.room, it.free) }.groupBy { it.room.zone }.values
        val roomiest = zones.maxByOrNull { there -> there.sumOf { sample.need.countIn(it.free) } } ?: return 0
        return takeAmong(roomiest, sample, count)
    }

    private fun takeAmong(among: List<Site>, sample: TaskRow, count: Int): Int {
        val chosen = ArrayList<Pair<Site, Int>>()
        var left = count
        val zoneRoom = sample.zoneRoom?.toIntArray()
        for (site in among) {
            if (left == 0) break
            val here = fitting(sample, site, left, zoneRoom)
            if (here <= 0) continue
            zoneRoom?.let { it[site.room.zone] -= here }
            left -= here
            chosen += site to here
        }
        if (sample.gangOf > 0 && left > 0) return 0
        for ((site, here) in chosen) occupy(site, sample, here)
        return count - left
    }

    private fun fitting(sample: TaskRow, site: Site, most: Int, zoneRoom: IntArray?): Int {
        if (!sample.allows(site.room, site.free) || skipFetching && sample.fetchesAfter(site.room)) return 0
        var fits = minOf(most, sample.need.countIn(site.free))
        if (zoneRoom != null) fits = minOf(fits, zoneRoom[site.room.zone])
        return if (rules.empty) fits else permittedByRules(sample, site, fits)
    }

    private fun occupy(site: Site, sample: TaskRow, tasks: Int) {
        site.free -= sample.need * tasks
        used += site.room.machine
        if (!rules.empty) site.scene = site.scene.plusTasks(sample.shape, tasks)
    }

    /** How many of [most] tasks the rules allow beside one another. */
    private fun permittedByRules(sample: TaskRow, site: Site, most: Int): Int {
        var permitted = 0
        while (permitted < most &&
            rules.firstViolation(sample.shape, site.scene.plusTasks(sample.shape, permitted), sample.mates) == null
        ) {
            permitted++
        }
        return permitted
    }
}
