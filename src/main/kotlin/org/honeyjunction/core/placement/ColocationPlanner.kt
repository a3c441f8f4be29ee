package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleTable
import org.honeyjunction.core.rules.RuleView
import java.util.PriorityQueue

/**
 * Chooses where the tasks of a job gather whose rules ask for the same rack, zone or type. The cost of a cell then depends on where
 * the job's other tasks go, which an assignment can't express; so a place is chosen first, and the assignment counts from it.
 */
class ColocationPlanner(private val summary: Summary, private val settings: CostSettings, private val rules: RuleView) {
    private val table = rules.table

    /** A machine's free capacity with its scene for the rules, computed once for all places that are compared. */
    private class Site(val capacity: FreeCapacity, val scene: RuleTable.Scene, val sceneIndex: Int)

    /** A machine with the number of the job's tasks that fit on it. */
    private class FittingSite(val site: Site, val fits: Int)

    private val sites by lazy(LazyThreadSafetyMode.NONE) {
        summary.capacities.filter { it.place >= 0 }.map { capacity -> capacity.scene.let { Site(capacity, it, rules.scene(it)) } }
    }

    /** What gathering at [place] would cost the tasks together; the choice with the fewest tasks [left] out is best. */
    private class Choice(val place: Int, val left: Int, val penalty: Double, val fetchGb: Double)

    /**
     * The rows, each with the place where its job gathers among its mates. A gang is left out that had better wait, for no longer
     * than [CostSettings.patienceMs], for a place that meets its preferences.
     */
    fun choose(rows: List<TaskRow>): List<TaskRow> {
        if (rules.empty) return rows
        val jobs = rows.filter { table.asksSame(it.shape) && it.mates.isEmpty() }.groupBy { it.job }
        if (jobs.isEmpty()) return rows
        val choices = jobs.mapValues { (_, tasks) -> best(tasks.first(), tasks.size) }
        return rows.mapNotNull { row ->
            val choice = choices[row.job]
            when {
                choice == null -> row
                row.mayWaitForBetterThan(choice) -> null
                else -> row.copy(mates = listOf(choice.place))
            }
        }
    }

    private fun TaskRow.mayWaitForBetterThan(choice: Choice) = gangSize > 0 && choice.penalty > 0 && waitingMs < settings.patienceMs

    /**
     * The place at which [count] tasks like [sample] lose least. They are alike, so filling the cheapest machines first is optimal for
     * each place, and places can be compared by it. Places that agree in all that is asked for count as one; of very many, those with
     * the most room are compared.
     */
    private fun best(sample: TaskRow, count: Int): Choice? {
        val labels = table.sameLabels(sample.shape)
        val possible =
            sites
                .filter { sample.allows(it.capacity) }
                .map { FittingSite(it, minOf(sample.need.countIn(it.capacity.free), count)) }
        return possible
            .groupBy { candidate -> labels.map { table.places[candidate.site.capacity.place][it] } }
            .values
            .sortedByDescending { here -> here.sumOf { it.fits } }
            .take(MOST_PLACES)
            .map { here -> costOfGathering(sample, count, possible, here.first().site.capacity.place) }
            .minWithOrNull(compareBy<Choice> { it.left }.thenBy { it.penalty }.thenBy { it.fetchGb })
    }

    private fun costOfGathering(sample: TaskRow, count: Int, candidates: List<FittingSite>, place: Int): Choice {
        val mates = listOf(place)
        val dependsOnNeighbours = table.dependsOnNeighbours(sample.shape)
        // The cheapest cells so far, the most expensive of them first: most machines are turned away by one comparison.
        val cells = PriorityQueue(MOST_EXPENSIVE_FIRST)
        for (candidate in candidates) {
            val site = candidate.site
            val fetchGb = if (sample.image in site.capacity.images) 0.0 else sample.imageGb
            for (position in 0 until candidate.fits) {
                val scene = if (dependsOnNeighbours && position > 0) site.scene.with(sample.shape, position) else site.scene
                val sceneIndex = if (scene === site.scene) site.sceneIndex else rules.scene(scene)
                val cell = Cell(rules.cost(sample.shape, scene, sceneIndex, mates), fetchGb)
                val full = cells.size == count
                if (cell.barred || full && MOST_EXPENSIVE_FIRST.compare(cells.peek(), cell) >= 0) break
                cells += cell
                if (cells.size > count) cells.poll()
            }
        }
        return Choice(place, count - cells.size, cells.sumOf { it.cost }, cells.sumOf { it.fetchGb })
    }

    /** What a place for one task would cost it. */
    private class Cell(val cost: Double, val fetchGb: Double) {
        val barred get() = cost == Double.POSITIVE_INFINITY
    }

    companion object {
        private const val MOST_PLACES = 8
        private val MOST_EXPENSIVE_FIRST = compareByDescending<Cell> { it.cost }.thenByDescending { it.fetchGb }

        /** The rows still waiting after a pass, with the places of their job's tasks that the pass placed among their mates. */
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
                if (mates == null || !rules.asksSame(row.shape)) row else row.copy(mates = row.mates + mates)
            }
        }
    }
}
