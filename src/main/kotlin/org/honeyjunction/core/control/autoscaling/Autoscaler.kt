package org.honeyjunction.core.control.autoscaling

import org.honeyjunction.core.boot.BootProgress
import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.capacity.Bin
import org.honeyjunction.core.capacity.CapacityPlan
import org.honeyjunction.core.capacity.CapacityPlanner
import org.honeyjunction.core.capacity.ExpectedDemand
import org.honeyjunction.core.capacity.Forecast
import org.honeyjunction.core.capacity.Offer
import org.honeyjunction.core.capacity.ScaleOutPolicy
import org.honeyjunction.core.capacity.TaskDemand
import org.honeyjunction.core.control.jobs.PendingQueue
import org.honeyjunction.core.control.jobs.expectedRunS
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.machines.FailureDetector
import org.honeyjunction.core.control.machines.ZoneHealth
import org.honeyjunction.core.control.machines.ZoneHealthMonitor
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/** Scales the cluster out and in: plans the capacity, rents instances, and releases instances that are idle or lost. */
class Autoscaler(
    private val state: ClusterState,
    private val queue: PendingQueue,
    private val failureDetector: FailureDetector,
    private val zones: ZoneHealthMonitor,
    bootTimes: BootTimes,
    private val startedAt: Long,
    listLagMs: Long,
) {
    private val instances = InstanceMonitor(state, failureDetector, bootTimes, startedAt, listLagMs)
    private val scaleOut = ScaleOutRequests(state)
    private val forecast = Forecast(state.tuning.forecastMs)
    private val forecasted = HashSet<Int>()

    /** The latest capacity plan, including the tasks without capacity; null before the first planning period. */
    var latestPlan: CapacityPlan? = null
        private set

    /** Expires worker leases, and releases machines that are dead, have failed to boot, or are drained. */
    fun checkInstances(now: Long) = instances.step(now)

    /** Handles the cloud's answer to the release of [machines]; if it is not [confirmed], its outcome is unknown. */
    fun released(machines: List<String>, confirmed: Boolean, now: Long) = instances.released(machines, confirmed, now)

    /** Reconciles the leader's state with the cloud's list of [machines]. */
    fun listed(machines: List<ListedMachine>, now: Long) = instances.listed(machines, now)

    /** Adds [machines], which the cloud has rented for the scale-out [request]. */
    fun rentalConfirmed(request: String, machines: List<String>, now: Long) = scaleOut.confirmed(request, machines, now)

    /** Handles the cloud's refusal of the scale-out [request]. */
    fun rentalRefused(request: String, now: Long) = scaleOut.refused(request, now)

    /** Schedules a retry of the scale-out [request], whose outcome is unknown. */
    fun rentalOutcomeUnknown(request: String, now: Long) = scaleOut.outcomeUnknown(request, now)

    /** Records the arrival of [job] in the forecast; repeated calls for the same job have no effect. */
    fun recordArrival(job: Job, now: Long) {
        if (!forecasted.add(job.index)) return
        forecast.recordArrival(
            state.cluster.classes.index(job.spec.jobClass),
            TaskDemand(queue.rows.template(job), job.spec.tasks, job.expectedRunS),
            job.createdAt.coerceAtMost(now),
        )
    }

    /** Computes a new capacity plan and carries it out. */
    fun plan(now: Long) {
        if (state.cluster.types.isEmpty() || now >= state.leaseValidUntil) return
        scaleOut.retry(now)
        val bins = bins(now)
        val machinesByZone =
            state.machines
                .filter { it.phase <= MachinePhase.SUSPECTED }
                .groupingBy { it.zone }
                .eachCount()
        val planner = CapacityPlanner(state.cluster.types, scaleOutPolicy()) { scaleOut.refused(it, now) || inPartitionedZone(it) }
        val plan = planner.plan(queue.demands(now) { !it.failing }, expected(now), bins, machinesByZone)
        latestPlan = plan
        reserve(plan, now)
        plan.instancesToRent.forEach { (offer, count) -> scaleOut.request(offer, count.coerceAtMost(MAX_RENT), now) }
        scaleIn(plan, now)
    }

    private fun reserve(plan: CapacityPlan, now: Long) {
        val until = now + RESERVATION_PERIODS * state.tuning.capacityPlanIntervalMs
        // Work of the lowest priority may use spare capacity, except the capacity that expected tasks will need before a newly rented
        // instance could be up.
        plan.reservedForArrivals
            .mapNotNull(state::machineAt)
            .filter { it.minPriorityAt(now) < Priority.NORMAL }
            .forEach { it.reserveForPriority(Priority.NORMAL, until) }
        plan.reservedForJob.forEach { (machine, job) -> state.machineAt(machine)?.reserveFor(job, until) }
    }

    private fun scaleIn(plan: CapacityPlan, now: Long) {
        val settled = now - startedAt > state.tuning.idleMs / SETTLED_DIVISOR
        for (machine in state.machines) {
            if (machine.index in plan.machinesToKeep) continue
            val idle =
                machine.usable &&
                    machine.placements.isEmpty() &&
                    machine.idleSince != Long.MIN_VALUE &&
                    now - machine.idleSince > state.tuning.idleMs
            val booting = machine.phase == MachinePhase.BOOTING
            if (booting && zones.rentedDuringPartition(machine, now)) machine.enter(MachinePhase.RELEASING)
            if (idle && settled) machine.enter(MachinePhase.DRAINING)
        }
    }

    /**
     * Whether [offer] is in a partitioned zone, where a new instance could not report either. False if all zones are partitioned,
     * since there is no better zone then.
     */
    private fun inPartitionedZone(offer: Offer) =
        zones[offer.zone] == ZoneHealth.PARTITIONED &&
            state.cluster.types.values.any { type -> type.zones.any { zones[it] != ZoneHealth.PARTITIONED } }

    private fun expected(now: Long): List<ExpectedDemand> {
        val bootMs = (state.cluster.types.values.maxOf { it.bootS } * 1000).toLong()
        val hasStartObjective = { jobClass: Int -> state.cluster.classes.name(jobClass) in state.cluster.startWithinS }
        return forecast.expected(now, bootMs, state.tuning.spareFactor, hasStartObjective) { jobClass, sample ->
            scaleOutTooSlow(jobClass, sample, bootMs)
        }
    }

    /** Whether an instance rented when a job of [jobClass] arrives would be up too late for the class's start-time objective. */
    private fun scaleOutTooSlow(jobClass: Int, sample: TaskRow, bootMs: Long): Boolean {
        val startWithinS = state.cluster.startWithinS[state.cluster.classes.name(jobClass)] ?: return false
        val fetchMs = state.cluster.types.values.maxOf { sample.imageGb / it.fetchGbPerS } * 1000
        return startWithinS * 1000 < bootMs + fetchMs
    }

    /** Whether no arrivals are expected, and all running and pending tasks fit on the other machines, without a new instance. */
    fun canSpare(machine: Machine, now: Long): Boolean {
        if (expected(now).isNotEmpty() || !scaleOut.none || state.machines.any { it.phase in UNSETTLED }) return false
        val demands = queue.demands(now) + machine.placements.values.map { TaskDemand(queue.rows.relocation(it.task, now), 1) }
        val others = bins(now).filter { it.machine != machine.index }
        val planner = CapacityPlanner(state.cluster.types, scaleOutPolicy()) { false }
        val plan = planner.plan(demands, emptyList(), others, emptyMap())
        return plan.instancesToRent.isEmpty() && plan.unmet.isEmpty()
    }

    /** The present and upcoming capacity: machines whose capacity counts, and instances that were requested. */
    private fun bins(now: Long): List<Bin> {
        val machines = state.machines.filter { countsAsCapacity(it, now) }.map { bin(it, now) }
        val requested =
            scaleOut.pending.flatMap { request ->
                val size = state.cluster.types.getValue(request.offer.type).size
                List(request.effect.count) { Bin(Bin.NOT_A_MACHINE, request.offer, size, true, scene = emptyScene(request.offer)) }
            }
        return machines + requested
    }

    private fun countsAsCapacity(machine: Machine, now: Long): Boolean {
        if (machine.type !in state.cluster.types) return false
        val booting = machine.phase == MachinePhase.BOOTING
        return machine.usable ||
            booting &&
            instances.bootProgress(machine, now) == BootProgress.EXPECTED ||
            failureDetector.expectedToRecover(machine, now)
    }

    private fun bin(machine: Machine, now: Long) =
        Bin(
            machine.index,
            Offer(machine.type, machine.zone, machine.spot),
            state.freeCapacity(machine),
            machine.placements.isEmpty(),
            queue.capacity.upcoming(machine, now),
            state.ruleContext(machine),
            zones.unresponsive(machine, now),
        )

    /** What placement rules see of an instance of [offer] without tasks and cached images. */
    private fun emptyScene(offer: Offer): RuleTable.MachineContext {
        val place = state.ruleBook.offerPlace(offer.type, offer.zone, offer.spot)
        return RuleTable.MachineContext(place, IntArray(0), IntArray(0))
    }

    private fun scaleOutPolicy(): ScaleOutPolicy? {
        if (state.ruleBook.empty) return null
        return ScaleOutPolicy(state.ruleBook.table, ::emptyScene) { shape, offer ->
            state.ruleBook.mayRent(shape, offer.type, offer.zone, offer.spot)
        }
    }

    private companion object {
        /** Phases in which it is open whether the machine's capacity can be used. */
        val UNSETTLED = setOf(MachinePhase.BOOTING, MachinePhase.UNCONFIRMED, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)

        /** The most instances in one scale-out request. */
        const val MAX_RENT = 50

        /** Planning periods for which capacity stays reserved. */
        const val RESERVATION_PERIODS = 3

        /** A new leader releases idle machines only after the idle timeout divided by this number. */
        const val SETTLED_DIVISOR = 3
    }
}
