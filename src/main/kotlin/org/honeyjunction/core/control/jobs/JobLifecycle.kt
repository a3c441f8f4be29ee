package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.leader.summarized
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.fairness.CountedJob
import org.honeyjunction.core.fairness.FairnessMonitor
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.TerminalRecord

/**
 * Ends jobs: handles task results, completion and cancellation. [TerminalRecord] defines what users may be told meanwhile.
 *
 * A job ends in these steps, whether all its tasks are done or its user cancels it:
 *
 * | step | where | what happens |
 * | --- | --- | --- |
 * | 1. requested | [taskDone] of the last task, [cancel] | no task of a cancelled job is started any more, and all are stopped |
 * | 2. permitted | [confirmationBasis] | a cancellation waits here until no former leader can renew the lease of its workers |
 * | 3. written | [write] | a compare-and-swap on the job's active record and on the leader's term |
 * | 4. in doubt | [read], [recordRead] | after an unclear answer the record is read, and written again if it is still active |
 * | 5. confirmed | [applyFinalState] | the final state is durable: [Effect.CancellationConfirmed] answers the waiting requests |
 *
 * So only [applyFinalState] confirms a cancellation. This is safe because the final state is durable and [confirmationBasis] was met
 * when its write was sent. Tasks may still run for a short time: their workers are told to stop them, and a worker that can't
 * be reached stops them when its lease expires, within the time limit that the settings define for cancellations.
 */
