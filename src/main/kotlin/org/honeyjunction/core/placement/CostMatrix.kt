package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.rules.RuleView
import kotlin.math.max
import kotlin.math.min

/**
 * A column of the matrix: the [place]th free slot of a machine, or one that will be free [upcoming]. [near]: the machine caches an image
 * that some row needs.
 */
class CandidateSlot(val capacity: FreeCapacity, val place: Int, val upcoming: UpcomingCapacity? = null, val near: Boolean = false)

/**
 * Whether the row may wait for [slot]: its image is there, and it has not waited for longer than a fetch would take. Gangs
 * do not wait, since all of their tasks would have to.
 */
fun TaskRow.mayAwait(slot: CandidateSlot) =
    gangSize == 0 && image in slot.capacity.images && allows(slot.capacity) && waitingMs / 1000.0 * slot.capacity.fetchGbPerS < imageGb

/** The paper's cost of a cell, fairness plus data locality (formulas 4 to 9); docs/design.md lists what is added and why. */
class CostMatrix(private val summary: Summary, private val settings: CostSettings, private val rules: RuleView = RuleView(summary.rules)) {
    private val weights = weights(summary.teams)
    private val running = summary.teams.sumOf { it.running }

    /** The paper's group fairness cost (formulas 5 and 6): the team's part of the running tasks over its weight, in percent. */
    fun groupCost(team: Int): Double {
        if (running == 0) return 0.0
        return summary.teams[team].running.toDouble() / running / weights[team] * 100
    }

    /** How many more slots the team's weight entitles it to (formula 9), capped by its waiting tasks. */
    fun slotsToOccupy(team: Int, waiting: Int): Int =
        min(max(0.0, summary.slots * weights[team] - summary.teams[team].running), waiting.toDouble()).toInt()

    /** The rows in the order of priority, guarantee, group cost and age. */
    fun order(rows: List<TaskRow>): List<TaskRow> {
        val costs = summary.teams.indices.map(::groupCost)
        return rows.sortedWith(
            compareByDescending<TaskRow> { it.priority }
                .thenByDescending { it.guaranteed }
                .thenBy { it.late }
                .thenBy { costs[it.team] }
                .thenByDescending { it.waitingMs },
        )
    }

    /**
     * The fairness cost of each row: up to [slotsToOccupy] tasks of a team cost its group cost, those whose image is cached first;
     * the others cost beta (1 - weight).
     */
    fun fairness(rows: List<TaskRow>, slots: List<CandidateSlot>): DoubleArray {
        val cached = slots.flatMapTo(HashSet()) { it.capacity.images.asList() }
        val result = DoubleArray(rows.size)
        rows.indices.groupBy { rows[it].team }.forEach { (team, members) ->
            val (local, remote) = members.partition { rows[it].image in cached }
            val within = slotsToOccupy(team, members.size)
            (local + remote).forEachIndexed { position, row ->
                result[row] = if (position < within) groupCost(team) else settings.beta * (1 - weights[team])
            }
        }
        // Extensions: priority outweighs both costs; waiting lowers the cost, as the paper suggests against starvation.
        rows.forEachIndexed { i, row ->
            val level = (Priority.PRODUCTION.ordinal - row.priority.ordinal) * 4 + (if (row.guaranteed) 0 else 2) + if (row.late) 1 else 0
            result[i] += settings.priorityStep * level - min(settings.beta, settings.agingPerS * row.waitingMs / 1000)
        }
        return result
    }

    /** The cost of [row] on [slot] without rules; [BARRED] where it may not run. */
    fun cost(row: TaskRow, slot: CandidateSlot, fairness: Double): Double {
        // A wait counts as the gigabytes that could be fetched meanwhile.
        if (slot.upcoming !=
            null
        ) {
            return if (row.mayAwait(
                    slot,
                )
            ) {
                fairness + settings.alpha * slot.upcoming.availableInS * slot.capacity.fetchGbPerS
            } else {
                BARRED
            }
        }
        // Slots are sized for the smallest task: of a larger one, fewer fit.
        if (!row.allows(slot.capacity) || slot.place > 0 && slot.place >= row.need.countIn(slot.capacity.free)) return BARRED
        val locality = if (row.image in slot.capacity.images) 0.0 else settings.alpha * (row.imageGb + slot.capacity.fetchingGb)
        val kind = if (row.spot && !slot.capacity.spot) settings.spotPreference else 0.0
        // A tie is broken towards the fuller machine, which leaves whole machines free.
        val packing = settings.packing * (slot.capacity.free.gpus - row.need.gpus)
        return fairness + locality + kind + packing
    }

    /**
     * What the operators' rules add to the cells of each job that they apply to: the weights of unmet preferences, as gigabytes, or
     * [BARRED] for a requirement. A later slot of a machine counts as beside the tasks that the slots before it took.
     */
    fun ruleCosts(rows: List<TaskRow>, slots: List<CandidateSlot>): Map<Int, DoubleArray> {
        if (rules.empty) return emptyMap()
        return rows.filter { it.shape >= 0 }.distinctBy { it.job }.associate { row ->
            val dependsOnNeighbours = rules.table.dependsOnNeighbours(row.shape)
            row.job to
                DoubleArray(slots.size) { column ->
                    val scene = slots[column].capacity.scene.with(row.shape, if (dependsOnNeighbours) slots[column].place else 0)
                    val cost = rules.cost(row.shape, scene, rules.scene(scene), row.mates)
                    if (cost == Double.POSITIVE_INFINITY) BARRED else settings.alpha * min(cost, MAX_RULES_GB)
                }
        }
    }

    companion object {
        /** The cost of a cell that may not be used; far above any real cost. */
        const val BARRED = 1e9

        /** Bounds the sum of unmet preferences below the step between priorities. */
        private const val MAX_RULES_GB = 9_000.0

        /** Guarantees normalised to a sum of 1, floored at 0.01. */
        fun weights(teams: List<TeamShare>): DoubleArray {
            val sum = teams.sumOf { it.weight }
            return DoubleArray(teams.size) { i ->
                max(0.01, if (sum > 0) teams[i].weight / sum else 1.0 / teams.size)
            }
        }
    }
}
