package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.leader.summarized
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.placement.Proposal

/**
 * Carries proposed starts through their steps: check and reservation, record in the [PlacementJournal], message to the worker,
 * answer. Also sends stops. Each machine has at most one unanswered message.
 */
class TaskDispatcher(private val state: ClusterState, private val journal: PlacementJournal, private val explainer: Explainer? = null) {
    /** A message to [machine]; [starts] are the placements that it asks the worker to start. */
    private class Message(val machine: Machine, val starts: List<Placement>)

    /** Unanswered messages by message identifier. */
    private val unansweredMessages = HashMap<Long, Message>()

    /**
     * Checks each proposal against all rules in the current state and reserves its capacity; a gang is accepted as a whole or
     * not at all. Returns for each proposal whether it was accepted.
     */
    fun accept(proposals: List<Proposal>, now: Long): List<Boolean> {
        val accepted = BooleanArray(proposals.size)
        explainer?.beginBatch()
        for ((jobIndex, members) in proposals.indices.groupBy { proposals[it].job }) {
            val job = state.jobAt(jobIndex) ?: continue
            if (!job.startable || job.heldBack || job.notBefore > now) continue
            if (job.spec.kind == JobKind.GANG && !isWholeGang(job, members.map { proposals[it].task })) continue
            acceptOfJob(job, members, proposals, accepted, now)
        }
        return accepted.asList()
    }

    /** Reserves the proposals of [job], which are those of [proposals] with the indices [members]; sets their [accepted]. */
    private fun acceptOfJob(job: Job, members: List<Int>, proposals: List<Proposal>, accepted: BooleanArray, now: Long) {
        val gang = job.spec.kind == JobKind.GANG
        // The attempt number tells the starts of one task apart. Tasks that start together share it, for a shorter record.
        val attempt = state.nextSequence()
        val placed = ArrayList<Placement>()
        val withCachedImage = HashSet<Placement>()
        for (i in members) {
            // Read before the reservation, which adds the image to the machine's cached images.
            val imageCached = explainer != null && job.image in state.machineAt(proposals[i].machine)?.images.orEmpty()
            val placement = reserve(job, proposals[i], attempt, now)
            if (placement != null) {
                placed += placement
                if (imageCached) withCachedImage += placement
                accepted[i] = true
            } else if (gang) {
                break
            }
        }
        if (gang && placed.size < members.size) {
            // One refusal stops the whole gang. Nothing was recorded or sent yet, so removing the reservations is enough.
            placed.forEach { state.remove(it, now) }
            members.forEach { accepted[it] = false }
        } else {
            placed.forEach(journal::add)
            placed.forEach { explainer?.recordDecision(it, it in withCachedImage, now) }
        }
    }

    private fun isWholeGang(job: Job, tasks: List<Int>): Boolean =
        job.placements.isEmpty() && tasks.size == job.unfinished && tasks.toSet().size == tasks.size

    private fun reserve(job: Job, proposal: Proposal, attempt: Long, now: Long): Placement? {
        val task = job.tasks.getOrNull(proposal.task) ?: return null
        val machine = state.machineAt(proposal.machine) ?: return null
        if (!mayStart(job, task, machine, now)) return null
        return state.place(task, machine, attempt, Phase.RESERVED, now)
    }

    private fun mayStart(job: Job, task: Task, machine: Machine, now: Long): Boolean =
        !task.done &&
            task.placements.isEmpty() &&
            machine.acceptsTasks &&
            machine.address != null &&
            !isHeldFromJob(machine, job, now) &&
            job.spec.priority >= machine.minPriorityAt(now) &&
            state.isEligible(job, task, machine) &&
            state.violatedRule(job, task, machine) == null &&
            job.spec.need.fitsIn(state.freeCapacity(machine)) &&
            state.cluster.teams[job.team].withinLimit(state.usage(job.team) + job.spec.need)

    private fun isHeldFromJob(machine: Machine, job: Job, now: Long): Boolean {
        val heldFor = state.reservedFor(machine, now) ?: return false
        return heldFor !== job && job.spec.priority <= heldFor.spec.priority
    }

    /** Sends the due commands of the machines for which commands may have become due since the last flush. */
    fun flushDueMachines(now: Long) {
        if (state.machinesToSendTo.isEmpty()) return
        val due = state.machinesToSendTo.toList()
        state.machinesToSendTo.clear()
        flush(due, now)
    }

