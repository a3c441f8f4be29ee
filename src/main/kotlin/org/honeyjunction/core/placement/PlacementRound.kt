package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable
import org.honeyjunction.core.rules.RuleView

/**
 * One round of the paper's fair scheduler (lsap-fair-sched): a pure function from a summary to proposed starts.
 *
 * A round solves minimum-cost assignments in up to [MAX_PASSES] passes. Slots are sized for the smallest task, so a larger neighbour
 * can leave one that is too small; the next pass goes on with what is left.
 */
class PlacementRound(private val settings: CostSettings = CostSettings()) {
    /** The result of one assignment; [unplaced]: gangs that it could not place whole, or that were too large for it. */
    private class Pass(val taken: List<Proposal>, val awaiting: Map<TaskRow, CandidateSlot>, val unplaced: List<Int>) {
        val placedNothing get() = taken.isEmpty() && awaiting.isEmpty()
    }

    /** The starts to propose to the leader for the waiting rows of [summary]. */
    fun place(summary: Summary): List<Proposal> {
        val progress = RoundProgress(summary)
        for (number in 1..MAX_PASSES) {
            if (!progress.hasWaiting) break
            val pass = solve(progress.remaining, progress.rules)
            progress.take(pass.taken, pass.awaiting)
            // Neighbours may break a gang up in every assignment anew: what needs all its slots at once is then placed by itself.
            val last = number == MAX_PASSES || pass.placedNothing
            val gangsPlaced = if (last) placeGangs(progress, pass.unplaced) else 0
            if (pass.placedNothing && gangsPlaced == 0) break
        }
        return progress.proposals
    }

