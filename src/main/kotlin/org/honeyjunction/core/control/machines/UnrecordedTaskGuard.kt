package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.jobs.isPermitted
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.NameTable

/**
 * Holds starts back while the placement journal may omit running tasks. A new leader takes a task that no page names for one that is on
 * no machine. But a leader of an earlier version may have dropped the record of a running task, as happens while a deployment is
 * upgraded; then a page is stored that is not [JournalPageRecord.complete].
 *
 * After such a page was read, a job of an earlier term is held back while one of its tasks may run on a machine that has not reported
 * under this term. What a report shows is recorded by [HeartbeatProcessor]. Once each machine that an earlier leader used has reported, is
 * gone, or can no longer have a valid lease, the journal is complete again. Machines that neither a page nor a checkpoint names are not
 * known at that time; tasks on them are found when they report.
 */
internal class UnrecordedTaskGuard(private val state: ClusterState, private val journal: PlacementJournal) {
    private val unconfirmedMachines = LinkedHashSet<Machine>()
    private val heldBack = LinkedHashSet<Job>()

    /** The time, in milliseconds from the start of the term, after which every lease that a former leader renewed has expired. */
    private val leasesExpireAfterMs =
        RenewalBound.gracePeriodMs(state.cluster.cancelMs, state.cluster.leaseMs) +
            (state.cluster.leaseMs * WorkerLease.DRIFT).toLong() + WorkerLease.MARGIN_MS

    /** Called once all jobs and machines of earlier terms are recovered, if a page of their journal is not complete. */
    fun begin(now: Long) {
        journal.complete = false
        unconfirmedMachines += state.machines
        heldBack += state.active.values
        heldBack.forEach { it.heldBack = true }
        log(
            "journal-incomplete",
            "an earlier version may have dropped running tasks: ${heldBack.size} jobs wait for ${unconfirmedMachines.size} machines",
        )
        step(now)
    }

    /** Releases the jobs of which no task can run unrecorded any more. */
    fun step(now: Long) {
        if (journal.complete) return
        val expired = now - state.startedAt > leasesExpireAfterMs
        unconfirmedMachines.removeIf { expired || it.lease.fenced || it.phase == MachinePhase.GONE }
        heldBack.removeIf { job -> mayBeReleased(job).also { released -> job.heldBack = !released } }
        if (unconfirmedMachines.isNotEmpty()) return
        journal.complete = true
        log("journal-complete", "every machine of earlier terms has reported or is gone after ${now - state.startedAt} ms")
    }

    private fun mayBeReleased(job: Job) = job.stage != JobStage.ACTIVE || unconfirmedMachines.none { mayRunOn(it, job) }

    private fun mayRunOn(machine: Machine, job: Job): Boolean {
        val unknown = machine.type !in state.cluster.types || machine.zone == NameTable.ABSENT
        return unknown || state.isPermitted(job, machine)
    }

    private fun log(event: String, message: String) {
        state.effects += Effect.LogEvent(event, message)
    }
}
