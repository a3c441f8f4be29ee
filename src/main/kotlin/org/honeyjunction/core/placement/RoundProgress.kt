package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleView

/** What is left of a round: free capacity and waiting rows shrink as its passes take tasks. Confined to one round. */
internal class RoundProgress(private val summary: Summary) {
    private var capacities = summary.capacities
    private var waiting = summary.rows
    val rules = RuleView(summary.rules)

    /** All proposals of the round so far, in the order in which they were taken. */
    val proposals = ArrayList<Proposal>()

    /** The summary that the next pass is solved over. */
    val remaining get() = withRows(waiting)
    val hasWaiting get() = waiting.isNotEmpty()

    /** The remaining capacity with [rows] in place of all that wait. */
    fun withRows(rows: List<TaskRow>) = Summary(capacities, summary.teams, summary.slots, rows, summary.rules)

    fun rowsOf(job: Int): List<TaskRow> = waiting.filter { it.job == job }

    /** Leaves [job] out of the rest of this round. */
    fun skip(job: Int) {
        waiting = waiting.filter { it.job != job }
    }

    /** Takes the proposals of a pass, and the rows that wait for a slot that will be free soon or for a fetch to end. */
    fun take(taken: List<Proposal>, awaiting: Map<TaskRow, CandidateSlot>) {
        proposals += taken
        val rowsByTask = waiting.associateBy { it.job to it.task }
        capacities = capacitiesAfter(taken, awaiting, rowsByTask)
        val settled = taken.mapTo(HashSet()) { it.job to it.task }
        awaiting.keys.mapTo(settled) { it.job to it.task }
        // A job bound to one zone or spread over zones goes on in the next round, with its zones counted anew.
        val bound = taken.mapTo(HashSet()) { it.job }
        waiting =
            waiting.filter { row ->
                (row.job to row.task) !in settled && !(row.job in bound && (row.oneZone || row.remainingPerZone != null))
            }
        if (!rules.empty) waiting = ColocationPlanner.withPlacedMates(waiting, taken, capacities, summary.rules)
    }

    private fun capacitiesAfter(
        taken: List<Proposal>,
        awaiting: Map<TaskRow, CandidateSlot>,
        rowsByTask: Map<Pair<Int, Int>, TaskRow>,
    ): List<FreeCapacity> {
        val takenByMachine = taken.groupBy { it.machine }
        val promised = awaiting.values.mapNotNullTo(HashSet()) { it.upcoming }
        val awaitedNeeds = awaiting.entries.filter { it.value.upcoming == null }.groupBy({ it.value.capacity.machine }, { it.key.need })
        return capacities.map { before ->
            val left = awaitedNeeds[before.machine].orEmpty().fold(before.free) { free, need -> free - need }
            val capacity = before.withFree(left, upcoming = before.upcoming.filter { it !in promised })
            val here = takenByMachine[capacity.machine]
            if (here == null) capacity else withTasks(capacity, here.map { rowsByTask.getValue(it.job to it.task) })
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
