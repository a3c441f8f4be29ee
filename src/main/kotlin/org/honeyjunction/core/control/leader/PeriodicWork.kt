package org.honeyjunction.core.control.leader

import org.honeyjunction.core.failures.MachineHealth
import org.honeyjunction.core.lease.LeaseGuard
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.placement.PlacementRound
import org.honeyjunction.core.placement.Summary

/**
 * What the leader does on each tick and, less often, in rounds of placement, of capacity planning and of preemption. Times are
 * steady milliseconds.
 */
internal class PeriodicWork(private val parts: LeaderComponents, private val node: String, startedAt: Long) {
    private val state = parts.state
    private val tuning = state.tuning
    private val round = PlacementRound(tuning.cost)
    private val lastSummaryRequestAt = HashMap<String, Long>()
    private var nextRoundAt = startedAt
    private var nextPlanAt = startedAt
    private var plannedAt = Long.MIN_VALUE / 2
    private var nextPreemptionAt = startedAt

    /** A job was added: the next rounds of placement and planning come earlier. */
    fun jobAdded(now: Long) {
        nextRoundAt = minOf(nextRoundAt, now + NEW_JOB_MS)
        nextPlanAt = minOf(nextPlanAt, maxOf(now + NEW_JOB_MS, plannedAt + tuning.capacityMs / 2))
    }

    /** The waiting tasks of the jobs that [peer] owns; the request shows that [peer] is alive. */
    fun summaryFor(peer: String, now: Long): Summary {
        lastSummaryRequestAt[peer] = now
        return parts.queue.summary(now, MAX_ROWS) { it.owner == peer }
    }

    fun tick(now: Long) {
        if (state.leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) return parts.dispatcher.sendDue(state.machines, now)
        watchMachines(now)
        if (now >= nextRoundAt) place(now)
        if (now >= nextPlanAt) planCapacity(now)
        if (now >= nextPreemptionAt) preempt(now)
        endQuarantines(now)
        parts.workConservation.step(now)
        parts.checkpoints.step(now)
        state.purgeRemoved(now)
        parts.explainer?.step(now)
        flush(now)
    }

    private fun watchMachines(now: Long) {
        parts.failureDetector.step(now)
        parts.zones.step(now)
        parts.autoscaler.checkInstances(now)
    }

    private fun place(now: Long) {
        nextRoundAt = now + tuning.roundMs
        // While a node does not ask for summaries, the jobs that it owns are placed here.
        val summary = parts.queue.summary(now, MAX_ROWS) { it.owner == node || ownerInactive(it, now) }
        if (summary.rows.isNotEmpty()) parts.dispatcher.accept(round.place(summary), now)
    }

    private fun ownerInactive(job: Job, now: Long) = now - lastSummaryRequestAt.getOrDefault(job.owner, Long.MIN_VALUE / 2) > tuning.lapseMs

    private fun planCapacity(now: Long) {
        plannedAt = now
        nextPlanAt = now + tuning.capacityMs
        parts.autoscaler.plan(now)
        parts.consolidation.step(now)
    }

    private fun preempt(now: Long) {
        nextPreemptionAt = now + PREEMPTION_MS
        parts.preemption.preempt(now)
    }

    private fun endQuarantines(now: Long) {
        parts.failures.retainMachines { state.machineAt(it) != null }
        state.machines.forEach {
            if (it.quarantined &&
                parts.failures.machineHealth(it.index, now) == MachineHealth.HEALTHY
            ) {
                it.quarantined = false
            }
        }
    }

    /** Unlike after a single event, all machines are looked at: commands are repeated until they are answered. */
    private fun flush(now: Long) {
        parts.lifecycle.flush(now)
        parts.journal.flush(now)
        parts.dispatcher.flush(state.machines, now)
    }

    private companion object {
        /** The most rows in one summary. */
        const val MAX_ROWS = 256

        /** New jobs that arrive within this time share one round. */
        const val NEW_JOB_MS = 30L
        const val PREEMPTION_MS = 300L
    }
}
