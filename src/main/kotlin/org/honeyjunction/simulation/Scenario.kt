package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.PlannedJob

/** Simulates a large fleet in virtual time, with jobs and faults at scheduled times and one leader at a time. */
class Scenario(
    setup: ClusterSetup,
    machines: Int,
    seed: Long,
    jobs: List<PlannedJob>,
    faults: List<Fault>,
    private val log: (Long, String) -> Unit,
) {
    val cluster = SimulatedCluster(seed, machines, setup)
    val serviceLevels = ServiceLevelRecorder(cluster, setup.type, GRACE_MS)
    private val planned = jobs.sortedBy { it.atMs }
    private val settledAt = (faults.maxOfOrNull { it.atMs + it.forMs } ?: 0) + SETTLE_MS

    init {
        cluster.elect()
        for (job in planned) {
            cluster.after(job.atMs) {
                cluster.submit(job.work.spec)
                serviceLevels.submitted(job.work.spec)
            }
        }
        for (job in planned) job.cancelAtMs?.let { at -> cluster.after(at) { cluster.cancel(job.work.spec.id) } }
        val injector = ScenarioFaults(cluster)
        for (fault in faults) {
            cluster.after(fault.atMs) {
                log(cluster.now, "${fault.what.name.lowercase()} ${describe(fault.whom)} for ${fault.forMs / 1000.0} s")
                injector.inject(fault)
            }
        }
    }

    private fun describe(target: Fault.Whom) =
        when (target) {
            is Fault.Whom.Machines -> "${target.count} machines"
            is Fault.Whom.Zone -> "zone ${target.name}"
            is Fault.Whom.Node -> "node ${target.number}"
            Fault.Whom.AllNodes -> "all nodes"
            Fault.Whom.Others -> "the others"
            Fault.Whom.Leader, Fault.Whom.Machine, Fault.Whom.State, Fault.Whom.Cloud -> "the ${target.toString().lowercase()}"
            is Fault.Whom.Shared -> target.toString().lowercase()
        }

    /** Runs until all jobs except services have ended, a check has failed, or [withinMs] have passed. */
    fun run(withinMs: Long) {
        val lastSubmittedAt = planned.maxOfOrNull { it.atMs } ?: 0
        while (cluster.now < withinMs && cluster.broken.isEmpty()) {
            cluster.run(1_000)
            serviceLevels.sample()
            if (cluster.now % LOG_MS == 0L) log(cluster.now, status())
            if (cluster.now > lastSubmittedAt && unfinished().isEmpty() && cluster.now >= settledAt) break
        }
    }

    /** Summary of the cluster's present state, for the log. */
    fun status(): String {
        val workers = cluster.workers.values
        val now = cluster.now
        val silent = workers.count { it.silent(now) || now < it.cutUntil }
        val running = workers.filter { it.holds(now) }.sumOf { worker -> worker.tasks.values.count { it.live } }
        return "machines ${workers.size}, silent $silent, tasks on machines $running, jobs ${cluster.state.jobs.size} active, " +
            "${cluster.state.terminalRecords.size} ended, rented ${cluster.cloud.totalRented}, released ${cluster.cloud.releases}"
    }

    /** Ids of the active jobs, except services, and of all jobs that are not submitted yet, including services. */
    fun unfinished(): List<String> {
        val specs = planned.map { it.work.spec }
        val active = specs.filter { it.kind != JobKind.SERVICE && it.id !in cluster.state.terminalRecords && it.id in cluster.state.jobs }
        val notSubmitted = planned.filter { it.atMs > cluster.now }.map { it.work.spec }
        return (active + notSubmitted).map { it.id }
    }

    /** Number of jobs that ended successfully. */
    val doneCount get() = cluster.state.terminalRecords.values.count { it.stage == JobStage.DONE }

    companion object {
        private const val GRACE_MS = 45_000L
        private const val LOG_MS = 10_000L

        /** Time after the last fault in which the cluster has to recover. */
        private const val SETTLE_MS = 60_000L

        /** See [FleetJobs]. */
        fun jobs(machines: Int, setup: ClusterSetup): List<PlannedJob> = FleetJobs(setup).jobsFor(machines)
    }
}
