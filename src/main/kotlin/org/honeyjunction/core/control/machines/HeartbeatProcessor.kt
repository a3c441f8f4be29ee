package org.honeyjunction.core.control.machines

import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.control.jobs.JobLifecycle
import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.jobs.requestStop
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.lease.WorkerLease.Finding
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task

/**
 * Reconciles the leader's state with the status that workers report. Besides confirmed releases and expired leases, these reports
 * are the only evidence of what runs on a machine.
 */
class HeartbeatProcessor(private val state: ClusterState, private val lifecycle: JobLifecycle, private val boots: BootTimes) {
    /**
     * Takes in the status [report]; [isHeartbeat]: the worker sent it by itself, not as the answer to a command. Returns false for
     * a message that is older than what is known already.
     */
    fun process(report: Heartbeat, now: Long, isHeartbeat: Boolean = false): Boolean {
        val machine = state.addMachine(report.machine, now)
        // Delayed until after the machine's release was confirmed: what it reports is over.
        if (machine.phase == MachinePhase.GONE) return false
        state.describe(machine, report.address, report.type, report.zone, report.spot)
        val received = WorkerLease.Event.MessageReceived(report.session, report.sequence, report.token, now)
        val newSession =
            when (machine.lease.on(received)) {
                Finding.NEW_SESSION -> true
                Finding.NEWER -> false
                Finding.STALE, Finding.NONE, Finding.EXPIRED -> return false
            }
        noteContact(machine, isHeartbeat, now)
        reconcileTasks(machine, report, newSession, now)
        state.machinesToSendTo += machine
        if (report.spotNoticeS != null) handleSpotNotice(machine, report.spotNoticeS, now)
        return true
    }

    private fun noteContact(machine: Machine, isHeartbeat: Boolean, now: Long) {
        machine.lastContactAt = now
        if (isHeartbeat) machine.lastHeartbeatAt = now
        // If this message is the first that is known of the machine, it does not show how long the boot took.
        if (machine.phase == MachinePhase.BOOTING && machine.knownSince < now) boots.recordBoot(machine.kind, machine.knownSince, now)
        // A machine that answers commands but cannot send heartbeats loses its tasks when its lease expires: only a heartbeat
        // makes it usable again.
        if (machine.phase in NOT_REPORTING && (isHeartbeat || machine.phase !in NEEDS_HEARTBEAT)) machine.enter(MachinePhase.UP)
        if (machine.placements.isEmpty() && machine.idleSince == Long.MIN_VALUE) machine.idleSince = now
    }

    private fun reconcileTasks(machine: Machine, report: Heartbeat, newSession: Boolean, now: Long) {
        val listed = report.tasks.associateBy { it.task }
        for (placement in machine.placements.values.toList()) {
            val reported = listed[placement.task.id]
            if (reported?.attempt == placement.attempt) continue
            if (provesGone(placement, report, newSession)) state.remove(placement, now)
        }
        machine.reportedEndedTasks = report.tasks.count { it.state is TaskState.Ended }
        report.tasks.forEach { reconcileTask(machine, it, now) }
    }

    /** Whether [report], which does not list [placement], proves that the task is not and will not be on the machine. */
    private fun provesGone(placement: Placement, report: Heartbeat, newSession: Boolean): Boolean =
        when (placement.phase) {
            Phase.RESERVED, Phase.RECORDED -> false
            // A delayed start command can still be executed until the session or the fencing token has moved on.
            Phase.SENT -> newSession || report.token >= placement.voidFromToken
            // An earlier leader's commands are void only once the worker has acknowledged this term's fencing token.
            Phase.UNCONFIRMED -> report.token >= state.termToken
            Phase.FETCHING, Phase.GATHERING, Phase.RUNNING, Phase.SAVING -> true
        }

