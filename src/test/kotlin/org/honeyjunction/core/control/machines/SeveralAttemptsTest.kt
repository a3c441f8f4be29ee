package org.honeyjunction.core.control.machines

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
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.simulation.ClusterSetup
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * Reports that list several attempts of one task, in any order. Guards against a leader that keeps one entry for each task: it took a
 * live attempt that an ended one followed in the report for gone, and the next leader started the task on a second machine.
 */
class SeveralAttemptsTest {
    private val page = JournalPageRecord(0, 9, listOf(RecordedStart(JOB, 0, RECORDED, "vm-1")), emptyMap())
    private val stored = HashMap<Int, JournalPageRecord>().apply { put(0, page) }
    private var version = 100L
    private var now = 0L
    private var sequence = 0L
    private var sent = ArrayList<Pair<String, Command>>()

    /** A leader of [term] that reads the [stored] pages. */
    private fun leader(term: Long, tasks: Int = 1, kind: JobKind = JobKind.ARRAY): Leader {
        val machines = listOf("vm-1", "vm-2").map { MachineCheckpoint(it, "10.1.0.1:1", "t4", "x", false, 1, emptyMap()) }
        val jobs = listOf(StoredJob(testJob(JOB, kind, tasks), "n", 0, 9, JobStage.ACTIVE))
        val recovered = RecoveredState(jobs, stored.values.toList(), machines)
        return Leader(ClusterSetup().cluster(), Tuning(), term, "n", recovered, now, now, 4_000)
            .also { it.leaderLeaseRenewed(Long.MAX_VALUE / 2, now) }
    }

    /** [machine] reports [attempts] of the task, in this order: numbers of live ones, and negative numbers of ended ones. */
    private fun Leader.report(machine: String, vararg attempts: Long, cause: TerminationReason = TerminationReason.STOPPED) {
        val ended = TaskState.Ended(cause, false)
        val listed = attempts.map { if (it > 0) ReportedTask(JOB, 0, it, TaskState.Running) else ReportedTask(JOB, 0, -it, ended) }
        now += 10
        answerHeartbeat(report(this, machine, listed), now)
        settle()
    }

    private fun report(leader: Leader, machine: String, tasks: List<ReportedTask>) =
        Heartbeat(machine, "10.1.0.1:1", "t4", "x", false, 1, ++sequence, leader.state.termToken, null, tasks)

    /** Carries out what the leader wants: all writes are applied, and no command is answered. */
    private fun Leader.settle() {
        while (true) {
            val effects = drainEffects()
            if (effects.isEmpty()) return
            effects.filterIsInstance<Effect.Commit>().forEach { commit ->
                version++
                commit.changes.filterIsInstance<Change.JournalPage>().forEach { stored[it.record.page] = it.record.copy(version = version) }
                committed(commit.id, CommitOutcome.Applied(version), now)
            }
            effects.filterIsInstance<Effect.Send>().forEach { send ->
                sent += send.commands.map { send.machine to it }
                commandUnanswered(send.id, now)
            }
        }
    }

