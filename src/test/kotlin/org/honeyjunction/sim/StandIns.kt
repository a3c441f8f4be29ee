package org.honeyjunction.sim

import org.honeyjunction.core.control.Cause
import org.honeyjunction.core.control.Change
import org.honeyjunction.core.control.Command
import org.honeyjunction.core.control.CommitOutcome
import org.honeyjunction.core.control.MachineHint
import org.honeyjunction.core.control.PageRecord
import org.honeyjunction.core.control.Recovered
import org.honeyjunction.core.control.Report
import org.honeyjunction.core.control.ReportedTask
import org.honeyjunction.core.control.StoredJob
import org.honeyjunction.core.control.TaskState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage

/** A stand-in of the state service: what is durable, and whose writes still count. */
class StandInState {
    var term = 0L
    var down = false
    private var revision = 0L
    val jobs = LinkedHashMap<String, StoredJob>()
    val finals = HashMap<String, StoredJob>()
    private val hints = HashMap<Int, List<MachineHint>>()
    val pages = LinkedHashMap<Int, Pair<PageRecord, Long>>()

    fun submit(job: StoredJob): StoredJob = job.copy(version = ++revision).also { jobs[job.spec.id] = it }

    /** Null: a condition failed, or the service is down. */
    fun commit(byTerm: Long, changes: List<Change>): Long? {
        if (down || byTerm != term || !changes.all(::holds)) return null
        revision++
        for (c in changes) {
            when (c) {
                is Change.Page -> pages[c.record.page] = c.record.copy(version = revision) to c.write
                is Change.Hints -> hints[c.page] = c.machines
                is Change.JobOver -> finals[c.job] =
                    jobs.remove(c.job)!!.copy(stage = if (c.cancelled) JobStage.CANCELLED else JobStage.DONE)
            }
        }
        return revision
    }

    private fun holds(change: Change) = when (change) {
        is Change.Page -> (pages[change.record.page]?.first?.version ?: 0L) == change.record.version
        is Change.JobOver -> jobs[change.job]?.version == change.version
        is Change.Hints -> true
    }

    /** As the driver does after a write without an answer: a page is read to see which writing of it is there. */
    fun reread(changes: List<Change>): CommitOutcome {
        val c = changes.filterIsInstance<Change.Page>().firstOrNull() ?: return CommitOutcome.Failed()
        val (record, write) = pages[c.record.page] ?: return CommitOutcome.Failed(0)
        return if (write == c.write) CommitOutcome.Applied(record.version) else CommitOutcome.Failed(record.version)
    }

    fun recovered(): Recovered {
        val records = pages.values.map { it.first }
        val named = records.flatMap { r -> r.starts.map { it.job } }.toSet() - jobs.keys
        return Recovered(jobs.values + named.mapNotNull(finals::get), records, hints.values.flatten())
    }
}

/** A stand-in of a worker and its machine. */
class StandInWorker(val name: String, val zone: String, val spot: Boolean, private val leaseMs: Long, now: Long, private val find: (String) -> StoredJob?) {
    class Running(val job: StoredJob, val number: Int, val attempt: Long, var state: TaskState, var until: Long) {
        val live get() = state !is TaskState.Ended
    }

    val tasks = LinkedHashMap<String, Running>()
    var dead = false
    var hungUntil = 0L
    var cutUntil = 0L
    var nextReportAt = now
    var noticeS: Double? = null
    private var session = 1L
    private var sequence = 0L
    private var token = 0L
    private var renewedAt = now

    /** Past its lease a worker has none of its tasks any more, even if it hangs and clears them only later. */
    fun holds(now: Long) = !dead && now - renewedAt <= leaseMs

    fun silent(now: Long) = dead || now < hungUntil

    /** Time passes: the lease, fetches, and tasks that come to their end. */
    fun advance(now: Long) {
        if (silent(now)) return
        if (now - renewedAt > leaseMs) {
            tasks.clear()
            session++
            renewedAt = now
        }
        for (t in tasks.values) {
            if (now < t.until) continue
            when (t.state) {
                TaskState.Fetching -> {
                    t.state = TaskState.Running
                    t.until = if (t.job.spec.kind == JobKind.SERVICE) Long.MAX_VALUE else now + (t.job.spec.estimateS * 1000).toLong()
                }
                TaskState.Running -> t.state = TaskState.Ended(if (t.job.spec.jobClass == "faulty") Cause.ERROR else Cause.DONE, false)
                TaskState.Saving -> t.state = TaskState.Ended(Cause.STOPPED, true)
                TaskState.Gathering, is TaskState.Ended -> Unit
            }
        }
    }

    fun report(): Report = Report(
        name, "10.1.0.1:1", "t4", zone, spot, session, ++sequence, token, noticeS,
        tasks.values.map { ReportedTask(it.job.spec.id, it.number, it.attempt, it.state) },
    )

    fun answered(sentAt: Long, ofSession: Long, withToken: Long, commands: List<Command>, now: Long) {
        if (withToken < token || ofSession != session) return
        token = withToken
        renewedAt = maxOf(renewedAt, sentAt)
        commands.forEach { execute(it, now) }
    }

    /** Null stands for 409. */
    fun command(withToken: Long, ofSession: Long, commands: List<Command>, now: Long): Boolean {
        if (withToken < token || ofSession != session) return false
        token = withToken
        commands.forEach { execute(it, now) }
        return true
    }

    private fun execute(c: Command, now: Long) {
        when (c) {
            is Command.Start -> start(c, now)
            is Command.Stop -> tasks[c.task]?.takeIf { it.attempt == c.attempt && it.live }?.let {
                val saves = it.job.spec.checkpointS > 0 && c.graceS >= it.job.spec.saveS && it.state == TaskState.Running
                it.state = if (saves) TaskState.Saving else TaskState.Ended(Cause.STOPPED, false)
                it.until = now + 1000
            }
            is Command.Forget -> if (tasks[c.task]?.let { it.attempt == c.attempt && !it.live } == true) tasks.remove(c.task)
        }
    }

    private fun start(c: Command.Start, now: Long) {
        val known = tasks[c.task]
        if (known != null && (known.attempt == c.attempt || known.live)) return
        val job = find(c.task.substringBefore('/')) ?: return
        tasks[c.task] = Running(job, c.task.substringAfter('/').toInt(), c.attempt, TaskState.Fetching, now + 2000)
    }
}