    private fun reconcileTask(machine: Machine, reported: ReportedTask, now: Long) {
        val job = state.job(reported.job) ?: return
        val task = job.tasks.getOrNull(reported.number) ?: return
        when (val reportedState = reported.state) {
            is TaskState.Ended -> reconcileEnded(machine, task, reported.attempt, reportedState, now)
            TaskState.Fetching -> reconcileActive(machine, task, reported, Phase.FETCHING, now)
            TaskState.Gathering -> reconcileActive(machine, task, reported, Phase.GATHERING, now)
            TaskState.Running -> reconcileActive(machine, task, reported, Phase.RUNNING, now)
            TaskState.Saving -> reconcileActive(machine, task, reported, Phase.SAVING, now)
        }
    }

    private fun reconcileActive(machine: Machine, task: Task, reported: ReportedTask, phase: Phase, now: Long) {
        val job = task.job
        val known = machine.placements[reported.task]
        if (known != null && known.attempt == reported.attempt) {
            known.enter(phase, now)
            if (phase == Phase.RUNNING) job.started = true
            machine.idleSince = Long.MIN_VALUE
            // A reported task's image is cached there, whatever an earlier leader's record says.
            recordImage(machine, task)
            return
        }
        // What an earlier leader has recorded, or this one has sent, may still start: the report of another attempt, perhaps an
        // earlier one, does not disprove it.
        if (known?.phase?.outcomeUnknown == true) return
        val elsewhere = task.placements.any { it.machine !== machine }
        // A start of this leader that was not sent yet is replaced by what is really on the machine.
        val placement = state.place(task, machine, reported.attempt, phase, now)
        if (job.mustStop || task.done || elsewhere) placement.requestStop(0.0)
    }

    private fun reconcileEnded(machine: Machine, task: Task, attempt: Long, end: TaskState.Ended, now: Long) {
        val known = machine.placements[task.id]
        if (known == null || known.attempt == attempt) {
            handleEnd(known, task, end, machine, now)
        } else if (end.cause == TerminationReason.DONE && task.job.startable) {
            lifecycle.taskDone(task, null, now)
        }
    }

    /** [known]: the placement that has ended; null if the leader knows of none. */
    private fun handleEnd(known: Placement?, task: Task, end: TaskState.Ended, machine: Machine, now: Long) {
        val job = task.job
        if (known != null) state.remove(known, now)
        when (end.cause) {
            TerminationReason.DONE -> if (job.stage == JobStage.ACTIVE) lifecycle.taskDone(task, machine.takeIf { known != null }, now)
            TerminationReason.ERROR -> if (known != null) lifecycle.failed(known, now)
            TerminationReason.NO_ROOM, TerminationReason.BUSY, TerminationReason.UNKNOWN_JOB ->
                if (known != null) job.notBefore = maxOf(job.notBefore, now + REJECTED_RETRY_MS)
            TerminationReason.STOPPED, TerminationReason.PEERS, TerminationReason.INCOMPLETE -> Unit
        }
        if (end.cause == TerminationReason.DONE && known != null) recordImage(machine, task)
    }

    private fun recordImage(machine: Machine, task: Task) {
        val type = state.cluster.types[machine.type] ?: return
        machine.recordImage(task.job.image, task.job.spec.imageGb, type.cacheGb)
    }

    /** The machine, a spot instance, will be taken away in [noticeS] seconds: its tasks move while they can. */
    private fun handleSpotNotice(machine: Machine, noticeS: Double, now: Long) {
        val first = machine.spotReclaimAt == null
        machine.spotReclaimAt = now + (noticeS * 1000).toLong()
        if (machine.phase == MachinePhase.UP) machine.enter(MachinePhase.DRAINING)
        if (!first) return
        for (placement in machine.placements.values.toList()) {
            val spec = placement.task.job.spec
            val cannotCheckpoint = spec.checkpointS <= 0 || spec.saveS + 1 > noticeS
            // A task that cannot checkpoint goes on and may still finish in time; one that has not started loses nothing by moving.
            if (placement.phase == Phase.RUNNING && cannotCheckpoint) continue
            placement.task.evict()
        }
    }

    private companion object {
        /** How long a job waits after a worker rejected a start of it. */
        const val REJECTED_RETRY_MS = 1_000L
        val NOT_REPORTING = setOf(MachinePhase.BOOTING, MachinePhase.UNCONFIRMED, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)
        val NEEDS_HEARTBEAT = setOf(MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)
    }
}
