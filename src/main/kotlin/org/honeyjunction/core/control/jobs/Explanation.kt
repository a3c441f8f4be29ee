package org.honeyjunction.core.control.jobs

/** How a placement meets one clause of a rule; [costGb] is the cost of a preference that is not met, null if there is none. */
data class RuleLine(val rule: String, val clause: String, val must: Boolean, val met: Boolean, val costGb: Double?)

/** A machine that was forbidden by a clause of a rule; [costGb] is what the task would have cost there. */
data class Alternative(val machine: String, val costGb: Double, val rule: String, val clause: String)

/** Why a task is on its machine, or why it is pending. Costs are in gigabytes, fairness is in per cent of the fair share. */
class Explanation(
    val task: String,
    /** The machine of the task; null while the task is pending. */
    val machine: String?,
    /** When the task was placed; null if no decision is kept (another leader placed it, say): its rules are then evaluated anew. */
    val decidedAt: Long?,
    /** The version of the rules that the explanation is based on. */
    val version: Long,
    /** The clauses that concern the placement; empty for a pending task. */
    val rules: List<RuleLine>,
    /** The fairness cost of the task's team. */
    val fairness: Double,
    /** The cost of fetching the image; 0 where the machine had it, and where no decision is kept. */
    val localityGb: Double,
    /** The cheapest machine that a rule forbade, if the task would have cost less there. */
    val bestForbidden: Alternative?,
    /** Why the task is pending, the most immediate reason first; empty for a task that is on a machine. */
    val pendingReasons: List<String>,
)
