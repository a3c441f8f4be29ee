package org.honeyjunction.core.placement

import org.honeyjunction.core.rules.RuleTable
import org.honeyjunction.core.rules.RuleView
import kotlin.math.min

/** What one assignment is solved over; [tooLarge] names the gangs (job indices) that need more columns than it may have. */
class PrunedAssignment(val rows: List<TaskRow>, val slots: List<CandidateSlot>, val tooLarge: List<Int>)

/**
 * Bounds the matrix of one assignment to [CostSettings.maxColumns] columns and twice as many rows.
 *
 * Rows and columns are pruned together: a row is kept only with a column that it may use, a column only for a row that may use it.
 * If they were pruned separately, the first rows could be barred from all of the first columns; nothing would be placed then, and
 * since nothing changes between rounds, nothing ever would be.
 *
 * Where all columns and twice as many rows fit the bounds, nothing is pruned and the assignment is the optimum.
 */
class CandidatePruning(private val summary: Summary, private val settings: CostSettings, private val rules: RuleView) {
    /** The rows of one job, which are alike, and the columns that they may use. */
    private inner class JobRows(val rows: List<TaskRow>) {
        val sample = rows.first()
        val slots = ArrayList<CandidateSlot>()
        private val dependsOnNeighbours = rules.table.dependsOnNeighbours(sample.shape)

        /** Rows that have a column of their own, free now. */
        var claimed = 0

        /** Rows that may wait for a column that will be free soon. */
        var awaiting = 0
        val unclaimed get() = rows.size - claimed
        val isGang get() = sample.gangSize > 0

        /** Gangs, and jobs bound to one zone or spread over zones, need all their slots in one pass. */
        val needsSlotsAtOnce get() = isGang || sample.oneZone || sample.remainingPerZone != null

        fun admits(capacity: FreeCapacity, scene: RuleTable.Scene, sceneIndex: Int) =
            sample.allows(capacity) && (sample.shape < 0 || !rules.bars(sample.shape, scene, sceneIndex, sample.mates))

        /** Whether one more task fits beside those that earlier slots of the machine took, and the rules allow it. */
        fun admits(slot: CandidateSlot): Boolean {
            if (slot.place == 0) return true
            if (slot.place >= sample.need.countIn(slot.capacity.free)) return false
            if (!dependsOnNeighbours) return true
            val scene = slot.capacity.scene.with(sample.shape, slot.place)
            return !rules.bars(sample.shape, scene, rules.scene(scene), sample.mates)
        }
    }

    /** Claimed columns in the order of their claims, so that the same input always gives the same assignment. */
    private val taken = LinkedHashSet<CandidateSlot>()
    private var columnBudget = 0

    /** Prunes [ordered], the rows in the order in which they are to start. */
    fun prune(ordered: List<TaskRow>): PrunedAssignment {
        val jobs = ordered.groupBy { it.job }.values.map { JobRows(it) }
        val upcoming = upcomingSlots(jobs)
        val free = freeSlots(jobs, ordered.size)
        columnBudget = settings.maxColumns - upcoming.size
        val fitsWhole = free.size <= columnBudget
        claimColumns(jobs)
        val slots = if (fitsWhole) free else taken + unclaimedSlots(free)
        val tooLarge = jobs.filter { it.isGang && it.claimed == 0 && it.slots.size >= it.rows.size }.map { it.sample.job }
        val columns = upcoming + slots.sortedBy { it.capacity.machine }
        return PrunedAssignment(keptRows(jobs, ordered, slots, 2 * columns.size), columns, tooLarge)
    }

    /** Within one priority, jobs whose image is cached choose first: to others a column near that image is like any other. */
    private fun claimColumns(jobs: List<JobRows>) {
        for (level in jobs.groupBy { it.sample.priority to it.sample.guaranteed }.values) {
            level.filter { it.isGang }.forEach(::claimForGang)
            val independent = level.filter { !it.isGang }
            independent.forEach { job -> claim(job) { job.sample.image in it.capacity.images } }
            independent.forEach { job -> claim(job) { true } }
        }
    }

