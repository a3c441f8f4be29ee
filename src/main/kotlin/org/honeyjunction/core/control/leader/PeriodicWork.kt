package org.honeyjunction.core.control.leader

import org.honeyjunction.core.failures.MachineHealth
import org.honeyjunction.core.lease.LeaseGuard
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.placement.PlacementRound
import org.honeyjunction.core.placement.Summary

/**
 * The periodic work of the leader: on each tick, and at longer intervals the rounds of placement, capacity planning and
 * preemption. Times are monotonic milliseconds.
 */
internal class PeriodicWork(private val components: LeaderComponents, private val node: String, startedAt: Long) {
    private val state = components.state
    private val tuning = state.tuning
    private val placementRound = PlacementRound(tuning.cost)
    private val lastSummaryRequestAt = HashMap<String, Long>()
    private var nextRoundAt = startedAt
    private var nextPlanAt = startedAt
    private var lastPlanAt = Long.MIN_VALUE / 2
    private var nextPreemptionAt = startedAt

    /** Brings the next rounds of placement and capacity planning forward, since a job was added. */
    fun jobAdded(now: Long) {
        nextRoundAt = minOf(nextRoundAt, now + NEW_JOB_BATCH_MS)
        nextPlanAt = minOf(nextPlanAt, maxOf(now + NEW_JOB_BATCH_MS, lastPlanAt + tuning.capacityPlanIntervalMs / 2))
    }

    /** The waiting tasks of the jobs that [peer] owns; the request shows that [peer] is alive. */
    fun summaryFor(peer: String, now: Long): Summary {
        lastSummaryRequestAt[peer] = now
        return components.queue.summary(now, MAX_SUMMARY_ROWS) { it.owner == peer }
    }

    /** Does all work that is due at [now]. */
    fun tick(now: Long) {
        if (state.leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) return components.dispatcher.sendDue(state.machines, now)
        checkMachines(now)
        components.unrecordedTasks.step(now)
        if (now >= nextRoundAt) runPlacementRound(now)
        if (now >= nextPlanAt) planCapacity(now)
        if (now >= nextPreemptionAt) runPreemptionRound(now)
        endQuarantines(now)
        components.workConservation.step(now)
        components.checkpoints.step(now)
        state.purgeRemoved(now)
        components.explainer?.step(now)
        flush(now)
    }

    private fun checkMachines(now: Long) {
        components.failureDetector.step(now)
        components.zones.step(now)
        components.autoscaler.checkInstances(now)
    }

    private fun runPlacementRound(now: Long) {
        nextRoundAt = now + tuning.placementIntervalMs
        // While a controller does not request summaries, the leader places the jobs that it owns.
        val summary = components.queue.summary(now, MAX_SUMMARY_ROWS) { it.owner == node || ownerInactive(it, now) }
        if (summary.rows.isNotEmpty()) components.dispatcher.accept(placementRound.place(summary), now)
    }

    private fun ownerInactive(job: Job, now: Long) =
        now - lastSummaryRequestAt.getOrDefault(job.owner, Long.MIN_VALUE / 2) > tuning.ownerTimeoutMs

    private fun planCapacity(now: Long) {
        lastPlanAt = now
        nextPlanAt = now + tuning.capacityPlanIntervalMs
        components.autoscaler.plan(now)
        components.consolidation.step(now)
    }

    private fun runPreemptionRound(now: Long) {
        nextPreemptionAt = now + PREEMPTION_INTERVAL_MS
        components.preemption.preempt(now)
    }

    private fun endQuarantines(now: Long) {
        components.failures.retainMachines { state.machineAt(it) != null }
        state.machines.forEach {
            if (it.quarantined &&
                components.failures.machineHealth(it.index, now) == MachineHealth.HEALTHY
            ) {
                it.quarantined = false
            }
        }
    }

    /** Unlike [LeaderComponents.flush], considers all machines, since commands are repeated until they are answered. */
    private fun flush(now: Long) {
        components.lifecycle.flush(now)
        components.journal.flush(now)
        components.dispatcher.flush(state.machines, now)
    }

    private companion object {
        /** The maximum number of rows in one summary. */
        const val MAX_SUMMARY_ROWS = 256

        /** New jobs that arrive within this time are placed in the same round. */
        const val NEW_JOB_BATCH_MS = 30L
        const val PREEMPTION_INTERVAL_MS = 300L
    }
}
