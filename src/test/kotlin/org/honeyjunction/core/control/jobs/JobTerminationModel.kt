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
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.simulation.ClusterSetup

/**
 * The end of one job, between a leader, its successor, the state service, the machine with its tasks, another machine that
 * knows nothing of the term, and users who ask the leader or read the record through other nodes. The leaders are the ones
 * that run; all else acts as the pages say. [comparesVersions] and [comparesTerm]: what the state service compares;
 * [pageWritesAnswered]: pages are written at once.
 */
class JobTerminationModel(
    tasks: Int,
    private val pageWritesAnswered: Boolean = true,
    comparesVersions: Boolean = true,
    comparesTerm: Boolean = true,
) {
    private val spec =
        JobSpec(
            "j-1",
            "c",
            "a",
            JobKind.ARRAY,
            Priority.NORMAL,
            tasks,
            Resources(1.0, 1.0, 1.0),
            "i",
            5.0,
            null,
            null,
            false,
            false,
            false,
            10.0,
            0.0,
            0.0,
            null,
        )

    /** A write that the state service has not answered; [writer]: its leader. */
    private class PendingWrite(val writer: ModelLeader, val commit: Effect.Commit) {
        val change get() = commit.changes.single()
        val terminal = commit.changes.singleOrNull() as? Change.JobFinished
    }

    /** The leader of [term], with what is on its way to it; [lost]: it has learned that its term is over. */
    private class ModelLeader(val term: Long, val leader: Leader, private val jobId: String) {
        val job get() = leader.state.job(jobId)!!
        var recordReads = 0
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

    /** What a user was told last. */
    private var lastAnswer: JobStage? = null
    private val pendingWrites = ArrayList<PendingWrite>()
    private val delayedWrites = ArrayList<PendingWrite>()
    private var current = newLeader()
    private var former: ModelLeader? = null

    /** The first invariant that did not hold. */
    var violation: String? = null
        private set

    /** What came about, so that a test can tell that it was there. */
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

    private fun violated(what: String) {
        if (violation == null) violation = what
    }

    /** [source] tells a user that the job is [stage]. */
    private fun tell(stage: JobStage, source: String) {
        val before = lastAnswer
        if (before != null && before != JobStage.ACTIVE && before != stage) violated("$source tells $stage after $before was told")
        if (stage == JobStage.CANCELLED && !cancelRequested) violated("$source tells of a cancellation that nobody asked for")
        if (stage == JobStage.DONE && endedTasks.size < spec.tasks) violated("$source calls it done")
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
            is Command.Start -> violated("a start in an answer")
        }
    }

    /** Does what the leader asks for; what only helps a later leader is written at once. */
    private fun settle(of: ModelLeader) {
        for (effect in of.leader.drainEffects()) {
            when (effect) {
                is Effect.Commit -> {
                    val write = PendingWrite(of, effect)
                    val waits = effect.changes.any { it is Change.JobFinished || it is Change.JournalPage && !pageWritesAnswered }
                    if (waits) pendingWrites += write else answer(write, apply(write))
                }
                is Effect.ReadJobRecord -> of.recordReads++
                is Effect.CancellationConfirmed ->
                    if (!of.lost) tellByLeader(if (effect.done) JobStage.DONE else JobStage.CANCELLED, of)
                is Effect.StepDown -> {
                    if (of.term == service.term) violated("the term is given up: ${effect.reason}")
                    of.lost = true
                }
                is Effect.Send -> {
                    val start = effect.commands.filterIsInstance<Command.Start>().firstOrNull()
                    if (start != null && service.stage != JobStage.ACTIVE) violated("$start")
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

    /** As the driver: after a refusal it looks whose term it is; a page without a clear answer is read. */
    private fun outcomeAtDriver(write: PendingWrite, outcome: CommitOutcome, answered: Boolean): CommitOutcome {
        if (answered && outcome is CommitOutcome.Applied) return outcome
        if (answered && write.writer.term != service.term) write.writer.lost = true
        val page = write.change as? Change.JournalPage ?: return CommitOutcome.Failed()
        return if (service.has(page)) CommitOutcome.Applied(service.versionOf(page)) else CommitOutcome.Failed(service.versionOf(page))
    }

    private fun takePendingWrite(terminal: Boolean): PendingWrite? =
        pendingWrites.firstOrNull { (it.terminal != null) == terminal }?.also { pendingWrites -= it }

    private fun carryOut(terminal: Boolean, answered: Boolean) {
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

    private fun delayPage() {
        val write = takePendingWrite(terminal = false) ?: return
        delayedWrites += write
        answer(write, outcomeAtDriver(write, CommitOutcome.Failed(), false))
    }

    private fun carryOutDelayed() {
        val write = delayedWrites.removeFirstOrNull() ?: return
        if (apply(write) is CommitOutcome.Applied) observed += "carried out late"
    }

    fun act(action: String): JobTerminationModel {
        now += STEP_MS
        when (action) {
            "task 0 ends", "task 1 ends" -> endTask(action[5].digitToInt())
            "vm-1 reports" -> report()
            "its user cancels" -> cancel()
            "the final write is answered" -> carryOut(terminal = true, answered = true)
            "the final write's answer is lost" -> carryOut(terminal = true, answered = false)
            "the final write is held back" -> delayTerminalWrite()
            "the page is answered" -> carryOut(terminal = false, answered = true)
            "the page's answer is lost" -> carryOut(terminal = false, answered = false)
            "the page is held back" -> delayPage()
            "what was held back is carried out" -> carryOutDelayed()
            "the record is read" -> readRecord(answers = true)
            "reading it fails" -> readRecord(answers = false)
            "others read it" -> tell(service.stage, "another node")
            "the leader is asked" -> askLeader()
            "a machine that knows no token shows a task" -> report("vm-2", 0, listOf(ReportedTask("j-1", 0, 76, TaskState.Running)))
            "it shows the token, and nothing" -> report("vm-2", current.term shl 24, emptyList())
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
                else -> JobRecord.Finished(service.stage == JobStage.CANCELLED)
            }
        reader.leader.jobRecordRead(spec.id, found, now)
        settle(reader)
    }

    private fun checkInvariants() {
        val job = current.job
        if (current.lost) return
        if (service.stage != JobStage.ACTIVE && job.startable) violated("it may be started though its record says ${service.stage}")
        if (job.startable && delayedWrites.any { it.terminal != null && it.writer === current }) {
            violated("it may be started while its end may yet be recorded")
        }
        for (task in job.tasks) {
            val forgotten = task.number !in tasksOnMachine && task.number in endedTasks
            if (forgotten && !task.done && job.startable) violated("task ${task.number} is forgotten by its machine and not done")
        }
        val inDoubt = job.terminalRecord.state.name !in setOf("OPEN", "RECORDED")
        if (inDoubt && job.placements.any { !it.machine.lease.fenced }) observed += "in doubt, and a machine that knows no token"
    }

    private fun key(write: PendingWrite) =
        listOf(
            write.writer.term,
            write.terminal?.let { it.cancelled to (it.version == service.version) },
            (write.change as? Change.JournalPage)?.let {
                listOf(it.record.page, it.record.done, it.record.starts.size, service.versionOf(it) == it.record.version)
            },
        )

    /** What tells one state from another. */
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

    /** All faults are over: everything is answered, users repeat what they asked for, and the job has to end as its record says. */
    fun end() {
        repeat(12) {
            act("what was held back is carried out")
            act("it shows the token, and nothing")
            act("vm-1 reports")
            if (cancelRequested) act("its user cancels")
            act("the page is answered")
            act("the final write is answered")
            act("the record is read")
            now += 2_000
            current.leader.tick(now)
            settle(current)
        }
        act("the leader is asked")
        act("others read it")
        val stage = service.stage
        val ends = cancelRequested || endedTasks.size == spec.tasks
        if (ends && (stage == JobStage.ACTIVE || current.job.stage != stage)) {
            violated("it does not end: the record says $stage, the leader ${current.job.stage} and ${current.job.terminalRecord.state}")
        }
    }

    companion object {
        /** Longer than what pages wait for each other. */
        const val STEP_MS = 200L
    }
}
