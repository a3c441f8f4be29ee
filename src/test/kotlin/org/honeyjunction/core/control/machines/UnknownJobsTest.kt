package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.simulation.SimulatedCluster
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

/** Guards against a leader that ignores a reported task of a job that it does not know, so that the task of a cancelled job runs on. */
class UnknownJobsTest {
    private val setup = ClusterSetup(limits = mapOf("a" to 4.0))
    private var now = 10_000L
    private var version = 100L
    private var sequence = 0L
    private val reads = ArrayList<String>()
    private val sent = ArrayList<Pair<String, Command>>()
    private val events = ArrayList<Effect.LogEvent>()

    private fun leader(term: Long = 3, machines: Int = 1): Leader {
        val names = (1..machines).map { MachineCheckpoint("vm-$it", "10.1.0.1:1", "t4", "x", false, 1, emptyMap()) }
        return Leader(setup.cluster(), Tuning(), term, "n", RecoveredState(emptyList(), emptyList(), names), now, now, setup.listLagMs)
            .also { it.leaderLeaseRenewed(Long.MAX_VALUE / 2, now) }
    }

    private fun Leader.report(machine: String, vararg tasks: ReportedTask, session: Long = 1): List<Command> {
        now += 10
        val report = Heartbeat(machine, "10.1.0.1:1", "t4", "x", false, session, ++sequence, state.termToken, null, tasks.asList())
        return answerHeartbeat(report, now)!!.commands.also { settle() }
    }

    private fun running(job: String, number: Int = 0, attempt: Long = 7) = ReportedTask(job, number, attempt, TaskState.Running)

    private fun record(job: String, stage: JobStage, kind: JobKind = JobKind.ARRAY) = StoredJob(testJob(job, kind, 2), "n", 0, 9, stage)

    /** All writes are applied; no command is answered, and no read either. */
    private fun Leader.settle() {
        while (true) {
            val effects = drainEffects()
            if (effects.isEmpty()) return
            for (effect in effects) {
                when (effect) {
                    is Effect.Commit -> committed(effect.id, CommitOutcome.Applied(++version), now)
                    is Effect.Send -> {
                        sent += effect.commands.map { effect.machine to it }
                        commandUnanswered(effect.id, now)
                    }
                    is Effect.ReadJobRecord -> reads += effect.job
                    is Effect.LogEvent -> events += effect
                    else -> Unit
                }
            }
        }
    }

    private fun Leader.answerRead(found: JobRecord) {
        jobRecordRead(reads.removeFirst(), found, now)
        settle()
    }

