package org.honeyjunction.core.control.preemption

import org.honeyjunction.core.control.autoscaling.Autoscaler
import org.honeyjunction.core.control.jobs.PendingQueue
import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.PreemptibleTask
import org.honeyjunction.core.placement.Preemption
import org.honeyjunction.core.placement.TaskRow

/** Preempts running tasks in favour of pending tasks that take precedence over them. Times are monotonic milliseconds. */
class PreemptionPlanner(private val state: ClusterState, private val queue: PendingQueue, private val autoscaler: Autoscaler) {
    /** Runs one preemption round over all demands that have waited long enough. */
    fun preempt(now: Long) {
        val demands = queue.demands(now) { !it.failing }.filter { it.sample.waitingMs >= state.tuning.preemptAfterMs }
        if (demands.isEmpty()) return
        val sites = state.machines.filter { it.usable && it.type >= 0 }.map { site(it, now) }
        val unmetJobs =
            autoscaler.latestPlan
                ?.unmet
                .orEmpty()
                .mapTo(HashSet()) { it.job }
        var rowsLeft = MAX_ROWS
        val futileDemands = ArrayList<TaskRow>()
        for (demand in demands) {
            // Futile demands have a limit of their own, so that they do not use up the row limit of the other demands.
            if (rowsLeft <= 0 || futileDemands.size >= MAX_FUTILE) break
            // If no victims were found for a task with the same preemption rights, none will be found for a larger task.
            if (futileDemands.any { demand.sample.noEasierToServeThan(it) }) continue
            val count = if (demand.sample.gangSize > 0) demand.count else minOf(demand.count, rowsLeft)
            if (preemptFor(demand.sample, count, sites, demand.sample.job in unmetJobs, now)) {
                rowsLeft -= count
            } else {
                futileDemands += demand.sample
            }
        }
    }

    private fun site(machine: Machine, now: Long): PreemptionSite {
        val (leaving, staying) = machine.placements.values.partition { it.stopping }
        val free = leaving.fold(state.freeCapacity(machine)) { sum, placement -> sum + placement.task.job.spec.need }
        val running = staying.filter { it.phase.reported }.mapTo(ArrayList()) { describe(it, now) }
        return PreemptionSite(machine, queue.capacity.freeCapacityOf(machine, now).withFree(free), running, state.ruleBook.table)
    }

    /**
     * Whether this task needs at least as much as [other] and has the same preemption rights. These rights depend on the team and
     * the guarantee, besides the priority.
     */
    private fun TaskRow.noEasierToServeThan(other: TaskRow) =
        team == other.team && priority == other.priority && guaranteed == other.guaranteed && requiresAtLeast(other)

    /**
     * Preempts for all [count] tasks of a gang, or else for as many of [count] tasks as possible. For a job bound to one zone, picks
     * the zone where most tasks can start, and among equals the one where the least work is lost. Returns false if no task can start.
     */
    private fun preemptFor(row: TaskRow, count: Int, sites: List<PreemptionSite>, unmet: Boolean, now: Long): Boolean {
        val plans =
            if (row.oneZone) {
                sites.groupBy { it.capacity.zone }.map { (_, inZone) -> StepPlanner(row, inZone, unmet).plan(count) }
            } else {
                listOf(StepPlanner(row, sites, unmet).plan(count))
            }
        val byTasksThenLeastLoss = compareBy<List<PreemptionStep>> { it.size }.thenByDescending { steps -> steps.sumOf { it.lostS } }
        val best = plans.filter { it.size == count || row.gangSize == 0 }.maxWithOrNull(byTasksThenLeastLoss) ?: return false
        best.forEach { carryOut(it, row, now) }
        return best.isNotEmpty()
    }

    private fun carryOut(step: PreemptionStep, row: TaskRow, now: Long) {
        step.site.preempt(step.victims)
        step.site.take(row.need)
        if (step.victims.isEmpty()) return
        step.victims.forEach { it.task.task.evict() }
        step.site.machine.reserveForPriority(row.priority, now + RESERVATION_MS)
    }

