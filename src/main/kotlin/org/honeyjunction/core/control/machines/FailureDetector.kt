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
 * Detects machines whose heartbeats are missing, and decides how long to wait for each and which to declare dead. Whether their
 * tasks are gone is not decided here: that takes evidence (heartbeats, lease expiry, confirmed releases).
 *
 * An unresponsive machine is waited for as long as its replacement would take to boot and to fetch the cached images. Whenever it
 * comes back, waiting has then cost at most twice what knowing it beforehand would have. Replicas of production jobs do not wait:
 * if a machine may still run one that could start elsewhere at once, the machine is released, since the confirmed release is the
 * proof that the replica is gone.
 */
class FailureDetector(private val state: ClusterState, private val queue: PendingQueue, private val zones: ZoneHealthMonitor) {
    private var nextTerminationCheckAt = Long.MIN_VALUE

    /** Marks machines whose heartbeats are overdue. */
    fun step(now: Long) {
        for (machine in state.machines) {
            if (machine.phase == MachinePhase.UP && zones.heartbeatOverdue(machine, now)) machine.enter(MachinePhase.SUSPECTED)
            // A delayed message of an earlier term proves nothing about the present state: it is not confirmed under this term.
            val unfenced = machine.phase == MachinePhase.SUSPECTED && !machine.lease.fenced
            if (unfenced && zones.sinceLastContactMs(machine, now) > leaseExpiryMs) machine.enter(MachinePhase.UNCONFIRMED)
        }
    }

    /** Whether work that can wait may count on [machine]: an unresponsive machine of a partitioned zone will probably come back. */
    fun expectedToRecover(machine: Machine, now: Long): Boolean =
        when (machine.phase) {
            MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED -> true
            MachinePhase.UNREACHABLE ->
                zones[machine.zone] != ZoneHealth.HEALTHY && zones.sinceLastContactMs(machine, now) < recoveryTimeoutMs(machine)
            MachinePhase.BOOTING, MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.RELEASING, MachinePhase.GONE -> false
        }

    /** After this time without contact any worker lease has expired, allowing for clock drift. */
    private val leaseExpiryMs get() = (state.cluster.leaseMs * WorkerLease.DRIFT).toLong() + WorkerLease.MARGIN_MS

    /** From the expiry of its lease on: as long as a replacement would take to boot and to fetch the largest image cached here. */
    private fun recoveryTimeoutMs(machine: Machine): Long {
        val type = state.cluster.types[machine.type] ?: return leaseExpiryMs
        val fetchS = (machine.images.values.maxOrNull() ?: 0.0) / type.fetchGbPerS
        return leaseExpiryMs + ((type.bootS + fetchS) * 1000).toLong()
    }

    /** Whether [machine], which does not report, is to be declared dead now, that is, released. */
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

    /** A hung machine may run cancelled tasks beyond its lease; only its release makes sure that they are gone. */
    private fun hasCancelledTasks(machine: Machine) = machine.placements.values.any { cancelled(it.task.job) && it.stopping }

    /**
     * How long a machine of an earlier term with cancelled tasks is waited for. It may have to be gone soon: the leader does not
     * know for how long it has been unresponsive in all, and leaders may change faster than the recovery timeout. In a partitioned
     * zone machines are not hung, so that the expiry of their leases ends their tasks.
     */
    private fun cancellationTimeoutMs(machine: Machine) =
        if (zones[machine.zone] == ZoneHealth.PARTITIONED) leaseExpiryMs else heartbeatTimeoutMs

    private val heartbeatTimeoutMs get() = state.cluster.heartbeatIntervalMs * MISSED_HEARTBEATS

    private fun cancelled(job: Job) = job.stage == JobStage.CANCELLED || job.cancelRequested

    /** Whether this node itself is probably cut off: no machine at all reports, or the process was suspended until just now. */
    fun isolated(now: Long) =
        state.machines.none { now - it.lastContactAt < state.cluster.heartbeatIntervalMs * ISOLATION_HEARTBEATS } ||
            now - state.leaseGuard.resumedAt < state.cluster.heartbeatIntervalMs * RESUME_HEARTBEATS

    /**
     * The machines to release as a proof that replicas of production jobs are gone: those without contact past any lease that
     * have a replica which could start elsewhere at once. As long as they do not report, there is no other proof.
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
        val fitting = FirstFitEstimate(capacityForProduction(now), state.ruleBook.table)
        // Production tasks that are pending already go first.
        queue
            .demands(now)
            .filter { it.sample.priority == Priority.PRODUCTION }
            .forEach { fitting.reserve(it.sample, it.count) }
        return critical
            .filter { fitting.reserve(queue.rows.relocation(it.task, now), 1) > 0 }
            .mapTo(LinkedHashSet()) { it.machine }
            .toList()
    }

    /** A production replica that may still run on a machine of an earlier term, and nowhere else. */
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

    /** What is free on [machine], with what preempting checkpointed work of less than [priority] would free. */
    private fun capacityFor(machine: Machine, priority: Priority): Resources =
        machine.placements.values
            .filter { it.task.job.spec.priority < priority && it.task.job.spec.checkpointS > 0 }
            .fold(state.freeCapacity(machine)) { sum, placement -> sum + placement.task.job.spec.need }

    private companion object {
        const val TERMINATION_CHECK_PERIOD_MS = 1_000L

        /** Heartbeat periods without contact after which a machine with cancelled tasks is taken to be hung. */
        const val MISSED_HEARTBEATS = 3

        /** Heartbeat periods without contact to any machine after which this node takes itself to be cut off. */
        const val ISOLATION_HEARTBEATS = 4

        /** Heartbeat periods that the machines get to report after this process was suspended. */
        const val RESUME_HEARTBEATS = 2
    }
}
