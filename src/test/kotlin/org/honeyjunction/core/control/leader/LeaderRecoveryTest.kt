package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
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
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.placement.Proposal
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.wire.CheckpointCodec
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.BitSet

class LeaderRecoveryTest {
    private val term = 3L
    private val token = term shl 24
    private val spec = testJob(tasks = 2, imageGb = 5.0)
    private val machineCheckpoint = MachineCheckpoint("vm-1", "10.1.0.1:1", "t4", "x", false, 1, mapOf("i" to 5.0))
    private val page =
        JournalPageRecord(
            2,
            9,
            listOf(RecordedStart("j-1", 0, 77, "vm-1")),
            mapOf(
                "j-7" to
                    BitSet().apply {
                        set(0)
                        set(5)
                    },
            ),
        )

    private fun newLeader() =
        Leader(
            ClusterSetup().cluster(),
            Tuning(),
            term,
            "n",
            RecoveredState(listOf(StoredJob(spec, "n", 0, 9, JobStage.ACTIVE)), listOf(page), listOf(machineCheckpoint)),
            0,
            0,
            4000,
        ).also { it.leaderLeaseRenewed(Long.MAX_VALUE, 0) }

    private fun heartbeat(session: Long, sequence: Long, withToken: Long, vararg tasks: ReportedTask) =
        Heartbeat("vm-1", "10.1.0.1:1", "t4", "x", false, session, sequence, withToken, null, tasks.asList())

    private fun Leader.placements() = state.job("j-1")!!.tasks[0].placements

    @Test
    fun `journal pages and machine checkpoints survive encoding and decoding, including cached images`() {
        val stored = Json.read(Json.write(JournalPageCodec.write(page, 4)))
        val read = JournalPageCodec.read(2, 9, stored)
        assertEquals(listOf(page.starts, page.done, 4L), listOf(read.starts, read.done, JournalPageCodec.writeNumber(stored)))
        assertEquals(
            listOf(machineCheckpoint),
            CheckpointCodec.readMachines(Json.read(Json.write(CheckpointCodec.writeMachines(listOf(machineCheckpoint))))),
        )
        val leader = newLeader()
        assertEquals(setOf(leader.state.cluster.images.index("i")), leader.state.machine("vm-1")!!.images.keys.toSet())
    }

    @Test
    fun `the image of a task that is reported as running is assumed to be cached`() {
        val leader = newLeader()
        leader.state.machine("vm-1")!!.images.clear()
        leader.answerHeartbeat(heartbeat(1, 5, token, ReportedTask("j-1", 0, 77, TaskState.Running)), 10)
        assertEquals(1, leader.state.machine("vm-1")!!.images.size)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a report without this term's token proves nothing,      1, 0, false, 1",
        "a report with the token that omits the task removes it, 1, 1, false, 0",
        "a newer session without the token proves nothing,       2, 0, false, 1",
        "a report with the token that lists the task keeps it,   1, 1, true,  1",
        "a report of an older session is ignored,                0, 1, false, 1",
    )
    fun `a task recovered from the journal is removed only if a report with this term's token omits it`(
        name: String,
        session: Long,
        ackedThisTerm: Int,
        listsTask: Boolean,
        expectedPlacements: Int,
    ) {
        val leader = newLeader()
        assertEquals(Phase.UNCONFIRMED, leader.placements().single().phase)
        val tasks = if (listsTask) arrayOf(ReportedTask("j-1", 0, 77, TaskState.Running)) else emptyArray()
        leader.answerHeartbeat(heartbeat(session, 5, token * ackedThisTerm, *tasks), 10)
        assertEquals(expectedPlacements, leader.placements().size, name)
    }