class JobLifecycle(
    private val state: ClusterState,
    private val journal: PlacementJournal,
    attribution: FailureAttribution,
    private val fairness: FairnessMonitor,
) {
    private val failures = FailureHandler(state, attribution)

    /** Jobs whose terminal record is to be written or read at the next [flush]. */
    private val recordsDue = LinkedHashSet<Job>()

    /** Whether a worker's lease is certain to expire within the time limit for cancellations in the settings. */
    private val leaseFitsCancellation = RenewalBound.cancellationBudgetMs(state.cluster.cancelMs, state.cluster.leaseMs) > 0

    /** A worker reported the result of [task]; [machine] is where the task ran, if known. */
    fun taskDone(task: Task, machine: Machine?, now: Long) {
        val job = task.job
        if (machine != null) failures.succeeded(job, machine, now)
        // The tasks of a gang complete together: one result is the result of all.
        val finished = if (job.spec.kind == JobKind.GANG) job.tasks.asList() else listOf(task)
        finished.filter(job::markDone).forEach(journal::add)
        if (job.unfinished == 0) recordsDue += job
    }

    /** Takes over a result that an earlier term recorded. */
    fun restore(task: Task) {
        if (!task.job.markDone(task)) return
        task.doneDurable = true
        if (task.job.unfinished == 0) recordsDue += task.job
    }

    /** An attempt failed: see [FailureHandler]. */
    fun failed(placement: Placement, now: Long) = failures.failed(placement, now)

    /** Cancels [job] for its user: its tasks are stopped at once; [applyFinalState] confirms the cancellation. */
    fun cancel(job: Job, now: Long) {
        if (job.terminalRecord.state != TerminalRecord.State.OPEN) return
        job.cancelRequested = true
        job.placements.toList().forEach { it.requestStop(0.0) }
        recordsDue += job
        flush(now)
    }

    /** Advances each due terminal record by one step. */
    fun flush(now: Long) {
        if (recordsDue.isEmpty()) return
        val due = recordsDue.toList()
        recordsDue.clear()
        due.forEach { advance(it, now) }
    }

    private fun advance(job: Job, now: Long) {
        when (job.terminalRecord.state) {
            TerminalRecord.State.OPEN -> {
                val basis = confirmationBasis(job, now)
                if (basis != null) write(job, basis, now) else recordsDue += job
            }
            TerminalRecord.State.OUTCOME_UNKNOWN -> read(job)
            // An earlier write may still take effect. While no new write may be sent, the record is read again.
            TerminalRecord.State.PENDING -> {
                val basis = confirmationBasis(job, now)
                if (basis != null) write(job, basis, now) else read(job)
            }
            // Workers repeat the report of an ended task until it is reaped, so a record may become due again here. The
            // answer to the request that is on its way advances it.
            TerminalRecord.State.WRITING, TerminalRecord.State.READING, TerminalRecord.State.RECORDED -> Unit
        }
    }

    /**
     * Why the final state of [job] may become durable; null if it may not yet. A job whose tasks are all done can always be recorded,
     * since results are final. After a cancellation is confirmed, the tasks must end within the time limit whatever fails: only this
     * leader may be able to renew the lease of a worker that may run one. So every such worker must have acknowledged this term's
     * fencing token, or the time in which former leaders may renew leases must be over; see [RenewalBound]. If a lease can't expire
     * within the time limit that the settings define, the tasks must be gone first.
     */
    private fun confirmationBasis(job: Job, now: Long): ConfirmationBasis? {
        if (job.unfinished == 0) return ConfirmationBasis.ALL_TASKS_DONE
        val maybeOnMachines = job.placements.filter { it.phase > Phase.RECORDED }
        return when {
            maybeOnMachines.isEmpty() -> ConfirmationBasis.NO_TASK_ON_A_MACHINE
            !leaseFitsCancellation -> null
            maybeOnMachines.all { it.machine.lease.fenced } -> ConfirmationBasis.WORKERS_HAVE_TOKEN
            now - state.startedAt >= RenewalBound.CONFIRMATION_DELAY_MS -> ConfirmationBasis.FORMER_LEADERS_EXPIRED
            else -> null
        }
    }

    private enum class ConfirmationBasis { ALL_TASKS_DONE, NO_TASK_ON_A_MACHINE, WORKERS_HAVE_TOKEN, FORMER_LEADERS_EXPIRED }

    private fun write(job: Job, basis: ConfirmationBasis, now: Long) {
        // A job with unfinished tasks only gets here because it was cancelled.
        val cancelled = job.terminalRecord.beginWrite(job.unfinished > 0)
        state.commit(listOf(Change.JobFinished(job.spec.id, job.version, cancelled))) { outcome ->
            if (outcome is CommitOutcome.Applied) {
                if (cancelled) logCancellation(job, basis)
                applyFinalState(job, cancelled, now)
            } else {
                job.terminalRecord.writeUnanswered()
                recordsDue += job
            }
        }
    }

    private fun logCancellation(job: Job, basis: ConfirmationBasis) =
        state.eventLog.log("cancellation-recorded", state.now) {
            val machines = job.placements.map { it.machine.name }.distinct()
            "${job.spec.id}, since $basis; ${job.placements.size} tasks to stop on machines ${machines.summarized { it }}"
        }

    private fun read(job: Job) {
        job.terminalRecord.beginRead()
        state.effects += Effect.ReadJobRecord(job.spec.id)
    }

    /**
     * Handles the answer to [Effect.ReadJobRecord]. A durable final state is taken over, whichever leader wrote it. The
     * leader steps down if the record is missing, or active in another version: none of its own writes explains that.
     */
    fun recordRead(job: Job, found: JobRecord, now: Long) {
        val record = job.terminalRecord
        if (record.state != TerminalRecord.State.READING) return
        when (found) {
            is JobRecord.Finished -> return applyFinalState(job, found.cancelled, now)
            is JobRecord.Active -> {
                record.readStillActive()
                if (found.version != job.version) return stepDown(job)
            }
            JobRecord.Absent -> {
                record.readFailed()
                return stepDown(job)
            }
            JobRecord.Unread -> record.readFailed()
        }
        recordsDue += job
    }

    private fun stepDown(job: Job) {
        state.effects += Effect.StepDown("the record of ${job.spec.id} differs from what this term knows")
    }

    /** The final state is durable: from here on it may be reported to any user, and requests that wait for it are answered. */
    private fun applyFinalState(job: Job, cancelled: Boolean, now: Long) {
        job.enter(if (cancelled) JobStage.CANCELLED else JobStage.DONE)
        failures.jobEnded(job, now)
        fairness.recordEnded(job.counted(now), done = !cancelled)
        state.finishJob(job, now)
        if (!cancelled) job.tasks.forEach { it.doneDurable = true }
        job.placements.toList().forEach { it.requestStop(0.0) }
        state.effects += Effect.CancellationConfirmed(job.spec.id, done = !cancelled)
    }
}

/** What the [FairnessMonitor] counts of this job. */
fun Job.counted(now: Long) = CountedJob(spec.jobClass, spec.team, started || doneCount > 0, now - createdAt, spec.tasks)
