package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleCostCache
import org.honeyjunction.core.rules.RuleTable
import kotlin.math.min

/** The rows and columns of one assignment; [oversizedGangs] are the job indices of gangs that need more columns than the bound allows. */
class PrunedAssignment(val rows: List<TaskRow>, val slots: List<CandidateSlot>, val oversizedGangs: List<Int>)

/**
 * Bounds the matrix of one assignment to [CostSettings.maxColumns] columns and twice as many rows.
 *
 * Rows and columns are pruned together: a row is kept only with a column that the row may use, and a column only for a row that may
 * use the column. If rows and columns were pruned separately, the kept rows could be forbidden on all kept columns. The round would
 * then place nothing, and every later round would see the same input and place nothing either.
 *
 * If all columns and twice as many rows fit the bounds, nothing is pruned and the assignment is optimal.
 */
class CandidatePruning(private val summary: Summary, private val settings: CostSettings, private val rules: RuleCostCache) {
    /** The interchangeable rows of one job, and the columns that they may use. */
    private inner class JobRows(val rows: List<TaskRow>) {
        val sample = rows.first()
        val slots = ArrayList<CandidateSlot>()
        private val dependsOnNeighbours = rules.table.dependsOnOwnShape(sample.shape)

        /** The number of rows that have claimed a column which is free now. */
        var claimedCount = 0

        /** The number of rows that may wait for a slot which a running task will free. */
        var awaitingCount = 0
        val unclaimedCount get() = rows.size - claimedCount
        val isGang get() = sample.gangSize > 0

        /** Gangs, and jobs that are bound to one zone or spread over zones, need all their slots in one pass. */
        val needsSlotsAtOnce get() = isGang || sample.oneZone || sample.remainingPerZone != null

        /** Whether a task of the job may start on the machine next to the tasks that already run there. */
        fun admits(capacity: FreeCapacity, scene: RuleTable.MachineContext, sceneIndex: Int) =
            sample.allows(capacity) && (sample.shape < 0 || !rules.forbids(sample.shape, scene, sceneIndex, sample.mates))

        /** Whether one more task fits on the machine next to the tasks in its earlier slots, and the rules allow that. */
        fun admits(slot: CandidateSlot): Boolean {
            if (slot.slotIndex == 0) return true
            if (slot.slotIndex >= sample.need.countIn(slot.capacity.free)) return false
            if (!dependsOnNeighbours) return true
            val scene = slot.capacity.scene.plusTasks(sample.shape, slot.slotIndex)
            return !rules.forbids(sample.shape, scene, rules.contextIndex(scene), sample.mates)
        }
    }

    /** Claimed columns in insertion order, so that the same input always gives the same assignment. */
    private val claimedSlots = LinkedHashSet<CandidateSlot>()
    private var columnBudget = 0

    /** Prunes [ordered], the rows in descending precedence, and the free and upcoming slots. */
    fun prune(ordered: List<TaskRow>): PrunedAssignment {
        val jobs = ordered.groupBy { it.job }.values.map { JobRows(it) }
        val upcoming = upcomingSlots(jobs)
        val free = freeSlots(jobs, ordered.size)
        columnBudget = settings.maxColumns - upcoming.size
        val needsNoPruning = free.size <= columnBudget
        claimColumns(jobs)
        val slots = if (needsNoPruning) free else claimedSlots + unclaimedSlots(free)
        val oversizedGangs = jobs.filter { it.isGang && it.claimedCount == 0 && it.slots.size >= it.rows.size }.map { it.sample.job }
        val columns = upcoming + slots.sortedBy { it.capacity.machine }
        return PrunedAssignment(keptRows(jobs, ordered, slots, 2 * columns.size), columns, oversizedGangs)
    }

    /**
     * Claims columns by priority. Within one priority, jobs claim machines that cache their image first; for all other jobs such a
     * machine is worth no more than any other.
     */
    private fun claimColumns(jobs: List<JobRows>) {
        for (samePriority in jobs.groupBy { it.sample.priority to it.sample.guaranteed }.values) {
            samePriority.filter { it.isGang }.forEach(::claimForGang)
            val independent = samePriority.filter { !it.isGang }
            independent.forEach { job -> claim(job) { job.sample.image in it.capacity.images } }
            independent.forEach { job -> claim(job) { true } }
        }
    }

    private fun unclaimedSlots(free: List<CandidateSlot>): Sequence<CandidateSlot> =
        free
            .asSequence()
            .filter { it !in claimedSlots }
            .sortedBy { !it.cachesWantedImage }
            .take(columnBudget)

