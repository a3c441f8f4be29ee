package org.honeyjunction.core.capacity

import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/** [count] tasks like [sample], each of which runs for [runS] seconds by its owner's estimate; null if it runs without end. */
class TaskDemand(val sample: TaskRow, val count: Int, val runS: Double? = null)

/**
 * Restricts scale-out by placement rules. [mayRent] says whether a new instance of an offer certainly meets every mandatory rule of
 * the tasks with the given shape; a rule that can be checked only once the instance is up prevents renting. [emptyInstance] gives
 * what placement rules see of a new instance.
 */
class ScaleOutPolicy(
    val table: RuleTable,
    val emptyInstance: (Offer) -> RuleTable.MachineContext,
    val mayRent: (shape: Int, Offer) -> Boolean,
)

/**
 * The decisions of one planning period; machines are given by their indices.
 *
 * @property instancesToRent the number of instances to rent of each offer
 * @property machinesToKeep the machines that the plan uses, which must not be released
 * @property unmet a sample of each demand for which there is no capacity
 * @property reservedForJob empty machines, each with the index of the job that it is reserved for, whose tasks form a gang
 * @property reservedForArrivals machines reserved for expected tasks for which scaling out on arrival would be too slow
 */
class CapacityPlan(
    val instancesToRent: Map<Offer, Int>,
    val machinesToKeep: Set<Int>,
    val unmet: List<TaskRow>,
    val reservedForJob: Map<Int, Int>,
    val reservedForArrivals: Set<Int> = emptySet(),
)
