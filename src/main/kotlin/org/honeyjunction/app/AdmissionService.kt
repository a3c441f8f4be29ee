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

/** Admission control at this node and, while it leads, the quota plans of all nodes. Rates are jobs a second. */
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

    /** This node leads [term] from now on. */
    fun startTerm(term: Long) {
        allocator = QuotaAllocator(teamWeights, nodeCount, term, node.clock.steady())
    }

    /** This node leads no more. */
    fun endTerm() {
        allocator = null
    }

    /** The demand of this node's users, to be reported to the leader. */
    val demand: List<Demand> get() = controller.demandMeter.demand(node.clock.steady())

    /** The epoch of this node's plan, and what it grants. */
    val epoch: PlanEpoch get() = controller.epoch
    val grantedPerS: Double get() = controller.grantedPerS(node.clock.steady())

    /** A plan is requested from the leader now; the result goes with its response into [installPlan]. */
    fun beginPlanRequest(): Long = controller.beginPlanRequest(node.clock.steady())

    fun installPlan(plan: QuotaPlan, requestedAt: Long) {
        controller.installPlan(plan, requestedAt, node.clock.steady())
    }

    /** At the leader: the plan of the node [peer] by what it reports; null where this node is not certain to lead. */
    fun planFor(peer: String, demand: List<Demand>, epoch: PlanEpoch, grantedPerS: Double): QuotaPlan? {
        val allocator = allocator ?: return null
        val leader = node.driverWithLease?.leader ?: return null
        val now = node.clock.steady()
        allocator.reportDemand(peer, demand, epoch, grantedPerS, now)
        return allocator.allocate(peer, capacityPerS(), leader.teamsOverTaskShare(teamWeights), now)
    }

    /** At the leader: its own plan, by the same rules as any node's. */
    fun refreshOwnPlan() {
        val requestedAt = beginPlanRequest()
        planFor(node.settings.node, demand, epoch, grantedPerS)?.let { installPlan(it, requestedAt) }
    }

    /** At the leader: users submit more jobs than can be recorded. */
    val demandExceedsCapacity: Boolean get() = allocator?.demandExceeds(capacityPerS(), node.clock.steady()) == true

    /**
     * How many jobs all nodes together can record: what the changes a second leave beside journal pages and terminal records.
     * More admitted jobs mean more terminal records a little later, so this settles by itself.
     */
    private fun capacityPerS(): Double {
        val totalPerS = node.settings.stateLimits.writesPerS * USABLE_SHARE
        return maxOf(totalPerS * MIN_NEW_JOBS_SHARE, totalPerS - node.state.schedulingWritesPerS)
    }

    /** What this node could record by itself. */
    private fun ownCapacityPerS(): Double {
        val state = node.state
        if (!node.isLeader) return state.writeRatePerS
        return maxOf(state.writeRatePerS * MIN_NEW_JOBS_SHARE, state.writeRatePerS - state.schedulingWritesPerS)
    }

    /**
     * Whether a submission with this [head] is admitted. One without a readable head or of an unknown team is left to
     * validation, which rejects it: it must neither count as demand nor get a token bucket.
     */
    fun decide(head: JobHead?): Decision {
        if (head == null || cluster.teams.none { it.name == head.team } || head.jobClass.length > MAX_CLASS_NAME) {
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

    fun statistics() = controller.statistics()

    private companion object {
        /** A longer name of a class is left to validation. */
        const val MAX_CLASS_NAME = 200

        /** The rest is for changes that count twice: writes that fail, and terms that overlap. */
        const val USABLE_SHARE = 0.9

        /** The share of the changes that new jobs may always use, whatever else is queued. */
        const val MIN_NEW_JOBS_SHARE = 0.1
    }
}