    private fun Leader.pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now += 100
            tick(now)
            settle()
        }
    }

    private val Leader.task get() = state.job(JOB)!!.tasks[0]

    private fun starts() = sent.filter { it.second is Command.Start && it.second.task == TASK }.map { it.first }

    private fun recordedOn() = stored.values.flatMap { it.starts }.filter { it.number == 0 }.map { it.machine to it.attempt }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'live attempt first',              '7 -5'",
        "'ended attempt first',             '-5 7'",
        "'two ended attempts after it',     '7 -5 -6'",
        "'between two ended attempts',      '-6 7 -5'",
        "'two ended attempts before it',    '-6 -5 7'",
        "'a refused start after it',        '7 -8'",
    )
    fun `a live attempt stays placed and recorded, wherever its report lists ended attempts of the task`(name: String, attempts: String) {
        val listed = attempts.split(' ').map { it.toLong() }.toLongArray()
        for (causes in listOf(TerminationReason.STOPPED, TerminationReason.ERROR, TerminationReason.BUSY)) {
            val leader = leader(term = 3)
            leader.report("vm-1", *listed, cause = causes)
            val placement = leader.task.placements.single()
            leader.report("vm-1", *listed, cause = causes)
            assertSame(placement, leader.task.placements.single(), "$name: the placement is the recovered one")
            assertEquals(listOf(RECORDED, Phase.RUNNING, false), listOf(placement.attempt, placement.phase, placement.stopping), name)
        }
    }

    /** The page is written again for another start, so that it would lose an entry that the leader takes for gone. */
    @Test
    fun `the leaders that follow do not start a task whose machine listed an ended attempt after the live one`() {
        val second = leader(term = 3, tasks = 3)
        second.report("vm-2")
        second.report("vm-1", 7, -5)
        second.report("vm-1", 7)
        second.pass(2_000)
        assertTrue(stored.values.flatMap { it.starts }.any { it.number > 0 }, "the page was written again")
        assertEquals(listOf("vm-1" to RECORDED), recordedOn())
        for (term in 4L..5L) {
            val next = leader(term, tasks = 3)
            next.report("vm-2")
            next.pass(3_000)
            assertEquals(listOf("vm-1" to RECORDED), recordedOn(), "term $term")
        }
        assertEquals(emptyList<String>(), starts())
    }

    /**
     * Guards against a running task that stays out of the journal for good. A leader of the version before may have dropped its record,
     * so that the next leader learns of it from a report alone.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "'no page names the task',                             '',    7",
        "'a page names a later attempt that was refused',      '8',   '7 -8'",
        "'the refused attempt is listed first',                '8',   '-8 7'",
        "'a page names a later attempt that was never sent',   '8',   7",
        "'a page names an earlier attempt',                    '5',   '7 -5'",
        "'pages name both attempts',                           '7 8', '7 -8'",
    )
    fun `a task that is found running in another attempt than recorded is recorded anew`(name: String, pages: String, attempts: String) {
        stored.clear()
        pages.split(' ').filter { it.isNotEmpty() }.forEachIndexed { number, attempt ->
            stored[number] = JournalPageRecord(number, 9, listOf(RecordedStart(JOB, 0, attempt.toLong(), "vm-1")), emptyMap())
        }
        val listed = attempts.split(' ').map { it.toLong() }.toLongArray()
        // Three tasks: the starts of the two others make the leader write its pages again.
        val finder = leader(term = 3, tasks = 3)
        finder.report("vm-1", *listed, cause = TerminationReason.BUSY)
        assertEquals(listOf(RECORDED to false), finder.task.placements.map { it.attempt to it.stopping }, name)
        finder.report("vm-2")
        finder.pass(3_000)
        assertTrue(stored.values.flatMap { it.starts }.any { it.number > 0 }, "$name: pages were written again")
        assertTrue(recordedOn().any { it.first == "vm-1" }, "$name: ${recordedOn()}")
        for (term in 4L..5L) {
            val next = leader(term, tasks = 3)
            next.report("vm-2")
            next.pass(3_000)
        }
        assertEquals(emptyList<String>(), starts(), name)
    }

    /** The record of an attempt that a live one replaces goes only with the write that names the live one. */
    @Test
    fun `at no moment is a task unrecorded while one attempt takes the place of another`() {
        stored[0] = JournalPageRecord(0, 9, listOf(RecordedStart(JOB, 0, 8, "vm-1")), emptyMap())
        val finder = leader(term = 3, tasks = 3)
        finder.report("vm-2")
        assertEquals(listOf("vm-1" to 8L), recordedOn())
        finder.answerHeartbeat(report(finder, "vm-1", listOf(ReportedTask(JOB, 0, 7, TaskState.Running))), ++now)
        while (recordedOn() != listOf("vm-1" to 7L)) {
            assertEquals(listOf("vm-1" to 8L), recordedOn())
            finder.settle()
            finder.tick(++now)
            assertTrue(now < 10_000, "the page is written again with a start of another task")
        }
    }

    /**
     * Guards against a start that is sent although the task has been found on another machine meanwhile. The start waits for its record,
     * which is applied after the report.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource("the report comes before the write is applied, false", "the report comes after the write was applied, true")
    fun `a start that was not sent yet is withdrawn when the task is found on another machine`(name: String, recorded: Boolean) {
        stored.clear()
        val leader = leader(term = 3)
        leader.answerHeartbeat(report(leader, "vm-2", emptyList()), ++now)
        var write: Effect.Commit? = null
        while (write == null) {
            now += 50
            leader.tick(now)
            write = leader.drainEffects().filterIsInstance<Effect.Commit>().find { it.changes.single() is Change.JournalPage }
        }
        assertEquals(listOf("vm-2" to Phase.RESERVED), leader.task.placements.map { it.machine.name to it.phase })
        val running = report(leader, "vm-1", listOf(ReportedTask(JOB, 0, RECORDED, TaskState.Running)))
        if (recorded) {
            leader.state.committed(write.id, CommitOutcome.Applied(++version))
            leader.answerHeartbeat(running, ++now)
        } else {
            leader.answerHeartbeat(running, ++now)
            leader.committed(write.id, CommitOutcome.Applied(++version), now)
        }
        leader.settle()
        leader.pass(3_000)
        assertEquals(emptyList<String>(), starts(), name)
        assertEquals(listOf("vm-1" to false), leader.task.placements.map { it.machine.name to it.stopping }, "$name: the running one stays")
    }

    /** Guards against a whole gang that loses its progress because the leader knows of its tasks one after the other. */
    @Test
    fun `the starts of a gang are withdrawn as a whole when one of its tasks is found running, and the gang goes on`() {
        stored.clear()
        val leader = leader(term = 3, tasks = 3, kind = JobKind.GANG)
        leader.answerHeartbeat(report(leader, "vm-2", emptyList()), ++now)
        val gang = leader.state.job(JOB)!!
        while (gang.placements.isEmpty()) {
            now += 50
            leader.tick(now)
        }
        assertEquals(listOf("vm-2", "vm-2", "vm-2"), gang.placements.map { it.machine.name })
        leader.answerHeartbeat(report(leader, "vm-1", listOf(ReportedTask(JOB, 2, RECORDED, TaskState.Running))), ++now)
        leader.settle()
        leader.pass(500)
        val others = listOf(0, 1).map { ReportedTask(JOB, it, RECORDED, TaskState.Running) }
        leader.answerHeartbeat(report(leader, "vm-2", others), ++now)
        leader.settle()
        leader.pass(3_000)
        assertEquals(emptyList<Pair<String, Command>>(), sent.filter { it.second is Command.Start })
        assertEquals(
            listOf("vm-1" to false, "vm-2" to false, "vm-2" to false),
            gang.placements.map { it.machine.name to it.stopping },
        )
    }

    private companion object {
        const val JOB = "j-1"
        const val TASK = "j-1/0"

        /** The attempt that the page of an earlier leader names. */
        const val RECORDED = 7L
    }
}