    /** Drops stale reservations on [machines], and sends recorded starts and requested stops. */
    fun flush(machines: Collection<Machine>, now: Long) {
        for (machine in machines) dropStaleReservations(machine, now)
        sendDue(machines, now)
    }

    /** Sends due commands without making any decision; past the leader lease these are stops only. */
    fun sendDue(machines: Collection<Machine>, now: Long) {
        val due = machines.filter { mayBeSentTo(it, now) && (isUnfenced(it) || hasDueCommand(it, now)) }
        // The number of unanswered messages is bounded: after a mass failure the most urgent ones are sent first.
        val allMayBeSent = unansweredMessages.size + due.size <= state.cluster.maxCommandsInFlight
        val ordered = if (allMayBeSent) due else due.sortedByDescending { urgency(it) }
        for (machine in ordered) send(machine, now)
    }

    /** Stops of cancelled jobs come first, since these must end within a time limit; then starts by priority. */
    private fun urgency(machine: Machine): Int =
        machine.placements.values.maxOfOrNull {
            when {
                it.stopping && it.task.job.mustStop -> Int.MAX_VALUE
                it.phase == Phase.RECORDED -> it.task.job.spec.priority.ordinal + 1
                else -> 0
            }
        } ?: 0

    /** Drops reservations that could not be recorded or sent in time or are no longer wanted, and so frees their capacity. */
    private fun dropStaleReservations(machine: Machine, now: Long) {
        if (machine.placements.values.none { it.phase <= Phase.RECORDED }) return
        for (placement in machine.placements.values.toList()) {
            if (placement.phase > Phase.RECORDED || placement.removed) continue
            // The time starts anew when the start is recorded. Otherwise a start whose record took long to write would be
            // dropped, only to be recorded again.
            val late = now - placement.phaseSince > RESERVATION_MS
            if (late || placement.stopping || !placement.task.job.startable || !machine.usable) drop(placement, now)
        }
    }

    /** Drops a reservation; for a gang, those of all its tasks, and stops the tasks that were already sent. */
    private fun drop(placement: Placement, now: Long) {
        val job = placement.task.job
        val concerned = if (job.spec.kind == JobKind.GANG) job.placements.toList() else listOf(placement)
        concerned.forEach { if (it.phase <= Phase.RECORDED) state.remove(it, now) else it.requestStop(0.0) }
    }

    private fun mayBeSentTo(machine: Machine, now: Long): Boolean =
        machine.address != null && !machine.commandInFlight && now >= machine.nextCommandAt && machine.phase != MachinePhase.GONE

    /**
     * Whether [machine] may not know this term's fencing token. A new leader sends it without waiting for a heartbeat: once the worker has
     * acknowledged it, answers of other leaders no longer renew the worker's lease.
     */
    private fun isUnfenced(machine: Machine): Boolean =
        !machine.lease.fenced && (machine.lease.session > 0 || machine.phase == MachinePhase.UNCONFIRMED)

    private fun hasDueCommand(machine: Machine, now: Long): Boolean =
        machine.placements.values.any { startIsDue(it, machine, now) || stopIsDue(it, now) }

    /** Sends the commands that are due, or none if only the fencing token is to be sent. */
    private fun send(machine: Machine, now: Long) {
        val address = machine.address ?: return
        if (unansweredMessages.size >= state.cluster.maxCommandsInFlight) return
        val starts = ArrayList<Placement>()
        val commands = dueCommands(machine, now, starts)
        val id = state.nextSequence()
        machine.commandInFlight = true
        if (starts.isNotEmpty()) machine.recordStart()
        for (placement in starts) {
            placement.enter(Phase.SENT, now)
            // The start may be executed until the worker answers it or acknowledges a higher fencing token.
            placement.voidFromToken = machine.token + 1
        }
        unansweredMessages[id] = Message(machine, starts)
        val session = maxOf(machine.lease.session, FIRST_SESSION)
        state.messageCounters.sent++
        logMessage(machine, session, starts, commands, now)
        state.effects += Effect.Send(id, machine.name, address, machine.token, session, commands)
    }

    /** The commands that are due for [machine]; placements to be started are also added to [starts]. */
    private fun dueCommands(machine: Machine, now: Long, starts: MutableList<Placement>): List<Command> {
        val commands = ArrayList<Command>()
        for (placement in machine.placements.values) {
            if (commands.size >= MAX_COMMANDS) break
            if (startIsDue(placement, machine, now)) {
                starts += placement
                commands += Command.Start(placement.task.id, placement.attempt)
            } else if (stopIsDue(placement, now)) {
                placement.stopSentAt = now
                commands += Command.Stop(placement.task.id, placement.attempt, placement.stopGraceS)
            }
        }
        return commands
    }

