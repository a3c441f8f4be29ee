package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleCostCache

/** The remaining free capacity and waiting rows of one round, which shrink as its passes place tasks. */
internal class RoundProgress(private val summary: Summary) {
    private var capacities = summary.capacities
    private var waiting = summary.rows

    /** The operators' rules, shared by all passes of the round. */
    val rules = RuleCostCache(summary.rules)

    /** All proposals of the round so far, in the order in which they were made. */
    val proposals = ArrayList<Proposal>()

    /** The input of the next pass. */
    val remaining get() = withRows(waiting)

    /** Whether any rows still wait. */
    val hasWaiting get() = waiting.isNotEmpty()

    /** The remaining capacity with [rows] in place of all waiting rows. */
    fun withRows(rows: List<TaskRow>) = Summary(capacities, summary.teams, summary.slots, rows, summary.rules)

    /** The rows of [job] that still wait. */
    fun rowsOf(job: Int): List<TaskRow> = waiting.filter { it.job == job }

    /** Leaves [job] out of the rest of this round. */
    fun skip(job: Int) {
        waiting = waiting.filter { it.job != job }
    }

    /** Records a pass: its proposals [taken], and the rows [awaiting] a slot that a running task will free, or the end of a fetch. */
    fun take(taken: List<Proposal>, awaiting: Map<TaskRow, CandidateSlot>) {
        proposals += taken
        val rowsByTask = waiting.associateBy { it.job to it.task }
        capacities = capacitiesAfter(taken, awaiting, rowsByTask)
        val decided = taken.mapTo(HashSet()) { it.job to it.task }
        awaiting.keys.mapTo(decided) { it.job to it.task }
        // A job bound to one zone or spread over zones continues in the next round, whose summary counts its tasks per zone again.
        val jobsWithProposals = taken.mapTo(HashSet()) { it.job }
        waiting =
            waiting.filter { row ->
                (row.job to row.task) !in decided && !(row.job in jobsWithProposals && (row.oneZone || row.remainingPerZone != null))
            }
        if (!rules.empty) waiting = ColocationPlanner.withPlacedMates(waiting, taken, capacities, summary.rules)
    }

    private fun capacitiesAfter(
        taken: List<Proposal>,
        awaiting: Map<TaskRow, CandidateSlot>,
        rowsByTask: Map<Pair<Int, Int>, TaskRow>,
    ): List<FreeCapacity> {
        val takenByMachine = taken.groupBy { it.machine }
        val awaitedReleases = awaiting.values.mapNotNullTo(HashSet()) { it.upcoming }
        val awaitedResources = awaiting.entries.filter { it.value.upcoming == null }.groupBy({ it.value.capacity.machine }, { it.key.need })
        return capacities.map { previous ->
            val freeAfterAwaited = awaitedResources[previous.machine].orEmpty().fold(previous.free) { free, need -> free - need }
            val capacity = previous.withFree(freeAfterAwaited, upcoming = previous.upcoming.filter { it !in awaitedReleases })
            val proposalsHere = takenByMachine[capacity.machine]
            if (proposalsHere == null) capacity else withTasks(capacity, proposalsHere.map { rowsByTask.getValue(it.job to it.task) })
        }
    }

    private fun withTasks(capacity: FreeCapacity, rows: List<TaskRow>): FreeCapacity {
        val free = rows.fold(capacity.free) { free, row -> free - row.need }
        val fetched = rows.filter { it.image !in capacity.images }.distinctBy { it.image }
        val running = if (rules.empty) capacity.running else capacity.running + rows.map { it.shape }
        val images = capacity.images + fetched.map { it.image }
        return capacity.withFree(free, images, capacity.fetchingGb + fetched.sumOf { it.imageGb }, running = running)
    }
}
