package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.machines.RestartExplorationTest.Action
import org.honeyjunction.core.control.machines.RestartExplorationTest.Case
import org.honeyjunction.core.control.machines.RestartExplorationTest.Order
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.Gangs
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.MachineSpec
import org.honeyjunction.fake.Work
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.simulation.FakeStateService
import java.util.Random
import kotlin.random.asKotlinRandom

/**
 * A cluster of two machines in which the tasks of one job are stopped and started again on the first one, which reports seldom, while
 * messages and writes are lost or late and leaders change. The second machine always answers and has room. The leaders are the real ones,
 * the workers and the state service the fakes of the simulation. After each step the history checks run; [broken] has what they found.
 */
class RestartWalk(private val case: Case, private val random: Random) {
    private val setup = ClusterSetup(limits = mapOf("a" to 400.0), guarantee = 400.0, pageBytes = 2_000)

    private val store = FakeStateService()
    private val works = HashMap<String, Work>()
    private var now = 0L
    private val checker = HistoryChecker(emptyMap(), setup.cancelMs)
    private val timing = FakeWorker.Timing(setup.workerLeaseMs, gangWaitMs = 30_000, gangPeerMs = 5_000)
    private val gangs = Gangs(timing)
    private val workers =
        listOf("vm-1", "vm-2").map { name ->
            val box = MachineSpec(name, "10.1.0.1:1", "t4", setup.type.size, "x", false, 50.0, 1.0)
            FakeWorker(box, timing, now, works::get, HashMap())
        }
    private val machine = workers[0]
    private var leader: Leader

    /** A leader that was isolated when its successor was elected. It does not know that yet, and still answers. */
    private var former: Leader? = null
    private var isolated = false
    private var pending: Effect.Send? = null
    private val heldUp = ArrayList<Effect.Send>()

    /** Messages that the first machine has executed. */
    private val executedMessages = ArrayList<Effect.Send>()
    private val reports = ArrayList<Heartbeat>()
    private var unansweredWrites = 0
    private var lateWrites = 0
    private val writesToApply = ArrayList<Pair<Long, Effect.Commit>>()
    val broken get() = checker.broken

    /** Messages with starts that reached the first machine. */
    var startMessages = 0
        private set
    var leaders = 0
        private set

    init {
        store.submit(storedJob(JOB, case.kind, case.tasks))
        leader = elect()
        report(machine, answered = true)
        pass(100)
        deliver(answered = true)
        pass(1_200)
        deliver(answered = true)
        report(machine, answered = true)
    }

    private fun storedJob(id: String, kind: JobKind, tasks: Int): StoredJob {
        val spec = testJob(id, kind, tasks, need = Resources(0.01, 0.01, 0.01), imageGb = 0.01, estimateS = 1e6)
        works[id] = Work(spec, 1e6)
        return StoredJob(spec, "n", now, 0, JobStage.ACTIVE)
    }

    private fun elect(): Leader {
        store.term++
        leaders++
        pending?.let(heldUp::add)
        pending = null
        val recovered = store.recovered()
        return Leader(setup.cluster(), Tuning(idleMs = NEVER_MS), store.term, "n", recovered, now, now, 4_000).also(::renewLease)
    }

    private fun renewLease(of: Leader) = of.leaderLeaseRenewed(now + LEADER_LEASE_MS, now)

