package org.honeyjunction.core.control.leader

import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.control.autoscaling.Autoscaler
import org.honeyjunction.core.control.autoscaling.Consolidation
import org.honeyjunction.core.control.jobs.Explainer
import org.honeyjunction.core.control.jobs.JobLifecycle
import org.honeyjunction.core.control.jobs.PendingQueue
import org.honeyjunction.core.control.jobs.TaskDispatcher
import org.honeyjunction.core.control.jobs.WorkConservationMonitor
import org.honeyjunction.core.control.journal.CheckpointWriter
import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.machines.FailureDetector
import org.honeyjunction.core.control.machines.HeartbeatProcessor
import org.honeyjunction.core.control.machines.UnknownJobs
import org.honeyjunction.core.control.machines.UnrecordedTaskGuard
import org.honeyjunction.core.control.machines.ZoneHealthMonitor
import org.honeyjunction.core.control.preemption.PreemptionPlanner
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.fairness.FairnessMonitor
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.rules.RuleSet

/** Creates and connects the components of one leader. They share one [state] and must be used from a single thread. */
internal class LeaderComponents(
    cluster: Cluster,
    tuning: Tuning,
    term: Long,
    startedAt: Long,
    wallNow: Long,
    listLagMs: Long,
    rules: RuleSet,
) {
    val state = ClusterState(cluster, tuning, term, startedAt).apply { useRules(rules) }
    val journal = PlacementJournal(state)
    val failures = FailureAttribution()
    val fairness = FairnessMonitor(startWithinMs(cluster))
    val lifecycle = JobLifecycle(state, journal, failures, fairness)
    val bootTimes = BootTimes()
    val unknownJobs = UnknownJobs(state)
    val heartbeats = HeartbeatProcessor(state, lifecycle, journal, bootTimes, unknownJobs)
    val unrecordedTasks = UnrecordedTaskGuard(state, journal)
    val zones = ZoneHealthMonitor(state, startedAt)
    val queue = PendingQueue(state)

    /** Null where rules are disabled, because explanations cost memory, and time with each start. */
    val explainer = if (tuning.rules) Explainer(state, queue, failures) else null
    val dispatcher = TaskDispatcher(state, journal, explainer)
    val checkpoints = CheckpointWriter(state, failures, bootTimes, fairness, wallNow - startedAt)
    val failureDetector = FailureDetector(state, queue, zones)
    val workConservation = WorkConservationMonitor(state, queue)
    val autoscaler = Autoscaler(state, queue, failureDetector, zones, bootTimes, startedAt, listLagMs)
    val preemption = PreemptionPlanner(state, queue, autoscaler)
    val consolidation = Consolidation(state, autoscaler)

    /** Requests the writes and sends the commands that an event has made necessary. Called after every event. */
    fun flush(now: Long) {
        lifecycle.flush(now)
        journal.flush(now)
        dispatcher.flushDueMachines(now)
    }

    private companion object {
        /** A job is started in time if it does not wait for longer than this many machine boots take. */
        const val START_WITHIN_BOOTS = 4

        /** The boot time that is assumed while no machine type is known. */
        const val DEFAULT_BOOT_MS = 60_000.0

        fun startWithinMs(cluster: Cluster): Long =
            START_WITHIN_BOOTS * (cluster.types.values.maxOfOrNull { it.bootS * 1000 } ?: DEFAULT_BOOT_MS).toLong()
    }
}
