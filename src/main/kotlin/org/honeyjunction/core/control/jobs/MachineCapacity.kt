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

/** What the machines have free now, and are expected to have soon, as placement and the autoscaler read it. */
class MachineCapacity(private val state: ClusterState) {
    /** What [machine] has free; [upcoming]: what its tasks are expected to free soon. */
    fun of(machine: Machine, now: Long, upcoming: List<UpcomingCapacity> = emptyList()): FreeCapacity {
        val heldFor = state.reservedFor(machine, now)
        return FreeCapacity(
            machine = machine.index,
            free = state.room(machine),
            type = machine.type,
            zone = machine.zone,
            spot = machine.spot,
            images = machine.images.keys.toIntArray(),
            floor = machine.floorAt(now),
            fetchingGb = fetchingGb(machine, now),
            fetchGbPerS = state.cluster.types[machine.type]?.fetchGbPerS ?: 0.0,
            soon = upcoming,
            heldFor = heldFor?.index ?: NameTable.ABSENT,
            heldPriority = heldFor?.spec?.priority ?: Priority.LOW,
            place = machine.place,
            running = state.running(machine),
        )
    }

    /** The machines that have room for one of [demands], or are expected to soon for one whose image they cache. */
    fun usableFor(demands: List<TaskDemand>, now: Long): List<FreeCapacity> {
        val images = demands.mapTo(HashSet()) { it.sample.image }
        return openMachines().mapNotNull { machine ->
            val cachesImage = machine.images.keys.any { it in images }
            val upcoming = if (cachesImage) soonEnough(machine, now) else emptyList()
            if (upcoming.isEmpty() && !fitsAny(machine, demands, now)) null else of(machine, now, upcoming)
        }
    }

    /** All machines that take work and have anything free. */
    fun allFree(now: Long): List<FreeCapacity> =
        openMachines()
            .filter { machine -> state.room(machine).let { it.cpus > LEAST_ROOM && it.memoryGb > LEAST_ROOM } }
            .map { of(it, now) }

    /** When the tasks of [machine] that end by themselves are expected to end, and what they free. */
    fun upcoming(machine: Machine, now: Long): List<UpcomingCapacity> =
        machine.placements.values.mapNotNull { placement ->
            val spec = placement.task.job.spec
            if (spec.kind == JobKind.SERVICE || !placement.phase.reported) return@mapNotNull null
            UpcomingCapacity(placement.expectedRemainingS(now), spec.need)
        }

    /** How many tasks as small as the smallest of the active jobs all machines could run, free or not. */
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
        val free = state.room(machine)
        val floor = machine.floorAt(now)
        return demands.any { it.sample.allows(machine.type, machine.zone, machine.spot, floor, free) }
    }

    /** Of machines with a running task: what gets free no later than the largest image would take to fetch. */
    private fun soonEnough(machine: Machine, now: Long): List<UpcomingCapacity> {
        if (machine.placements.values.none { it.phase == Phase.RUNNING }) return emptyList()
        return upcoming(machine, now).filter { it.inS <= MAX_AWAIT_S }
    }

    /** What [machine] has still to fetch, estimated from how long it has been fetching: its images share its rate. */
    private fun fetchingGb(machine: Machine, now: Long): Double {
        val fetches =
            machine.placements.values
                .filter { it.phase <= Phase.FETCHING && it.phase != Phase.UNCONFIRMED }
                .distinctBy { it.task.job.image }
        if (fetches.isEmpty()) return 0.0
        val rate = (state.cluster.types[machine.type]?.fetchGbPerS ?: 0.0) / fetches.size
        return fetches.sumOf { placement ->
            val imageGb = placement.task.job.spec.imageGb
            val fetchedGb = if (placement.phase == Phase.FETCHING) (now - placement.since) / 1000.0 * rate else 0.0
            maxOf(imageGb - fetchedGb, imageGb * LEAST_LEFT)
        }
    }

    private companion object {
        const val LEAST_ROOM = 1e-6
        const val MAX_SLOTS_PER_MACHINE = 1000
        const val MAX_AWAIT_S = 60.0

        /** A fetch that takes longer than it should is taken to have this part left. */
        const val LEAST_LEFT = 0.1
    }
}
