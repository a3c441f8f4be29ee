package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleCostCache
import org.honeyjunction.core.rules.RuleTable
import java.util.PriorityQueue

/**
 * Chooses a place for the tasks of each job whose rules ask for the same rack, zone or machine type. The cost of such a task on a
 * machine depends on where the job's other tasks run, which an assignment problem can't express. So a place is chosen first, and the
 * assignment computes its costs as if the other tasks ran there. A place is an index of [RuleTable.places].
 */
class ColocationPlanner(private val summary: Summary, private val settings: CostSettings, private val rules: RuleCostCache) {
    private val table = rules.table

    /** A machine's free capacity and its scene, which the rules are evaluated on; computed once for all places that are compared. */
    private class MachineScene(val capacity: FreeCapacity, val scene: RuleTable.MachineContext, val sceneIndex: Int)

    /** A machine and how many of the job's tasks fit on it. */
    private class MachineFit(val machine: MachineScene, val fittingTasks: Int)

    private val machineScenes by lazy(LazyThreadSafetyMode.NONE) {
        summary.capacities.filter { it.place >= 0 }.map { capacity -> capacity.scene.let { MachineScene(capacity, it, rules.contextIndex(it)) } }
    }

    /** The total cost of colocating a job's tasks at [place]; the choice with the fewest [unplaced] tasks is the best. */
    private class Choice(val place: Int, val unplaced: Int, val ruleCost: Double, val fetchGb: Double)

    /**
     * Returns the rows, with the chosen place as the mate of each row whose job is to be colocated. A gang whose preferences no place
     * meets is left out of the round, so that it waits for a better place, until it has waited for [CostSettings.patienceMs].
     */
    fun choose(rows: List<TaskRow>): List<TaskRow> {
        if (rules.empty) return rows
        val jobs = rows.filter { table.hasSameClause(it.shape) && it.mates.isEmpty() }.groupBy { it.job }
        if (jobs.isEmpty()) return rows
        val choices = jobs.mapValues { (_, tasks) -> bestChoice(tasks.first(), tasks.size) }
        return rows.mapNotNull { row ->
            val choice = choices[row.job]
            when {
                choice == null -> row
                row.mayWaitForBetterThan(choice) -> null
                else -> row.copy(mates = listOf(choice.place))
            }
        }
    }

    private fun TaskRow.mayWaitForBetterThan(choice: Choice) = gangSize > 0 && choice.ruleCost > 0 && waitingMs < settings.patienceMs

    /**
     * The place with the lowest total cost for [count] tasks like [sample]. The tasks are interchangeable, so filling the cheapest
     * machines first is optimal for each place. Places with equal values of all requested labels count as one, and at most
     * [MAX_PLACES] are compared, those where the most tasks fit.
     */
    private fun bestChoice(sample: TaskRow, count: Int): Choice? {
        val labels = table.sameLabels(sample.shape)
        val usable =
            machineScenes
                .filter { sample.allows(it.capacity) }
                .map { MachineFit(it, minOf(sample.need.countIn(it.capacity.free), count)) }
        return usable
            .groupBy { candidate -> labels.map { table.places[candidate.machine.capacity.place][it] } }
            .values
            .sortedByDescending { machines -> machines.sumOf { it.fittingTasks } }
            .take(MAX_PLACES)
            .map { machines -> colocationCost(sample, count, usable, machines.first().machine.capacity.place) }
            .minWithOrNull(compareBy<Choice> { it.unplaced }.thenBy { it.ruleCost }.thenBy { it.fetchGb })
    }

    private fun colocationCost(sample: TaskRow, count: Int, candidates: List<MachineFit>, place: Int): Choice {
        val mates = listOf(place)
        val dependsOnNeighbours = table.dependsOnOwnShape(sample.shape)
        // The cheapest cells so far, the most expensive one at the head, so that one comparison rejects most machines.
        val cheapestCells = PriorityQueue(MOST_EXPENSIVE_FIRST)
        for (candidate in candidates) {
            val machine = candidate.machine
            val fetchGb = if (sample.image in machine.capacity.images) 0.0 else sample.imageGb
            for (position in 0 until candidate.fittingTasks) {
                val scene = if (dependsOnNeighbours && position > 0) machine.scene.plusTasks(sample.shape, position) else machine.scene
                val sceneIndex = if (scene === machine.scene) machine.sceneIndex else rules.contextIndex(scene)
                val cell = Cell(rules.cost(sample.shape, scene, sceneIndex, mates), fetchGb)
                val isFull = cheapestCells.size == count
                if (cell.forbidden || isFull && MOST_EXPENSIVE_FIRST.compare(cheapestCells.peek(), cell) >= 0) break
                cheapestCells += cell
                if (cheapestCells.size > count) cheapestCells.poll()
            }
        }
        return Choice(place, count - cheapestCells.size, cheapestCells.sumOf { it.cost }, cheapestCells.sumOf { it.fetchGb })
    }

    /** The cost of one task on one machine. */
    private class Cell(val cost: Double, val fetchGb: Double) {
        val forbidden get() = cost == Double.POSITIVE_INFINITY
    }

    companion object {
        private const val MAX_PLACES = 8
        private val MOST_EXPENSIVE_FIRST = compareByDescending<Cell> { it.cost }.thenByDescending { it.fetchGb }

        /** The rows that still wait after a pass, each with the places of the tasks of its job that the pass placed as additional mates. */
        fun withPlacedMates(
            waiting: List<TaskRow>,
            taken: List<Proposal>,
            capacities: List<FreeCapacity>,
            rules: RuleTable,
        ): List<TaskRow> {
            val places = capacities.associate { it.machine to it.place }
            val placed = taken.groupBy({ it.job }, { places.getValue(it.machine) })
            return waiting.map { row ->
                val mates = placed[row.job]
                if (mates == null || !rules.hasSameClause(row.shape)) row else row.copy(mates = row.mates + mates)
            }
        }
    }
}
