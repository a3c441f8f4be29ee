package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine

/**
 * Answers workers' heartbeats. The leader processes the contents of every heartbeat. An answer renews the worker's lease, so the
 * leader needs the right to renew leases. It loses that right for good when a worker reports a fencing token of a later term.
 */
internal class HeartbeatResponder(private val components: LeaderComponents, private val renewals: WorkerLeaseRenewals) {
    private val state = components.state
    private var laterTermObserved = false

    /** Processes [heartbeat]. Returns null if this node has no right to answer it. */
    fun answer(heartbeat: Heartbeat, now: Long): HeartbeatResponse? {
        if (observesLaterTerm(heartbeat.token)) return null
        val latest = components.heartbeats.process(heartbeat, now, isHeartbeat = true)
        renewals.timePassed(now)
        if (!renewals.allowed) {
            components.flush(now)
            return null
        }
        val machine = state.addMachine(heartbeat.machine, now)
        machine.lease.on(WorkerLease.Event.HeartbeatAnswered(heartbeat.session, now))
        val commands = commandsFor(machine, heartbeat, latest)
        // Voided before the flush, so that the messages of the flush carry the same token as the response.
        if (commands.any { it is Command.Forget }) voidForgottenStarts(machine, commands.filterIsInstance<Command.Forget>(), now)
        components.flush(now)
        return HeartbeatResponse(machine.token, commands)
    }

    /**
     * The commands about the tasks that [machine] reports in [heartbeat]. A worker executes a start again once it has forgotten the
     * attempt, so the response that lets it forget also voids the starts that were sent. The worker forgets nothing before its next heartbeat if a
     * message is on its way, which would be rejected, or if this heartbeat is not the [latest], since nobody may wait for its response.
     */
    private fun commandsFor(machine: Machine, heartbeat: Heartbeat, latest: Boolean): List<Command> {
        val mayForgetNow = latest && !(machine.commandInFlight && machine.startsValid)
        if (!mayForgetNow) state.messageCounters.keptForNow += heartbeat.tasks.count { it.state is TaskState.Ended }
        return heartbeat.tasks.mapNotNull { commandFor(it, mayForgetNow) }.take(MAX_COMMANDS)
    }

    /** Voids the starts that were sent to [machine], before it may execute one of them again because it has [forgotten] the attempt. */
    private fun voidForgottenStarts(machine: Machine, forgotten: List<Command.Forget>, now: Long) {
        val before = machine.token
        state.voidSentStarts(machine)
        state.messageCounters.forgotten += forgotten.size
        state.eventLog.log("attempts-forgotten", now) {
            val attempts = forgotten.summarized { "${it.task} in attempt ${it.attempt}" }
            "${machine.name} may forget $attempts with token ${machine.token}, before $before"
        }
    }

    /** Processes the status that a worker sent as the answer to a command. */
    fun processCommandAnswer(heartbeat: Heartbeat, now: Long) {
        if (!observesLaterTerm(heartbeat.token)) components.heartbeats.process(heartbeat, now)
    }

    private fun observesLaterTerm(token: Long): Boolean {
        if (token shr ClusterState.SEQUENCE_BITS <= state.term) return false
        if (!laterTermObserved) state.effects += Effect.StepDown("a worker has seen a later term")
        laterTermObserved = true
        renewals.superseded(state.now)
        return true
    }

    /**
     * The command about [reported] that the answer carries: to forget an ended attempt, or to stop a useless one. So both work even
     * if no separate command reaches the worker. All commands are idempotent.
     */
    private fun commandFor(reported: ReportedTask, mayForgetNow: Boolean): Command? =
        when {
            reported.state is TaskState.Ended ->
                Command.Forget(reported.task, reported.attempt).takeIf { mayForgetNow && mayForget(reported) }
            state.job(reported.job)?.mustStop == true -> Command.Stop(reported.task, reported.attempt, 0.0)
            else -> null
        }

    /** Whether the worker may forget an ended attempt: its result must be durable, since the worker holds the only other copy. */
    private fun mayForget(reported: ReportedTask): Boolean {
        val ended = reported.state as TaskState.Ended
        val job = state.job(reported.job) ?: return ended.cause != TerminationReason.DONE
        return ended.cause != TerminationReason.DONE ||
            job.stage != JobStage.ACTIVE ||
            job.tasks.getOrNull(reported.number)?.doneDurable != false
    }

    private companion object {
        /** At about 70 bytes each, they keep an answer's line below its maximum of 64 KiB. The rest follows with the next heartbeat. */
        const val MAX_COMMANDS = 600
    }
}
