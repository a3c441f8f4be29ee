package org.honeyjunction.core.control.autoscaling

import org.honeyjunction.core.boot.BootProgress
import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.machines.FailureDetector
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase

/**
 * Monitors rented instances: expires their worker leases, and releases instances that are dead, have failed to boot, are drained,
 * or are missing in the cloud's list. Times are monotonic milliseconds; [listLagMs] is the delay with which the cloud lists machines.
 */
internal class InstanceMonitor(
    private val state: ClusterState,
    private val failureDetector: FailureDetector,
    private val bootTimes: BootTimes,
    private val startedAt: Long,
    private val listLagMs: Long,
) {
    private var releaseInFlight = false
    private var releaseRetryAt = 0L

    /** When each machine was first listed by the cloud. */
    private val firstListedAt = HashMap<String, Long>()

    /** Expires leases and requests the releases that are due. */
    fun step(now: Long) {
        for (machine in state.machines) {
            expireLease(machine, now)
            if (shouldRelease(machine, now)) machine.enter(MachinePhase.RELEASING)
        }
        failureDetector.machinesToTerminate(now).forEach { it.enter(MachinePhase.RELEASING) }
        requestRelease(now)
    }

    private fun shouldRelease(machine: Machine, now: Long): Boolean =
        when (machine.phase) {
            MachinePhase.BOOTING -> bootProgress(machine, now) == BootProgress.ABANDONED
            MachinePhase.UNCONFIRMED, MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE ->
                failureDetector.shouldDeclareDead(machine, now)
            MachinePhase.DRAINING -> {
                val noticeUntil = machine.spotReclaimAt
                machine.placements.isEmpty() || noticeUntil != null && now > noticeUntil + state.cluster.leaseMs
            }
            MachinePhase.RELEASING, MachinePhase.GONE -> false
        }

    /** How the boot of [machine] is going, compared with the boot times of its instance kind. */
    fun bootProgress(machine: Machine, now: Long): BootProgress {
        val bootS = state.cluster.types[machine.type]?.bootS ?: DEFAULT_BOOT_S
        return bootTimes.assess(machine.kind, machine.knownSince, (bootS * 1000).toLong(), listLagMs, now)
    }

    /**
     * Removes the placements of [machine] if [WorkerLease] finds its lease expired: lease expiry is evidence that the machine's tasks
     * are gone.
     */
    private fun expireLease(machine: Machine, now: Long) {
        if (machine.lease.on(WorkerLease.Event.TimePassed(now)) != WorkerLease.Finding.EXPIRED) return
        val jobs = machine.placements.values.mapTo(HashSet()) { it.task.job }
        machine.placements.values.toList().forEach { state.remove(it, now) }
        if (machine.phase == MachinePhase.RELEASING) return
        machine.enter(MachinePhase.UNREACHABLE)
        machine.jobsAtExpiry = jobs
    }

    private fun requestRelease(now: Long) {
        // A partitioned leader considers its machines lost. Its delayed releases, executed after the partition heals, would remove
        // machines that its successor uses. So nothing is released after the leader lease has expired.
        if (releaseInFlight || now < releaseRetryAt || now >= state.leaseValidUntil) return
        val due =
            state.machines
                .filter { it.phase == MachinePhase.RELEASING }
                .map { it.name }
                .take(MAX_RELEASE)
        if (due.isEmpty()) return
        releaseInFlight = true
        state.effects += Effect.ScaleIn(due)
    }

    /** Handles the cloud's answer to the release of [machines]. If it is not [confirmed], its outcome is unknown and it is retried. */
    fun released(machines: List<String>, confirmed: Boolean, now: Long) {
        releaseInFlight = false
        if (!confirmed) {
            releaseRetryAt = now + RETRY_MS
            return
        }
        for (name in machines) {
            val machine = state.machine(name) ?: continue
            state.removeMachine(machine, now)
        }
    }

    /** Reconciles the state with the cloud's list of [machines]. */
    fun listed(machines: List<ListedMachine>, now: Long) {
        for (entry in machines) {
            firstListedAt.putIfAbsent(entry.name, now)
            reconcile(entry, now)
        }
        val names = machines.mapTo(HashSet()) { it.name }
        releaseUnlisted(names, now)
        firstListedAt.keys.removeIf { state.machine(it)?.phase == MachinePhase.GONE && it !in names }
        for (machine in state.machines) {
            // An earlier leader recorded this machine, but the cloud does not list it: its release confirms that it is gone.
            val unknown = machine.phase == MachinePhase.UNCONFIRMED && machine.name !in names
            if (unknown && now - startedAt > UNKNOWN_LIST_LAGS * listLagMs) machine.enter(MachinePhase.RELEASING)
        }
    }

    private fun reconcile(entry: ListedMachine, now: Long) {
        val machine = state.machine(entry.name) ?: state.addMachine(entry.name, now - (entry.rentedForS * 1000).toLong())
        if (machine.phase == MachinePhase.GONE) return
        state.describe(machine, entry.address, entry.type, entry.zone, entry.spot)
        if (entry.failed && machine.phase < MachinePhase.RELEASING) machine.enter(MachinePhase.RELEASING)
    }

    /**
     * Releases machines that are no longer listed. A machine stays listed until it is gone; but one list may be older than the list
     * before it, so that a machine is released only some time after its first listing.
     */
    private fun releaseUnlisted(names: Set<String>, now: Long) {
        for ((name, since) in firstListedAt) {
            val machine = state.machine(name) ?: continue
            if (name in names || machine.phase >= MachinePhase.RELEASING || now - since < UNLISTED_LIST_LAGS * listLagMs) continue
            machine.enter(MachinePhase.RELEASING)
        }
    }

    private companion object {
        /** The nominal boot time of machines of unknown type. */
        const val DEFAULT_BOOT_S = 60.0

        /** The most machines in one release request. */
        const val MAX_RELEASE = 100
        const val RETRY_MS = 1_000L

        /** How long after its first listing a machine that is missing in a list is considered lost, in list delays. */
        const val UNLISTED_LIST_LAGS = 4

        /** How long after the start of the term a recorded machine that is not listed is considered lost, in list delays. */
        const val UNKNOWN_LIST_LAGS = 3
    }
}