    /** Lets [ms] pass. The second machine reports, and everything that does not concern the first one is carried out at once. */
    private fun pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now = minOf(end, now + STEP_MS)
            workers.forEach { it.advance(now) }
            gangs.step(workers, now)
            if (leaders > 0 && now > SECOND_MACHINE_UP_MS) report(workers[1], answered = true)
            if (!isolated) renewLease(leader)
            leader.tick(now)
            settle()
        }
    }

    private fun report(from: FakeWorker, answered: Boolean) {
        val report = ordered(from.report())
        if (from === machine) reports += report
        val answer = leader.answerHeartbeat(report, now)
        if (answered && answer != null) from.answered(now, report.session, answer.token, answer.commands, now)
        settle()
    }

    private fun ordered(report: Heartbeat): Heartbeat =
        when (case.order) {
            Order.LIVE_FIRST -> report.copy(tasks = report.tasks.sortedBy { it.state is TaskState.Ended })
            Order.ENDED_FIRST -> report.copy(tasks = report.tasks.sortedBy { it.state !is TaskState.Ended })
            Order.DRAWN -> report.copy(tasks = report.tasks.shuffled(random))
        }

    private fun settle() {
        while (true) {
            val effects = leader.drainEffects()
            if (effects.isEmpty()) return check()
            effects.forEach(::execute)
        }
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Commit -> commit(effect)
            is Effect.Send -> if (effect.machine == machine.name) pending = effect else send(effect, workers[1], answered = true)
            is Effect.ScaleOut -> leader.scaleOutRefused(effect.request, now)
            is Effect.ScaleIn -> leader.scaleInCompleted(effect.machines, false, now)
            is Effect.CancellationConfirmed, is Effect.LogEvent -> Unit
            is Effect.ReadJobRecord, is Effect.StepDown -> error("$effect")
        }
    }

    private fun commit(write: Effect.Commit) {
        if (isolated) {
            writesToApply += store.term to write
            return
        }
        val page = write.changes.any { it is Change.JournalPage }
        if (page && lateWrites > 0) {
            lateWrites--
            writesToApply += store.term to write
            return leader.committed(write.id, store.reread(write.changes), now)
        }
        applyLateWrites()
        val version = store.commit(store.term, write.changes)
        val answered = version != null && !(page && unansweredWrites > 0)
        if (version != null && !answered) unansweredWrites--
        leader.committed(write.id, if (answered) CommitOutcome.Applied(version!!) else store.reread(write.changes), now)
    }

    private fun applyLateWrites() {
        writesToApply.forEach { (term, write) -> store.commit(term, write.changes) }
        writesToApply.clear()
    }

    private fun send(message: Effect.Send, to: FakeWorker, answered: Boolean) {
        val executed = to.command(message.token, message.session, message.commands, now)
        if (executed && to === machine) executedMessages += message
        to.advance(now)
        val report = ordered(to.report())
        when {
            !answered -> leader.commandUnanswered(message.id, now)
            executed -> leader.commandExecuted(message.id, report, now)
            else -> leader.commandRejected(message.id, report, now)
        }
        settle()
    }

    /** Delivers the message to the first machine that is on its way, if there is one. */
    private fun deliver(answered: Boolean): Boolean {
        val message = pending ?: return false
        pending = null
        if (message.commands.any { it is Command.Start }) startMessages++
        send(message, machine, answered)
        return true
    }

    private fun check() {
        checker.check(workers, now)
        if (case.earlierVersions) return
        checker.checkRecorded(store.pages.values.map { (page, _) -> page }, workers, now)
    }

    fun act(action: Action) {
        when (action) {
            Action.EVICT -> leader.state.job(JOB)!!.tasks.forEach { it.evict() }
            Action.REPORT -> report(machine, answered = true)
            Action.REPORT_UNANSWERED -> report(machine, answered = false)
            Action.COPY_OF_EARLIER_REPORT -> leader.answerHeartbeat(reports[random.nextInt(reports.size)], now)
            Action.COMMAND -> deliver(answered = true)
            Action.COMMAND_UNANSWERED -> deliver(answered = false)
            Action.COMMAND_HELD_UP -> holdUp()
            Action.HELD_UP_COMMAND_ARRIVES -> heldUp.removeFirstOrNull()?.let(::arrive)
            Action.COPY_OF_EXECUTED_COMMAND -> executedMessages.randomOrNull(random.asKotlinRandom())?.let(::arriveAgain)
            Action.OTHER_JOB -> leader.jobObserved(store.submit(storedJob("j-${works.size + 1}", JobKind.ARRAY, 1)), now, now)
            Action.WRITE_UNANSWERED -> unansweredWrites++
            Action.WRITE_LATE -> lateWrites++
            Action.TASK_FAILS -> machine.tasks.values.filter { it.state == TaskState.Running }.forEach(::fail)
            Action.NEXT_LEADER -> leader = elect()
            Action.LEADER_ISOLATED -> isolateLeader()
            Action.LEADER_OF_EARLIER_VERSION -> if (case.earlierVersions) leadByEarlierVersion()
            Action.REPORT_TO_FORMER_LEADER -> former?.let(::reportToFormer)
            Action.LEASE -> pass(setup.workerLeaseMs + STEP_MS)
        }
        settle()
        pass(PAUSES_MS[random.nextInt(PAUSES_MS.size)])
    }

    private fun fail(task: FakeWorker.Task) = machine.end(task, TerminationReason.ERROR, now)

    /** The leader reaches the workers alone, until its lease has expired and the next leader is elected. */
    private fun isolateLeader() {
        isolated = true
        pass(LEADER_LEASE_MS)
        isolated = false
        former = leader
        if (random.nextBoolean()) applyLateWrites()
        leader = elect()
    }

    /** A leader of an earlier version leads for a moment: it writes the pages without the starts of some tasks that run. */
    private fun leadByEarlierVersion() {
        for ((number, stored) in store.pages.toMap()) {
            val (record, write) = stored
            store.pages[number] = record.copy(starts = record.starts.filter { random.nextBoolean() }, complete = false) to write
        }
        leader = elect()
    }

    private fun reportToFormer(former: Leader) {
        val report = ordered(machine.report())
        val answer = former.answerHeartbeat(report, now)
        if (answer != null) machine.answered(now, report.session, answer.token, answer.commands, now)
        former.tick(now)
        for (message in former.drainEffects().filterIsInstance<Effect.Send>()) {
            val to = workers.single { it.name == message.machine }
            if (to.command(message.token, message.session, message.commands, now)) {
                former.commandExecuted(message.id, ordered(to.report()), now)
            } else {
                former.commandRejected(message.id, ordered(to.report()), now)
            }
        }
    }

    private fun holdUp() {
        val message = pending ?: return
        pending = null
        heldUp += message
        leader.commandUnanswered(message.id, now)
    }

    /** A copy of a message that was executed before must not start anything. */
    private fun arriveAgain(message: Effect.Send) {
        val started = machine.commandCopy(message.token, message.session, message.commands, now)
        if (started.isNotEmpty()) broken += "$now: a copy started $started"
    }

    private fun arrive(message: Effect.Send) {
        machine.command(message.token, message.session, message.commands, now)
    }

    /** Everything works again: the tasks must all run, each on one machine. */
    fun recover() {
        heldUp.toList().forEach(::arrive)
        repeat(ROUNDS_TO_RECOVER) {
            deliver(answered = true)
            report(machine, answered = true)
            pass(1_000)
        }
        val live = workers.flatMap { worker -> worker.tasks.values.filter { it.live && it.spec.id == JOB }.map { it.number } }.sorted()
        if (live != List(case.tasks) { it }) broken += "$now: in the end live are $live"
    }

    private companion object {
        const val JOB = "j-1"
        const val STEP_MS = 200L
        const val LEADER_LEASE_MS = 5_000L

        /** Keeps machines without tasks rented. */
        const val NEVER_MS = 1_000_000_000L
        const val SECOND_MACHINE_UP_MS = 1_000L
        const val ROUNDS_TO_RECOVER = 30
        val PAUSES_MS = longArrayOf(0, 200, 700, 2_000)
    }
}