    /**
     * The command of the recorded start (attempt 77) is delayed. The new leader first receives a copy of an earlier heartbeat, which
     * lists the previous attempt on the same machine, and then heartbeats without tasks. Until a heartbeat carries this term's
     * fencing token, attempt 77 may still be started.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "newer heartbeats do not carry the token,             0, 0, 1",
        "a newer heartbeat carries the token,                 0, 1, 0",
        "the delayed heartbeat is of an ended session,        1, 0, 1",
    )
    fun `a delayed heartbeat with another attempt does not displace a recorded start that may still be executed`(
        name: String,
        laterSessions: Long,
        ackedThisTerm: Int,
        expectedPlacements: Int,
    ) {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, 0, ReportedTask("j-1", 0, 50, TaskState.Running)), 10)
        assertEquals(listOf(77L), leader.placements().map { it.attempt }, name)
        leader.answerHeartbeat(heartbeat(1 + laterSessions, 6, token * ackedThisTerm), 20)
        assertEquals(expectedPlacements, leader.placements().size, name)
    }

    @Test
    fun `a worker that has seen a later term makes the leader step down`() {
        val leader = newLeader()
        assertNull(leader.answerHeartbeat(heartbeat(1, 5, (term + 1) shl 24), 10))
        assertTrue(leader.drainEffects().any { it is Effect.StepDown })
    }

    @Test
    fun `elapsed time proves nothing about a worker that has not sent this term's token`() {
        val leader = newLeader()
        leader.tick(ClusterSetup().workerLeaseMs * 10)
        assertEquals(1, leader.placements().size)
    }

    @Test
    fun `elapsed time proves nothing about a worker that was answered but has not sent this term's token`() {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, 0, ReportedTask("j-1", 0, 77, TaskState.Running)), 10)
        leader.tick(10 + ClusterSetup().workerLeaseMs + 1000)
        assertEquals(1, leader.placements().size)
    }

    @Test
    fun `the tasks of a worker that knows this term are removed when its lease expires, and not earlier`() {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, token, ReportedTask("j-1", 0, 77, TaskState.Running)), 10)
        leader.tick(10 + ClusterSetup().workerLeaseMs)
        assertEquals(1, leader.placements().size)
        leader.tick(10 + ClusterSetup().workerLeaseMs + 1000)
        assertEquals(0, leader.placements().size)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // The lease expires after 12 s; a replacement would boot for 5 s and fetch its image for 5 s.
        "kept for as long as a replacement would take,         true,  9999999, 21, 0",
        "released while other machines send heartbeats,        true,  9999999, 24, 1",
        "kept by a leader that receives no heartbeat,          false, 9999999, 60, 0",
        "kept by a leader whose lease may have expired,        true,  1000,    60, 0",
    )
    fun `a machine whose lease has expired is released only if other machines report`(
        name: String,
        othersReport: Boolean,
        leaseUntil: Long,
        seconds: Long,
        released: Int,
    ) {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, token, ReportedTask("j-1", 0, 77, TaskState.Running)), 10)
        leader.leaderLeaseRenewed(leaseUntil, 10)
        for (i in 1L..seconds) {
            if (othersReport) leader.answerHeartbeat(heartbeat(1, i, token).copy(machine = "vm-2"), i * 1000)
            leader.tick(i * 1000)
        }
        assertEquals(released, leader.drainEffects().filterIsInstance<Effect.ScaleIn>().size, name)
    }

    @ParameterizedTest(name = "{0}, for {3} s")
    @CsvSource(
        // vm-1 caches an image that a replacement would fetch for 5 s; vm-3 caches nothing.
        "recorded by an earlier leader,                 vm-1, false, 21, 0",
        "recorded by an earlier leader,                 vm-1, false, 24, 1",
        "known only from a delayed heartbeat,           vm-3, true,  16, 0",
        "known only from a delayed heartbeat,           vm-3, true,  20, 1",
    )
    fun `a machine without a heartbeat in this term is kept for a limited time`(
        case: String,
        machine: String,
        delayedHeartbeat: Boolean,
        seconds: Long,
        released: Int,
    ) {
        val leader = newLeader()
        if (delayedHeartbeat) leader.answerHeartbeat(heartbeat(1, 5, 0).copy(machine = machine), 10)
        for (i in 1L..seconds) {
            leader.answerHeartbeat(heartbeat(1, i, token).copy(machine = "vm-2"), i * 1000)
            if (machine != "vm-1") leader.answerHeartbeat(heartbeat(1, i, token), i * 1000)
            leader.tick(i * 1000)
        }
        assertEquals(
            released,
            leader.drainEffects().filterIsInstance<Effect.ScaleIn>().sumOf { scaleIn ->
                scaleIn.machines.count { it == machine }
            },
            case,
        )
    }

    @Test
    fun `the image of a task that an earlier leader started is assumed to be cached after the task's end`() {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, token), 10)
        assertEquals(emptyList<Any>(), leader.placements())
        assertEquals(1, leader.state.machine("vm-1")!!.images.size)
    }

    @Test
    fun `the terminal record of a job is written once, however often its end is reported`() {
        val leader = newLeader()
        for (i in 0 until 5) {
            val ended = Array(2) { ReportedTask("j-1", it, 77, TaskState.Ended(TerminationReason.DONE, false)) }
            leader.answerHeartbeat(heartbeat(1, 5L + i, token, *ended), 10L + i)
            leader.tick(1_000L * i)
        }
        val terminalWrites =
            leader.drainEffects().filterIsInstance<Effect.Commit>().filter { commit ->
                commit.changes.any { it is Change.JobFinished }
            }
        assertEquals(1, terminalWrites.size)
    }

    @Test
    fun `nothing is started once the leader lease may have expired`() {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, token), 10)
        leader.leaderLeaseRenewed(20, 10)
        leader.tick(600)
        leader.drainEffects().filterIsInstance<Effect.Commit>().forEach { leader.committed(it.id, CommitOutcome.Applied(10), 700) }
        assertEquals(emptyList<Effect>(), leader.drainEffects().filter { it is Effect.Send && it.commands.isNotEmpty() })
        leader.leaderLeaseRenewed(5_000, 700)
        leader.tick(800)
        assertEquals(2, leader.drainEffects().filterIsInstance<Effect.Send>().sumOf { it.commands.size })
    }

    /** Whichever event comes first after a suspension, the leader must not act on it before its lease is renewed. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a heartbeat comes first",
        "a tick comes first",
        "a commit outcome comes first",
        "a command answer comes first",
        "a cancellation comes first",
        "a placement proposal comes first",
    )
    fun `a leader that resumes after its lease has expired only answers heartbeats and stops tasks`(first: String) {
        val leader = newLeader()
        leader.answerHeartbeat(heartbeat(1, 5, token), 10)
        leader.answerHeartbeat(heartbeat(1, 6, token).copy(machine = "vm-2"), 10)
        for (time in 100L..1_000L step 100) leader.tick(time)
        val before = leader.drainEffects()
        val write = before.filterIsInstance<Effect.Commit>().first()
        leader.leaderLeaseRenewed(5_000, 1_000)
        val now = 14_000L
        when (first) {
            "a heartbeat comes first" -> assertEquals(token, leader.answerHeartbeat(heartbeat(1, 7, token), now)!!.token)
            "a tick comes first" -> leader.tick(now)
            "a commit outcome comes first" -> leader.committed(write.id, CommitOutcome.Applied(10), now)
            "a command answer comes first" -> leader.commandExecuted(99, heartbeat(1, 8, token), now)
            "a cancellation comes first" -> leader.cancel("j-1", now)
            else -> assertEquals(listOf(false), leader.acceptProposals(listOf(Proposal(leader.state.job("j-1")!!.index, 0, 0)), now))
        }
        leader.answerHeartbeat(heartbeat(1, 9, token), now + 10)
        leader.tick(now + 20)
        assertEquals(emptyList<Effect>(), leader.drainEffects().filter { it !is Effect.LogEvent }, first)
        assertEquals(false, leader.mayExecute(now + 30, needsLease = true))
        assertTrue(leader.answerHeartbeat(heartbeat(1, 10, token), now + 40) != null, "heartbeats are answered")
        assertEquals(emptyList<Effect>(), leader.drainEffects().filter { it is Effect.LogEvent && "UNREACHABLE" in it.message })
        leader.leaderLeaseRenewed(now + 5_000, now + 50)
        for (elapsed in 100L..1_000L step 100) leader.tick(now + elapsed)
        assertTrue(leader.drainEffects().any { it is Effect.Commit }, "the leader goes on once its lease is renewed")
    }

    /** Stops need no leader lease. In every state the leader stops a task of a cancelled job, repeatedly until it is gone. */
    @ParameterizedTest(name = "{0}")
    @CsvSource("lease valid, 9999999", "lease expired, 3000", "resumed with the lease expired, 3000")
    fun `a task of a cancelled job is stopped in every state of the leader lease`(state: String, leaseUntil: Long) {
        val leader = newLeader()
        leader.leaderLeaseRenewed(leaseUntil, 0)
        leader.answerHeartbeat(heartbeat(1, 5, token, ReportedTask("j-1", 0, 77, TaskState.Running)), 10)
        leader.cancel("j-1", 20)
        leader.drainEffects().filterIsInstance<Effect.Commit>().forEach { leader.committed(it.id, CommitOutcome.Applied(10), 30) }
        val from = if (state.startsWith("resumed")) 9_000L else 100L
        val stops = ArrayList<Effect.Send>()
        leader.drainEffects().filterIsInstance<Effect.Send>().forEach {
            stops += it
            leader.commandUnanswered(it.id, 40)
        }
        for (now in from..from + 5_000 step 100) {
            leader.tick(now)
            for (send in leader.drainEffects().filterIsInstance<Effect.Send>()) {
                assertTrue(send.startsNothing && leader.mayExecute(now, needsLease = false), state)
                stops += send
                leader.commandUnanswered(send.id, now)
            }
        }
        assertTrue(stops.count { it.commands.any { c -> c is Command.Stop } } >= 3, "$state: ${stops.size}")
    }

