package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
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
 * Takes proposed starts through their steps: checked and reserved, recorded in the [PlacementJournal], sent, answered. Sends
 * stops too. A machine has one unanswered message at most.
 */
class TaskDispatcher(private val state: ClusterState, private val journal: PlacementJournal, private val explainer: Explainer? = null) {
    private class Message(val machine: Machine, val starts: List<Placement>)

    /** Messages without an answer, by their id. */
    private val unanswered = HashMap<Long, Message>()

    /**
     * Checks each proposal against all rules as things stand now, and reserves its room; a gang is taken whole or not at
     * all. Returns for each whether it was accepted.
     */
    fun accept(proposals: List<Proposal>, now: Long): List<Boolean> {
        val accepted = BooleanArray(proposals.size)
        explainer?.begin()
        for ((jobIndex, members) in proposals.indices.groupBy { proposals[it].job }) {
            val job = state.jobAt(jobIndex) ?: continue
            if (!job.startable || job.notBefore > now) continue
            if (job.spec.kind == JobKind.GANG && !isWholeGang(job, members.map { proposals[it].task })) continue
            acceptOfJob(job, members, proposals, accepted, now)
        }
        return accepted.asList()
    }

    /** [members]: the indices of the job's proposals. */
    private fun acceptOfJob(job: Job, members: List<Int>, proposals: List<Proposal>, accepted: BooleanArray, now: Long) {
        val gang = job.spec.kind == JobKind.GANG
        // One attempt for all that starts together: it tells one start of a task from another, and the record is shorter.
        val attempt = state.nextSequence()
        val placed = ArrayList<Placement>()
        val withCachedImage = HashSet<Placement>()
        for (i in members) {
            // A reservation adds the image to the machine's, so this is asked before it.
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
            // One refusal stops the rest: nothing was sent yet, so the room is simply given back.
            placed.forEach { state.remove(it, now) }
            members.forEach { accepted[it] = false }
        } else {
            placed.forEach(journal::add)
            placed.forEach { explainer?.note(it, it in withCachedImage, now) }
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

    /** Sends what became due on the machines that something happened to. */
    fun flushTouched(now: Long) {
        if (state.machinesToSendTo.isEmpty()) return
        val due = state.machinesToSendTo.toList()
        state.machinesToSendTo.clear()
        flush(due, now)
    }

    /** Gives stale reservations back and sends what is recorded or to be stopped. */
    fun flush(machines: Collection<Machine>, now: Long) {
        for (machine in machines) dropStaleReservations(machine, now)
        sendDue(machines, now)
    }

    /** Sends what is due without deciding anything: past the leader lease, that is stops alone. */
    fun sendDue(machines: Collection<Machine>, now: Long) {
        // Unanswered messages are bounded: after a mass failure those with the most urgent starts go first.
        val allMayBeSent = unanswered.size + machines.size <= state.cluster.maxCommandsInFlight
        val ordered = if (allMayBeSent) machines else machines.sortedByDescending { urgency(it) }
        for (machine in ordered) send(machine, now)
    }

    /** What was cancelled has to be gone in time; then starts by their priority. */
    private fun urgency(machine: Machine): Int =
        machine.placements.values.maxOfOrNull {
            when {
                it.stopping && it.task.job.mustStop -> Int.MAX_VALUE
                it.phase == Phase.RECORDED -> it.task.job.spec.priority.ordinal + 1
                else -> 0
            }
        } ?: 0

    /** A reservation that could not be recorded or sent in time, or is no longer wanted, gives its room back. */
    private fun dropStaleReservations(machine: Machine, now: Long) {
        if (machine.placements.values.none { it.phase <= Phase.RECORDED }) return
        for (placement in machine.placements.values.toList()) {
            if (placement.phase > Phase.RECORDED || placement.removed) continue
            // Counted anew from the record on: a start whose record took long to write must not be dropped for that, only to
            // be written again.
            val late = now - placement.phaseSince > RESERVATION_MS
            if (late || placement.stopping || !placement.task.job.startable || !machine.usable) drop(placement, now)
        }
    }

    /** Of a gang, all tasks: what was sent already is stopped. */
    private fun drop(placement: Placement, now: Long) {
        val job = placement.task.job
        val concerned = if (job.spec.kind == JobKind.GANG) job.placements.toList() else listOf(placement)
        concerned.forEach { if (it.phase <= Phase.RECORDED) state.remove(it, now) else it.requestStop(0.0) }
    }

    private fun send(machine: Machine, now: Long) {
        val address = machine.address ?: return
        if (machine.commandInFlight || now < machine.nextCommandAt || machine.phase == MachinePhase.GONE) return
        // A new leader shows its fencing token itself: from then on nobody else's answers renew leases there.
        val unfenced = !machine.lease.fenced && (machine.lease.session > 0 || machine.phase == MachinePhase.UNCONFIRMED)
        if (machine.placements.isEmpty() && !unfenced || unanswered.size >= state.cluster.maxCommandsInFlight) return
        val starts = ArrayList<Placement>()
        val commands = dueCommands(machine, now, starts)
        if (commands.isEmpty() && !unfenced) return
        val id = state.nextSequence()
        machine.commandInFlight = true
        for (placement in starts) {
            placement.enter(Phase.SENT, now)
            // Until an answer or an acknowledged higher token, the start may still be executed.
            placement.voidFromToken = machine.token + 1
        }
        unanswered[id] = Message(machine, starts)
        val session = maxOf(machine.lease.session, FIRST_SESSION)
        state.effects += Effect.Send(id, machine.name, address, machine.token, session, commands)
    }

    /** What [machine] has to be sent now; the placements that it is to start are added to [starts]. */
    private fun dueCommands(machine: Machine, now: Long, starts: MutableList<Placement>): List<Command> {
        val commands = ArrayList<Command>()
        for (placement in machine.placements.values) {
            if (commands.size >= MAX_COMMANDS) break
            if (placement.phase == Phase.RECORDED && now < state.leaseValidUntil && machine.usable && isReady(placement)) {
                starts += placement
                commands += Command.Start(placement.task.id, placement.attempt)
            } else if (placement.stopping && placement.phase > Phase.RECORDED && now - placement.stopSentAt >= STOP_AGAIN_MS) {
                val writesCheckpoint = placement.phase == Phase.SAVING && placement.stopGraceS > 0
                if (writesCheckpoint) continue
                placement.stopSentAt = now
                commands += Command.Stop(placement.task.id, placement.attempt, placement.stopGraceS)
            }
        }
        return commands
    }

    private fun isReady(placement: Placement): Boolean {
        val job = placement.task.job
        if (!job.startable) return false
        // The tasks of a gang are sent together, once all of them are recorded.
        return job.spec.kind != JobKind.GANG || job.placements.all { it.phase >= Phase.RECORDED }
    }

    /** The message [id] was carried out; [absorb] takes in the heartbeat that came as its answer. */
    fun executed(id: Long, report: Heartbeat, absorb: (Heartbeat) -> Unit) {
        val message = take(id) ?: return
        message.machine.commandFailures = 0
        message.starts.forEach { it.voidFromToken = 0 }
        absorb(report)
    }

    /** Fencing token or agent incarnation did not match: nothing of the message was or will be executed. */
    fun rejected(id: Long, report: Heartbeat, now: Long, absorb: (Heartbeat) -> Unit) {
        val message = take(id) ?: return
        message.starts.forEach { if (it.phase == Phase.SENT) state.remove(it, now) }
        message.machine.nextCommandAt = now + RETRY_MS
        absorb(report)
    }

    /** No answer: the message may be executed minutes late, so it is voided by raising the machine's fencing token. */
    fun unanswered(id: Long, now: Long) {
        val message = take(id) ?: return
        val machine = message.machine
        machine.commandFailures++
        machine.nextCommandAt = now + RETRY_MS * minOf(machine.commandFailures, MAX_RETRY_FACTOR)
        if (message.starts.isNotEmpty()) machine.token++
    }

    private fun take(id: Long): Message? {
        val message = unanswered.remove(id) ?: return null
        message.machine.commandInFlight = false
        state.machinesToSendTo += message.machine
        return message
    }

    private companion object {
        /** A reservation, and then its record, lasts for so long before the next step. */
        const val RESERVATION_MS = 6_000L
        const val STOP_AGAIN_MS = 1_500L

        /** After the n-th failure in a row the next message waits n times as long, up to [MAX_RETRY_FACTOR]. */
        const val RETRY_MS = 500L
        const val MAX_RETRY_FACTOR = 8

        /** Of an agent whose incarnation is not known yet; a rejection tells the right one. */
        const val FIRST_SESSION = 1L

        /** Some 70 bytes each, of the 64 KiB that a message may have. */
        const val MAX_COMMANDS = 400
    }
}
