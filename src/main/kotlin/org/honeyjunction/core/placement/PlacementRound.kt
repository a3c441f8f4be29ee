package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleCostCache
import org.honeyjunction.core.rules.RuleTable

/**
 * One round of the paper's fair scheduler (lsap-fair-sched): a pure function from a summary to proposed starts.
 *
 * A round solves minimum-cost assignments in up to [MAX_PASSES] passes. Slots are sized for the smallest task, so a larger task can
 * leave a neighbouring slot too small for the task assigned to it. Each pass continues with the remaining rows and capacity.
 */
class PlacementRound(private val settings: CostSettings = CostSettings()) {
    /** The result of one assignment; [unplacedGangs] are the gangs that it left incomplete or that need more columns than it may have. */
    private class Pass(val taken: List<Proposal>, val awaiting: Map<TaskRow, CandidateSlot>, val unplacedGangs: List<Int>) {
        val placedNothing get() = taken.isEmpty() && awaiting.isEmpty()
    }

    /** The starts to propose to the leader for the waiting rows of [summary]. */
    fun place(summary: Summary): List<Proposal> {
        val progress = RoundProgress(summary)
        for (passNumber in 1..MAX_PASSES) {
            if (!progress.hasWaiting) break
            val pass = solve(progress.remaining, progress.rules)
            progress.take(pass.taken, pass.awaiting)
            // Other jobs may leave a gang incomplete in every assignment, so unplaced gangs are finally placed one by one.
            val isLastPass = passNumber == MAX_PASSES || pass.placedNothing
            val gangsPlaced = if (isLastPass) placeGangs(progress, pass.unplacedGangs) else 0
            if (pass.placedNothing && gangsPlaced == 0) break
        }
        return progress.proposals
    }

    /** Places [gangs] one after the other and returns how many were placed; the others are left out of this round. */
    private fun placeGangs(progress: RoundProgress, gangs: List<Int>): Int =
        gangs.count { job ->
            val taken = placeGang(progress, job)
            if (taken.isEmpty()) progress.skip(job) else progress.take(taken, emptyMap())
            taken.isNotEmpty()
        }

    private fun placeGang(progress: RoundProgress, job: Int): List<Proposal> {
        val rows = progress.rowsOf(job)
        if (rows.isEmpty()) return emptyList()
        val remaining = progress.remaining
        val boundRows = ColocationPlanner(remaining, settings, progress.rules).choose(chooseZones(rows, remaining.capacities))
        return if (boundRows.isEmpty()) emptyList() else assignGang(progress.withRows(boundRows), progress.rules)
    }

    /** Assigns the rows of one gang. The rows are interchangeable, so the cheapest columns are the optimal assignment. */
    private fun assignGang(summary: Summary, rules: RuleCostCache): List<Proposal> {
        val rows = summary.rows
        val unbounded = settings.copy(maxColumns = Int.MAX_VALUE)
        val pruned = CandidatePruning(summary, unbounded, rules).prune(rows)
        if (pruned.rows.size < rows.size) return emptyList()
        val matrix = CostMatrix(summary, settings, rules)
        val ruleCosts = matrix.ruleCosts(rows.take(1), pruned.slots)[rows.first().job]
        val cheapest =
            pruned.slots.indices
                .map { it to totalCost(matrix, rows.first(), pruned.slots[it], 0.0, ruleCosts?.get(it)) }
                .filter { (_, cost) -> isAllowed(cost) }
                .sortedBy { (_, cost) -> cost }
        return resolveConflicts(rows.zip(cheapest) { row, (slot, _) -> row to pruned.slots[slot].capacity }, summary.rules)
    }

    private fun solve(summary: Summary, rules: RuleCostCache): Pass {
        val matrix = CostMatrix(summary, settings, rules)
        val ordered = chooseZones(matrix.sortByPrecedence(summary.rows), summary.capacities)
        val pruned = CandidatePruning(summary, settings, rules).prune(ColocationPlanner(summary, settings, rules).choose(ordered))
        if (pruned.slots.isEmpty()) return Pass(emptyList(), emptyMap(), pruned.oversizedGangs)
        // Sorted by image, tasks of one image get neighbouring slots where costs are equal, and share one fetch.
        val rows = pruned.rows.sortedWith(compareByDescending<TaskRow> { it.priority }.thenBy { it.image })
        val (awaiting, startNow) =
            assign(matrix, rows, pruned.slots)
                .partition { (row, slot) -> slot.upcoming != null || row.fetchesAfter(slot.capacity) }
        val taken = resolveConflicts(startNow.map { (row, slot) -> row to slot.capacity }, summary.rules)
        val startedJobs = taken.mapTo(HashSet()) { it.job }
        val incompleteGangs = rows.filter { it.gangSize > 0 && it.job !in startedJobs }.mapTo(LinkedHashSet()) { it.job }
        return Pass(taken, awaiting.toMap(), (incompleteGangs + pruned.oversizedGangs).distinct())
    }

