package org.honeyjunction.core.capacity

import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/** [count] pending tasks like [sample], each of which runs for [runS] seconds by its owner's estimate; null: without end. */
class Wanted(val sample: TaskRow, val count: Int, val runS: Double? = null)

/**
 * What placement rules mean for scaling out: nothing is rented that a mandatory rule forbids, nor more of what cannot be checked
 * before it is there. [empty] gives what rules see of a new instance.
 */
class ScaleOutPolicy(val table: RuleTable, val empty: (Offer) -> RuleTable.MachineContext, val mayRent: (shape: Int, Offer) -> Boolean)

/**
 * What to rent, and the indices of the machines to [keep]. [unmet]: samples of the tasks that get no capacity. [held]: empty
 * machines to be kept for a job whose tasks need them whole. [reserved]: machines for expected tasks that must start at once.
 */
class CapacityPlan(
    val rent: Map<Offer, Int>,
    val keep: Set<Int>,
    val unmet: List<TaskRow>,
    val held: Map<Int, Int>,
    val reserved: Set<Int> = emptySet(),
)
