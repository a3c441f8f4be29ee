package org.honeyjunction.simulation

import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.fake.FakeWorker

/** The messages between simulated controllers and workers: heartbeats with their responses, and direct commands. */
class WorkerNetwork(private val context: SimulationContext) {
    private val faults = context.network
    private val nextHeartbeatAt = HashMap<String, Long>()

    /** The controller to which each worker sends its heartbeats, until that controller no longer responds. */
    private val currentControllers = HashMap<String, SimulatedController>()
    private val recorded = ArrayList<Heartbeat>()

    /** How often the first heartbeat that a leader received from a machine was a stale copy. */
    var staleFirstHeartbeats = 0
        private set

    /** The number of copies of executed messages that arrived. */
    var commandCopies = 0
        private set

    /** Delivers the recorded copies of old heartbeats to the new leader [controller], among its first heartbeats. */
    fun replayRecordedHeartbeats(controller: SimulatedController) {
        recorded.forEach { heartbeat ->
            val delay = if (context.random.nextBoolean()) 0 else context.random.nextInt(REPLAY_WITHIN_MS).toLong()
            context.after(delay) { controller.run { replay(this, heartbeat) } }
        }
        recorded.clear()
    }

    private fun replay(leader: Leader, heartbeat: Heartbeat) {
        val machine = leader.state.machine(heartbeat.machine)
        if (machine == null || machine.lastContactAt < leader.state.startedAt) staleFirstHeartbeats++
        leader.answerHeartbeat(heartbeat, context.now)
    }

    /** Advances all workers to the present time, and sends the heartbeats that are due. */
    fun advanceWorkers() {
        for (worker in context.workers.values.toList()) {
            worker.advance(context.now)
            if (context.now >= (nextHeartbeatAt[worker.name] ?: context.now)) sendHeartbeat(worker)
        }
    }

    private fun sendHeartbeat(worker: FakeWorker) {
        val intervalMs = context.setup.reportMs
        nextHeartbeatAt[worker.name] = context.now + intervalMs * 3 / 4 + context.random.nextInt((intervalMs / 2).toInt())
        val refused = faults.resetsConnections && context.now < worker.cutUntil
        if (worker.silent(context.now) || refused || context.now in faults.responsesLateUntil..<faults.heartbeatsUnreadUntil) return
        val heartbeat = worker.report()
        val sentAt = context.now
        val delay = heartbeatDelay(worker, heartbeat)
        if (context.happens(faults.recordedHeartbeatPercent)) recorded += heartbeat
        if (context.happens(faults.repeatedHeartbeatPercent)) {
            val repeatAfter = 2_000L + context.random.nextInt(2 * context.setup.workerLeaseMs.toInt())
            context.after(repeatAfter) { context.leader?.run { answerHeartbeat(heartbeat, context.now) } }
        }
        context.after(delay) { receiveHeartbeat(worker, heartbeat, sentAt) }
    }

    /** Draws the delay of a heartbeat. The receiving controller is chosen when the heartbeat arrives. */
    private fun heartbeatDelay(worker: FakeWorker, heartbeat: Heartbeat): Long {
        faults.heartbeatDelayMs(heartbeat)?.let { return it }
        if (context.now < worker.cutUntil) return worker.cutUntil - context.now + context.random.nextInt(20_000)
        return context.latency() + faults.extraLatency(context.random)
    }

    private fun receiveHeartbeat(worker: FakeWorker, heartbeat: Heartbeat, sentAt: Long) {
        val receiver =
            listOfNotNull(currentControllers[worker.name], context.leader).firstOrNull {
                it.alive &&
                    faults.reachesController(worker, it)
            }
        val controller = receiver?.takeIf { it.reachable } ?: return
        currentControllers[worker.name] = controller
        controller.run {
            val response = answerHeartbeat(heartbeat, context.now)
            val lost = controller.messagesToWorkersLost || context.now < worker.deafUntil || !faults.reachesWorker(worker, controller)
            if (response == null || lost) {
                currentControllers -= worker.name
                return@run
            }
            respond(worker, heartbeat.session, sentAt, response.token, response.commands)
        }
    }