    private fun unclaimedSlots(free: List<CandidateSlot>): Sequence<CandidateSlot> =
        free
            .asSequence()
            .filter { it !in taken }
            .sortedBy { !it.near }
            .take(columnBudget)

    /** Rows with a column of their own, then others in their order, since the assignment may find them a better use of a column. */
    private fun keptRows(jobs: List<JobRows>, ordered: List<TaskRow>, slots: Collection<CandidateSlot>, most: Int): List<TaskRow> {
        val withColumn = jobs.flatMapTo(LinkedHashSet()) { it.rows.take(it.claimed + it.awaiting) }
        val kept = if (slots is Set<CandidateSlot>) slots else slots.toHashSet()
        val open = jobs.filter { job -> !job.isGang && job.slots.any { it in kept } }.mapTo(HashSet()) { it.sample.job }
        val others = ordered.asSequence().filter { it.job in open && it !in withColumn }
        return (withColumn + others.take((most - withColumn.size).coerceAtLeast(0))).toList()
    }

    /** A gang's tasks need their columns all at once. */
    private fun claimForGang(gang: JobRows) {
        val free = gang.slots.filter { it !in taken }
        if (free.size < gang.rows.size || gang.rows.size > columnBudget) return
        free.sortedBy { gang.sample.image !in it.capacity.images }.take(gang.rows.size).forEach { take(gang, it) }
    }

    private inline fun claim(job: JobRows, wanted: (CandidateSlot) -> Boolean) {
        if (job.unclaimed == 0 || columnBudget == 0) return
        for (slot in job.slots) {
            if (slot in taken || !wanted(slot)) continue
            take(job, slot)
            if (job.unclaimed == 0 || columnBudget == 0) return
        }
    }

    private fun take(job: JobRows, slot: CandidateSlot) {
        taken += slot
        columnBudget--
        job.claimed++
    }

    /** As many slots per machine as the smallest task that may use it fits in, each a column; those near no wanted image first. */
    private fun freeSlots(jobs: List<JobRows>, rows: Int): List<CandidateSlot> {
        val images = jobs.mapTo(HashSet()) { it.sample.image }
        val found = ArrayList<Pair<CandidateSlot, List<JobRows>>>()
        for (capacity in summary.capacities) {
            val scene = if (rules.empty) RuleTable.Scene.NOWHERE else capacity.scene
            val sceneIndex = if (rules.empty) 0 else rules.scene(scene)
            val allowed = jobs.filter { it.admits(capacity, scene, sceneIndex) }
            val near = capacity.images.any { it in images }
            repeat(min(slotsInOnePass(allowed, capacity), rows)) { found += CandidateSlot(capacity, it, near = near) to allowed }
        }
        found.sortWith(compareBy<Pair<CandidateSlot, List<JobRows>>> { it.first.near }.thenBy { it.first.place })
        for ((slot, allowed) in found) {
            for (job in allowed) {
                if (job.admits(slot)) job.slots += slot
            }
        }
        return found.map { it.first }
    }

    /**
     * Where every image would have to be fetched, one slot a pass: the next pass knows which image is on its way, so that the
     * tasks of one image come to lie on one machine and one fetch serves them all.
     */
    private fun slotsInOnePass(allowed: List<JobRows>, capacity: FreeCapacity): Int {
        val fits = allowed.maxOfOrNull { it.sample.need.countIn(capacity.free) } ?: 0
        val atOnce = allowed.any { it.sample.image in capacity.images || it.needsSlotsAtOnce }
        return if (atOnce) fits else min(fits, 1)
    }

    /** Slots that will be free soon, no more of them than there are rows that would wait. */
    private fun upcomingSlots(jobs: List<JobRows>): List<CandidateSlot> =
        summary.capacities
            .asSequence()
            .flatMap { capacity ->
                capacity.upcoming.asSequence().map { CandidateSlot(capacity.withFree(capacity.free + it.resources), 0, it) }
            }.sortedBy { it.upcoming!!.availableInS }
            .filter { slot ->
                val waiter = jobs.firstOrNull { it.awaiting < it.rows.size && it.sample.mayAwait(slot) }
                waiter?.let { it.awaiting++ } != null
            }.take(settings.maxColumns / 2)
            .toList()
}
