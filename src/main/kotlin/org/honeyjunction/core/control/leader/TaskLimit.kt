package org.honeyjunction.core.control.leader

import org.honeyjunction.core.admission.MaxMinFairness
import org.honeyjunction.core.admission.QuotaAllocator

/** The limit of unfinished tasks that memory is provisioned for, and its fair sharing among teams. */
internal class TaskLimit(private val state: ClusterState, private val maxTasks: Int) {
    /** Whether the limit is exceeded, so that no further jobs may be admitted. */
    val reached: Boolean get() = state.activeTasks > maxTasks

    /** The teams with more unfinished tasks than their weighted fair share of [FAIR_SHARE_THRESHOLD] of the limit; empty below it. */
    fun teamsOverShare(weights: Map<String, Double>): Set<String> {
        val limit = maxTasks * FAIR_SHARE_THRESHOLD
        if (state.activeTasks < limit) return emptySet()
        val tasks = state.active.values.groupBy { it.spec.team }.mapValues { (_, jobs) -> jobs.sumOf { it.spec.tasks }.toDouble() }
        val teams = tasks.keys.toList()
        val demands = DoubleArray(teams.size) { tasks.getValue(teams[it]) }
        val teamWeights = DoubleArray(teams.size) { weights[teams[it]] ?: QuotaAllocator.MIN_WEIGHT }
        val shares = MaxMinFairness.allocate(limit, demands, teamWeights)
        return teams.filterIndexedTo(HashSet()) { i, team -> tasks.getValue(team) > shares[i] }
    }

    private companion object {
        /** The fraction of the limit that may be in use before teams are restricted to their fair shares. */
        const val FAIR_SHARE_THRESHOLD = 0.7
    }
}
