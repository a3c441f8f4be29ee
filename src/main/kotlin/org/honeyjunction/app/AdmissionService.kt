package org.honeyjunction.app

import org.honeyjunction.core.admission.AdmissionController
import org.honeyjunction.core.admission.AdmissionController.Decision
import org.honeyjunction.core.admission.Demand
import org.honeyjunction.core.admission.PlanEpoch
import org.honeyjunction.core.admission.QuotaAllocator
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.admission.TrafficClass
import org.honeyjunction.core.model.Priority
import org.honeyjunction.io.WritePriority
import org.honeyjunction.wire.JobHead

/** Admission control of this node's submissions and, while this node leads, the quota plans of all nodes. Rates are in jobs a second. */
class AdmissionService(private val node: Node) {
    private val cluster get() = node.settings.cluster
    private val nodeCount = node.settings.stateLimits.nodes
    private val teamWeights =
        cluster.teams.let { teams ->
            val hasGpuGuarantees = teams.any { it.guarantee.gpus > 0 }
            QuotaAllocator.weights(teams.associate { it.name to if (hasGpuGuarantees) it.guarantee.gpus else it.guarantee.cpus })
        }
    private val controller = AdmissionController(teamWeights, node.clock.steady())

    /** Null while another node leads. */
    private var allocator: QuotaAllocator? = null

    /** Starts to allocate quota plans for [term], which this node leads from now on. */
    fun startTerm(term: Long) {
        allocator = QuotaAllocator(teamWeights, nodeCount, term, node.clock.steady())
    }

    /** Stops allocating quota plans, since this node does not lead any more. */
    fun endTerm() {
        allocator = null
    }

    /** The demand of this node's users, which is reported to the leader. */
    val demand: List<Demand> get() = controller.demandMeter.demand(node.clock.steady())

    /** The epoch of this node's latest plan, valid or expired. */
    val epoch: PlanEpoch get() = controller.epoch

    /** The total rate that this node's valid plan grants; 0 without a valid plan. */
    val grantedPerS: Double get() = controller.grantedPerS(node.clock.steady())

    /** Notes that a plan is requested from the leader now. The result is passed to [installPlan] with the leader's response. */
    fun beginPlanRequest(): Long = controller.beginPlanRequest(node.clock.steady())

    /** Installs [plan] from the response to the request that was sent at [requestedAt]. */
    fun installPlan(plan: QuotaPlan, requestedAt: Long) {
        controller.installPlan(plan, requestedAt, node.clock.steady())
    }

    /** At the leader: the plan of the node [peer], computed from the demand that it reports; null if this node is not certain to lead. */
    fun planFor(peer: String, demand: List<Demand>, epoch: PlanEpoch, grantedPerS: Double): QuotaPlan? {
        val allocator = allocator ?: return null
        val leader = node.driverWithLease?.leader ?: return null
        val now = node.clock.steady()
        allocator.reportDemand(peer, demand, epoch, grantedPerS, now)
        return allocator.allocate(peer, capacityPerS(), leader.teamsOverTaskShare(teamWeights), now)
    }

    /** At the leader: computes and installs the leader's own plan by the same rules as the plans of other nodes. */
    fun refreshOwnPlan() {
        val requestedAt = beginPlanRequest()
        planFor(node.settings.node, demand, epoch, grantedPerS)?.let { installPlan(it, requestedAt) }
    }

    /** At the leader: whether users submit more jobs than can be recorded. */
    val demandExceedsCapacity: Boolean get() = allocator?.demandExceeds(capacityPerS(), node.clock.steady()) == true

    /**
     * The rate at which all nodes together can record jobs: the writes that the state service allows, less the writes of journal
     * pages and terminal records. Admitting more jobs causes more terminal records shortly afterwards, so the rate converges by itself.
     */
    private fun capacityPerS(): Double {
        val totalPerS = node.settings.stateLimits.writesPerS * USABLE_SHARE
        return maxOf(totalPerS * MIN_NEW_JOBS_SHARE, totalPerS - node.state.schedulingWritesPerS)
    }

    /** The rate at which this node can record jobs with its own share of the writes. */
    private fun ownCapacityPerS(): Double {
        val state = node.state
        if (!node.isLeader) return state.writeRatePerS
        return maxOf(state.writeRatePerS * MIN_NEW_JOBS_SHARE, state.writeRatePerS - state.schedulingWritesPerS)
    }

    /**
     * Decides whether a submission with this [head] is admitted. A submission without a readable head, of an unknown team or with
     * an overlong class name is admitted here, so that it neither counts as demand nor gets a token bucket; validation rejects it.
     */
    fun decide(head: JobHead?): Decision {
        if (head == null || cluster.teams.none { it.name == head.team } || head.jobClass.length > MAX_CLASS_NAME_LENGTH) {
            return Decision.Admitted(withinQuota = true)
        }
        return controller.decide(
            TrafficClass(head.team, head.jobClass),
            urgent = head.priority == Priority.PRODUCTION,
            load(),
            retrySalt = head.id.hashCode(),
            node.clock.steady(),
        )
    }

    private fun load() =
        AdmissionController.WriteLoad(
            queueDelayS = node.state.queueingDelayS(WritePriority.BEYOND_QUOTA),
            quotaQueueDelayS = node.state.queueingDelayS(WritePriority.WITHIN_QUOTA),
            ownCapacityPerS(),
        )

    /** Counts of admitted and rejected jobs, for the statistics in the log. */
    fun statistics() = controller.statistics()

    private companion object {
        /** Longer class names are rejected by validation. */
        const val MAX_CLASS_NAME_LENGTH = 200

        /** The share of the allowed writes that plans count on; the rest covers failed writes and the writes of overlapping terms. */
        const val USABLE_SHARE = 0.9

        /** The share of the writes that new jobs may always use, even if other writes are queued. */
        const val MIN_NEW_JOBS_SHARE = 0.1
    }
}
