package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.MachineSpec
import org.honeyjunction.fake.Work
import org.honeyjunction.simulation.ClusterSetup
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards against a copy of a start that is executed after its attempt was forgotten, and against starts that are lost by the remedy. */
class ForgottenAttemptsTest {
    private val setup = ClusterSetup(limits = mapOf("a" to 1_000.0), guarantee = 1_000.0, pageBytes = 60_000)
    private var now = 10_000L
    private var version = 100L
    private val works = HashMap<String, Work>()
    private val box = MachineSpec("vm-1", "10.1.0.1:1", "t4", setup.type.size, "x", false, 50.0, 1.0)
    private val worker = FakeWorker(box, FakeWorker.Timing(setup.workerLeaseMs, 30_000, 5_000), now, works::get, HashMap())
    private val leader =
        Leader(setup.cluster(), Tuning(), 3, "n", RecoveredState(emptyList(), emptyList(), emptyList()), now, now, setup.listLagMs)
            .also { it.leaderLeaseRenewed(Long.MAX_VALUE / 2, now) }

    /** Messages to the worker that have not been delivered yet. */
    private val onTheWay = ArrayList<Effect.Send>()

    private fun submit(id: String, kind: JobKind = JobKind.ARRAY, tasks: Int = 1) {
        val spec = testJob(id, kind, tasks, estimateS = 1e6)
        works[id] = Work(spec, 1e6)
        leader.jobObserved(StoredJob(spec, "n", now, ++version, JobStage.ACTIVE), now, now)
    }

    private fun settle() {
        while (true) {
            val effects = leader.drainEffects()
            if (effects.isEmpty()) return
            for (effect in effects) {
                when (effect) {
                    is Effect.Commit -> leader.committed(effect.id, CommitOutcome.Applied(++version), now)
                    is Effect.Send -> onTheWay += effect
                    is Effect.ScaleOut -> leader.scaleOutRefused(effect.request, now)
                    else -> Unit
                }
            }
        }
    }

    /** The worker reports, and executes the response; returns it. */
    private fun report(): HeartbeatResponse {
        val heartbeat = worker.report()
        val response = leader.answerHeartbeat(heartbeat, now)!!
        settle()
        assertTrue(worker.answered(now, heartbeat.session, response.token, response.commands, now), "the response renews the lease")
        return response
    }

    private fun deliver(): Effect.Send {
        val message = onTheWay.removeFirst()
        if (worker.command(message.token, message.session, message.commands, now)) {
            worker.advance(now)
            leader.commandExecuted(message.id, worker.report(), now)
        } else {
            leader.commandRejected(message.id, worker.report(), now)
        }
        settle()
        return message
    }

    private fun pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now += 100
            worker.advance(now)
            leader.tick(now)
            settle()
        }
    }

    private val Effect.Send.hasStart get() = commands.any { it is Command.Start }

    /** Starts a task of [job] and returns the message that did. */
    private fun start(job: String, kind: JobKind = JobKind.ARRAY, tasks: Int = 1): Effect.Send {
        submit(job, kind, tasks)
        report()
        while (true) {
            if (onTheWay.isEmpty()) pass(100) else deliver().let { if (it.hasStart) return it }
            assertTrue(now < 60_000)
        }
    }

    private fun isRejected(copy: Effect.Send) = !worker.command(copy.token, copy.session, copy.commands, now)

    /** Why an attempt may have ended; a refused one never ran. */
    enum class End { CANCELLED, EVICTED, FAILED, DONE, REFUSED }

    @ParameterizedTest
    @EnumSource
    fun `a copy of a start is without effect before its attempt is forgotten and rejected afterwards`(end: End) {
        val message = start("j-1")
        val task = worker.tasks.values.single()
        pass(500)
        when (end) {
            End.CANCELLED -> leader.cancel("j-1", now)
            End.EVICTED -> worker.command(message.token, message.session, listOf(Command.Stop(task.id, task.attempt, 0.0)), now)
            End.FAILED -> worker.end(task, TerminationReason.ERROR, now)
            End.DONE -> worker.end(task, TerminationReason.DONE, now)
            End.REFUSED -> worker.end(task, TerminationReason.NO_ROOM, now)
        }
        settle()
        var reports = 0
        while (worker.tasks.values.any { it.attempt == task.attempt }) {
            assertTrue(reports++ < 10, "the attempt is forgotten")
            val before = worker.tasks.keys.toSet()
            if (worker.command(message.token, message.session, message.commands, now)) assertEquals(before, worker.tasks.keys)
            report()
            while (onTheWay.isNotEmpty()) deliver()
            pass(600)
        }
        assertTrue(isRejected(message))
    }

    @Test
    fun `an attempt that ended is kept while a start is on its way, which is then executed`() {
        val first = start("j-1")
        worker.end(worker.tasks.values.single(), TerminationReason.STOPPED, now)
        report()
        val second = start("j-2")
        assertFalse(first.token > second.token)
        submit("j-3", JobKind.GANG, 2)
        worker.end(worker.tasks.values.first { it.spec.id == "j-2" }, TerminationReason.ERROR, now)
        while (onTheWay.none { it.hasStart && it.commands.any { c -> c.task.startsWith("j-3") } }) {
            while (onTheWay.isNotEmpty()) deliver()
            pass(100)
        }
        val inFlight = onTheWay.last()
        val response = report()
        assertEquals(emptyList<Command>(), response.commands.filterIsInstance<Command.Forget>())
        assertEquals(inFlight.token, response.token)
        while (onTheWay.isNotEmpty()) deliver()
        assertEquals(2, worker.tasks.values.count { it.live && it.spec.id == "j-3" }, "the gang has started")
        now += 500
        val next = report()
        assertTrue(next.commands.any { it is Command.Forget } && next.token > inFlight.token)
        assertTrue(isRejected(inFlight) && worker.tasks.values.count { it.live && it.spec.id == "j-3" } == 2)
    }

    @Test
    fun `seven hundred attempts are forgotten over two heartbeats, and the token is raised once`() {
        val message = start("j-1", tasks = 4)
        val jobs = (1..700).map { "j-9$it" }
        jobs.forEach { works[it] = Work(testJob(it), 1.0) }
        // Refused starts of other jobs, which the worker lists until it may forget them.
        worker.command(message.token, message.session, jobs.map { Command.Start("$it/0", 5) }, now)
        now += 100
        val responses = listOf(report(), report().also { now += 500 }, report())
        assertEquals(listOf(600, 100, 0), responses.map { r -> r.commands.count { it is Command.Forget } })
        assertEquals(List(3) { message.token + 1 }, responses.map { it.token })
        assertTrue(isRejected(message))
    }

    @Test
    fun `a heartbeat that is not the latest lets its worker forget nothing`() {
        start("j-1")
        worker.end(worker.tasks.values.single(), TerminationReason.STOPPED, now)
        val copy = worker.report()
        val response = report()
        assertTrue(response.commands.any { it is Command.Forget })
        val again = leader.answerHeartbeat(copy, now)!!
        assertEquals(emptyList<Command>() to response.token, again.commands to again.token)
    }
}