    /** The minimum-cost assignment of [rows] to [slots], without forbidden pairs. */
    private fun assign(matrix: CostMatrix, rows: List<TaskRow>, slots: List<CandidateSlot>): List<Pair<TaskRow, CandidateSlot>> {
        val fairness = matrix.fairnessCosts(rows, slots)
        val ruleCosts = matrix.ruleCosts(rows, slots)
        val costs =
            Array(rows.size) { row ->
                val rowRuleCosts = ruleCosts[rows[row].job]
                DoubleArray(slots.size) { column -> totalCost(matrix, rows[row], slots[column], fairness[row], rowRuleCosts?.get(column)) }
            }
        val columnOf = Hungarian.solve(costs)
        return rows.indices
            .filter { columnOf[it] >= 0 && isAllowed(costs[it][columnOf[it]]) }
            .map { rows[it] to slots[columnOf[it]] }
    }

    /** Whether a pair with this total cost is allowed; half of [CostMatrix.FORBIDDEN] leaves a margin for the other costs. */
    private fun isAllowed(cost: Double) = cost < CostMatrix.FORBIDDEN / 2

    private fun totalCost(matrix: CostMatrix, row: TaskRow, slot: CandidateSlot, fairness: Double, ruleCost: Double?): Double {
        val base = matrix.cost(row, slot, fairness)
        // All forbidden pairs cost the same, so that a row without an allowed slot does not affect the assignment of other rows.
        return when {
            ruleCost == null -> base
            base == CostMatrix.FORBIDDEN || ruleCost == CostMatrix.FORBIDDEN -> CostMatrix.FORBIDDEN
            else -> base + ruleCost
        }
    }

    /** Binds each one-zone job to the zone where most of its tasks fit, and drops the job if none fits in any zone. */
    private fun chooseZones(rows: List<TaskRow>, capacities: List<FreeCapacity>): List<TaskRow> {
        val tasksOfJob = rows.filter { it.oneZone }.groupBy { it.job }
        val zoneOfJob = tasksOfJob.mapValues { (_, tasks) -> zoneWithMostCapacity(tasks.first(), tasks.size, capacities) }
        return rows
            .filter { !it.oneZone || zoneOfJob[it.job] != null }
            .map { row -> zoneOfJob[row.job]?.let { row.copy(zones = 1L shl it) } ?: row }
    }

    private fun zoneWithMostCapacity(sample: TaskRow, tasks: Int, capacities: List<FreeCapacity>): Int? =
        capacities
            .filter { sample.allows(it) }
            .groupBy { it.zone }
            .mapValues { (_, machines) -> machines.sumOf { sample.need.countIn(it.free).coerceAtMost(tasks) } }
            .maxByOrNull { it.value }
            ?.key

    /** Drops pairs that do not fit on the machine together with the others, exceed a job's limit in a zone, or leave a gang incomplete. */
    private fun resolveConflicts(pairs: List<Pair<TaskRow, FreeCapacity>>, rules: RuleTable): List<Proposal> {
        val remainingCapacity = RemainingCapacity(rules)
        // Gangs go first: if another task took the capacity of one member, none of the gang would start.
        val fitting =
            pairs
                .sortedByDescending { (row, _) -> row.gangSize > 0 }
                .filter { (row, capacity) -> remainingCapacity.reserve(row, capacity) }
        val gangs = fitting.filter { it.first.gangSize > 0 }.groupingBy { it.first.job }.eachCount()
        return fitting
            .filter { (row, _) -> row.gangSize == 0 || gangs[row.job] == row.gangSize }
            .map { (row, capacity) -> Proposal(row.job, row.task, capacity.machine) }
    }

    /** The capacity of machines, and of zones for each job, that the pairs reserved so far leave. */
    private class RemainingCapacity(private val rules: RuleTable) {
        private val sceneByMachine = HashMap<Int, RuleTable.MachineContext>()
        private val freeByMachine = HashMap<Int, Resources>()
        private val tasksByJobAndZone = HashMap<Pair<Int, Int>, Int>()

        /** Reserves [capacity] for [row]; false if the resources, the job's limit in the zone or the rules do not allow it. */
        fun reserve(row: TaskRow, capacity: FreeCapacity): Boolean {
            val free = freeByMachine.getOrDefault(capacity.machine, capacity.free)
            val tasksInZone = tasksByJobAndZone.getOrDefault(row.job to capacity.zone, 0)
            val remainingPerZone = row.remainingPerZone
            // A rule may forbid tasks next to one another which the same assignment put on one machine.
            val scene = if (rules.empty) RuleTable.MachineContext.EMPTY else sceneByMachine[capacity.machine] ?: capacity.scene
            val fits = row.need.fitsIn(free) && (remainingPerZone == null || tasksInZone < remainingPerZone[capacity.zone])
            if (!fits || rules.firstViolation(row.shape, scene, row.mates) != null) return false
            if (!rules.empty) sceneByMachine[capacity.machine] = scene.plusTasks(row.shape)
            freeByMachine[capacity.machine] = free - row.need
            tasksByJobAndZone[row.job to capacity.zone] = tasksInZone + 1
            return true
        }
    }

    private companion object {
        const val MAX_PASSES = 12
    }
}
