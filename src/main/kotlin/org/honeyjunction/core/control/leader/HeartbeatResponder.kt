package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.JobStage

/**
 * Answers workers' heartbeats. The contents of a heartbeat are evidence in any case; an answer renews the worker's lease and
 * therefore needs the right to renew leases, and a fencing token of a higher term ends that right for good.
 */
internal class HeartbeatResponder(private val components: LeaderComponents, private val renewals: WorkerLeaseRenewals) {
    private val state = components.state
    private var higherTermObserved = false

    /** Processes [heartbeat]; null when this node has no right to answer it. */
    fun answer(heartbeat: Heartbeat, now: Long): HeartbeatResponse? {
        if (observesHigherTerm(heartbeat.token)) return null
        components.heartbeats.process(heartbeat, now, isHeartbeat = true)
        renewals.timePassed(now)
        if (!renewals.allowed) {
            components.flush(now)
            return null
        }
        val machine = state.addMachine(heartbeat.machine, now)
        machine.lease.on(WorkerLease.Event.HeartbeatAnswered(heartbeat.session, now))
        components.flush(now)
        return HeartbeatResponse(machine.token, heartbeat.tasks.mapNotNull(::commandFor).take(MAX_COMMANDS))
    }

    /** Processes a status that came as the answer to a command. */
    fun processCommandAnswer(heartbeat: Heartbeat, now: Long) {
        if (!observesHigherTerm(heartbeat.token)) components.heartbeats.process(heartbeat, now)
    }

    private fun observesHigherTerm(token: Long): Boolean {
        if (token shr ClusterState.SEQUENCE_BITS <= state.term) return false
        if (!higherTermObserved) state.effects += Effect.StepDown("a worker has seen a higher term")
        higherTermObserved = true
        renewals.superseded(state.now)
        return true
    }

    /**
     * An answer carries only commands that are safe to repeat: an ended attempt is forgotten, and an unwanted one is stopped,
     * so that both work where no separate command reaches the worker.
     */
    private fun commandFor(reported: ReportedTask): Command? =
        when {
            reported.state is TaskState.Ended -> Command.Forget(reported.task, reported.attempt).takeIf { mayForget(reported) }
            state.job(reported.job)?.mustStop == true -> Command.Stop(reported.task, reported.attempt, 0.0)
            else -> null
        }

    /** A result must be durable before the worker, which has its only other copy, may forget it. */
    private fun mayForget(reported: ReportedTask): Boolean {
        val ended = reported.state as TaskState.Ended
        val job = state.job(reported.job) ?: return ended.cause != TerminationReason.DONE
        return ended.cause != TerminationReason.DONE ||
            job.stage != JobStage.ACTIVE ||
            job.tasks.getOrNull(reported.number)?.doneDurable != false
    }

    private companion object {
        /** Some 70 bytes each: no line of an answer may be longer than 64 KiB. The rest follows with the next heartbeat. */
        const val MAX_COMMANDS = 600
    }
}
