package org.honeyjunction.core.control.autoscaling

import org.honeyjunction.core.boot.BootProgress
import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.capacity.Bin
import org.honeyjunction.core.capacity.CapacityPlan
import org.honeyjunction.core.capacity.CapacityPlanner
import org.honeyjunction.core.capacity.Expected
import org.honeyjunction.core.capacity.Forecast
import org.honeyjunction.core.capacity.Offer
import org.honeyjunction.core.capacity.ScaleOutPolicy
import org.honeyjunction.core.capacity.Wanted
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

/** Scales the cluster out and in: plans the capacity, rents instances, and returns those that are idle or lost. */
class Autoscaler(
    private val state: ClusterState,
    private val queue: PendingQueue,
    private val failureDetector: FailureDetector,
    private val zones: ZoneHealthMonitor,
    boots: BootTimes,
    private val startedAt: Long,
    listLagMs: Long,
) {
    private val instances = InstanceMonitor(state, failureDetector, boots, startedAt, listLagMs)
    private val scaleOut = ScaleOutRequests(state)
    private val forecast = Forecast(state.tuning.forecastMs)
    private val forecasted = HashSet<Int>()

    /** The latest plan, with the tasks that could neither be placed nor get an instance; null before the first. */
    var latestPlan: CapacityPlan? = null
        private set

    /** Expires leases, and releases machines that are dead, never come up, or are drained. */
    fun watch(now: Long) = instances.step(now)

    fun released(machines: List<String>, confirmed: Boolean, now: Long) = instances.released(machines, confirmed, now)

    fun listed(machines: List<ListedMachine>, now: Long) = instances.listed(machines, now)

    fun rented(request: String, machines: List<String>, now: Long) = scaleOut.confirmed(request, machines, now)

    fun rentalRefused(request: String, now: Long) = scaleOut.refused(request, now)

    fun rentalUnknown(request: String, now: Long) = scaleOut.outcomeUnknown(request, now)

    /** Counts the arrival of [job] for the forecast, once. */
    fun noteArrival(job: Job, now: Long) {
        if (!forecasted.add(job.index)) return
        forecast.note(
            state.cluster.classes.index(job.spec.jobClass),
            Wanted(queue.rows.template(job), job.spec.tasks, job.expectedRunS),
            job.createdAt.coerceAtMost(now),
        )
    }

    /** Plans the capacity anew, and carries the plan out. */
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
        plan.rent.forEach { (offer, count) -> scaleOut.request(offer, count.coerceAtMost(MAX_RENT), now) }
        scaleIn(plan, now)
    }

    private fun reserve(plan: CapacityPlan, now: Long) {
        val until = now + RESERVATION_PERIODS * state.tuning.capacityPlanIntervalMs
        // Idle work may use spare capacity, but not what others are expected to need before an instance could be rented.
        plan.reserved
            .mapNotNull(state::machineAt)
            .filter { it.minPriorityAt(now) < Priority.NORMAL }
            .forEach { it.reserveForPriority(Priority.NORMAL, until) }
        plan.held.forEach { (machine, job) -> state.machineAt(machine)?.reserveFor(job, until) }
    }

    private fun scaleIn(plan: CapacityPlan, now: Long) {
        val settled = now - startedAt > state.tuning.idleMs / SETTLED_DIVISOR
        for (machine in state.machines) {
            if (machine.index in plan.keep) continue
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

    /** A machine rented in a partitioned zone could not report either. If all zones are partitioned, none is preferred. */
    private fun inPartitionedZone(offer: Offer) =
        zones[offer.zone] == ZoneHealth.PARTITIONED &&
            state.cluster.types.values.any { type -> type.zones.any { zones[it] != ZoneHealth.PARTITIONED } }

    private fun expected(now: Long): List<Expected> {
        val bootMs = (state.cluster.types.values.maxOf { it.bootS } * 1000).toLong()
        val hasStartObjective = { jobClass: Int -> state.cluster.classes.name(jobClass) in state.cluster.startWithinS }
        return forecast.expected(now, bootMs, state.tuning.spareFactor, hasStartObjective) { jobClass, sample ->
            scaleOutTooSlow(jobClass, sample, bootMs)
        }
    }

    /** Whether an instance rented when such a job arrives would be up too late for its service-level objective. */
    private fun scaleOutTooSlow(jobClass: Int, sample: TaskRow, bootMs: Long): Boolean {
        val startWithinS = state.cluster.startWithinS[state.cluster.classes.name(jobClass)] ?: return false
        val fetchMs = state.cluster.types.values.maxOf { sample.imageGb / it.fetchGbPerS } * 1000
        return startWithinS * 1000 < bootMs + fetchMs
    }

    /** Whether no arrivals are expected, and all running and pending tasks would do without [machine] and without a replacement. */
    fun canSpare(machine: Machine, now: Long): Boolean {
        if (expected(now).isNotEmpty() || !scaleOut.none || state.machines.any { it.phase in UNSETTLED }) return false
        val wanted = queue.demands(now) + machine.placements.values.map { Wanted(queue.rows.relocation(it.task, now), 1) }
        val others = bins(now).filter { it.machine != machine.index }
        val planner = CapacityPlanner(state.cluster.types, scaleOutPolicy()) { false }
        val plan = planner.plan(wanted, emptyList(), others, emptyMap())
        return plan.rent.isEmpty() && plan.unmet.isEmpty()
    }

    /** The capacity that is there or will be: machines that count, and instances that were requested. */
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
        val UNSETTLED = setOf(MachinePhase.BOOTING, MachinePhase.UNCONFIRMED, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)

        /** Instances in one request. */
        const val MAX_RENT = 50

        /** Planning periods for which capacity stays reserved. */
        const val RESERVATION_PERIODS = 3

        /** A new leader waits for this part of the idle time before it returns machines that were idle before its term. */
        const val SETTLED_DIVISOR = 3
    }
}