    /**
     * Plans where tasks like [row] could start, task by task: on free capacity first, then on the machine where the least work is
     * lost. [unmet] is true if no instance can be rented for these tasks.
     */
    private inner class StepPlanner(private val row: TaskRow, sites: List<PreemptionSite>, private val unmet: Boolean) {
        private val possible = sites.filter { allows(it) && it.conflicts(row) != null }
        private val freeOf = HashMap<PreemptionSite, Resources>()
        private val stopped = HashSet<PreemptibleTask<Placement>>()

        fun plan(count: Int): List<PreemptionStep> {
            val steps = ArrayList<PreemptionStep>()
            while (steps.size < count) {
                val step = stepOnFreeCapacity() ?: cheapestPreemption() ?: break
                steps += step
                stopped += step.victims
                freeOf[step.site] = step.victims.fold(free(step.site)) { sum, victim -> sum + victim.need } - row.need
            }
            return steps
        }

        private fun allows(site: PreemptionSite): Boolean {
            val capacity = site.capacity
            val size = state.cluster.types.getValue(capacity.type).size
            return row.allows(capacity.type, capacity.zone, capacity.spot, capacity.floor, size)
        }

        private fun free(site: PreemptionSite) = freeOf[site] ?: site.capacity.free

        private fun stepOnFreeCapacity(): PreemptionStep? {
            val site =
                possible.firstOrNull { site ->
                    row.need.fitsIn(free(site)) && site.conflicts(row).orEmpty().all { it in stopped }
                }
            return site?.let { PreemptionStep(it, emptyList(), 0.0) }
        }

        private fun cheapestPreemption(): PreemptionStep? = possible.mapNotNull(::preemptionOn).minByOrNull { it.lostS }

        private fun preemptionOn(site: PreemptionSite): PreemptionStep? {
            val preemptible = site.running.filter { it !in stopped && mayPreempt(it) }
            val conflicting = site.conflicts(row).orEmpty().filter { it !in stopped }
            if (preemptible.isEmpty() || !preemptible.containsAll(conflicting)) return null
            val free = conflicting.fold(free(site)) { sum, victim -> sum + victim.need }
            val others = Preemption.victims(row, free, preemptible - conflicting.toSet()) ?: return null
            val victims = conflicting + others
            if (victims.isEmpty()) return null
            return PreemptionStep(site, victims, victims.sumOf { it.lostWorkS } + fetchS(site.machine, row))
        }

        /** While instances can still be rented, only work that keeps its progress is preempted. */
        private fun mayPreempt(victim: PreemptibleTask<Placement>): Boolean =
            Preemption.mayPreempt(row, victim) && (unmet || keepsProgress(row, victim.task))
    }

    private fun keepsProgress(row: TaskRow, placement: Placement): Boolean {
        val spec = placement.task.job.spec
        return spec.priority < row.priority && spec.checkpointS > 0
    }

    private fun fetchS(machine: Machine, row: TaskRow): Double {
        val rate = state.cluster.types[machine.type]?.fetchGbPerS ?: return 0.0
        return if (row.image in machine.images) 0.0 else row.imageGb / rate
    }

    private fun describe(placement: Placement, now: Long): PreemptibleTask<Placement> {
        val job = placement.task.job
        val lostS = lostS(placement, now)
        return PreemptibleTask(placement, placement.machine.index, job.team, job.spec.priority, job.guaranteed, job.spec.need, lostS)
    }

    /** The cost of preempting [placement], in seconds of lost work. */
    private fun lostS(placement: Placement, now: Long): Double {
        val spec = placement.task.job.spec
        val running = placement.phase == Phase.RUNNING
        val ranS = if (running) (now - placement.phaseSince) / 1000.0 else 0.0
        val progressLostS =
            when {
                spec.kind == JobKind.SERVICE -> SERVICE_LOSS_S
                spec.checkpointS > 0 && running -> spec.saveS
                else -> ranS
            }
        // Preempting a task right after its start wastes the start.
        val recentStartS = if (ranS < RECENT_START_S) RECENT_START_S else 0.0
        return progressLostS + recentStartS + RESTART_S
    }

    private companion object {
        /** The most tasks for which one round preempts. */
        const val MAX_ROWS = 64

        /** The most demands that one round may fail to serve before it ends. */
        const val MAX_FUTILE = 48

        /** How long the freed capacity is reserved for the priority of the task that it was freed for. */
        const val RESERVATION_MS = 8_000L

        /** A task that has run for less time counts as just started; this time is then added to the cost of preempting the task. */
        const val RECENT_START_S = 30.0

        /** The cost of starting a preempted task again, in seconds of lost work. */
        const val RESTART_S = 3.0

        /** The cost of preempting a service replica, in seconds of lost work; the time that the replica has run does not count. */
        const val SERVICE_LOSS_S = 60.0
    }
}
