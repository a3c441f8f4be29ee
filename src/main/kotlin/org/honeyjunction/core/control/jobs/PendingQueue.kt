package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.capacity.TaskDemand
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TeamShare

/**
 * The waiting tasks within the teams' limits, in the order in which they are to start; input of placement rounds and of the
 * autoscaler. [TeamQuota] applies the limits, [MachineCapacity] computes what machines have free, [TaskRows] builds the rows.
 */
class PendingQueue(private val state: ClusterState) {
    /** Builds the rows of the placement matrix. */
    val rows = TaskRows(state)

    /** Computes what machines have free. */
    val capacity = MachineCapacity(state)
    private val guarantees = GuaranteeMarker(state)

    /** The waiting tasks of jobs that [owner] accepts, within the teams' limits, job by job in the order in which they are to start. */
    fun demands(now: Long, owner: (Job) -> Boolean = { true }): List<TaskDemand> {
        guarantees.refresh(now)
        val quotas = HashMap<Int, TeamQuota>()
        return state.active.values
            // A gang's reservation limits all jobs of its team, so gangs of other controllers have to be considered too.
            .filter { it.isPending(now) && (it.spec.kind == JobKind.GANG || owner(it)) }
            .sortedWith(startOrder(now))
            .mapNotNull { demand(it, now, quotas.getOrPut(it.team) { TeamQuota(state, it.team, now) }, owner) }
    }

    /** The waiting jobs that are missing in [demands] because of their team's limit. */
    fun beyondLimits(demands: List<TaskDemand>, now: Long): List<TaskDemand> {
        val wanted = demands.mapTo(HashSet()) { it.sample.job }
        return state.active.values
            .filter { it.index !in wanted && it.isPending(now) }
            .filter { it.spec.kind != JobKind.GANG || it.waiting.cardinality() == it.unfinished }
            .map {
                val gangOf = if (it.spec.kind == JobKind.GANG) it.unfinished else 0
                TaskDemand(rows.template(it).copy(gangSize = gangOf), it.waiting.cardinality())
            }
    }

    /**
     * The input of one controller's placement round: at most [limit] waiting tasks of the jobs that [owner] accepts, and the
     * machines that could take one of them.
     */
    fun summary(now: Long, limit: Int, owner: (Job) -> Boolean): Summary {
        val demands = demands(now, owner)
        if (demands.isEmpty()) return Summary(emptyList(), emptyList(), 0, emptyList())
        val usable = capacity.usableFor(demands, now)
        val fitting = FirstFitEstimate(usable, state.ruleBook.table)
        val selected = rows.select(demands, fitting, now, limit)
        return Summary(fitting.selectCapacities(usable, selected, MAX_MACHINES), teams(), capacity.slots(), selected, state.ruleBook.table)
    }

    /** Each team's weight, derived from its guarantee, and the number of its running tasks. */
    fun teams(): List<TeamShare> =
        state.cluster.teams.mapIndexed { index, team -> TeamShare(weight(team.guarantee), state.placementCount(index)) }

    private fun Job.isPending(now: Long) = !waiting.isEmpty && startable && !heldBack && notBefore <= now

    /** Failing jobs last; then by priority, guarantee, whether the deadline can still be met, and age. */
    private fun startOrder(now: Long): Comparator<Job> =
        compareBy<Job> { it.failing }
            .thenByDescending { it.spec.priority }
            .thenByDescending { it.guaranteed }
            .thenBy { it.missesDeadline(now) }
            .thenBy { it.createdAt }

    /**
     * The tasks of [job] that may start now, which are charged to [quota]; null if there are none, or if [owner] does not
     * accept the job.
     */
    private fun demand(job: Job, now: Long, quota: TeamQuota, owner: (Job) -> Boolean): TaskDemand? {
        val count = startableTasks(job, quota)
        if (count == 0 || !owner(job)) return null
        quota.admit(job, count)
        return TaskDemand(rows.firstWaiting(job, now), count, job.expectedRunS)
    }

    private fun startableTasks(job: Job, quota: TeamQuota): Int {
        // A job that fails on every machine is retried with one task at a time.
        if (job.failing && job.placements.isNotEmpty()) return 0
        val waiting = job.waiting.cardinality()
        if (job.spec.kind != JobKind.GANG) return quota.allowedTasks(job, if (job.failing) 1 else waiting)
        // A gang starts as a whole, so it waits while tasks of an earlier attempt are still on machines.
        if (waiting < job.unfinished) return 0
        return if (quota.allowsGang(job, waiting)) waiting else 0
    }

    private fun weight(guarantee: Resources) = if (guarantee.gpus > 0) guarantee.gpus else guarantee.cpus

    private companion object {
        /** The machines of a summary at most, which take about 150 kB to send. */
        const val MAX_MACHINES = 2_048
    }
}
