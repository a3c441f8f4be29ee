package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.simulation.ClusterSetup

/**
 * A model of the end of one job. Takes part: a leader and its successor, the state service, the machine that runs the job's
 * tasks (vm-1), a machine that does not know the term's fencing token (vm-2), and users who ask the leader or read the job's
 * record through other nodes. The leaders run the production code; everything else is simulated as specified.
 * [comparesVersions] and [comparesTerm] say which conditions the state service checks, [pageWritesAnswered] whether writes of
 * journal pages are answered at once.
 */
class JobTerminationModel(
    tasks: Int,
    private val pageWritesAnswered: Boolean = true,
    comparesVersions: Boolean = true,
    comparesTerm: Boolean = true,
) {
    private val spec = testJob(tasks = tasks, imageGb = 5.0)

    /** A write of the leader [writer] that the state service has not answered. */
    private class PendingWrite(val writer: ModelLeader, val commit: Effect.Commit) {
        val change get() = commit.changes.single()
        val terminal = commit.changes.singleOrNull() as? Change.JobFinished
    }

    /** The leader of [term] and the number of its unanswered reads of the job's record. */
    private class ModelLeader(val term: Long, val leader: Leader, private val jobId: String) {
        val job get() = leader.state.job(jobId)!!
        var recordReads = 0

        /** Whether the leader has learned that its term is over. */
        var lost = false
        val key get() =
            listOf(
                term,
                lost,
                recordReads,
                job.stage,
                job.terminalRecord.state,
                job.terminalRecord.cancelled,
                job.cancelRequested,
                job.tasks.map { listOf(it.done, it.doneDurable) },
                job.placements.map { listOf(it.machine.name, it.phase, it.machine.lease.fenced, it.stopping) },
            )
    }

    private val checkpoint = MachineCheckpoint("vm-1", "10.1.0.1:1", "t4", "x", false, 1, emptyMap())
    private val firstPage = JournalPageRecord(0, 8, List(tasks) { n -> RecordedStart("j-1", n, 77, "vm-1") }, emptyMap())
    private val service = ModelStateService(comparesVersions, comparesTerm, firstPage)
    private var now = 0L

    private val tasksOnMachine = LinkedHashMap<Int, TaskState>().also { all -> repeat(tasks) { all[it] = TaskState.Running } }
    private val endedTasks = HashSet<Int>()
    private var heartbeats = 5L
    private var cancelRequested = false

    /** The stage that a user was told last. */
    private var lastAnswer: JobStage? = null
    private val pendingWrites = ArrayList<PendingWrite>()
    private val delayedWrites = ArrayList<PendingWrite>()
    private var current = newLeader()
    private var former: ModelLeader? = null

    /** The first invariant that did not hold. */
    var violation: String? = null
        private set

    /** Situations that occurred, so that a test can check that the exploration covered them. */
    val observed = HashSet<String>()

    init {
        report()
    }

    private fun newLeader(): ModelLeader {
        val stored = StoredJob(spec, "n", 0, service.version, service.stage)
        val recovered = RecoveredState(listOf(stored), service.pageRecords, listOf(checkpoint))
        val leader = Leader(ClusterSetup().cluster(), Tuning(), service.term, "n", recovered, now, now, 4000)
        leader.leaderLeaseRenewed(Long.MAX_VALUE / 2, now)
        return ModelLeader(service.term, leader, spec.id)
    }

    private fun recordViolation(description: String) {
        if (violation == null) violation = description
    }

    /** [source] tells a user that the job is in [stage]; a final stage may never change, and must be true. */
    private fun tell(stage: JobStage, source: String) {
        val before = lastAnswer
        if (before != null && before != JobStage.ACTIVE && before != stage) recordViolation("$source reports $stage after $before")
        if (stage == JobStage.CANCELLED && !cancelRequested) recordViolation("$source reports a cancellation that nobody requested")
        if (stage == JobStage.DONE && endedTasks.size < spec.tasks) recordViolation("$source reports done before all tasks ended")
        lastAnswer = stage
    }

    private fun tellByLeader(stage: JobStage, leader: ModelLeader) = tell(stage, "the leader of term ${leader.term}")

    private fun report(
        machine: String = "vm-1",
        token: Long = current.term shl 24,
        tasks: List<ReportedTask> = tasksOnMachine.map { (n, s) -> ReportedTask("j-1", n, 77, s) },
    ) {
        if (current.lost) return
        val heartbeat = Heartbeat(machine, "10.1.0.1:1", "t4", "x", false, 1, ++heartbeats, token, null, tasks)
        val answer = current.leader.answerHeartbeat(heartbeat, now)
        settle(current)
        if (machine != "vm-1") return
        answer?.commands.orEmpty().forEach(::executeOnMachine)
    }

    private fun executeOnMachine(command: Command) {
        val number = command.task.substringAfter('/').toInt()
        when (command) {
            is Command.Forget -> tasksOnMachine.remove(number)
            is Command.Stop ->
                if (tasksOnMachine[number] == TaskState.Running) {
                    tasksOnMachine[number] = TaskState.Ended(TerminationReason.STOPPED, false)
                }
            is Command.Start -> recordViolation("a start in an answer")
        }
    }

    /** Carries out the leader's effects; writes of checkpoints, which only help a later leader, are answered at once. */
    private fun settle(source: ModelLeader) {
        for (effect in source.leader.drainEffects()) {
            when (effect) {
                is Effect.Commit -> {
                    val write = PendingWrite(source, effect)
                    val waits = effect.changes.any { it is Change.JobFinished || it is Change.JournalPage && !pageWritesAnswered }
                    if (waits) pendingWrites += write else answer(write, apply(write))
                }
                is Effect.ReadJobRecord -> source.recordReads++
                is Effect.CancellationConfirmed ->
                    if (!source.lost) tellByLeader(if (effect.done) JobStage.DONE else JobStage.CANCELLED, source)
                is Effect.StepDown -> {
                    if (source.term == service.term) recordViolation("the leader steps down during its term: ${effect.reason}")
                    source.lost = true
                }
                is Effect.Send -> {
                    val start = effect.commands.filterIsInstance<Command.Start>().firstOrNull()
                    if (start != null && service.stage != JobStage.ACTIVE) recordViolation("started after the job's end: $start")
                }
                is Effect.ScaleOut, is Effect.ScaleIn, is Effect.LogEvent -> Unit
            }
        }
    }

    private fun answer(write: PendingWrite, outcome: CommitOutcome) {
        val writer = write.writer
        if (writer.lost) return
        writer.leader.committed(write.commit.id, outcome, now)
        settle(writer)
    }

    private fun apply(write: PendingWrite): CommitOutcome = service.apply(write.change, write.writer.term)

    /** The outcome that the leader's driver derives: it checks the term after a refusal, and reads a page after an unclear answer. */
    private fun outcomeAtDriver(write: PendingWrite, outcome: CommitOutcome, answered: Boolean): CommitOutcome {
        if (answered && outcome is CommitOutcome.Applied) return outcome
        if (answered && write.writer.term != service.term) write.writer.lost = true
        val page = write.change as? Change.JournalPage ?: return CommitOutcome.Failed()
        return if (service.has(page)) CommitOutcome.Applied(service.versionOf(page)) else CommitOutcome.Failed(service.versionOf(page))
    }

    private fun takePendingWrite(terminal: Boolean): PendingWrite? =
        pendingWrites.firstOrNull { (it.terminal != null) == terminal }?.also { pendingWrites -= it }

    private fun answerWrite(terminal: Boolean, answered: Boolean) {
        val write = takePendingWrite(terminal) ?: return
        val outcome = apply(write)
        observed += if (answered) "answered" else "answer lost"
        answer(write, outcomeAtDriver(write, outcome, answered))
    }

    private fun delayTerminalWrite() {
        val write = takePendingWrite(terminal = true) ?: return
        delayedWrites += write
        answer(write, CommitOutcome.Failed())
    }

    private fun delayPageWrite() {
        val write = takePendingWrite(terminal = false) ?: return
        delayedWrites += write
        answer(write, outcomeAtDriver(write, CommitOutcome.Failed(), false))
    }

    private fun applyDelayedWrite() {
        val write = delayedWrites.removeFirstOrNull() ?: return
        if (apply(write) is CommitOutcome.Applied) observed += "applied late"
    }

    /** Carries out [action] and checks the invariants. */
    fun act(action: String): JobTerminationModel {
        now += STEP_MS
        when (action) {
            "task 0 ends", "task 1 ends" -> endTask(action[5].digitToInt())
            "vm-1 reports" -> report()
            "the user cancels the job" -> cancel()
            "the final write is answered" -> answerWrite(terminal = true, answered = true)
            "the final write's answer is lost" -> answerWrite(terminal = true, answered = false)
            "the final write is delayed" -> delayTerminalWrite()
            "the page write is answered" -> answerWrite(terminal = false, answered = true)
            "the page write's answer is lost" -> answerWrite(terminal = false, answered = false)
            "the page write is delayed" -> delayPageWrite()
            "a delayed write is applied" -> applyDelayedWrite()
            "the record is read" -> readRecord(answers = true)
            "reading the record fails" -> readRecord(answers = false)
            "another node reads the record" -> tell(service.stage, "another node")
            "a user asks the leader" -> askLeader()
            "vm-2 reports a task without the token" -> report("vm-2", 0, listOf(ReportedTask("j-1", 0, 76, TaskState.Running)))
            "vm-2 reports the token and no task" -> report("vm-2", current.term shl 24, emptyList())
            "the term changes" -> changeTerm()
            else -> error(action)
        }
        checkInvariants()
        return this
    }

    private fun endTask(number: Int) {
        if (tasksOnMachine[number] == TaskState.Running) {
            tasksOnMachine[number] = TaskState.Ended(TerminationReason.DONE, false)
            endedTasks += number
        }
        report()
    }

    private fun cancel() {
        cancelRequested = true
        if (current.leader.cancel(spec.id, now) == JobStage.CANCELLED) tellByLeader(JobStage.CANCELLED, current)
        settle(current)
    }

    private fun askLeader() {
        if (current.lost) return
        current.leader.confirmedStatus(spec.id)?.let { tellByLeader(it.stage, current) }
    }

    private fun changeTerm() {
        if (former != null) return
        former = current
        service.term++
        current = newLeader()
        settle(current)
    }

    private fun readRecord(answers: Boolean) {
        val reader = listOfNotNull(former, current).firstOrNull { it.recordReads > 0 && !it.lost } ?: return
        reader.recordReads--
        val found =
            when {
                !answers -> JobRecord.Unread
                service.stage == JobStage.ACTIVE -> JobRecord.Active(service.version)
                else -> JobRecord.Finished(StoredJob(spec, "n", 0, service.version, service.stage))
            }
        reader.leader.jobRecordRead(spec.id, found, now)
        settle(reader)
    }

    private fun checkInvariants() {
        val job = current.job
        if (current.lost) return
        if (service.stage != JobStage.ACTIVE && job.startable) recordViolation("startable although its record says ${service.stage}")
        if (job.startable && delayedWrites.any { it.terminal != null && it.writer === current }) {
            recordViolation("a task may be started while a delayed write may still record the end")
        }
        for (task in job.tasks) {
            val forgotten = task.number !in tasksOnMachine && task.number in endedTasks
            if (forgotten && !task.done && job.startable) recordViolation("task ${task.number} is forgotten by its machine and not done")
        }
        val inDoubt = job.terminalRecord.state.name !in setOf("OPEN", "RECORDED")
        if (inDoubt && job.placements.any { !it.machine.lease.fenced }) observed += "in doubt with an unfenced machine"
    }

    private fun key(write: PendingWrite) =
        listOf(
            write.writer.term,
            write.terminal?.let { it.cancelled to (it.version == service.version) },
            (write.change as? Change.JournalPage)?.let {
                listOf(it.record.page, it.record.done, it.record.starts.size, service.versionOf(it) == it.record.version)
            },
        )

    /** Identifies the state of the model. */
    val key get() =
        listOf(
            service.term,
            service.stage,
            service.pageRecords.map { listOf(it.page, it.done, it.starts.size) },
            tasksOnMachine.toList(),
            cancelRequested,
            lastAnswer,
            pendingWrites.map(::key),
            delayedWrites.map(::key),
            current.key,
            former?.takeIf { it.recordReads > 0 || pendingWrites.any { write -> write.writer === it } }?.key,
        )

    /** Ends all faults: every request is answered, users repeat theirs, and the job has to reach the stage that its record has. */
    fun end() {
        repeat(12) {
            act("a delayed write is applied")
            act("vm-2 reports the token and no task")
            act("vm-1 reports")
            if (cancelRequested) act("the user cancels the job")
            act("the page write is answered")
            act("the final write is answered")
            act("the record is read")
            now += 2_000
            current.leader.tick(now)
            settle(current)
        }
        act("a user asks the leader")
        act("another node reads the record")
        val stage = service.stage
        val ends = cancelRequested || endedTasks.size == spec.tasks
        if (ends && (stage == JobStage.ACTIVE || current.job.stage != stage)) {
            recordViolation(
                "the job does not end: the record says $stage, the leader ${current.job.stage} and ${current.job.terminalRecord.state}",
            )
        }
    }

    companion object {
        /** Longer than the minimum interval between writes of journal pages. */
        const val STEP_MS = 200L
    }
}
