package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.jobs.PendingQueue
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.FreeCapacity

/**
 * Detects machines whose heartbeats are missing, and decides how long to wait for each machine and which machines to declare dead.
 * Declaring a machine dead does not mark its tasks as gone: that requires a heartbeat, a lease expiry or a confirmed release.
 *
 * The recovery timeout of an unresponsive machine is the time that a replacement would take to boot and to fetch the cached images.
 * By the ski-rental argument, the cost of waiting is then at most twice the cost of the best decision in hindsight. Replicas of
 * production jobs do not wait: if an unresponsive machine may still run a replica that could start elsewhere at once, the machine is
 * released, since the confirmed release proves that the replica is gone.
 */
class FailureDetector(private val state: ClusterState, private val queue: PendingQueue, private val zones: ZoneHealthMonitor) {
    private var nextTerminationCheckAt = Long.MIN_VALUE

    /**
     * Moves machines with overdue heartbeats to [MachinePhase.SUSPECTED], and suspected machines that have not acknowledged this
     * term's fencing token to [MachinePhase.UNCONFIRMED] once every worker lease has expired.
     */
    fun step(now: Long) {
        for (machine in state.machines) {
            if (machine.phase == MachinePhase.UP && zones.heartbeatOverdue(machine, now)) machine.enter(MachinePhase.SUSPECTED)
            // A machine without this term's fencing token has only sent messages of an earlier term, which may have been delayed
            // and prove nothing about the present state.
            val unfenced = machine.phase == MachinePhase.SUSPECTED && !machine.lease.fenced
            if (unfenced && zones.sinceLastContactMs(machine, now) > leaseExpiryMs) machine.enter(MachinePhase.UNCONFIRMED)
        }
    }

    /** Whether the planner counts the capacity of the unresponsive [machine] for work that can wait for its recovery. */
    fun expectedToRecover(machine: Machine, now: Long): Boolean =
        when (machine.phase) {
            MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED -> true
            // Machines in a partitioned zone will probably come back when the partition heals.
            MachinePhase.UNREACHABLE ->
                zones[machine.zone] != ZoneHealth.HEALTHY && zones.sinceLastContactMs(machine, now) < recoveryTimeoutMs(machine)
            MachinePhase.BOOTING, MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.RELEASING, MachinePhase.GONE -> false
        }

    /** The time without contact, in milliseconds, after which every worker lease has expired, with allowance for clock drift. */
    private val leaseExpiryMs get() = (state.cluster.leaseMs * WorkerLease.DRIFT).toLong() + WorkerLease.MARGIN_MS

    /**
     * The time without contact, in milliseconds, after which [machine] is declared dead: the lease expiry, plus the time that a
     * replacement would take to boot and to fetch the largest image cached on [machine].
     */
    private fun recoveryTimeoutMs(machine: Machine): Long {
        val type = state.cluster.types[machine.type] ?: return leaseExpiryMs
        val fetchS = (machine.images.values.maxOrNull() ?: 0.0) / type.fetchGbPerS
        return leaseExpiryMs + ((type.bootS + fetchS) * 1000).toLong()
    }

    /** Whether the unresponsive [machine] is declared dead at [now], so that the caller releases it. */
    fun shouldDeclareDead(machine: Machine, now: Long): Boolean {
        if (isolated(now)) return false
        val silentMs = zones.sinceLastContactMs(machine, now)
        return when (machine.phase) {
            MachinePhase.UNREACHABLE -> silentMs > recoveryTimeoutMs(machine) || machine.jobsAtExpiry.any(::cancelled)
            MachinePhase.UNCONFIRMED ->
                silentMs > recoveryTimeoutMs(machine) ||
                    silentMs > cancellationTimeoutMs(machine) &&
                    hasCancelledTasks(machine)
            MachinePhase.UP, MachinePhase.SUSPECTED ->
                now - machine.lastContactAt > maxOf(heartbeatTimeoutMs, state.cluster.cancelMs / 4) && hasCancelledTasks(machine)
            MachinePhase.BOOTING, MachinePhase.DRAINING, MachinePhase.RELEASING, MachinePhase.GONE -> false
        }
    }