    /** Rows with a claimed column first, then further rows in their order, which the assignment may prefer for one of the columns. */
    private fun keptRows(jobs: List<JobRows>, ordered: List<TaskRow>, slots: Collection<CandidateSlot>, maxRows: Int): List<TaskRow> {
        val withColumn = jobs.flatMapTo(LinkedHashSet()) { it.rows.take(it.claimedCount + it.awaitingCount) }
        val kept = if (slots is Set<CandidateSlot>) slots else slots.toHashSet()
        val jobsWithSlots = jobs.filter { job -> !job.isGang && job.slots.any { it in kept } }.mapTo(HashSet()) { it.sample.job }
        val additional = ordered.asSequence().filter { it.job in jobsWithSlots && it !in withColumn }
        return (withColumn + additional.take((maxRows - withColumn.size).coerceAtLeast(0))).toList()
    }

    /** Claims a column for every task of [gang], or for none of them. */
    private fun claimForGang(gang: JobRows) {
        val free = gang.slots.filter { it !in claimedSlots }
        if (free.size < gang.rows.size || gang.rows.size > columnBudget) return
        free.sortedBy { gang.sample.image !in it.capacity.images }.take(gang.rows.size).forEach { claimSlot(gang, it) }
    }

    private inline fun claim(job: JobRows, isEligible: (CandidateSlot) -> Boolean) {
        if (job.unclaimedCount == 0 || columnBudget == 0) return
        for (slot in job.slots) {
            if (slot in claimedSlots || !isEligible(slot)) continue
            claimSlot(job, slot)
            if (job.unclaimedCount == 0 || columnBudget == 0) return
        }
    }

    private fun claimSlot(job: JobRows, slot: CandidateSlot) {
        claimedSlots += slot
        columnBudget--
        job.claimedCount++
    }

    /**
     * One column for each task of the smallest size that fits on a machine. Machines that cache no wanted image come first, which keeps
     * the others for the jobs that need their images.
     */
    private fun freeSlots(jobs: List<JobRows>, rows: Int): List<CandidateSlot> {
        val images = jobs.mapTo(HashSet()) { it.sample.image }
        val candidates = ArrayList<Pair<CandidateSlot, List<JobRows>>>()
        for (capacity in summary.capacities) {
            val scene = if (rules.empty) RuleTable.MachineContext.EMPTY else capacity.scene
            val sceneIndex = if (rules.empty) 0 else rules.contextIndex(scene)
            val allowed = jobs.filter { it.admits(capacity, scene, sceneIndex) }
            val cachesWantedImage = capacity.images.any { it in images }
            repeat(min(slotsInOnePass(allowed, capacity), rows)) {
                candidates += CandidateSlot(capacity, it, cachesWantedImage = cachesWantedImage) to allowed
            }
        }
        candidates.sortWith(compareBy<Pair<CandidateSlot, List<JobRows>>> { it.first.cachesWantedImage }.thenBy { it.first.slotIndex })
        for ((slot, allowed) in candidates) {
            for (job in allowed) {
                if (job.admits(slot)) job.slots += slot
            }
        }
        return candidates.map { it.first }
    }

    /**
     * The number of slots of a machine to offer in one pass. A machine that caches none of the wanted images offers one: the next pass
     * knows which image the machine fetches, so that the tasks of one image are placed on one machine and share one fetch.
     */
    private fun slotsInOnePass(allowed: List<JobRows>, capacity: FreeCapacity): Int {
        val fittingTasks = allowed.maxOfOrNull { it.sample.need.countIn(capacity.free) } ?: 0
        val needsAllSlots = allowed.any { it.sample.image in capacity.images || it.needsSlotsAtOnce }
        return if (needsAllSlots) fittingTasks else min(fittingTasks, 1)
    }

    /** Slots that running tasks will free soon, at most one for each row that may wait. */
    private fun upcomingSlots(jobs: List<JobRows>): List<CandidateSlot> =
        summary.capacities
            .asSequence()
            .flatMap { capacity ->
                capacity.upcoming.asSequence().map { CandidateSlot(capacity.withFree(capacity.free + it.resources), 0, it) }
            }.sortedBy { it.upcoming!!.availableInS }
            .filter { slot ->
                val waiter = jobs.firstOrNull { it.awaitingCount < it.rows.size && it.sample.mayAwait(slot) }
                waiter?.let { it.awaitingCount++ } != null
            }.take(settings.maxColumns / 2)
            .toList()
}
