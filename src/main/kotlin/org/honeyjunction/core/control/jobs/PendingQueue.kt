package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.capacity.Wanted
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TeamShare

/**
 * The waiting tasks in the order in which they are to start, within the teams' limits: what placement rounds and the
 * autoscaler work on. Limits are in [TeamQuota], the machines' side in [MachineCapacity], the rows in [TaskRows].
 */
class PendingQueue(private val state: ClusterState) {
    val rows = TaskRows(state)
    val capacity = MachineCapacity(state)
    private val guarantees = GuaranteeMarker(state)

    /** The waiting tasks within the teams' limits, job by job in the order in which they are to start. */
    fun demands(now: Long, owner: (Job) -> Boolean = { true }): List<Wanted> {
        guarantees.refresh(now)
        val quotas = HashMap<Int, TeamQuota>()
        return state.active.values
            // What is reserved for a gang is kept from all jobs of its team, whoever owns them.
            .filter { it.isPending(now) && (it.spec.kind == JobKind.GANG || owner(it)) }
            .sortedWith(startOrder(now))
            .mapNotNull { demand(it, now, quotas.getOrPut(it.team) { TeamQuota(state, it.team, now) }, owner) }
    }

    /** Waiting jobs that only their team's limit keeps out of [demands]. */
    fun beyondLimits(demands: List<Wanted>, now: Long): List<Wanted> {
        val wanted = demands.mapTo(HashSet()) { it.sample.job }
        return state.active.values
            .filter { it.index !in wanted && it.isPending(now) }
            .filter { it.spec.kind != JobKind.GANG || it.waiting.cardinality() == it.unfinished }
            .map {
                val gangOf = if (it.spec.kind == JobKind.GANG) it.unfinished else 0
                Wanted(rows.template(it).copy(gangOf = gangOf), it.waiting.cardinality())
            }
    }

    /** What one controller needs for a round: its waiting tasks, [limit] at most, and the machines that could take one of them. */
    fun summary(now: Long, limit: Int, owner: (Job) -> Boolean): Summary {
        val demands = demands(now, owner)
        if (demands.isEmpty()) return Summary(emptyList(), emptyList(), 0, emptyList())
        val usable = capacity.usableFor(demands, now)
        val fitting = FirstFitEstimate(usable, state.ruleBook.table)
        val selected = rows.select(demands, fitting, now, limit)
        return Summary(fitting.bounded(usable, selected, MAX_ROOMS), teams(), capacity.slots(), selected, state.ruleBook.table)
    }

    /** Each team's weight, which follows from its guarantee, and its running tasks. */
    fun teams(): List<TeamShare> =
        state.cluster.teams.mapIndexed { index, team -> TeamShare(weight(team.guarantee), state.placementCount(index)) }

    private fun Job.isPending(now: Long) = !waiting.isEmpty && startable && notBefore <= now

    /** Failing jobs last; then by priority, guarantee, whether the deadline can still be met, and age. */
    private fun startOrder(now: Long): Comparator<Job> =
        compareBy<Job> { it.failing }
            .thenByDescending { it.spec.priority }
            .thenByDescending { it.guaranteed }
            .thenBy { it.missesDeadline(now) }
            .thenBy { it.createdAt }

    /** What of [job] may start now, with which [quota] is charged; null: nothing, or another controller is its [owner]. */
    private fun demand(job: Job, now: Long, quota: TeamQuota, owner: (Job) -> Boolean): Wanted? {
        val count = startableTasks(job, quota)
        if (count == 0 || !owner(job)) return null
        quota.admit(job, count)
        return Wanted(rows.firstWaiting(job, now), count, job.expectedRunS)
    }

    private fun startableTasks(job: Job, quota: TeamQuota): Int {
        // Of a job that fails wherever it is tried, one task at a time is started.
        if (job.failing && job.placements.isNotEmpty()) return 0
        val waiting = job.waiting.cardinality()
        if (job.spec.kind != JobKind.GANG) return quota.allowedTasks(job, if (job.failing) 1 else waiting)
        // A gang starts whole: some of its tasks may still be on machines.
        if (waiting < job.unfinished) return 0
        return if (quota.allowsGang(job, waiting)) waiting else 0
    }

    private fun weight(guarantee: Resources) = if (guarantee.gpus > 0) guarantee.gpus else guarantee.cpus

    private companion object {
        /** About 150 kB to send. */
        const val MAX_ROOMS = 2_048
    }
}
