package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable

/**
 * Estimates by first fit, in the order of the calls, which of the waiting tasks fit on the free capacity together.
 *
 * A round gets the rows that fit before all others, so that rows which fit on no machine do not use up its bounds. The work
 * conservation monitor reports tasks that fit by this estimate and that rounds repeatedly fail to place. [skipFetching]: a machine
 * that fetches an image doesn't count for a task that would fetch another one afterwards, since the round lets such a task wait.
 */
class FirstFitEstimate(capacities: List<FreeCapacity>, private val rules: RuleTable, private val skipFetching: Boolean = false) {
    private class Candidate(val capacity: FreeCapacity, var free: Resources, var scene: RuleTable.MachineContext)

    /** Machines with the fewest free GPUs first, which leaves empty machines to gangs. */
    private val candidates =
        capacities.sortedBy { it.free.gpus }.map {
            Candidate(
                it,
                it.free,
                if (rules.empty) RuleTable.MachineContext.EMPTY else it.scene,
            )
        }
    private val jobsWithReservation = capacities.mapNotNullTo(HashSet()) { capacity -> capacity.reservedFor.takeIf { it >= 0 } }

    /** Rows that did not fit next to the reservations so far; a row that requires at least as much does not fit either. */
    private val failed = ArrayList<TaskRow>()

    /** Indices of the machines that have a reservation of this estimate. */
    private val usedMachines = HashSet<Int>()

    /**
     * Selects at most [limit] of [capacities], which bounds the summary of a very large fleet: first the machines with a reservation
     * of this estimate, then the machines that cache an image of [rows].
     */
    fun selectCapacities(capacities: List<FreeCapacity>, rows: List<TaskRow>, limit: Int): List<FreeCapacity> {
        if (capacities.size <= limit) return capacities
        val images = rows.mapTo(HashSet()) { it.image }
        val usedFirst = compareBy<FreeCapacity> { it.machine !in usedMachines }
        return capacities.sortedWith(usedFirst.thenBy { capacity -> capacity.images.none { it in images } }).take(limit)
    }

    /** Reserves capacity for up to [count] tasks like [sample] and returns for how many; for a gang, for all tasks or none. */
    fun reserve(sample: TaskRow, count: Int): Int {
        val hasReservation = sample.job in jobsWithReservation
        if (!hasReservation && failed.any { sample.requiresAtLeast(it) }) return 0
        val reserved = if (sample.oneZone) reserveInOneZone(sample, count) else reserveAmong(candidates, sample, count)
        if (reserved == 0 && !hasReservation) failed += sample
        return reserved
    }

    private fun reserveInOneZone(sample: TaskRow, count: Int): Int {
        val zones = candidates.filter { sample.allows(it.capacity, it.free) }.groupBy { it.capacity.zone }.values
        val largestZone = zones.maxByOrNull { candidatesInZone -> candidatesInZone.sumOf { sample.need.countIn(it.free) } } ?: return 0
        return reserveAmong(largestZone, sample, count)
    }

    private fun reserveAmong(eligible: List<Candidate>, sample: TaskRow, count: Int): Int {
        val chosen = ArrayList<Pair<Candidate, Int>>()
        var remaining = count
        val remainingPerZone = sample.remainingPerZone?.toIntArray()
        for (candidate in eligible) {
            if (remaining == 0) break
            val fittingTasks = tasksThatFit(sample, candidate, remaining, remainingPerZone)
            if (fittingTasks <= 0) continue
            remainingPerZone?.let { it[candidate.capacity.zone] -= fittingTasks }
            remaining -= fittingTasks
            chosen += candidate to fittingTasks
        }
        if (sample.gangSize > 0 && remaining > 0) return 0
        for ((candidate, fittingTasks) in chosen) occupy(candidate, sample, fittingTasks)
        return count - remaining
    }

    private fun tasksThatFit(sample: TaskRow, candidate: Candidate, limit: Int, remainingPerZone: IntArray?): Int {
        if (!sample.allows(candidate.capacity, candidate.free) || skipFetching && sample.fetchesAfter(candidate.capacity)) return 0
        var fits = minOf(limit, sample.need.countIn(candidate.free))
        if (remainingPerZone != null) fits = minOf(fits, remainingPerZone[candidate.capacity.zone])
        return if (rules.empty) fits else permittedByRules(sample, candidate, fits)
    }

    private fun occupy(candidate: Candidate, sample: TaskRow, tasks: Int) {
        candidate.free -= sample.need * tasks
        usedMachines += candidate.capacity.machine
        if (!rules.empty) candidate.scene = candidate.scene.plusTasks(sample.shape, tasks)
    }

    /** How many tasks, up to [limit], the rules allow on the same machine. */
    private fun permittedByRules(sample: TaskRow, candidate: Candidate, limit: Int): Int {
        var allowed = 0
        while (allowed < limit &&
            rules.firstViolation(sample.shape, candidate.scene.plusTasks(sample.shape, allowed), sample.mates) == null
        ) {
            allowed++
        }
        return allowed
    }
}