    /** A hung machine may run cancelled tasks past its lease; only its release ensures that these tasks are gone. */
    private fun hasCancelledTasks(machine: Machine) = machine.placements.values.any { cancelled(it.task.job) && it.stopping }

    /**
     * The time without contact, in milliseconds, after which an unconfirmed [machine] with cancelled tasks is declared dead. This
     * timeout is short: a new leader does not know for how long the machine has been unresponsive in total, and leaders may change
     * faster than the recovery timeout. Machines in a partitioned zone are not hung, so that lease expiry ends their tasks.
     */
    private fun cancellationTimeoutMs(machine: Machine) =
        if (zones[machine.zone] == ZoneHealth.PARTITIONED) leaseExpiryMs else heartbeatTimeoutMs

    private val heartbeatTimeoutMs get() = state.cluster.heartbeatIntervalMs * MISSED_HEARTBEATS

    private fun cancelled(job: Job) = job.stage == JobStage.CANCELLED || job.cancelRequested

    /** Whether this node itself is probably cut off: no machine reports, or this process has just resumed after a suspension. */
    fun isolated(now: Long) =
        state.machines.none { now - it.lastContactAt < state.cluster.heartbeatIntervalMs * ISOLATION_HEARTBEATS } ||
            now - state.leaseGuard.resumedAt < state.cluster.heartbeatIntervalMs * RESUME_HEARTBEATS

    /**
     * The machines to release in order to prove that their replicas of production jobs are gone: unconfirmed machines without
     * contact past the lease expiry, with a replica that could start elsewhere at once. While such a machine does not report, only
     * its confirmed release proves that the replica is gone.
     */
    fun machinesToTerminate(now: Long): List<Machine> {
        if (now < nextTerminationCheckAt || isolated(now)) return emptyList()
        nextTerminationCheckAt = now + TERMINATION_CHECK_PERIOD_MS
        val candidates =
            state.machines.filter {
                it.phase == MachinePhase.UNCONFIRMED && zones.sinceLastContactMs(it, now) > leaseExpiryMs
            }
        val critical = candidates.flatMap { machine -> machine.placements.values.filter(::critical) }
        if (critical.isEmpty()) return emptyList()
        val capacityEstimate = FirstFitEstimate(capacityForProduction(now), state.ruleBook.table)
        // Production tasks that are already pending take capacity before relocated replicas.
        queue
            .demands(now)
            .filter { it.sample.priority == Priority.PRODUCTION }
            .forEach { capacityEstimate.reserve(it.sample, it.count) }
        return critical
            .filter { capacityEstimate.reserve(queue.rows.relocation(it.task, now), 1) > 0 }
            .mapTo(LinkedHashSet()) { it.machine }
            .toList()
    }

    /** Whether [placement] is the only one of a production replica, which an earlier leader started and which may still run. */
    private fun critical(placement: Placement) =
        placement.phase == Phase.UNCONFIRMED &&
            placement.task.job.spec.priority == Priority.PRODUCTION &&
            placement.task.job.startable &&
            placement.task.placements.size == 1

    private fun capacityForProduction(now: Long): List<FreeCapacity> =
        state.machines
            .filter { it.usable && it.address != null && it.type in state.cluster.types }
            .map { queue.capacity.freeCapacityOf(it, now).withFree(capacityFor(it, Priority.PRODUCTION)) }
            .filter { it.free.gpus > 0 || it.free.cpus > 0 }

    /** The free capacity of [machine], including what preempting checkpointing tasks of a priority below [priority] would free. */
    private fun capacityFor(machine: Machine, priority: Priority): Resources =
        machine.placements.values
            .filter { it.task.job.spec.priority < priority && it.task.job.spec.checkpointS > 0 }
            .fold(state.freeCapacity(machine)) { sum, placement -> sum + placement.task.job.spec.need }

    private companion object {
        const val TERMINATION_CHECK_PERIOD_MS = 1_000L

        /** Heartbeat periods without contact after which a machine with cancelled tasks is considered hung. */
        const val MISSED_HEARTBEATS = 3

        /** Heartbeat periods without contact to any machine after which this node considers itself cut off. */
        const val ISOLATION_HEARTBEATS = 4

        /** Heartbeat periods that the machines have to report after this process resumes from a suspension. */
        const val RESUME_HEARTBEATS = 2
    }
}
