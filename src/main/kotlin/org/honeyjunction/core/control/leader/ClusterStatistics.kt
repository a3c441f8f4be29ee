package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase

/** Machines by phase, GPUs by the phase of their tasks, and waiting tasks, as one line for the log. */
fun ClusterState.statistics(): String {
    val phases = machines.groupingBy { it.phase }.eachCount()
    val inUse = JobKind.entries.associateWith(::gpusByPhase)
    val up = machines.filter { it.phase == MachinePhase.UP }
    val empty = up.count { it.placements.isEmpty() }
    val free = up.sumOf { freeCapacity(it).gpus }
    val waiting = JobKind.entries.associateWith { kind -> active.values.filter { it.spec.kind == kind }.sumOf { it.waiting.cardinality() } }
    // Images that a machine fetches at the same time share its bandwidth.
    val fetches =
        machines
            .map(::imagesBeingFetched)
            .filter { it > 0 }
            .groupingBy { it }
            .eachCount()
            .toSortedMap()
    return "machines ${phases.toSortedMap()} (spot ${machines.count { it.spot }}), $empty empty, accelerators free $free, in use $inUse, " +
        "fetching images at once $fetches, waiting $waiting, jobs ${active.size}"
}

private fun ClusterState.gpusByPhase(kind: JobKind): Map<Phase, Double> {
    val gpus = HashMap<Phase, Double>()
    for (machine in machines) {
        for (placement in machine.placements.values) {
            val spec = placement.task.job.spec
            if (spec.kind == kind) gpus.merge(placement.phase, spec.need.gpus, Double::plus)
        }
    }
    return gpus.toSortedMap()
}

private fun imagesBeingFetched(machine: Machine): Int =
    machine.placements.values.filter { it.phase == Phase.FETCHING }.distinctBy { it.task.job.image }.size
