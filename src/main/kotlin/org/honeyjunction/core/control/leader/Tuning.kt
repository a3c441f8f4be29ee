package org.honeyjunction.core.control.leader

import org.honeyjunction.core.placement.CostSettings

/** The operators' settings of scheduling, times in milliseconds; the defaults are explained in docs/design.md. */
data class Tuning(
    val placementIntervalMs: Long = 500,
    val summaryWaitMs: Long = 500,
    val capacityPlanIntervalMs: Long = 1_000,
    val idleMs: Long = 45_000,
    val spareFactor: Double = 1.0,
    val forecastMs: Long = 150_000,
    val preemptAfterMs: Long = 700,
    val refusedOfferBackoffMs: Long = 8_000,
    val ownerTimeoutMs: Long = 3_000,
    val leaseMs: Long = 5_000,
    val maxTasks: Int = 250_000,
    /** Whether operators' rules are stored, obeyed and explained. */
    val rules: Boolean = false,
    /** How long, and for how many tasks, the reasons of placements are remembered. */
    val explainMs: Long = 600_000,
    val explainTasks: Int = 4_096,
    val cost: CostSettings = CostSettings(),
)
