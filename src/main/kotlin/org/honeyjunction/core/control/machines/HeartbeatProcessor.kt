package org.honeyjunction.core.control.machines

import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.control.jobs.JobLifecycle
import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.jobs.requestStop
import org.honeyjunction.core.control.journal.PlacementJournal
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.AttemptId
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.lease.WorkerLease.Finding
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task

/**
 * Reconciles the leader's state with the status that workers report. Besides confirmed releases and expired leases, worker reports
 * are the only evidence of which tasks run on a machine.
 */
class HeartbeatProcessor(
    private val state: ClusterState,
    private val lifecycle: JobLifecycle,
    private val journal: PlacementJournal,
    private val bootTimes: BootTimes,
    private val unknownJobs: UnknownJobs,
) {
    /**
     * Applies the status [report] to the leader's state. [isHeartbeat] is true if the worker sent the report periodically, and false
     * if the report answers a command. Returns false if the report is older than the known state or comes from a released machine.
     */
    fun process(report: Heartbeat, now: Long, isHeartbeat: Boolean = false): Boolean {
        val machine = state.addMachine(report.machine, now)
        // A report that arrives after the confirmed release of its machine describes tasks that are gone.
        if (machine.phase == MachinePhase.GONE) return false
        state.describe(machine, report.address, report.type, report.zone, report.spot)
        val received = WorkerLease.Event.MessageReceived(report.session, report.sequence, report.token, now)
        val newSession =
            when (machine.lease.on(received)) {
                Finding.NEW_SESSION -> true
                Finding.NEWER -> false
                Finding.STALE, Finding.NONE, Finding.EXPIRED -> return false
            }
        recordContact(machine, isHeartbeat, now)
        reconcileTasks(machine, report, newSession, now)
        state.machinesToSendTo += machine
        if (report.spotNoticeS != null) handleSpotNotice(machine, report.spotNoticeS, now)
        return true
    }

    private fun recordContact(machine: Machine, isHeartbeat: Boolean, now: Long) {
        machine.lastContactAt = now
        if (isHeartbeat) machine.lastHeartbeatAt = now
        // A machine first known by this message was rented at an unknown time, so that its boot time is unknown too.
        if (machine.phase == MachinePhase.BOOTING && machine.knownSince < now) bootTimes.recordBoot(machine.kind, machine.knownSince, now)
        // Answers to commands renew no lease: a machine that cannot send heartbeats loses its tasks when its lease expires. So only
        // a heartbeat returns a suspected or unreachable machine to UP.
        if (machine.phase in NOT_REPORTING && (isHeartbeat || machine.phase !in NEEDS_HEARTBEAT)) machine.enter(MachinePhase.UP)
        if (machine.placements.isEmpty() && machine.idleSince == Long.MIN_VALUE) machine.idleSince = now
    }

    /**
     * The attempts are matched by their numbers, not by their tasks: a task that was started again on the machine is listed in several
     * attempts. Ended attempts come first, so that a live attempt is placed whichever of them the report lists first.
     */
    private fun reconcileTasks(machine: Machine, report: Heartbeat, newSession: Boolean, now: Long) {
        val listed = report.tasks.mapTo(HashSet()) { it.id }
        for (placement in machine.placements.values.toList()) {
            if (placement.id !in listed && provesAbsence(placement, report, newSession)) state.remove(placement, now)
        }
        val (ended, live) = report.tasks.partition { it.state is TaskState.Ended }
        machine.reportedEndedTasks = ended.size
        unknownJobs.discardReportsOf(machine)
        ended.forEach { reconcileTask(machine, it, now) }
        live.forEach { reconcileTask(machine, it, now) }
    }

    private val Placement.id get() = AttemptId(task.job.spec.id, task.number, attempt)

    /** Whether [report], which does not list [placement], proves that the task neither runs nor can still start on the machine. */
    private fun provesAbsence(placement: Placement, report: Heartbeat, newSession: Boolean): Boolean =
        when (placement.phase) {
            Phase.RESERVED, Phase.RECORDED -> false
            // The worker may still execute a delayed start command until its session or its fencing token has advanced.
            Phase.SENT -> newSession || report.token >= placement.voidFromToken
            // The worker rejects commands of earlier leaders only after it has acknowledged this term's fencing token.
            Phase.UNCONFIRMED -> report.token >= state.termToken
            Phase.FETCHING, Phase.GATHERING, Phase.RUNNING, Phase.SAVING -> true
        }

    /** The record of [job] was read: handles the reports of its tasks that waited for it and are still the latest of their machines. */
    fun jobRecordRead(job: String, found: JobRecord, now: Long) {
        for (report in unknownJobs.recordRead(job, found, now)) {
            val lease = report.machine.lease
            val outdated = lease.session != report.session || lease.state == WorkerLease.State.EXPIRED
            if (!outdated && report.machine.phase != MachinePhase.GONE) reconcileTask(report.machine, report.task, now)
        }
    }

    private fun reconcileTask(machine: Machine, reported: ReportedTask, now: Long) {
        val job = state.job(reported.job)
        if (job == null) {
            if (reported.state !is TaskState.Ended) unknownJobs.reported(machine, reported, now)
            return
        }
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
        val known = machine.placements[reported.task]
        if (known != null && known.attempt == reported.attempt) {
            known.enter(phase, now)
            if (phase == Phase.RUNNING) task.job.started = true
            machine.idleSince = Long.MIN_VALUE
            // The image of a reported task is cached on the machine, even if an earlier leader's checkpoint does not list it.
            recordImage(machine, task)
            return
        }
        // An attempt that an earlier leader recorded, or that this leader sent, may still start. A report of a different attempt,
        // which may be an older one, does not rule that out.
        if (known?.phase?.outcomeUnknown == true) return
        adopt(machine, task, reported.attempt, phase, now)
    }

    /**
     * Places an attempt that a worker reports and that this leader's records do not name: the report is a delayed one, or an earlier
     * leader took the attempt for gone. It is recorded, and stopped if it is useless or if the task may be on another machine too. A start
     * elsewhere that was not sent yet is withdrawn instead.
     */
    private fun adopt(machine: Machine, task: Task, attempt: Long, phase: Phase, now: Long) {
        withdrawUnsentStarts(task, now)
        val elsewhere = task.placements.any { it.machine !== machine && it.phase > Phase.RECORDED }
        val placement = state.place(task, machine, attempt, phase, now)
        journal.adopt(placement)
        state.effects += Effect.LogEvent("unrecorded-task", "${machine.name} reports ${task.id} in attempt $attempt, which is not recorded")
        if (task.job.mustStop || task.done || elsewhere) placement.requestStop(0.0)
    }

    /**
     * Withdraws the starts of [task] that were not sent, for a gang those of all its tasks, since the others can't replace the attempt that
     * runs. A gang that was sent in part is stopped as a whole.
     */
    private fun withdrawUnsentStarts(task: Task, now: Long) {
        val gang = task.job.spec.kind == JobKind.GANG
        val placements = if (gang) task.job.placements.toList() else task.placements.toList()
        val unsent = placements.filter { it.phase <= Phase.RECORDED }
        if (gang && unsent.size < placements.size) {
            unsent.forEach { it.requestStop(0.0) }
        } else {
            unsent.forEach { state.remove(it, now) }
        }
    }

    private fun reconcileEnded(machine: Machine, task: Task, attempt: Long, end: TaskState.Ended, now: Long) {
        val known = machine.placements[task.id]
        if (known == null || known.attempt == attempt) {
            handleEnd(known, task, end, machine, now)
        } else if (end.cause == TerminationReason.DONE && task.job.startable) {
            lifecycle.taskDone(task, null, now)
        }
    }

    /** Handles the reported [end] of [task] on [machine]; [known] is the ended placement, or null if the leader has no record of it. */
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

    /** Drains [machine], a spot instance that the cloud will reclaim in [noticeS] seconds, and evicts the tasks that should move. */
    private fun handleSpotNotice(machine: Machine, noticeS: Double, now: Long) {
        val firstNotice = machine.spotReclaimAt == null
        machine.spotReclaimAt = now + (noticeS * 1000).toLong()
        if (machine.phase == MachinePhase.UP) machine.enter(MachinePhase.DRAINING)
        if (!firstNotice) return
        for (placement in machine.placements.values.toList()) {
            val spec = placement.task.job.spec
            val cannotCheckpoint = spec.checkpointS <= 0 || spec.saveS + 1 > noticeS
            // A running task that cannot checkpoint in time keeps running, since it may still finish. A task that does not run yet
            // loses nothing by moving.
            if (placement.phase == Phase.RUNNING && cannotCheckpoint) continue
            placement.task.evict()
        }
    }

    private companion object {
        /** How long a job is not started again after a worker rejected one of its start commands. */
        const val REJECTED_RETRY_MS = 1_000L

        /** Phases in which a machine is not known to report under this term. */
        val NOT_REPORTING = setOf(MachinePhase.BOOTING, MachinePhase.UNCONFIRMED, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)

        /** Phases that a machine leaves only by a heartbeat, not by the answer to a command. */
        val NEEDS_HEARTBEAT = setOf(MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)
    }
}
