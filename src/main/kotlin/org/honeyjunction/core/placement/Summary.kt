package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable

/** The free resources of one machine as a round sees them; [floor] is the lowest priority that may use the machine now. */
class FreeCapacity(
    val machine: Int,
    val free: Resources,
    val type: Int,
    val zone: Int,
    val spot: Boolean,
    val images: IntArray,
    val floor: Priority = Priority.LOW,
    /** Gigabytes that the machine still has to fetch; all its fetches share [fetchGbPerS]. */
    val fetchingGb: Double = 0.0,
    val fetchGbPerS: Double = 0.0,
    val upcoming: List<UpcomingCapacity> = emptyList(),
    /** The job that the machine is reserved for, or a negative number; priorities above [reservedPriority] may use the machine too. */
    val reservedFor: Int = -1,
    val reservedPriority: Priority = Priority.LOW,
    /** The machine's place in the compiled rules (see [RuleTable]), and in [running] the shapes of the tasks that run or may run on it. */
    val place: Int = -1,
    val running: IntArray = NO_TASKS,
) {
    /** The machine as the operators' rules are evaluated on it. */
    val scene: RuleTable.MachineContext get() = RuleTable.MachineContext(place, running, images)

    /** The same machine with other free resources, cached images, fetches, upcoming releases or running tasks. */
    fun withFree(
        free: Resources,
        images: IntArray = this.images,
        fetchingGb: Double = this.fetchingGb,
        upcoming: List<UpcomingCapacity> = this.upcoming,
        running: IntArray = this.running,
    ) = FreeCapacity(
        machine,
        free,
        type,
        zone,
        spot,
        images,
        floor,
        fetchingGb,
        fetchGbPerS,
        upcoming,
        reservedFor,
        reservedPriority,
        place,
        running,
    )

    /** The same capacity without its reservation and priority floor. */
    fun unreserved() =
        FreeCapacity(
            machine,
            free,
            type,
            zone,
            spot,
            images,
            Priority.LOW,
            fetchingGb,
            fetchGbPerS,
            upcoming,
            place = place,
            running = running,
        )

    private companion object {
        val NO_TASKS = IntArray(0)
    }
}

/** The [resources] that a running task is expected to free in [availableInS] seconds; in a summary, before an image could be fetched. */
class UpcomingCapacity(val availableInS: Double, val resources: Resources)

/** A team's fairness [weight] and its number of [running] tasks. */
class TeamShare(val weight: Double, val running: Int)

/**
 * A waiting task, which is a row of the cost matrix. The [gangSize] tasks of a gang start together or not at all; 0 means that the
 * task is not part of a gang. [zones] and [types] are bit masks of the zones and machine types that are allowed now.
 */
data class TaskRow(
    val job: Int,
    val task: Int,
    val team: Int,
    val priority: Priority,
    val waitingMs: Long,
    val need: Resources,
    val image: Int,
    val imageGb: Double,
    val zones: Long,
    val types: Long,
    val spot: Boolean,
    val oneZone: Boolean,
    val gangSize: Int,
    val guaranteed: Boolean,
    /** How many more of the job's tasks may start in each zone; null if there is no limit. */
    val remainingPerZone: List<Int>? = null,
    /** Whether the task can no longer meet its deadline; rows of equal priority and guarantee that still can go first. */
    val late: Boolean = false,
    /** The task's shape in the compiled rules (see [RuleTable]); negative: none. */
    val shape: Int = -1,
    /** The places of the job's other tasks, if a rule depends on them. */
    val mates: List<Int> = emptyList(),
) {
    /** Whether the task may start on the machine of [capacity] if [free] resources are left, apart from the operators' rules. */
    fun allows(capacity: FreeCapacity, free: Resources = capacity.free): Boolean =
        (capacity.reservedFor < 0 || capacity.reservedFor == job || priority > capacity.reservedPriority) &&
            allows(capacity.type, capacity.zone, capacity.spot, capacity.floor, free)

    /**
     * Whether the task waits until the machine of [capacity] has fetched other images, and fetches its own afterwards.
     *
     * Concurrent fetches share a machine's rate: a second fetch would end no sooner than if it began after the first, and would only
     * delay the first. Production tasks wait too, unless their own fetch is so much shorter that both fetches end sooner on average
     * when they overlap: with r gigabytes left of the first fetch and y of the second, the sum of both is 3y + r with overlap and
     * 2r + y without. A production task stops waiting when the first fetch should have ended.
     */
    fun fetchesAfter(capacity: FreeCapacity): Boolean {
        if (gangSize > 0 || capacity.fetchingGb <= 0 || image in capacity.images) return false
        return priority < Priority.PRODUCTION ||
            2 * imageGb > capacity.fetchingGb &&
            waitingMs / 1000.0 * capacity.fetchGbPerS < capacity.fetchingGb
    }

    /** Whether this row requires at least as much as [other], so that [other] can start wherever this row can. */
    fun requiresAtLeast(other: TaskRow): Boolean =
        other.shape == shape &&
            other.mates == mates &&
            priority <= other.priority &&
            gangSize >= other.gangSize &&
            (other.spot || !spot) &&
            (other.oneZone == oneZone) &&
            zones and other.zones.inv() == 0L &&
            types and other.types.inv() == 0L &&
            other.need.fitsIn(need)

    /** Whether the task may start on a machine of this type and zone, apart from reservations and the operators' rules. */
    fun allows(type: Int, zone: Int, spotMachine: Boolean, floor: Priority, free: Resources): Boolean =
        (zones shr zone) and 1L != 0L &&
            (types shr type) and 1L != 0L &&
            (spot || !spotMachine) &&
            priority >= floor &&
            need.fitsIn(free)
}

/**
 * The input of one controller's placement round, computed by the leader: free capacity and cached images, team shares, and that
 * controller's waiting tasks. [slots] is the number of task slots of the cluster.
 */
class Summary(
    val capacities: List<FreeCapacity>,
    val teams: List<TeamShare>,
    val slots: Int,
    val rows: List<TaskRow>,
    val rules: RuleTable = RuleTable.NONE,
)

/** A task start that a controller proposes to the leader: the index of the job at the leader, of its task and of the machine. */
data class Proposal(val job: Int, val task: Int, val machine: Int)

/**
 * Weights of the placement cost and bounds of a round. The cost sums gigabytes to fetch, weighted by [alpha], and the paper's fairness
 * cost, where [beta] weighs teams beyond their share. [agingPerS] is the cost reduction for each second of waiting.
 */
data class CostSettings(
    val alpha: Double = 1.0,
    val beta: Double = 100.0,
    val priorityStep: Double = 20_000.0,
    val spotPreference: Double = 0.5,
    val packing: Double = 0.05,
    val agingPerS: Double = 0.05,
    val maxColumns: Int = 64,
    /** How long a gang may wait for a place that meets its preferences better than any free place. */
    val patienceMs: Long = 3_000,
)