    private fun Leader.pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now += 100
            tick(now)
            settle()
        }
    }

    private fun stops() = sent.filter { it.second is Command.Stop }.map { "${it.first} ${it.second.task}" }

    @ParameterizedTest
    @EnumSource(JobStage::class, names = ["CANCELLED", "DONE"])
    fun `a reported task of an ended job that the leader does not know is stopped at once and counted`(stage: JobStage) {
        val leader = leader()
        assertEquals(emptyList<Command>(), leader.report("vm-1", running("j-1")))
        leader.answerRead(JobRecord.Finished(record("j-1", stage)))
        assertEquals(listOf("vm-1 j-1/0"), stops())
        assertEquals(1, leader.state.placementCount(leader.state.cluster.team("a")))
        assertEquals(listOf(Command.Stop("j-1/0", 7, 0.0)), leader.report("vm-1", running("j-1")))
        leader.report("vm-1")
        assertEquals(0, leader.state.placementCount(leader.state.cluster.team("a")))
        assertTrue(events.any { it.event == "unknown-task" } && events.any { it.event == "unknown-job-read" })
    }

    @ParameterizedTest(name = "{0} failed reads")
    @ValueSource(ints = [1, 9, 25])
    fun `failed reads of the record of an unknown job are repeated until its task is stopped`(failures: Int) {
        val reportedFrom = now
        val leader = leader()
        leader.report("vm-1", running("j-1"))
        repeat(failures) {
            // The reader reports a failed read after a pause.
            now += 600
            leader.answerRead(JobRecord.Unread)
            while (reads.isEmpty()) {
                leader.pass(setup.reportMs)
                leader.report("vm-1", running("j-1"))
            }
        }
        leader.answerRead(JobRecord.Finished(record("j-1", JobStage.CANCELLED)))
        assertEquals("vm-1 j-1/0", stops().first())
        assertTrue(now - reportedFrom < setup.cancelMs, "after ${now - reportedFrom} ms")
    }

    @Test
    fun `the leader that follows one that ended during the read stops the task`() {
        leader().report("vm-1", running("j-1"))
        reads.clear()
        val next = leader(term = 4)
        next.report("vm-1", running("j-1"))
        next.answerRead(JobRecord.Finished(record("j-1", JobStage.CANCELLED)))
        assertEquals(listOf("vm-1 j-1/0"), stops())
    }

    @Test
    fun `a task of an unknown job that is active or has no record is not stopped, and is read again once in five seconds`() {
        for (found in listOf(JobRecord.Active(9), JobRecord.Absent)) {
            val leader = leader()
            var answers = 0
            repeat(100) {
                leader.report("vm-1", running("j-1"))
                leader.pass(500)
                while (reads.isNotEmpty()) {
                    leader.answerRead(found)
                    answers++
                }
            }
            assertEquals(emptyList<String>(), stops(), "$found")
            assertTrue(answers in 8..12, "$answers reads in 50 s")
        }
    }

    @Test
    fun `a task is not placed if its machine has reported without it or in a new session, or is gone, before its job's record was read`() {
        val leader = leader(machines = 3)
        (1..3).forEach { leader.report("vm-$it", running("j-1", 0, 6L + it)) }
        leader.report("vm-1")
        leader.report("vm-2", session = 2)
        leader.state.removeMachine(leader.state.machine("vm-3")!!, now)
        leader.answerRead(JobRecord.Finished(record("j-1", JobStage.CANCELLED)))
        assertEquals(emptyList<String>(), stops())
        assertEquals(0, leader.state.placementCount(leader.state.cluster.team("a")))
    }

    @Test
    fun `a job that is observed during the read keeps its task`() {
        val leader = leader()
        leader.report("vm-1", running("j-1"))
        leader.jobObserved(record("j-1", JobStage.ACTIVE), now, now)
        leader.answerRead(JobRecord.Active(9))
        assertEquals(listOf("vm-1" to false), leader.state.job("j-1")!!.placements.map { it.machine.name to it.stopping })
        assertEquals(emptyList<String>(), stops())
    }

    @Test
    fun `when a thousand machines report tasks of unknown jobs at once the reads are few at a time and all tasks are stopped`() {
        val leader = leader(machines = 1_000)
        var mostReads = 0
        var rounds = 0
        while (stops().toSet().size < 1_000 && rounds++ < 5) {
            (1..1_000).forEach { leader.report("vm-$it", running("j-$it")) }
            mostReads = maxOf(mostReads, reads.size)
            while (reads.isNotEmpty()) leader.answerRead(JobRecord.Finished(record(reads.first(), JobStage.CANCELLED)))
        }
        assertEquals(1_000, stops().toSet().size)
        assertTrue(mostReads <= 4 && events.count { it.event == "unknown-task" } <= 100, "$mostReads reads at once")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a task of a cancelled job that runs again on its machine is stopped by a leader that has not read the job's record`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 1, seconds = 1e6)
        cluster.run(20_000)
        val worker = cluster.workers.values.single { it.tasks.isNotEmpty() }
        cluster.cancelUntilConfirmed(job)
        cluster.run(5_000)
        (2..3).forEach { cluster.submit(it, JobKind.SERVICE, 1) }
        cluster.run(20_000)
        cluster.handOver()
        cluster.run(1_000)
        assertEquals(null, cluster.leader!!.leader.state.job(job), "no page names the job")
        worker.command(worker.token, worker.session, listOf(Command.Start("$job/0", 1)), cluster.now)
        assertTrue(worker.liveAttempt("$job/0") != null)
        cluster.run(setup.reportMs * 3)
        assertEquals(null, worker.liveAttempt("$job/0"))
        cluster.run(60_000)
        assertEquals(emptyList<String>(), cluster.broken.filterNot { "unrecorded" in it })
    }

    /** As in the incident: a copy of a start arrives while nobody leads, at a worker that an earlier version let forget the attempt. */
    @Test
    fun `a task of a cancelled job that no page names is stopped within the time limit over changes of leader`() {
        var stoppedAt = -1L
        val runsFrom = now
        for (term in 3L..7L) {
            val leader = leader(term)
            repeat(4) {
                leader.pass(setup.reportMs)
                leader.report("vm-1", running("j-1"))
                now += 300
                if (reads.isNotEmpty()) leader.answerRead(JobRecord.Finished(record("j-1", JobStage.CANCELLED)))
                if (stoppedAt < 0 && stops().isNotEmpty()) stoppedAt = now
            }
            reads.clear()
        }
        assertTrue(stoppedAt >= 0 && stoppedAt - runsFrom < setup.cancelMs, "stopped at $stoppedAt")
    }
}
