package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.capacity.TaskDemand
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.UpcomingCapacity

/** Computes the free capacity of machines, now and in the near future, for placement and the autoscaler. */
class MachineCapacity(private val state: ClusterState) {
    /** The free capacity of [machine]; [upcoming] is the capacity that its tasks are expected to release. */
    fun freeCapacityOf(machine: Machine, now: Long, upcoming: List<UpcomingCapacity> = emptyList()): FreeCapacity {
        val heldFor = state.reservedFor(machine, now)
        return FreeCapacity(
            machine = machine.index,
            free = state.freeCapacity(machine),
            type = machine.type,
            zone = machine.zone,
            spot = machine.spot,
            images = machine.images.keys.toIntArray(),
            floor = machine.minPriorityAt(now),
            fetchingGb = fetchingGb(machine, now),
            fetchGbPerS = state.cluster.types[machine.type]?.fetchGbPerS ?: 0.0,
            upcoming = upcoming,
            reservedFor = heldFor?.index ?: NameTable.ABSENT,
            reservedPriority = heldFor?.spec?.priority ?: Priority.LOW,
            place = machine.place,
            running = state.runningShapes(machine),
        )
    }

    /**
     * The machines that have room for a task of [demands], and those that cache the image of a task and are expected to
     * release capacity soon.
     */
    fun usableFor(demands: List<TaskDemand>, now: Long): List<FreeCapacity> {
        val images = demands.mapTo(HashSet()) { it.sample.image }
        return openMachines().mapNotNull { machine ->
            val cachesImage = machine.images.keys.any { it in images }
            val upcoming = if (cachesImage) upcomingWithinWait(machine, now) else emptyList()
            if (upcoming.isEmpty() && !fitsAny(machine, demands, now)) null else freeCapacityOf(machine, now, upcoming)
        }
    }

    /** All machines that accept tasks and have both CPU and memory free. */
    fun allFree(now: Long): List<FreeCapacity> =
        openMachines()
            .filter { machine -> state.freeCapacity(machine).let { it.cpus > MIN_FREE && it.memoryGb > MIN_FREE } }
            .map { freeCapacityOf(it, now) }

    /** When the tasks of [machine], except those of services, are expected to end, and the capacity that each releases. */
    fun upcoming(machine: Machine, now: Long): List<UpcomingCapacity> =
        machine.placements.values.mapNotNull { placement ->
            val spec = placement.task.job.spec
            if (spec.kind == JobKind.SERVICE || !placement.phase.reported) return@mapNotNull null
            UpcomingCapacity(placement.expectedRemainingS(now), spec.need)
        }

    /** How many tasks of the size of the smallest active job's all machines could run if they were empty. */
    fun slots(): Int {
        val smallest = state.active.values.minByOrNull { it.spec.need.gpus * 1000 + it.spec.need.cpus }?.spec?.need ?: return 0
        val perType = state.cluster.types.mapValues { smallest.countIn(it.value.size).coerceAtMost(MAX_SLOTS_PER_MACHINE) }
        return state.machines.sumOf { machine ->
            val counts = machine.phase == MachinePhase.UP || machine.phase == MachinePhase.SUSPECTED
            if (counts) perType[machine.type] ?: 0 else 0
        }
    }

    private fun openMachines(): List<Machine> =
        state.machines.filter { it.acceptsTasks && it.address != null && it.type in state.cluster.types }

    private fun fitsAny(machine: Machine, demands: List<TaskDemand>, now: Long): Boolean {
        val free = state.freeCapacity(machine)
        val floor = machine.minPriorityAt(now)
        return demands.any { it.sample.allows(machine.type, machine.zone, machine.spot, floor, free) }
    }

    /** The capacity that [machine] is expected to release within [MAX_AWAIT_S]; empty if none of its tasks is running. */
    private fun upcomingWithinWait(machine: Machine, now: Long): List<UpcomingCapacity> {
        if (machine.placements.values.none { it.phase == Phase.RUNNING }) return emptyList()
        return upcoming(machine, now).filter { it.availableInS <= MAX_AWAIT_S }
    }

    /** Gigabytes that [machine] still has to fetch, estimated from the elapsed time: concurrent fetches share its rate evenly. */
    private fun fetchingGb(machine: Machine, now: Long): Double {
        val fetches =
            machine.placements.values
                .filter { it.phase <= Phase.FETCHING && it.phase != Phase.UNCONFIRMED }
                .distinctBy { it.task.job.image }
        if (fetches.isEmpty()) return 0.0
        val rate = (state.cluster.types[machine.type]?.fetchGbPerS ?: 0.0) / fetches.size
        return fetches.sumOf { placement ->
            val imageGb = placement.task.job.spec.imageGb
            val fetchedGb = if (placement.phase == Phase.FETCHING) (now - placement.phaseSince) / 1000.0 * rate else 0.0
            maxOf(imageGb - fetchedGb, imageGb * MIN_REMAINING_PART)
        }
    }

    private companion object {
        /** CPUs or gigabytes; smaller amounts are rounding errors of a full machine. */
        const val MIN_FREE = 1e-6
        const val MAX_SLOTS_PER_MACHINE = 1000

        /** About as long as the largest image takes to fetch: waiting for longer saves nothing over a fetch elsewhere. */
        const val MAX_AWAIT_S = 60.0

        /** The part of an image that is assumed to be missing still when its fetch takes longer than estimated. */
        const val MIN_REMAINING_PART = 0.1
    }
}