    /** Without a proof that no later term has begun, heartbeats are processed but not answered; see RenewalBoundTest. */
    @Test
    fun `heartbeats are answered only while no other leader can have confirmed a cancellation`() {
        val leader =
            Leader(
                ClusterSetup().cluster(),
                Tuning(),
                term,
                "n",
                RecoveredState(listOf(StoredJob(spec, "n", 0, 9, JobStage.ACTIVE)), listOf(page), listOf(machineCheckpoint)),
                0,
                0,
                4000,
                otherControllers = listOf("m"),
            ).also { it.leaderLeaseRenewed(5_000, 0) }

        fun answered(sequence: Long, now: Long) =
            leader.answerHeartbeat(heartbeat(1, sequence, token, ReportedTask("j-1", 0, 77, TaskState.Running)), now) != null
        val end = 5_000 + RenewalBound.gracePeriodMs(ClusterSetup().cancelMs, ClusterSetup().workerLeaseMs)
        assertEquals(listOf(true, true, false), listOf(answered(5, 10), answered(6, end - 1), answered(7, end)))
        assertTrue(leader.drainEffects().any { it is Effect.LogEvent && it.event == "renewals-stopped" })
        assertEquals(Phase.RUNNING, leader.placements().single().phase, "a heartbeat that is not answered is still processed")
        leader.peerConfirmed("m", end, 90_000, end + 50)
        assertTrue(answered(8, end + 100))
        assertTrue(leader.drainEffects().any { it is Effect.LogEvent && it.event == "renewals-resumed" })
        leader.tick(end + 100 + ClusterSetup().workerLeaseMs)
        assertEquals(1, leader.placements().size, "the worker lease counts from the last answer")
    }

    /** Includes machines whose agent incarnation is not known. */
    @Test
    fun `a new leader sends its fencing token to every machine that may have tasks`() {
        val unknown = machineCheckpoint.copy(name = "vm-2", session = 0)
        val leader =
            Leader(
                ClusterSetup().cluster(),
                Tuning(),
                term,
                "n",
                RecoveredState(listOf(StoredJob(spec, "n", 0, 9, JobStage.ACTIVE)), listOf(page), listOf(machineCheckpoint, unknown)),
                0,
                0,
                4000,
            ).also { it.leaderLeaseRenewed(5_000, 0) }
        leader.tick(10)
        val sent = leader.drainEffects().filterIsInstance<Effect.Send>()
        assertEquals(mapOf("vm-1" to 1L, "vm-2" to 1L), sent.associate { it.machine to it.session })
    }
}
