package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable

/** The free resources of one machine, as a round sees it; [floor] is the lowest priority that may use it now. */
class FreeCapacity(
    val machine: Int,
    val free: Resources,
    val type: Int,
    val zone: Int,
    val spot: Boolean,
    val images: IntArray,
    val floor: Priority = Priority.LOW,
    /** Gigabytes that the machine is fetching already, at [fetchGbPerS] shared by all its fetches. */
    val fetchingGb: Double = 0.0,
    val fetchGbPerS: Double = 0.0,
    val upcoming: List<UpcomingCapacity> = emptyList(),
    /** The job that the machine is reserved for; higher priorities may use it all the same. Below 0: none. */
    val reservedFor: Int = -1,
    val reservedPriority: Priority = Priority.LOW,
    /** The machine's index in the compiled rules, and the shapes of the tasks that are or may be on it; see core.rules. */
    val place: Int = -1,
    val running: IntArray = NOTHING,
) {
    val scene: RuleTable.Scene get() = RuleTable.Scene(place, running, images)

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

    /** The same capacity without reservation and priority floor. */
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
        val NOTHING = IntArray(0)
    }
}

/** Resources [need] that a running task will probably free in [availableInS] seconds, sooner than an image could be fetched. */
class UpcomingCapacity(val availableInS: Double, val resources: Resources)

/** A team's fairness [weight] and its number of [running] tasks. */
class TeamShare(val weight: Double, val running: Int)

/**
 * A waiting task: a row of the matrix; [gangSize] tasks start together or not at all (0: alone). [zones] and [types] are bit
 * masks of what is allowed at this moment.
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
    /** How many more of the job's tasks each zone may take; null where nothing bounds them. */
    val remainingPerZone: List<Int>? = null,
    /** Its deadline can't be met any more: rows of the same priority and guarantee that still can meet theirs go first. */
    val late: Boolean = false,
    /** The task's index in the compiled rules (below 0: none), and the places of its job's other tasks where a rule needs them. */
    val shape: Int = -1,
    val mates: List<Int> = emptyList(),
) {
    fun allows(capacity: FreeCapacity, free: Resources = capacity.free): Boolean =
        (capacity.reservedFor < 0 || capacity.reservedFor == job || priority > capacity.reservedPriority) &&
            allows(capacity.type, capacity.zone, capacity.spot, capacity.floor, free)

    /**
     * Images fetched at the same time share a machine's rate: a second fetch would be ready no sooner than if it began after
     * the first, and would only delay that one. Production waits too, unless its own fetch is so much shorter that both
     * together are ready sooner on average: with r left of the first and y of its own, 3y + r against 2r + y. It has waited
     * enough when the first fetch should have ended.
     */
    fun fetchesAfter(capacity: FreeCapacity): Boolean {
        if (gangSize > 0 || capacity.fetchingGb <= 0 || image in capacity.images) return false
        return priority < Priority.PRODUCTION ||
            2 * imageGb > capacity.fetchingGb &&
            waitingMs / 1000.0 * capacity.fetchGbPerS < capacity.fetchingGb
    }

    /** Whether [other] could start wherever this row could, since it asks for no more. */
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

    fun allows(type: Int, zone: Int, spotMachine: Boolean, floor: Priority, free: Resources): Boolean =
        (zones shr zone) and 1L != 0L &&
            (types shr type) and 1L != 0L &&
            (spot || !spotMachine) &&
            priority >= floor &&
            need.fitsIn(free)
}

/** The leader's summary for one controller: free room and images, team shares, and that controller's waiting tasks. */
class Summary(
    val capacities: List<FreeCapacity>,
    val teams: List<TeamShare>,
    val slots: Int,
    val rows: List<TaskRow>,
    val rules: RuleTable = RuleTable.NONE,
)

/** A start that a controller proposes to the leader; indices of the leader's job, the job's task and the machine. */
data class Proposal(val job: Int, val task: Int, val machine: Int)

/**
 * Weights of the cost of a cell and bounds of a round. Costs are in gigabytes to fetch ([alpha] weighs them) and in the paper's
 * fairness units ([beta] weighs a team beyond its share); [agingPerS] is what waiting takes off per second.
 */
data class CostSettings(
    val alpha: Double = 1.0,
    val beta: Double = 100.0,
    val priorityStep: Double = 20_000.0,
    val spotPreference: Double = 0.5,
    val packing: Double = 0.05,
    val agingPerS: Double = 0.05,
    val maxColumns: Int = 64,
    /** How long a gang may wait for a place that meets its preferences better than any that is free. */
    val patienceMs: Long = 3_000,
)
