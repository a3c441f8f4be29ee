package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.mayUse
import org.honeyjunction.core.model.zonesFor

// Checks a job's own specification: machine types, spot machines, and zones in relation to the job's other tasks. Operators'
// rules and free capacity are checked elsewhere.

/** Whether [machine] is of a type, in a zone and of a kind (spot or not) that [job] allows, given where its other tasks are now. */
fun ClusterState.isEligible(job: Job, task: Task, machine: Machine): Boolean =
    isPermitted(job, machine) && openZones(job, task) shr machine.zone and 1L != 0L

/** Whether [machine] is known to be of a type, in a zone and of a kind that [job] allows, wherever its other tasks are. */
fun ClusterState.isPermitted(job: Job, machine: Machine): Boolean {
    val type = cluster.types[machine.type] ?: return false
    if (machine.zone == NameTable.ABSENT || machine.spot && !job.spec.spot || !job.spec.mayUse(type)) return false
    return cluster.zonesFor(job.spec, type) shr machine.zone and 1L != 0L
}

/** The zones, as a bit mask, that the job's other tasks leave open for [task] (null: for any new one) at this moment. */
fun ClusterState.openZones(job: Job, task: Task?): Long {
    if (!job.spec.oneZone && !job.spec.spread) return ALL_ZONES
    val others = job.placements.filter { it.task !== task }
    if (job.spec.oneZone && others.isNotEmpty()) {
        // A task that is being stopped still counts: the zone is fixed until the task is gone.
        return others.map { zoneBit(it.machine) }.reduce { a, b -> a and b }
    }
    if (!job.spec.spread) return ALL_ZONES
    val open = openPerZone(job, others)
    return open.indices.fold(0L) { mask, zone -> if (open[zone] > 0) mask or (1L shl zone) else mask }
}

/** How many more tasks of a spread job each zone may take: half of the job's tasks, rounded up, less those that are or may be there. */
fun ClusterState.openPerZone(job: Job, placements: Collection<Placement> = job.placements): List<Int> {
    val maxPerZone = (job.spec.tasks + 1) / 2
    val open = IntArray(cluster.zones.size) { maxPerZone }
    for (placement in placements) {
        val zone = placement.machine.zone
        // A machine of unknown zone may be in any of them, so it counts in each.
        if (zone != NameTable.ABSENT) open[zone]-- else open.indices.forEach { open[it]-- }
    }
    return open.asList()
}

/** The zone of [machine] as a bit mask; empty while the zone is unknown, since no zone is then certain to be the same. */
private fun zoneBit(machine: Machine) = if (machine.zone == NameTable.ABSENT) 0L else 1L shl machine.zone

private const val ALL_ZONES = -1L
