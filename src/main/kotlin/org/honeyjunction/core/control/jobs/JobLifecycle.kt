package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
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
 * How jobs end: results of tasks, finished and cancelled jobs. What may be told to whom meanwhile is [TerminalRecord]'s to say.
 *
 * A job ends in these steps, whether all its tasks are done or its user cancels it:
 *
 * | step | where | what happens |
 * | --- | --- | --- |
 * | 1. asked for | [taskDone] of the last task, [cancel] | of a cancelled job nothing is started any more and all tasks are stopped |
 * | 2. permitted | [mayConfirm] | a cancellation waits here until no former leader can keep a task alive |
 * | 3. written | [write] | a compare-and-swap of the job's active record, on the leader's term too |
 * | 4. in doubt | [read], [recordRead] | without a clear answer the record is read, and written again if it is still active |
 * | 5. confirmed | [over] | the final state is durable: [Effect.CancellationConfirmed] answers whoever waits |
 *
 * So a cancellation is confirmed in [over] alone. It may be, because the final state is durable and [mayConfirm] held when
 * its write was sent. The tasks may run on for a moment: their workers are told to stop, and a worker that can't be reached
 * stops them when its lease expires, within the time that the settings give a cancellation.
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

    /** Whether a worker's lease can expire within the time that the settings give a cancellation. */
    private val leaseFitsCancellation = RenewalBound.cancellationBudgetMs(state.cluster.cancelMs, state.cluster.leaseMs) > 0

    /** A worker has shown the result; [machine]: where the task did its work, if that is known. */
    fun taskDone(task: Task, machine: Machine?, now: Long) {
        val job = task.job
        if (machine != null) failures.succeeded(job, machine, now)
        // The tasks of a gang complete together: one result is the result of all.
        val finished = if (job.spec.kind == JobKind.GANG) job.tasks.asList() else listOf(task)
        finished.filter(job::markDone).forEach(journal::add)
        if (job.unfinished == 0) recordsDue += job
    }

    /** A result that an earlier term has written. */
    fun restore(task: Task) {
        if (!task.job.markDone(task)) return
        task.doneDurable = true
        if (task.job.unfinished == 0) recordsDue += task.job
    }

    /** An attempt failed: see [FailureHandler]. */
    fun failed(placement: Placement, now: Long) = failures.failed(placement, now)

    /** The job's user asks to cancel it: it is stopped at once, and confirmed in [over]. */
    fun cancel(job: Job, now: Long) {
        if (job.terminalRecord.state != TerminalRecord.State.OPEN) return
        job.cancelRequested = true
        job.placements.toList().forEach { it.requestStop(0.0) }
        recordsDue += job
        flush(now)
    }

    /** Takes each due terminal record one step further. */
    fun flush(now: Long) {
        if (recordsDue.isEmpty()) return
        val due = recordsDue.toList()
        recordsDue.clear()
        due.forEach { advance(it, now) }
    }

    private fun advance(job: Job, now: Long) =
        when (job.terminalRecord.state) {
            TerminalRecord.State.OPEN -> if (mayConfirm(job, now)) write(job, now) else recordsDue += job
            TerminalRecord.State.OUTCOME_UNKNOWN -> read(job)
            // An earlier write may take effect at any moment: while none may be sent, the record is read again.
            TerminalRecord.State.PENDING -> if (mayConfirm(job, now)) write(job, now) else read(job)
            // Workers report an ended task until it is reaped, so this is asked again: the answer on its way leads on.
            TerminalRecord.State.WRITING, TerminalRecord.State.READING, TerminalRecord.State.RECORDED -> Unit
        }

    /**
     * Whether the end of [job] may become durable. That all its tasks are done is so for ever. A confirmed cancellation must
     * end its tasks in time, whatever fails from then on: nobody but this leader may be able to renew the lease of a worker
     * that may have one. So every such worker must have acknowledged this term's fencing token, or the time must be over in
     * which former leaders may renew leases; see [RenewalBound]. Where the settings leave no room for a lease, the tasks
     * must be gone.
     */
    private fun mayConfirm(job: Job, now: Long): Boolean {
        if (job.unfinished == 0) return true
        val maybeOnMachines = job.placements.filter { it.phase > Phase.RECORDED }
        if (!leaseFitsCancellation) return maybeOnMachines.isEmpty()
        val formerLeadersExpired = now - state.startedAt >= RenewalBound.CONFIRMATION_DELAY_MS
        return formerLeadersExpired || maybeOnMachines.all { it.machine.lease.fenced }
    }

    private fun write(job: Job, now: Long) {
        // A job with unfinished tasks is here because it was cancelled.
        val cancelled = job.terminalRecord.beginWrite(job.unfinished > 0)
        state.commit(listOf(Change.JobFinished(job.spec.id, job.version, cancelled))) { outcome ->
            if (outcome is CommitOutcome.Applied) {
                over(job, cancelled, now)
            } else {
                job.terminalRecord.writeUnanswered()
                recordsDue += job
            }
        }
    }

    private fun read(job: Job) {
        job.terminalRecord.beginRead()
        state.effects += Effect.ReadJobRecord(job.spec.id)
    }

    /**
     * The answer to [Effect.ReadJobRecord]. A final state that stands is taken over, whoever wrote it. A record that none of
     * this term's writes explains ends the term.
     */
    fun recordRead(job: Job, found: JobRecord, now: Long) {
        val record = job.terminalRecord
        if (record.state != TerminalRecord.State.READING) return
        when (found) {
            is JobRecord.Finished -> return over(job, found.cancelled, now)
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

    /** The final state is durable: from here on it may be told to everybody, and whoever waits for it is answered. */
    private fun over(job: Job, cancelled: Boolean, now: Long) {
        job.enter(if (cancelled) JobStage.CANCELLED else JobStage.DONE)
        failures.jobEnded(job, now)
        fairness.recordEnded(job.counted(now), done = !cancelled)
        state.finishJob(job, now)
        if (!cancelled) job.tasks.forEach { it.doneDurable = true }
        job.placements.toList().forEach { it.requestStop(0.0) }
        state.effects += Effect.CancellationConfirmed(job.spec.id, done = !cancelled)
    }
}

/** The job as the fairness monitor counts it. */
fun Job.counted(now: Long) = CountedJob(spec.jobClass, spec.team, started || doneCount > 0, now - createdAt, spec.tasks)
