package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.MachineSpec
import org.honeyjunction.fake.Work
import org.honeyjunction.simulation.ClusterSetup
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/**
 * Explores every sequence of four events in which delayed heartbeats of a worker reach a new leader between current heartbeats,
 * answers to commands and the expiry of the worker's lease. Guards against a leader that takes a delayed heartbeat as proof that a
 * task is gone and starts the task a second time. The leader is the real one, and the workers are the fakes of the simulation. A
 * second machine has the free capacity for such a second start.
 */
class DelayedHeartbeatsTest {
    /** The state on the worker of the task that the former leader started; its journal names only the second attempt. */
    enum class Case { RUNNING, STILL_LISTED, STARTED_LATE, ENDED, CANCELLED, NEXT_SESSION, NEXT_SESSION_STARTED_LATE }

    private enum class Action { OLDEST, OLD, LATEST_COPY, REPORT, REPORT_UNANSWERED, COMMAND, COMMAND_UNANSWERED, START_ARRIVES, LEASE }

    private val setup = ClusterSetup(limits = mapOf("a" to 1.0), guarantee = 1.0)

    private inner class Run(private val case: Case) {
        private val jobs = listOf(testJob("j-1"), testJob("j-2"))
        private var now = 0L
        private val checker = HistoryChecker(setup.limits.mapValues { Resources(0.0, it.value, 0.0) }, setup.cancelMs)
        private val timing = FakeWorker.Timing(setup.workerLeaseMs, 30_000, 5_000)
        private val saved = HashMap<String, Double>()
        private val workers =
            listOf("vm-1", "vm-2").map {
                val spec = MachineSpec(it, "10.1.0.1:1", "t4", setup.type.size, "x", false, 50.0, 1.0)
                FakeWorker(spec, timing, now, ::workOf, saved)
            }
        private val worker = workers[0]
        private val delayed = ArrayList<Heartbeat>()
        private var start: Pair<Long, Command>? = null
        private val leader: Leader
        private var pending: Effect.Send? = null
        private var version = 100L
        val broken get() = checker.broken

        init {
            command(Command.Start(TASK, FIRST))
            worker.advance(++now)
            delayed += worker.report()
            command(Command.Stop(TASK, FIRST, 0.0))
            delayed += worker.report()
            if (case != Case.STILL_LISTED) command(Command.Forget(TASK, FIRST))
            delayed += worker.report()
            if (case.name.startsWith("NEXT_SESSION")) {
                now += setup.workerLeaseMs + 100
                workers.forEach { it.advance(now) }
            }
            if (case.name.endsWith("STARTED_LATE")) {
                start = worker.session to Command.Start(TASK, SECOND)
            } else {
                command(Command.Start(TASK, SECOND))
            }
            worker.advance(++now)
            if (case == Case.ENDED) worker.end(worker.liveAttempt(TASK)!!, TerminationReason.DONE, now)
            check()
            val page = JournalPageRecord(0, 9, listOf(RecordedStart("j-1", 0, SECOND, "vm-1")), emptyMap())
            val checkpoints =
                workers.map {
                    val session = if (it === worker) 1 else it.session
                    MachineCheckpoint(it.name, it.box.address, "t4", "x", false, session, emptyMap())
                }
            val storedJobs = jobs.map { StoredJob(it, "n", 0, 9, JobStage.ACTIVE) }
            val recovered = RecoveredState(storedJobs, listOf(page), checkpoints)
            leader = Leader(setup.cluster(), Tuning(), TERM, "n", recovered, now, now, 4_000)
            leader.leaderLeaseRenewed(Long.MAX_VALUE / 2, now)
            if (case == Case.CANCELLED) leader.cancel("j-1", now)
            pass(20)
        }

        private fun workOf(id: String): Work? = jobs.find { it.id == id }?.let { Work(it, 1e6) }

        private fun command(command: Command) = check(worker.command(FORMER, worker.session, listOf(command), now))

        /**
         * Advances the time by [ms]: the heartbeats of the second machine are answered, and every effect of the leader that does not
         * concern the first machine is carried out at once.
         */
        private fun pass(ms: Long) {
            val end = now + ms
            while (now < end) {
                now = minOf(end, now + 500)
                workers.forEach { it.advance(now) }
                report(workers[1], answered = true)
                leader.tick(now)
                settle()
            }
        }

        private fun report(from: FakeWorker, answered: Boolean) {
            val report = from.report()
            val answer = leader.answerHeartbeat(report, now)
            if (answered && answer != null) from.answered(now, report.session, answer.token, answer.commands, now)
            settle()
        }

        private fun settle() {
            while (true) {
                val effects = leader.drainEffects()
                if (effects.isEmpty()) return check()
                for (effect in effects) {
                    when (effect) {
                        is Effect.Commit -> leader.committed(effect.id, CommitOutcome.Applied(++version), now)
                        is Effect.Send -> if (effect.machine == worker.name) pending = effect else send(effect, workers[1], answered = true)
                        is Effect.ScaleOut -> leader.scaleOutRefused(effect.request, now)
                        is Effect.ScaleIn -> leader.scaleInCompleted(effect.machines, false, now)
                        is Effect.CancellationConfirmed -> checker.cancelledAt.putIfAbsent(effect.job, now)
                        is Effect.ReadJobRecord -> error("all writes are answered")
                        is Effect.LogEvent, is Effect.StepDown, is Effect.ReadJobRecord -> Unit
                    }
                }
            }
        }

        private fun send(message: Effect.Send, to: FakeWorker, answered: Boolean) {
            val done = to.command(message.token, message.session, message.commands, now)
            to.advance(now)
            val report = to.report()
            when {
                !answered -> leader.commandUnanswered(message.id, now)
                done -> leader.commandExecuted(message.id, report, now)
                else -> leader.commandRejected(message.id, report, now)
            }
        }

        private fun check() = checker.check(workers, now)

        /** Performs [action]; returns false if [action] is not possible now. */
        fun act(action: Action): Boolean {
            when (action) {
                Action.OLDEST, Action.OLD, Action.LATEST_COPY -> leader.answerHeartbeat(delayed[action.ordinal], now)
                Action.REPORT -> report(worker, answered = true)
                Action.REPORT_UNANSWERED -> report(worker, answered = false)
                Action.COMMAND, Action.COMMAND_UNANSWERED -> {
                    val message = pending ?: return false
                    pending = null
                    send(message, worker, answered = action == Action.COMMAND)
                }
                Action.START_ARRIVES -> {
                    val (session, command) = start ?: return false
                    start = null
                    worker.command(FORMER, session, listOf(command), now)
                }
                Action.LEASE -> pass(setup.workerLeaseMs + 600)
            }
            settle()
            pass(600)
            return true
        }

        /** Ends all faults: the worker's heartbeats are answered, and the delayed start command arrives. Then checks the outcome. */
        fun recover() {
            act(Action.START_ARRIVES)
            repeat(6) {
                act(Action.COMMAND)
                act(Action.REPORT)
            }
            val live = workers.sumOf { fake -> fake.tasks.values.count { it.live && it.id == TASK } }
            val done = leader.status("j-1")?.stage
            val expected =
                when (case) {
                    Case.CANCELLED -> JobStage.CANCELLED
                    Case.ENDED -> JobStage.DONE
                    else -> JobStage.ACTIVE
                }
            // If the lease expired before the task's end was reported, the leader cannot know of the end.
            val endLost = case == Case.ENDED && done == JobStage.ACTIVE
            val wrongStage = done != expected && !endLost
            val liveAfterEnd = done != JobStage.ACTIVE && live > 0
            if (wrongStage || live > 1 || liveAfterEnd) {
                broken += "$now at the end: $done, on $live machines"
            }
        }
    }

