package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.journal.JournalPageRecord
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
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.simulation.ClusterSetup
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * A term that begins with pages of a leader of an earlier version, which may have dropped the record of a running task. Guards against
 * a task that is started on a second machine because the first one, which runs it unrecorded, reports late.
 */
class UnrecordedTaskGuardTest {
    private val setup = ClusterSetup(cancelMs = 25_000)
    private val stored = hashMapOf(0 to JournalPageRecord(0, 9, emptyList(), emptyMap(), complete = false))
    private var version = 100L
    private var now = 0L
    private var sequence = 0L
    private val started = LinkedHashMap<String, String>()
    private val events = ArrayList<String>()

    /** Whether the cloud answers releases. */
    private var releases = false

    private fun leader(term: Long = 3): Leader {
        val machines = listOf("vm-1", "vm-2").map { MachineCheckpoint(it, "10.1.0.1:1", "t4", zone(it), false, 1, emptyMap()) }
        // vm-1 is in zone x, where j-2 may not run.
        val specs = listOf(testJob("j-1"), testJob("j-2").copy(zone = "y"))
        val recovered = RecoveredState(specs.map { StoredJob(it, "n", 0, 9, JobStage.ACTIVE) }, stored.values.toList(), machines)
        return Leader(setup.cluster(), Tuning(), term, "n", recovered, now, now, setup.listLagMs)
    }

    private fun zone(machine: String) = if (machine == "vm-1") "x" else "y"

    private fun Leader.report(machine: String, vararg tasks: ReportedTask, token: Long = state.termToken) {
        answerHeartbeat(Heartbeat(machine, "10.1.0.1:1", "t4", zone(machine), false, 1, ++sequence, token, null, tasks.asList()), now)
        settle()
    }

    /** Lets [ms] pass, in which the second machine reports. All writes are applied, and no command is answered. */
    private fun Leader.pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now += 100
            leaderLeaseRenewed(now + 5_000, now)
            if (now % 1_000 == 0L) report("vm-2")
            tick(now)
            settle()
        }
    }

    private fun Leader.settle() {
        for (effect in drainEffects()) {
            when (effect) {
                is Effect.Commit -> {
                    version++
                    effect.changes.filterIsInstance<Change.JournalPage>().forEach {
                        stored[it.record.page] = it.record.copy(version = version)
                    }
                    committed(effect.id, CommitOutcome.Applied(version), now)
                }
                is Effect.Send -> {
                    effect.commands.filterIsInstance<Command.Start>().forEach { started.putIfAbsent(it.task, effect.machine) }
                    commandUnanswered(effect.id, now)
                }
                is Effect.ScaleIn -> scaleInCompleted(effect.machines, releases, now)
                is Effect.LogEvent -> events += effect.event
                else -> Unit
            }
        }
    }

    @Test
    fun `a task is not started while a machine that may run it unrecorded has not reported`() {
        val leader = leader()
        leader.pass(4_000)
        assertEquals(mapOf("j-2/0" to "vm-2"), started, "the machine in zone x can't run j-2")
        leader.report("vm-1", ReportedTask("j-1", 0, 7, TaskState.Running))
        leader.pass(4_000)
        assertEquals(setOf("j-2/0"), started.keys)
        assertTrue(stored.values.flatMap { it.starts }.any { it.job == "j-1" && it.attempt == 7L && it.machine == "vm-1" })
        assertEquals(listOf("journal-incomplete", "unrecorded-task", "journal-complete"), events.filter { "journal" in it || "task" in it })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a report with this term's token,      3, true",
        "a report that may be delayed,         2, false",
    )
    fun `the task is started once the machine has shown that it does not run it`(name: String, tokenOfTerm: Long, starts: Boolean) {
        val leader = leader()
        leader.pass(2_000)
        leader.report("vm-1", token = tokenOfTerm shl 24)
        leader.pass(2_000)
        assertEquals(starts, "j-1/0" in started, name)
    }

    @Test
    fun `the task is started once the machine is gone, or its lease must have expired`() {
        val bound = RenewalBound.gracePeriodMs(setup.cancelMs, setup.workerLeaseMs) + setup.workerLeaseMs
        val silent = leader()
        silent.pass(bound)
        assertEquals(setOf("j-2/0"), started.keys)
        silent.pass(4_000)
        assertEquals(setOf("j-1/0", "j-2/0"), started.keys)
        started.clear()
        stored[0] = stored.getValue(0).copy(starts = emptyList(), complete = false)
        releases = true
        val releasing = leader(term = 4)
        releasing.pass(bound / 2)
        assertEquals(setOf("j-1/0", "j-2/0"), started.keys, "the machine was declared dead and released")
    }

    @Test
    fun `a job that was accepted in this term is not held back`() {
        val leader = leader()
        leader.jobObserved(StoredJob(testJob("j-3"), "n", 0, 9, JobStage.ACTIVE), now, now)
        leader.pass(2_000)
        assertEquals(setOf("j-2/0", "j-3/0"), started.keys)
    }

    /** A page that is called complete too early would let the next leader start the task. */
    @Test
    fun `pages are stored as complete only once every machine has reported, and then all of them are`() {
        stored[1] = JournalPageRecord(1, 9, emptyList(), emptyMap(), complete = false)
        val first = leader()
        first.pass(4_000)
        assertTrue(stored.values.any { it.version > 100 }, "a page was written")
        assertEquals(setOf(false), stored.values.mapTo(HashSet()) { it.complete })
        val second = leader(term = 4)
        second.report("vm-1", ReportedTask("j-1", 0, 7, TaskState.Running))
        second.pass(5_000)
        assertEquals(setOf(true), stored.values.mapTo(HashSet()) { it.complete })
        val third = leader(term = 5)
        third.pass(1_000)
        assertEquals(1, events.count { it == "journal-incomplete" } - 1, "the third leader trusts the pages")
        assertEquals(setOf("j-2/0"), started.keys)
    }
}
