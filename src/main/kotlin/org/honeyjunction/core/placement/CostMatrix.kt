package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.rules.RuleCostCache
import kotlin.math.max
import kotlin.math.min

/**
 * A column of the matrix: a free slot of a machine, numbered by [slotIndex] from 0, or a slot that running tasks will free
 * ([upcoming]). [cachesWantedImage]: the machine caches an image that some row needs.
 */
class CandidateSlot(
    val capacity: FreeCapacity,
    val slotIndex: Int,
    val upcoming: UpcomingCapacity? = null,
    val cachesWantedImage: Boolean = false,
)

/**
 * Whether the task may wait for the upcoming [slot]: the machine caches the task's image, and the task has waited for less time than
 * fetching the image would take. Gangs do not wait, since all of their tasks would have to.
 */
fun TaskRow.mayAwait(slot: CandidateSlot) =
    gangSize == 0 && image in slot.capacity.images && allows(slot.capacity) && waitingMs / 1000.0 * slot.capacity.fetchGbPerS < imageGb

/** The paper's cost of a task on a slot, fairness plus data locality (formulas 4 to 9); docs/design.md lists the extensions and why. */
class CostMatrix(
    private val summary: Summary,
    private val settings: CostSettings,
    private val rules: RuleCostCache = RuleCostCache(summary.rules),
) {
    private val weights = weights(summary.teams)
    private val running = summary.teams.sumOf { it.running }

    /** The paper's group fairness cost (formulas 5 and 6): the team's share of the running tasks divided by its weight, in percent. */
    fun groupCost(team: Int): Double {
        if (running == 0) return 0.0
        return summary.teams[team].running.toDouble() / running / weights[team] * 100
    }

    /** How many more slots the team's weight entitles it to (formula 9), capped by its waiting tasks. */
    fun slotsToOccupy(team: Int, waiting: Int): Int =
        min(max(0.0, summary.slots * weights[team] - summary.teams[team].running), waiting.toDouble()).toInt()

    /** Sorts [rows] by priority, guarantee, whether the deadline can still be met, group cost and waiting time. */
    fun sortByPrecedence(rows: List<TaskRow>): List<TaskRow> {
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
     * The fairness cost of each row: [groupCost] for up to [slotsToOccupy] tasks of a team, tasks with a cached image first, and
     * beta (1 - weight) for the team's other tasks.
     */
    fun fairnessCosts(rows: List<TaskRow>, slots: List<CandidateSlot>): DoubleArray {
        val cached = slots.flatMapTo(HashSet()) { it.capacity.images.asList() }
        val result = DoubleArray(rows.size)
        rows.indices.groupBy { rows[it].team }.forEach { (team, members) ->
            val (local, remote) = members.partition { rows[it].image in cached }
            val atGroupCost = slotsToOccupy(team, members.size)
            (local + remote).forEachIndexed { position, row ->
                result[row] = if (position < atGroupCost) groupCost(team) else settings.beta * (1 - weights[team])
            }
        }
        // Extensions: priority outweighs both costs, and waiting lowers the cost, as the paper suggests against starvation.
        rows.forEachIndexed { i, row ->
            val precedence =
                (Priority.PRODUCTION.ordinal - row.priority.ordinal) * 4 + (if (row.guaranteed) 0 else 2) + if (row.late) 1 else 0
            result[i] += settings.priorityStep * precedence - min(settings.beta, settings.agingPerS * row.waitingMs / 1000)
        }
        return result
    }

    /** The cost of [row] on [slot] without the operators' rules; [FORBIDDEN] where the task may not run. */
    fun cost(row: TaskRow, slot: CandidateSlot, fairness: Double): Double {
        // Waiting costs as many gigabytes as could be fetched in that time.
        if (slot.upcoming != null) {
            return if (row.mayAwait(slot)) fairness + settings.alpha * slot.upcoming.availableInS * slot.capacity.fetchGbPerS else FORBIDDEN
        }
        // Slots are sized for the smallest task, so fewer tasks of a larger size fit.
        if (!row.allows(slot.capacity) || slot.slotIndex > 0 && slot.slotIndex >= row.need.countIn(slot.capacity.free)) return FORBIDDEN
        val locality = if (row.image in slot.capacity.images) 0.0 else settings.alpha * (row.imageGb + slot.capacity.fetchingGb)
        val onDemandCost = if (row.spot && !slot.capacity.spot) settings.spotPreference else 0.0
        // Ties are broken towards the fuller machine, which leaves whole machines free.
        val packing = settings.packing * (slot.capacity.free.gpus - row.need.gpus)
        return fairness + locality + onDemandCost + packing
    }

    /**
     * The cost that the operators' rules add on each slot, by job index, for the jobs that have rules: the weights of unmet
     * preferences as gigabytes, or [FORBIDDEN] if a requirement is not met. For a later slot of a machine, the rules are evaluated as
     * if tasks of the same job occupied the machine's earlier slots.
     */
    fun ruleCosts(rows: List<TaskRow>, slots: List<CandidateSlot>): Map<Int, DoubleArray> {
        if (rules.empty) return emptyMap()
        return rows.filter { it.shape >= 0 }.distinctBy { it.job }.associate { row ->
            val dependsOnNeighbours = rules.table.dependsOnOwnShape(row.shape)
            row.job to
                DoubleArray(slots.size) { column ->
                    val scene = slots[column].capacity.scene.plusTasks(row.shape, if (dependsOnNeighbours) slots[column].slotIndex else 0)
                    val cost = rules.cost(row.shape, scene, rules.contextIndex(scene), row.mates)
                    if (cost == Double.POSITIVE_INFINITY) FORBIDDEN else settings.alpha * min(cost, MAX_RULES_GB)
                }
        }
    }

    companion object {
        /** The cost of a task on a slot that it may not use; far above any real cost. */
        const val FORBIDDEN = 1e9

        /** Keeps the sum of unmet preferences, in gigabytes, below [CostSettings.priorityStep]. */
        private const val MAX_RULES_GB = 9_000.0

        /** The teams' weights normalised to a sum of 1, each at least 0.01. */
        fun weights(teams: List<TeamShare>): DoubleArray {
            val sum = teams.sumOf { it.weight }
            return DoubleArray(teams.size) { i ->
                max(0.01, if (sum > 0) teams[i].weight / sum else 1.0 / teams.size)
            }
        }
    }
}
