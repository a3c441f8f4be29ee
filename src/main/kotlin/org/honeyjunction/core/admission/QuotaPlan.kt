package org.honeyjunction.core.admission

/**
 * Orders quota plans by age. Terms are ordered by the state service, and within a term the leader numbers its plans, so a
 * delayed plan of an earlier leader is recognized as stale.
 */
data class PlanEpoch(val term: Long, val number: Long) : Comparable<PlanEpoch> {
    override fun compareTo(other: PlanEpoch) = compareValuesBy(this, other, PlanEpoch::term, PlanEpoch::number)

    companion object {
        /** The epoch of a node without a plan, older than that of any plan. */
        val NONE = PlanEpoch(0, 0)
    }
}

/**
 * The rates at which one node may admit jobs: [grants] in jobs a second for each traffic class, and [defaultPerS] for all classes
 * without a grant together. The plan expires [validForMs] milliseconds after the node requested it. Teams in [backloggedTeams] have
 * too many tasks pending, and none of their jobs are admitted.
 */
data class QuotaPlan(
    val epoch: PlanEpoch,
    val validForMs: Long,
    val grants: Map<TrafficClass, Double>,
    val defaultPerS: Double,
    val backloggedTeams: Set<String> = emptySet(),
) {
    /** The sum of all rates, in jobs a second. */
    val totalPerS: Double get() = grants.values.sum() + defaultPerS

    companion object {
        /** A plan that grants nothing and is older than any other plan. */
        val NONE = QuotaPlan(PlanEpoch.NONE, 0, emptyMap(), 0.0)
    }
}