    /** Places each of [gangs] by itself, in their order, and returns how many were placed; the others are left out of this round. */
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
        val bound = ColocationPlanner(remaining, settings, progress.rules).choose(chooseZones(rows, remaining.capacities))
        return if (bound.isEmpty()) emptyList() else assignGang(progress.withRows(bound), progress.rules)
    }

    /** A gang's rows are alike, so the cheapest columns are the optimal assignment. */
    private fun assignGang(summary: Summary, rules: RuleView): List<Proposal> {
        val rows = summary.rows
        val unbounded = settings.copy(maxColumns = Int.MAX_VALUE)
        val pruned = CandidatePruning(summary, unbounded, rules).prune(rows)
        if (pruned.rows.size < rows.size) return emptyList()
        val matrix = CostMatrix(summary, settings, rules)
        val ruleCosts = matrix.ruleCosts(rows.take(1), pruned.slots)[rows.first().job]
        val cheapest =
            pruned.slots.indices
                .map { it to cell(matrix, rows.first(), pruned.slots[it], 0.0, ruleCosts?.get(it)) }
                .filter { (_, cost) -> isAllowed(cost) }
                .sortedBy { (_, cost) -> cost }
        return admit(rows.zip(cheapest) { row, (slot, _) -> row to pruned.slots[slot].capacity }, summary.rules)
    }

    private fun solve(summary: Summary, rules: RuleView): Pass {
        val matrix = CostMatrix(summary, settings, rules)
        val ordered = chooseZones(matrix.order(summary.rows), summary.capacities)
        val pruned = CandidatePruning(summary, settings, rules).prune(ColocationPlanner(summary, settings, rules).choose(ordered))
        if (pruned.slots.isEmpty()) return Pass(emptyList(), emptyMap(), pruned.tooLarge)
        // Among equal costs, tasks of one image come to lie on slots side by side: one fetch serves them all.
        val rows = pruned.rows.sortedWith(compareByDescending<TaskRow> { it.priority }.thenBy { it.image })
        val (awaiting, startNow) =
            assign(matrix, rows, pruned.slots)
                .partition { (row, slot) -> slot.upcoming != null || row.fetchesAfter(slot.capacity) }
        val taken = admit(startNow.map { (row, slot) -> row to slot.capacity }, summary.rules)
        val started = taken.mapTo(HashSet()) { it.job }
        val brokenUp = rows.filter { it.gangSize > 0 && it.job !in started }.mapTo(LinkedHashSet()) { it.job }
        return Pass(taken, awaiting.toMap(), (brokenUp + pruned.tooLarge).distinct())
    }

    /** The minimum-cost assignment of [rows] to [slots], without the pairs that are not allowed. */
    private fun assign(matrix: CostMatrix, rows: List<TaskRow>, slots: List<CandidateSlot>): List<Pair<TaskRow, CandidateSlot>> {
        val fairness = matrix.fairness(rows, slots)
        val ruleCosts = matrix.ruleCosts(rows, slots)
        val costs =
            Array(rows.size) { row ->
                val rulesOfRow = ruleCosts[rows[row].job]
                DoubleArray(slots.size) { column -> cell(matrix, rows[row], slots[column], fairness[row], rulesOfRow?.get(column)) }
            }
        val columnOf = Hungarian.solve(costs)
        return rows.indices
            .filter { columnOf[it] >= 0 && isAllowed(costs[it][columnOf[it]]) }
            .map { rows[it] to slots[columnOf[it]] }
    }

    /** Whether a cell's cost is that of an allowed pair; half of the bar leaves room for what is added to it. */
    private fun isAllowed(cost: Double) = cost < CostMatrix.BARRED / 2

    private fun cell(matrix: CostMatrix, row: TaskRow, slot: CandidateSlot, fairness: Double, ruleCost: Double?): Double {
        val base = matrix.cost(row, slot, fairness)
        // All barred cells cost the same: a row that gets none of its own must not choose among them at others' expense.
        return when {
            ruleCost == null -> base
            base == CostMatrix.BARRED || ruleCost == CostMatrix.BARRED -> CostMatrix.BARRED
            else -> base + ruleCost
        }
    }

    /** Binds each job that must stay in one zone to the zone where most of its tasks find room; drops it where there is none. */
    private fun chooseZones(rows: List<TaskRow>, capacities: List<FreeCapacity>): List<TaskRow> {
        val tasksOfJob = rows.filter { it.oneZone }.groupBy { it.job }
        val zoneOf = tasksOfJob.mapValues { (_, tasks) -> roomiestZone(tasks.first(), tasks.size, capacities) }
        return rows
            .filter { !it.oneZone || zoneOf[it.job] != null }
            .map { row -> zoneOf[row.job]?.let { row.copy(zones = 1L shl it) } ?: row }
    }

    private fun roomiestZone(sample: TaskRow, tasks: Int, capacities: List<FreeCapacity>): Int? =
        capacities
            .filter { sample.allows(it) }
            .groupBy { it.zone }
            .mapValues { (_, here) -> here.sumOf { sample.need.countIn(it.free).coerceAtMost(tasks) } }
            .maxByOrNull { it.value }
            ?.key

    /** Drops what no longer fits beside its neighbours, exceeds a zone's part, or leaves a gang incomplete. */
    private fun admit(pairs: List<Pair<TaskRow, FreeCapacity>>, rules: RuleTable): List<Proposal> {
        val admission = Admission(rules)
        // Gangs first: of one that is broken up by a neighbour nothing would start.
        val fitting = pairs.sortedByDescending { (row, _) -> row.gangSize > 0 }.filter { (row, capacity) -> admission.take(row, capacity) }
        val gangs = fitting.filter { it.first.gangSize > 0 }.groupingBy { it.first.job }.eachCount()
        return fitting
            .filter { (row, _) -> row.gangSize == 0 || gangs[row.job] == row.gangSize }
            .map { (row, capacity) -> Proposal(row.job, row.task, capacity.machine) }
    }

    /** What the pairs admitted so far leave of machines and of zones' parts. */
    private class Admission(private val rules: RuleTable) {
        private val sceneOf = HashMap<Int, RuleTable.Scene>()
        private val freeOn = HashMap<Int, Resources>()
        private val usedInZone = HashMap<Pair<Int, Int>, Int>()

        /** Takes [row] on [capacity] where resources, the zone's part and the rules allow it. */
        fun take(row: TaskRow, capacity: FreeCapacity): Boolean {
            val free = freeOn.getOrDefault(capacity.machine, capacity.free)
            val inZone = usedInZone.getOrDefault(row.job to capacity.zone, 0)
            val remainingPerZone = row.remainingPerZone
            // Tasks that were assigned slots of one machine at the same time may be kept apart by a rule.
            val scene = if (rules.empty) RuleTable.Scene.NOWHERE else sceneOf[capacity.machine] ?: capacity.scene
            val fits = row.need.fitsIn(free) && (remainingPerZone == null || inZone < remainingPerZone[capacity.zone])
            if (!fits || rules.barred(row.shape, scene, row.mates) != null) return false
            if (!rules.empty) sceneOf[capacity.machine] = scene.with(row.shape)
            freeOn[capacity.machine] = free - row.need
            usedInZone[row.job to capacity.zone] = inZone + 1
            return true
        }
    }

    private companion object {
        const val MAX_PASSES = 12
    }
}
