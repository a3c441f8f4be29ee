package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase

/** One line for the log: machines by phase, accelerators by the phase of their tasks, and waiting tasks. */
fun ClusterState.statistics(): String {
    val phases = machines.groupingBy { it.phase }.eachCount()
    val inUse = JobKind.entries.associateWith(::acceleratorsByPhase)
    val up = machines.filter { it.phase == MachinePhase.UP }
    val empty = up.count { it.placements.isEmpty() }
    val free = up.sumOf { freeCapacity(it).gpus }
    val waiting = JobKind.entries.associateWith { kind -> active.values.filter { it.spec.kind == kind }.sumOf { it.waiting.cardinality() } }
    // Images that are fetched at the same time share a machine's rate.
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

private fun ClusterState.acceleratorsByPhase(kind: JobKind): Map<Phase, Double> {
    val accelerators = HashMap<Phase, Double>()
    for (machine in machines) {
        for (placement in machine.placements.values) {
            val spec = placement.task.job.spec
            if (spec.kind == kind) accelerators.merge(placement.phase, spec.need.gpus, Double::plus)
        }
    }
    return accelerators.toSortedMap()
}

private fun imagesBeingFetched(machine: Machine): Int =
    machine.placements.values.filter { it.phase == Phase.FETCHING }.distinctBy { it.task.job.image }.size
