package org.honeyjunction.core.admission

/**
 * Computes a quota plan for each node from the demand at all nodes; runs at the leader. Capacity is divided between teams by max-min
 * fairness with [weights] (the teams' guarantees, with a minimum), then between a team's classes, urgent classes first. A class's rate
 * is divided between the nodes that its users submit to.
 *
 * All nodes together never admit more than the capacity, even if messages are late, lost or duplicated: a node's grant counts as
 * outstanding until it expires or the node reports a later one, and only capacity that is not outstanding is granted to other nodes.
 * The share [UNPLANNED_SHARE] of the capacity is divided equally between the nodes and needs no plan. Times are steady milliseconds,
 * rates are jobs a second.
 *
 * [nodes] is the number of nodes, [term] the leader's term and [startedAt] the time when the term began.
 */
class QuotaAllocator(
    private val weights: Map<String, Double>,
    private val nodes: Int,
    private val term: Long,
    private val startedAt: Long,
) {
    private class Grant(val epoch: PlanEpoch, val jobsPerS: Double, val validUntil: Long)

    /** A node's latest demand report, received at [reportedAt], and its outstanding grants. */
    private class NodeState(var demand: List<Demand>, var reportedAt: Long, val grants: ArrayList<Grant> = ArrayList()) {
        fun demandOf(trafficClass: TrafficClass) = demand.filter { it.trafficClass == trafficClass }.sumOf { it.jobsPerS }
    }

    private val nodeStates = HashMap<String, NodeState>()
    private var planNumber = 0L

    /** Records the report of [node]: the [demand] of its users, the [epoch] of its plan, and the rate [grantedPerS] of that plan. */
    fun reportDemand(node: String, demand: List<Demand>, epoch: PlanEpoch, grantedPerS: Double, now: Long) {
        val state = nodeStates.getOrPut(node) { newState(demand, epoch, grantedPerS, now) }
        state.demand = demand
        state.reportedAt = now
        state.grants.removeIf { it.validUntil <= now || it.epoch < epoch }
    }

    private fun newState(demand: List<Demand>, epoch: PlanEpoch, grantedPerS: Double, now: Long): NodeState {
        val state = NodeState(demand, now)
        // A grant of an earlier leader counts as outstanding for the full validity of a plan.
        if (epoch.term in 1 until term) state.grants += Grant(epoch, grantedPerS, now + PLAN_VALIDITY_MS)
        return state
    }

    private fun recentStates(now: Long): Map<String, NodeState> = nodeStates.filterValues { now - it.reportedAt <= PLAN_VALIDITY_MS }

    /** The rate that [node] may still admit under grants that have neither expired nor been replaced according to its reports. */
    private fun outstandingPerS(node: String, now: Long): Double {
        val grants = nodeStates[node]?.grants ?: return 0.0
        grants.removeIf { it.validUntil <= now }
        return grants.maxOfOrNull { it.jobsPerS } ?: 0.0
    }

    /** The rate that an earlier leader may have granted to nodes that have not reported yet: possibly all of [sharedPerS] to one node. */
    private fun unreportedPerS(sharedPerS: Double, now: Long): Double =
        if (now < startedAt + PLAN_VALIDITY_MS && nodeStates.size < nodes) sharedPerS else 0.0

    /**
     * Computes the plan of [node] when all nodes together can record [capacityPerS]; [backloggedTeams] have too many tasks pending.
     * The plan counts as outstanding from now on.
     */
    fun allocate(node: String, capacityPerS: Double, backloggedTeams: Set<String>, now: Long): QuotaPlan {
        val sharedPerS = capacityPerS * (1 - UNPLANNED_SHARE)
        val idealRates = nodeRates(node, fairRates(sharedPerS, now), now)
        val outstandingPerS = (nodeStates.keys - node).sumOf { outstandingPerS(it, now) } + unreportedPerS(sharedPerS, now)
        val availablePerS = (sharedPerS - outstandingPerS).coerceAtLeast(0.0)
        val scale = idealRates.values.sum().let { if (it > availablePerS) availablePerS / it else 1.0 }
        val plan =
            QuotaPlan(
                PlanEpoch(term, ++planNumber),
                PLAN_VALIDITY_MS,
                idealRates.mapValues { it.value * scale },
                defaultPerS = capacityPerS * UNPLANNED_SHARE / nodes,
                backloggedTeams,
            )
        nodeStates[node]?.grants?.add(Grant(plan.epoch, plan.totalPerS - plan.defaultPerS, now + PLAN_VALIDITY_MS))
        return plan
    }

    /** The part of each class's fair rate for [node]: [EVEN_SHARE] is divided evenly, and the rest by the demand at each node. */
    private fun nodeRates(node: String, fairRates: Map<TrafficClass, Double>, now: Long): Map<TrafficClass, Double> {
        val states = recentStates(now)
        val rates = HashMap<TrafficClass, Double>()
        for ((trafficClass, ratePerS) in fairRates) {
            val here = states[node]?.demandOf(trafficClass) ?: 0.0
            val total = states.values.sumOf { it.demandOf(trafficClass) }
            val byDemand = if (total > 0) here / total else 1.0 / nodes
            // Users may submit to any node next, so each node gets a small rate for every class.
            rates[trafficClass] = ratePerS * ((1 - EVEN_SHARE) * byDemand + EVEN_SHARE / nodes)
        }
        return rates
    }

    /** Whether users submit more than [capacityPerS] to all nodes together, retries included. */
    fun demandExceeds(capacityPerS: Double, now: Long): Boolean =
        recentStates(now).values.sumOf { state -> state.demand.sumOf { it.jobsPerS } } > capacityPerS

    /** The max-min fair rate of each traffic class over all nodes; the rates add up to [capacityPerS]. */
    fun fairRates(capacityPerS: Double, now: Long): Map<TrafficClass, Double> {
        val demandByTeam = recentStates(now).values.flatMap { it.demand }.groupBy { it.trafficClass.team }
        val teams = (weights.keys + demandByTeam.keys).sorted()
        val teamWeights = DoubleArray(teams.size) { weights[teams[it]] ?: MIN_WEIGHT }
        val totalWeight = teamWeights.sum()
        // A reserve is kept for a team that submits nothing, so that the team has tokens when it starts to submit.
        val demands =
            DoubleArray(teams.size) {
                val submitted = demandByTeam[teams[it]].orEmpty().sumOf { demand -> demand.jobsPerS }
                maxOf(submitted, capacityPerS * teamWeights[it] / totalWeight * RESERVED_SHARE)
            }
        val teamRates = MaxMinFairness.allocate(capacityPerS, demands, teamWeights)
        // Capacity without demand is divided between all teams by the same weights, for the next submissions.
        val unused = capacityPerS - teamRates.sum()
        val rates = HashMap<TrafficClass, Double>()
        teams.forEachIndexed { i, team ->
            val teamRate = teamRates[i] + unused * teamWeights[i] / totalWeight
            allocateToClasses(team, teamRate, demandByTeam[team].orEmpty(), rates)
        }
        return rates
    }

    /** Divides [teamRate]: urgent classes first, except that the others keep [MIN_NON_URGENT_SHARE] of it while they demand that much. */
    private fun allocateToClasses(team: String, teamRate: Double, demand: List<Demand>, rates: MutableMap<TrafficClass, Double>) {
        val classes =
            demand.groupBy { it.trafficClass }.map { (trafficClass, demandPerNode) ->
                Demand(trafficClass, demandPerNode.any { it.urgent }, demandPerNode.sumOf { it.jobsPerS })
            }
        val (urgent, nonUrgent) = classes.partition { it.urgent }
        val reserved = minOf(teamRate * MIN_NON_URGENT_SHARE, nonUrgent.sumOf { it.jobsPerS })
        val urgentRate = allocateEqually(teamRate - reserved, urgent, rates)
        val nonUrgentRate = allocateEqually(teamRate - urgentRate, nonUrgent, rates)
        // The rate that the team's present classes leave stays with the team, for any class that submits next.
        rates[TrafficClass.teamPool(team)] = (teamRate - urgentRate - nonUrgentRate).coerceAtLeast(0.0)
    }

    /** Divides [ratePerS] max-min fairly with equal weights and returns the sum of the allocations. */
    private fun allocateEqually(ratePerS: Double, demand: List<Demand>, rates: MutableMap<TrafficClass, Double>): Double {
        val allocated =
            MaxMinFairness.allocate(ratePerS, DoubleArray(demand.size) { demand[it].jobsPerS }, DoubleArray(demand.size) { 1.0 })
        demand.forEachIndexed { i, entry -> rates[entry.trafficClass] = allocated[i] }
        return allocated.sum()
    }

    companion object {
        /** How long a plan is valid, and how long a node's demand report is used. */
        const val PLAN_VALIDITY_MS = 3_000L

        /** The share of the capacity that the nodes may use without a plan. */
        const val UNPLANNED_SHARE = 0.1

        /** The share of a class's rate that is divided evenly between all nodes, wherever its users submit. */
        const val EVEN_SHARE = 0.2

        /** The share of a team's rate that its non-urgent classes keep while they demand that much. */
        const val MIN_NON_URGENT_SHARE = 0.25

        /**
         * The share of a team's fair rate that stays reserved for the team while it demands less. While the team does not use the
         * reserve, jobs of other teams are admitted without a token.
         */
        const val RESERVED_SHARE = 0.5

        /** The minimum weight, relative to the sum of all guarantees, so that jobs of a team without a guarantee are admitted too. */
        const val MIN_WEIGHT = 0.05

        /** Converts the teams' guarantees to weights that sum to about 1, each at least [MIN_WEIGHT]. */
        fun weights(guarantees: Map<String, Double>): Map<String, Double> {
            val total = guarantees.values.sum()
            return guarantees.mapValues { (_, guarantee) ->
                maxOf(MIN_WEIGHT, if (total > 0) guarantee / total else 1.0 / guarantees.size)
            }
        }
    }
}
