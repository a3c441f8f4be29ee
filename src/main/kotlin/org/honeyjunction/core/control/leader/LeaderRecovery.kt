package org.honeyjunction.core.control.leader

import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.boot.InstanceKind
import org.honeyjunction.core.control.jobs.requestStop
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.failures.JobFailureCheckpoint
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import java.util.BitSet

/**
 * Rebuilds the state of a new leader from the records of earlier terms. The records are only an upper bound of what may be running:
 * recovered placements and machines are unconfirmed until the workers' heartbeats confirm or refute them.
 *
 * [now] and [wallNow] are the same moment in monotonic and in wall-clock milliseconds.
 */
internal class LeaderRecovery(private val components: LeaderComponents, private val now: Long, private val wallNow: Long) {
    private val state = components.state

    /** Adds the contents of [recovered] to the state. */
    fun recover(recovered: RecoveredState) {
        recovered.jobs.forEach { state.addJob(it, now, wallNow) }
        recovered.machines.forEach(::recoverMachine)
        recoverJournal(recovered.pages)
        recoverCheckpoint(recovered.checkpoint)
        state.active.values.forEach { components.autoscaler.recordArrival(it, now) }
    }

    private fun recoverMachine(checkpoint: MachineCheckpoint) {
        val machine = state.addMachine(checkpoint.name, now)
        state.describe(machine, checkpoint.address, checkpoint.type, checkpoint.zone, checkpoint.spot)
        machine.enter(MachinePhase.UNCONFIRMED)
        machine.lease = WorkerLease(state.cluster.leaseMs, state.termToken, checkpoint.session)
        // The idle time of a machine continues across terms, unless the machine turns out to have tasks.
        checkpoint.idleSinceWall?.let { machine.idleSince = now - (wallNow - it).coerceAtLeast(0) }
        checkpoint.images.forEach { (name, gb) -> machine.images[state.cluster.images.index(name)] = gb }
    }

    /** Recovers the results of all pages before any start, since a task that is done needs no placement. */
    private fun recoverJournal(pages: List<JournalPageRecord>) {
        val results = pages.associateWith { page -> page.done.flatMap { (job, numbers) -> tasks(job, numbers) } }
        results.values.flatten().forEach(components.lifecycle::restore)
        results.forEach { (page, done) ->
            // A start of a job whose record can't be read stays in its page for as long as the page need not be written.
            val knownJobs = page.starts.mapNotNullTo(HashSet()) { start -> start.job.takeIf { state.job(it) != null } }
            components.journal.restore(page, page.starts.mapNotNull(::recoverStart), done, knownJobs)
        }
        if (!pages.all { it.complete }) components.unrecordedTasks.begin(now)
    }

    private fun tasks(job: String, numbers: BitSet): List<Task> =
        state.job(job)?.tasks?.let { all -> numbers.stream().toArray().asList().mapNotNull(all::getOrNull) }.orEmpty()

    /** Recovers the placement of a recorded start; null if the start is not needed any more. */
    private fun recoverStart(start: RecordedStart): Placement? {
        val task = state.job(start.job)?.tasks?.getOrNull(start.number) ?: return null
        if (task.doneDurable) return null
        val machine = state.addMachine(start.machine, now)
        if (machine.phase == MachinePhase.BOOTING) machine.enter(MachinePhase.UNCONFIRMED)
        // Of two attempts on one machine only the later one counts, since it was started after the earlier one had ended.
        machine.placements[task.id]?.let { if (it.attempt >= start.attempt) return null }
        val placement = state.place(task, machine, start.attempt, Phase.UNCONFIRMED, now)
        if (task.job.stage != JobStage.ACTIVE) placement.requestStop(0.0)
        return placement
    }

    private fun recoverCheckpoint(checkpoint: LeaderCheckpoint) {
        checkpoint.jobs.forEach(::recoverJobFailures)
        components.fairness.restore(checkpoint.served)
        checkpoint.boots.forEach(::recoverBootTimes)
    }

    private fun recoverJobFailures(checkpoint: JobFailureCheckpoint) {
        val job = state.job(checkpoint.job)?.takeIf { it.startable } ?: return
        job.notBefore = now + components.failures.restore(job.index, checkpoint, wallNow - now)
        job.failing = checkpoint.failing
    }

    private fun recoverBootTimes(checkpoint: BootTimeCheckpoint) {
        val type = state.cluster.typeNames.indexWithin(checkpoint.type, Cluster.MAX_TYPES)
        val zone = state.cluster.zones.find(checkpoint.zone)
        components.bootTimes.restore(InstanceKind(type, zone, checkpoint.spot), checkpoint, now)
    }
}
