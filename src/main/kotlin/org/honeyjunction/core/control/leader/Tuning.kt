package org.honeyjunction.core.control.leader

import org.honeyjunction.core.placement.CostSettings

/** The operators' scheduling settings. Times are in milliseconds; docs/design.md explains the defaults. */
data class Tuning(
    /** The interval between placement rounds. */
    val placementIntervalMs: Long = 500,
    /** How long the answer to a request for a summary may wait until there are tasks to place. */
    val summaryWaitMs: Long = 500,
    /** The interval between rounds of capacity planning. */
    val capacityPlanIntervalMs: Long = 1_000,
    /** How long an idle machine is kept before it is released. */
    val idleMs: Long = 45_000,
    /** The spare capacity, as a multiple of the demand that is expected to arrive while a machine boots. */
    val spareFactor: Double = 1.0,
    /** The window over which arrivals are counted to forecast demand. */
    val forecastMs: Long = 150_000,
    /** How long a task must have waited before other tasks may be stopped for it. */
    val preemptAfterMs: Long = 700,
    /** How long an offer that the cloud has refused is not requested again. */
    val refusedOfferBackoffMs: Long = 8_000,
    /** How long a controller may be silent before the leader places the jobs that it owns. */
    val ownerTimeoutMs: Long = 3_000,
    /** The duration of the leader lease. */
    val leaseMs: Long = 5_000,
    /** The number of unfinished tasks beyond which no further jobs are admitted. */
    val maxTasks: Int = 250_000,
    /** Whether placement rules are enabled. */
    val rules: Boolean = false,
    /** How long the explanations of placements are remembered. */
    val explainMs: Long = 600_000,
    /** For how many tasks the explanations of placements are remembered. */
    val explainTasks: Int = 4_096,
    /** The weights of the placement cost function. */
    val cost: CostSettings = CostSettings(),
)
