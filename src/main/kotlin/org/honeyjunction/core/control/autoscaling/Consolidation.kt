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
 * Moves service replicas off a machine that the cluster can spare. Services run for long, so that replicas left over from busier
 * times would keep many machines, each with little on it. One machine at a time is drained.
 */
class Consolidation(private val state: ClusterState, private val autoscaler: Autoscaler) {
    private var nextAt = Long.MIN_VALUE

    /** Drains a machine if there is one to spare, at most once in [PERIOD_MS] (monotonic milliseconds). */
    fun step(now: Long) {
        if (now < nextAt || now >= state.leaseValidUntil) return
        nextAt = now + PERIOD_MS
        if (state.machines.any(::unsettled)) return
        val machine =
            state.machines
                .filter { movable(it, now) }
                .sortedBy { it.used.gpus + it.used.cpus / CPUS_PER_GPU }
                .firstOrNull { fitsElsewhere(it) && autoscaler.canSpare(it, now) } ?: return
        machine.enter(MachinePhase.DRAINING)
        machine.placements.values.toList().forEach { it.task.evict() }
    }

    /** While tasks are moving, the machines do not show what they will be used for. */
    private fun unsettled(machine: Machine): Boolean =
        machine.phase == MachinePhase.DRAINING || machine.placements.values.any { it.stopping || !it.phase.reported }

    private fun movable(machine: Machine, now: Long): Boolean =
        machine.usable && machine.placements.isNotEmpty() && machine.placements.values.all { settledReplica(it, now) }

    private fun settledReplica(placement: Placement, now: Long): Boolean =
        placement.task.job.spec.kind == JobKind.SERVICE &&
            placement.phase == Phase.RUNNING &&
            now - placement.phaseSince > SETTLED_MS

    /** Whether all replicas on [machine] fit on other machines that cache their images: a move must not cost a fetch. */
    private fun fitsElsewhere(machine: Machine): Boolean {
        val free = HashMap<Machine, Resources>()
        return machine.placements.values.all { placement ->
            val need = placement.task.job.spec.need
            val target = targetFor(placement, free) ?: return@all false
            free[target] = free.getValue(target) - need
            true
        }
    }

    /** The first machine that can take [placement]; [free]: what earlier moves leave free. */
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

        /** How many CPUs count as much as one GPU in the choice of the least used machine. */
        const val CPUS_PER_GPU = 1000

        /** A start that is undone sooner would be worthless. */
        const val SETTLED_MS = 35_000L
    }
}