    private fun startIsDue(placement: Placement, machine: Machine, now: Long): Boolean =
        placement.phase == Phase.RECORDED && now < state.leaseValidUntil && machine.usable && isReady(placement)

    private fun stopIsDue(placement: Placement, now: Long): Boolean {
        val writesCheckpoint = placement.phase == Phase.SAVING && placement.stopGraceS > 0
        return placement.stopping && placement.phase > Phase.RECORDED && !writesCheckpoint && now - placement.stopSentAt >= STOP_RETRY_MS
    }

    private fun isReady(placement: Placement): Boolean {
        val job = placement.task.job
        // The task may have been found on another machine since the start was reserved.
        if (!job.startable || placement.task.placements.size > 1) return false
        // The tasks of a gang are sent together, once all of them are recorded.
        return job.spec.kind != JobKind.GANG || job.placements.all { it.phase >= Phase.RECORDED }
    }

    /** The worker executed the message [id]; [processReport] handles the heartbeat in its answer. */
    fun executed(id: Long, report: Heartbeat, processReport: (Heartbeat) -> Unit) {
        val message = takeMessage(id) ?: return
        message.machine.commandFailures = 0
        message.starts.forEach { it.voidFromToken = 0 }
        processReport(report)
    }

    /** The fencing token or the agent's session did not match: no command of the message was or will be executed. */
    fun rejected(id: Long, report: Heartbeat, now: Long, processReport: (Heartbeat) -> Unit) {
        val message = takeMessage(id) ?: return
        state.messageCounters.rejected++
        state.eventLog.log("commands-rejected", now) {
            "${message.machine.name}, which has seen token ${report.token} and is in session ${report.session}: ${describe(message.starts)}"
        }
        message.starts.forEach { if (it.phase == Phase.SENT) state.remove(it, now) }
        message.machine.nextCommandAt = now + RETRY_MS
        processReport(report)
    }

    /** No answer came. The message may still be executed minutes later, so raising the machine's fencing token voids it. */
    fun unanswered(id: Long, now: Long) {
        val message = takeMessage(id) ?: return
        val machine = message.machine
        machine.commandFailures++
        machine.nextCommandAt = now + RETRY_MS * minOf(machine.commandFailures, MAX_RETRY_FACTOR)
        state.messageCounters.unanswered++
        if (message.starts.isEmpty()) return
        state.voidSentStarts(machine)
        state.eventLog.log("starts-unanswered", now) { "${machine.name}: ${describe(message.starts)}; void from token ${machine.token}" }
    }

    private fun takeMessage(id: Long): Message? {
        val message = unansweredMessages.remove(id) ?: return null
        message.machine.commandInFlight = false
        state.machinesToSendTo += message.machine
        return message
    }

    /** Logs a message with [commands], of which [starts] are started and the others are stops. */
    private fun logMessage(machine: Machine, session: Long, starts: List<Placement>, commands: List<Command>, now: Long) {
        if (starts.isNotEmpty()) {
            state.eventLog.log("starts-sent", now) { "${describeTarget(machine, session)}: ${describe(starts)}" }
        }
        if (commands.size == starts.size) return
        state.eventLog.log("stops-sent", now) {
            val stops = commands.filterIsInstance<Command.Stop>()
            "${describeTarget(machine, session)}: ${stops.summarized { "${it.task} in attempt ${it.attempt}" }}"
        }
    }

    private fun describeTarget(machine: Machine, session: Long) = "to ${machine.name} with token ${machine.token}, session $session"

    private fun describe(starts: List<Placement>) = "starts ${starts.summarized { "${it.task.id} in attempt ${it.attempt}" }}"

    private companion object {
        /** A reservation must be recorded within this time, and then sent within this time. */
        const val RESERVATION_MS = 6_000L
        const val STOP_RETRY_MS = 1_500L

        /** After the n-th failure in a row the next message waits n times as long, up to [MAX_RETRY_FACTOR]. */
        const val RETRY_MS = 500L
        const val MAX_RETRY_FACTOR = 8

        /** The session assumed for an agent that has not reported yet; a rejection contains the actual one. */
        const val FIRST_SESSION = 1L

        /** Commands of one message: about 70 bytes each, of the 64 KiB that a message may have. */
        const val MAX_COMMANDS = 400
    }
}
