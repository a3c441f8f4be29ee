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
class FirstFitEstimate(capacities: List<FreeCapacity>, private val rules: RuleTable, private val skipFetching: Boolean = false) {
    private class Site(val capacity: FreeCapacity, var free: Resources, var scene: RuleTable.Scene)

    /** Fuller machines first, which leaves whole ones to gangs. */
    private val sites =
        capacities.sortedBy { it.free.gpus }.map {
            Site(
                it,
                it.free,
                if (rules.empty) RuleTable.Scene.NOWHERE else it.scene,
            )
        }
    private val jobsWithReservation = capacities.mapNotNullTo(HashSet()) { capacity -> capacity.reservedFor.takeIf { it >= 0 } }

    /** Rows that did not fit beside those before: what asks for the same or more does not fit either. */
    private val failed = ArrayList<TaskRow>()

    /** Indices of the machines that something was counted into. */
    private val used = HashSet<Int>()

    /**
     * At most [most] of [capacities], which bounds the summary of a very large fleet: machines that something was counted into come first,
     * then those that cache an image of [rows].
     */
    fun selectCapacities(capacities: List<FreeCapacity>, rows: List<TaskRow>, most: Int): List<FreeCapacity> {
        if (capacities.size <= most) return capacities
        val images = rows.mapTo(HashSet()) { it.image }
        val usedFirst = compareBy<FreeCapacity> { it.machine !in used }
        return capacities.sortedWith(usedFirst.thenBy { capacity -> capacity.images.none { it in images } }).take(most)
    }

    /** Takes room for [count] tasks like [sample] beside those before and returns for how many there was; of a gang all or none. */
    fun reserve(sample: TaskRow, count: Int): Int {
        val hasReservation = sample.job in jobsWithReservation
        if (!hasReservation && failed.any { sample.requiresAtLeast(it) }) return 0
        val taken = if (sample.oneZone) takeInOneZone(sample, count) else takeAmong(sites, sample, count)
        if (taken == 0 && !hasReservation) failed += sample
        return taken
    }

    private fun takeInOneZone(sample: TaskRow, count: Int): Int {
        val zones = sites.filter { sample.allows(it.capacity, it.free) }.groupBy { it.capacity.zone }.values
        val roomiest = zones.maxByOrNull { there -> there.sumOf { sample.need.countIn(it.free) } } ?: return 0
        return takeAmong(roomiest, sample, count)
    }

    private fun takeAmong(among: List<Site>, sample: TaskRow, count: Int): Int {
        val chosen = ArrayList<Pair<Site, Int>>()
        var left = count
        val remainingPerZone = sample.remainingPerZone?.toIntArray()
        for (site in among) {
            if (left == 0) break
            val here = fitting(sample, site, left, remainingPerZone)
            if (here <= 0) continue
            remainingPerZone?.let { it[site.capacity.zone] -= here }
            left -= here
            chosen += site to here
        }
        if (sample.gangSize > 0 && left > 0) return 0
        for ((site, here) in chosen) occupy(site, sample, here)
        return count - left
    }

    private fun fitting(sample: TaskRow, site: Site, most: Int, remainingPerZone: IntArray?): Int {
        if (!sample.allows(site.capacity, site.free) || skipFetching && sample.fetchesAfter(site.capacity)) return 0
        var fits = minOf(most, sample.need.countIn(site.free))
        if (remainingPerZone != null) fits = minOf(fits, remainingPerZone[site.capacity.zone])
        return if (rules.empty) fits else permittedByRules(sample, site, fits)
    }

    private fun occupy(site: Site, sample: TaskRow, tasks: Int) {
        site.free -= sample.need * tasks
        used += site.capacity.machine
        if (!rules.empty) site.scene = site.scene.with(sample.shape, tasks)
    }

    /** How many of [most] tasks the rules allow beside one another. */
    private fun permittedByRules(sample: TaskRow, site: Site, most: Int): Int {
        var permitted = 0
        while (permitted < most && rules.barred(sample.shape, site.scene.with(sample.shape, permitted), sample.mates) == null) permitted++
        return permitted
    }
}