    /** Responses later than [RESPONSE_TIMEOUT_MS] after the heartbeat are dropped by the worker. */
    private fun respond(worker: FakeWorker, session: Long, sentAt: Long, token: Long, commands: List<Command>) {
        val late = context.now < faults.responsesLateUntil
        val delay = if (late) LATE_RESPONSE_MS else context.latency() + faults.extraLatency(context.random)
        context.after(delay) {
            val inTime = context.now - sentAt < RESPONSE_TIMEOUT_MS
            if (inTime && !worker.silent(context.now)) worker.answered(sentAt, session, token, commands, context.now)
        }
    }

    /** Sends commands, which reach the worker, arrive much later (delayed by a partition or a hanging machine), or are lost. */
    fun send(controller: SimulatedController, effect: Effect.Send) {
        val worker = context.workers[effect.machine]
        checkStarts(controller, effect)
        val partitioned = worker != null && !(faults.commandsReach(worker) && faults.reachesWorker(worker, controller))
        val delayed = isDelayed(controller, worker, partitioned)
        if (delayed && faults.resetsConnections) {
            return context.after(RESET_MS) { controller.run { commandUnanswered(effect.id, context.now) } }
        }
        val lost = controller.messagesToWorkersLost || worker != null && context.now < worker.deafUntil || partitioned
        val delay = commandDelay(worker, delayed)
        if (!lost) context.after(delay) { receiveCommands(controller, effect, answered = !delayed) }
        if (delayed || faults.maxExtraLatencyMs > 0) {
            context.after(COMMAND_TIMEOUT_MS) { controller.run { commandUnanswered(effect.id, context.now) } }
        }
    }

    /** No leader may start a task of a job whose cancellation has been confirmed. */
    private fun checkStarts(controller: SimulatedController, effect: Effect.Send) {
        val starts = effect.commands.filterIsInstance<Command.Start>()
        val wrong = starts.filter { it.task.substringBeforeLast('/') in context.history.cancelledAt }
        if (wrong.isEmpty()) return
        context.history.note(context.now, "started_cancelled: ${wrong.map { it.task }} by term ${controller.term}")
    }

    private fun isDelayed(controller: SimulatedController, worker: FakeWorker?, partitioned: Boolean): Boolean {
        if (worker == null || worker.silent(context.now)) return true
        if (context.now < worker.cutUntil || context.now < worker.deafUntil) return true
        if (!controller.reachable || controller.messagesToWorkersLost || partitioned) return true
        return context.happens(faults.delayedCommandPercent)
    }

    private fun commandDelay(worker: FakeWorker?, delayed: Boolean): Long {
        if (!delayed || worker == null) return context.latency() + faults.extraLatency(context.random)
        return maxOf(worker.hungUntil, worker.cutUntil, context.now) - context.now + context.random.nextInt(30_000)
    }

    private fun receiveCommands(controller: SimulatedController, effect: Effect.Send, answered: Boolean) {
        val worker = context.workers[effect.machine]?.takeIf { !it.silent(context.now) } ?: return
        worker.advance(context.now)
        val executed = worker.command(effect.token, effect.session, effect.commands, context.now)
        val heartbeat = worker.report()
        if (!answered) return
        if (executed) faults.commandCopyDelayMs(effect)?.let { delay -> context.after(delay) { receiveCopy(effect) } }
        context.after(context.latency() + faults.extraLatency(context.random)) {
            controller.run {
                if (executed) commandExecuted(effect.id, heartbeat, context.now) else commandRejected(effect.id, heartbeat, context.now)
            }
        }
    }

    /** A copy of a message that was executed and answered. Nobody waits for its answer, and it must not start anything. */
    private fun receiveCopy(effect: Effect.Send) {
        val worker = context.workers[effect.machine]?.takeIf { !it.silent(context.now) } ?: return
        worker.advance(context.now)
        commandCopies++
        val started = worker.commandCopy(effect.token, effect.session, effect.commands, context.now)
        if (started.isNotEmpty()) context.history.note(context.now, "copy_started: $started on ${worker.name}")
    }

    private companion object {
        /** Time within which a new leader has received a heartbeat from every machine that can reach it. */
        const val REPLAY_WITHIN_MS = 3_000
        const val LATE_RESPONSE_MS = 5_000L
        const val RESPONSE_TIMEOUT_MS = 4_000L
        const val COMMAND_TIMEOUT_MS = 2_000L
        const val RESET_MS = 200L
    }
}