    private fun explore(case: Case, depth: Int): Pair<Int, List<String>> {
        var runs = 0
        val violations = ArrayList<String>()
        val path = ArrayList<Action>()

        fun explorePath() {
            val run = Run(case)
            if (!path.all(run::act)) return
            runs++
            if (path.size == depth) run.recover()
            if (run.broken.isNotEmpty()) {
                violations += "$path: ${run.broken}"
            } else if (path.size < depth) {
                for (action in Action.entries) {
                    if (action in path && action < Action.REPORT) continue
                    path += action
                    explorePath()
                    path.removeLast()
                }
            }
        }
        explorePath()
        return runs to violations
    }

    @ParameterizedTest
    @EnumSource
    fun `no order of delayed heartbeats, new ones, command answers and a lease expiry breaks a rule`(case: Case) {
        val (runs, violations) = explore(case, 4)
        assertTrue(runs > 1_000)
        assertEquals(emptyList<String>(), violations.take(3), "${violations.size} of $runs")
    }

    /**
     * A heartbeat with an old fencing token may come from a machine that is gone by now. Tasks sent there would wait for a proof that
     * they are gone.
     */
    @Test
    fun `nothing is started on a machine that has not acknowledged this term`() {
        val recovered = RecoveredState(listOf(StoredJob(testJob("j-1"), "n", 0, 9, JobStage.ACTIVE)), emptyList(), emptyList())
        val leader = Leader(setup.cluster(), Tuning(), TERM, "n", recovered, 0, 0, 4_000)
        leader.leaderLeaseRenewed(Long.MAX_VALUE / 2, 0)

        fun starts(token: Long, sequence: Long, from: Long): Int {
            leader.answerHeartbeat(Heartbeat("vm-9", "10.1.0.1:1", "t4", "x", false, 1, sequence, token, null, emptyList()), from)
            var sent = 0
            for (now in from..from + 4_000 step 100) {
                leader.tick(now)
                leader.drainEffects().forEach { effect ->
                    if (effect is Effect.Commit) leader.committed(effect.id, CommitOutcome.Applied(10), now)
                    if (effect is Effect.Send) {
                        sent += effect.commands.count { it is Command.Start }
                        leader.commandUnanswered(effect.id, now)
                    }
                }
            }
            return sent
        }
        assertEquals(listOf(0, 1), listOf(starts(FORMER, 5, 10), starts(TERM shl 24, 6, 5_000)))
    }

    private companion object {
        const val TASK = "j-1/0"
        const val FIRST = 5L
        const val SECOND = 7L
        const val TERM = 3L
        const val FORMER = 2L shl 24
    }
}
