package org.honeyjunction.core.control.autoscaling

import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.jobs.openZones
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources

/**
 * Consolidates service replicas: drains one machine at a time that the cluster can spare. Services run for a long time, so that
 * without consolidation the replicas that remain after a load peak would keep many machines in use, each at low utilization.
 */
class Consolidation(private val state: ClusterState, private val autoscaler: Autoscaler) {
    private var nextConsolidationAt = Long.MIN_VALUE

    /** Drains a machine that the cluster can spare, if there is one; runs at most once per [PERIOD_MS] (monotonic milliseconds). */
    fun step(now: Long) {
        if (now < nextConsolidationAt || now >= state.leaseValidUntil) return
        nextConsolidationAt = now + PERIOD_MS
        if (state.machines.any(::hasMovingTasks)) return
        val machine =
            state.machines
                .filter { onlySettledReplicas(it, now) }
                .sortedBy { it.used.gpus + it.used.cpus / CPUS_PER_GPU }
                .firstOrNull { fitsElsewhere(it) && autoscaler.canSpare(it, now) } ?: return
        machine.enter(MachinePhase.DRAINING)
        machine.placements.values.toList().forEach { it.task.evict() }
    }

    /** Whether tasks are moving to or from [machine], so that its present use does not show its future use. */
    private fun hasMovingTasks(machine: Machine): Boolean =
        machine.phase == MachinePhase.DRAINING || machine.placements.values.any { it.stopping || !it.phase.reported }

    private fun onlySettledReplicas(machine: Machine, now: Long): Boolean =
        machine.usable && machine.placements.isNotEmpty() && machine.placements.values.all { settledReplica(it, now) }

    private fun settledReplica(placement: Placement, now: Long): Boolean =
        placement.task.job.spec.kind == JobKind.SERVICE &&
            placement.phase == Phase.RUNNING &&
            now - placement.phaseSince > SETTLED_MS

    /** Whether all replicas on [machine] fit on other machines that already cache their images, so that no move fetches an image. */
    private fun fitsElsewhere(machine: Machine): Boolean {
        val free = HashMap<Machine, Resources>()
        return machine.placements.values.all { placement ->
            val need = placement.task.job.spec.need
            val target = targetFor(placement, free) ?: return@all false
            free[target] = free.getValue(target) - need
            true
        }
    }

    /** The first machine that can take [placement]; [free] is the capacity that the moves planned so far leave free. */
    private fun targetFor(placement: Placement, free: HashMap<Machine, Resources>): Machine? {
        val from = placement.machine
        val job = placement.task.job
        val zones = state.openZones(job, placement.task)
        return state.machines.firstOrNull { target ->
            target !== from &&
                target.usable &&
                target.spot == from.spot &&
                target.type == from.type &&
                job.image in target.images &&
                target.placements.isNotEmpty() &&
                zones shr target.zone and 1L != 0L &&
                job.spec.need.fitsIn(free.getOrPut(target) { state.freeCapacity(target) }) &&
                state.violatedRule(job, placement.task, target) == null
        }
    }

    private companion object {
        const val PERIOD_MS = 3_000L

        /** The number of CPUs that weigh as much as one GPU in the choice of the least used machine. */
        const val CPUS_PER_GPU = 1000

        /** How long a replica has to run before it may be moved: moving it sooner would waste its start. */
        const val SETTLED_MS = 35_000L
    }
}
