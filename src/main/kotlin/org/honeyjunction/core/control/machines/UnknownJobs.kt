package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.AttemptId
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.model.Machine

/**
 * Settles live tasks that workers report and whose jobs the leader does not know. A new leader reads the records of active jobs, and of
 * those ended jobs that a journal page names; a task of any other job that ended is found only when its worker reports it.
 *
 * The record of such a job is read. If the job has ended, it is added to the state, so that its task is placed, recorded and stopped like
 * any other task of an ended job. Otherwise nothing is stopped: an active job will be observed, and without a record nothing is known. Reports
 * repeat, so that what is not settled comes again; the number of jobs and attempts kept here and of concurrent reads is limited.
 *
 * Times are monotonic milliseconds.
 */
class UnknownJobs(private val state: ClusterState) {
    /** An attempt that [machine] reported as live in its [session]. */
    class Report(val machine: Machine, val session: Long, val task: ReportedTask)

    /** An unknown job, and the latest [reports] of its tasks. */
    private class Lookup {
        val reports = LinkedHashMap<AttemptId, Report>()
        var reading = false
        var readNotBefore = Long.MIN_VALUE
        var failedReads = 0
    }

    private val lookups = LinkedHashMap<String, Lookup>()
    private val readsInFlight get() = lookups.values.count { it.reading }
    private val attempts get() = lookups.values.sumOf { it.reports.size }

    /** The number of live tasks that were reported, of jobs that have ended and were not known. */
    private var settledTasks = 0L

    /** [machine] reports [task] of a job that the leader does not know. */
    fun reported(machine: Machine, task: ReportedTask, now: Long) {
        val lookup = lookups[task.job] ?: newLookup(task.job, now) ?: return
        if (attempts >= MAX_ATTEMPTS) return
        lookup.reports[task.id] = Report(machine, machine.lease.session, task)
        state.eventLog.log("unknown-task", now) {
            "${machine.name} reports ${task.task} in attempt ${task.attempt} as ${task.state}, of a job that this leader does not know"
        }
        startReads(now)
    }

    /** A new report of [machine] takes the place of its earlier ones. */
    fun discardReportsOf(machine: Machine) {
        if (lookups.isEmpty()) return
        for (lookup in lookups.values) lookup.reports.values.removeIf { it.machine === machine }
    }

    private fun newLookup(job: String, now: Long): Lookup? {
        if (lookups.size >= MAX_JOBS) lookups.values.removeIf { !it.reading && it.reports.isEmpty() && it.readNotBefore <= now }
        if (lookups.size >= MAX_JOBS) return null
        return Lookup().also { lookups[job] = it }
    }

    private fun startReads(now: Long) {
        var reads = readsInFlight
        for ((job, lookup) in lookups) {
            if (reads >= MAX_READS) return
            if (lookup.reading || lookup.reports.isEmpty() || lookup.readNotBefore > now) continue
            lookup.reading = true
            reads++
            state.effects += Effect.ReadJobRecord(job)
        }
    }

    /**
     * Handles the record of [job], if it was read for a report. Returns the reports that can be handled now because the job has become
     * known.
     */
    fun recordRead(job: String, found: JobRecord, now: Long): List<Report> {
        val lookup = lookups[job]?.takeIf { it.reading } ?: return emptyList()
        lookup.reading = false
        if (found is JobRecord.Finished) state.addJob(found.record, now, found.record.createdAtWall)
        val settled = state.job(job) != null
        if (settled) lookups -= job else postpone(lookup, found, now)
        val reports = if (settled) lookup.reports.values.toList() else emptyList()
        settledTasks += reports.size
        state.eventLog.log("unknown-job-read", now) { "$job ${describe(found)}; ${reports.size} reported tasks of it are settled" }
        startReads(now)
        return reports
    }

    private fun postpone(lookup: Lookup, found: JobRecord, now: Long) {
        lookup.failedReads = if (found == JobRecord.Unread) lookup.failedReads + 1 else 0
        val retryAtOnce = found == JobRecord.Unread && lookup.failedReads % MAX_FAILED_READS != 0
        if (!retryAtOnce) lookup.readNotBefore = now + REREAD_MS
    }

    private fun describe(found: JobRecord): String =
        when (found) {
            is JobRecord.Finished -> if (found.cancelled) "was cancelled" else "was completed"
            is JobRecord.Active -> "is active in version ${found.version}"
            JobRecord.Absent -> "has no record"
            JobRecord.Unread -> "could not be read"
        }

    /** A part of the line of statistics. */
    fun statistics() = "unknown jobs: ${lookups.size} being read, $settledTasks of their tasks settled"

    private companion object {
        const val MAX_JOBS = 256
        const val MAX_ATTEMPTS = 4_096

        /** Leaves most of the reader's capacity to the records of jobs that are ending. */
        const val MAX_READS = 4

        /** After this many failed reads in a row the next one waits. */
        const val MAX_FAILED_READS = 10

        /** The time between two reads of a job that has not ended. */
        const val REREAD_MS = 5_000L
    }
}
