package org.honeyjunction.core.control

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task

/** What the end of a task means: durable results, finished and cancelled jobs, failures. */
class Lifecycle(private val state: ClusterState) {
    private val dirtyChunks = LinkedHashSet<Pair<Job, Int>>()
    private var chunksBusy = false

    fun taskDone(task: Task) {
        val job = task.job
        // The tasks of a gang complete together: one result is the result of all.
        val finished = if (job.spec.kind == JobKind.GANG) job.tasks.asList() else listOf(task)
        for (t in finished) {
            if (t.done) continue
            t.done = true
            job.doneCount++
            dirtyChunks += job to t.number / CHUNK
        }
    }

    fun flush() {
        for (job in state.active.values.toList()) {
            if (job.doneCount == job.tasks.size && !job.closing) close(job, cancelled = false)
            if (job.cancelRequested && !job.closing) close(job, cancelled = true)
        }
        dirtyChunks.removeAll { (job, _) -> job.stage != JobStage.ACTIVE || job.closing }
        if (chunksBusy || dirtyChunks.isEmpty()) return
        val batch = dirtyChunks.take(MAX_BATCH)
        dirtyChunks.removeAll(batch.toSet())
        chunksBusy = true
        val covered = batch.flatMap { (job, chunk) -> job.chunk(chunk).filter { it.done } }
        state.commit(batch.map { (job, chunk) -> Change.TasksDone(job.spec.id, chunk, bits(job, chunk)) }) { outcome ->
            chunksBusy = false
            if (outcome == CommitOutcome.APPLIED) covered.forEach { it.doneDurable = true } else dirtyChunks += batch
        }
    }

    fun cancel(job: Job) {
        job.cancelRequested = true
        flush()
    }

    private fun close(job: Job, cancelled: Boolean) {
        job.closing = true
        state.commit(listOf(Change.JobOver(job.spec.id, job.version, cancelled))) { outcome ->
            if (outcome == CommitOutcome.APPLIED) over(job, cancelled) else job.closing = false
        }
    }

    private fun over(job: Job, cancelled: Boolean) {
        job.enter(if (cancelled) JobStage.CANCELLED else JobStage.DONE)
        state.active.remove(job.spec.id)
        if (!cancelled) job.tasks.forEach { it.doneDurable = true }
        job.placements.forEach { it.askToStop(0.0) }
        state.effects += Effect.Cancelled(job.spec.id, done = !cancelled)
    }

    fun failed(placement: Placement, now: Long) {
        val job = placement.task.job
        val machine = placement.machine
        job.errorMachines += machine.index
        // Mostly the machine is faulty; but a job that fails on one machine after the other must not cost them all.
        if (job.errorMachines.size <= SUSPECT_AFTER) {
            if (machine.phase == MachinePhase.UP) machine.enter(MachinePhase.DRAINING)
        }
        job.failures++
        job.notBefore = now + BACKOFF_MS * (1L shl (job.failures - 1).coerceAtMost(MAX_DOUBLINGS))
    }

    private fun bits(job: Job, chunk: Int): ByteArray {
        val bytes = ByteArray(CHUNK / 8)
        for (t in job.chunk(chunk)) {
            val at = t.number % CHUNK
            if (t.done) bytes[at / 8] = (bytes[at / 8].toInt() or (1 shl at % 8)).toByte()
        }
        return bytes
    }

    fun restore(job: Job, chunk: Int, bits: ByteArray) {
        for (t in job.chunk(chunk)) {
            val at = t.number % CHUNK
            if (at / 8 >= bits.size || bits[at / 8].toInt() shr at % 8 and 1 == 0 || t.done) continue
            t.done = true
            t.doneDurable = true
            job.doneCount++
        }
    }

    private fun Job.chunk(chunk: Int) = tasks.asList().subList(chunk * CHUNK, minOf((chunk + 1) * CHUNK, tasks.size))

    companion object {
        /** Tasks per durable value: 512 bytes of bits stay far below the smallest value limit. */
        const val CHUNK = 4096
        private const val MAX_BATCH = 4
        private const val SUSPECT_AFTER = 2
        private const val BACKOFF_MS = 500L
        private const val MAX_DOUBLINGS = 7
    }
}

/** Asks for a stop; a lesser grace than before replaces the earlier one. */
fun Placement.askToStop(graceS: Double) {
    if (stopping && graceS >= stopGraceS) return
    stopping = true
    stopGraceS = graceS
    stopSentAt = 0L
}

/** Stops a task so that it can save; of a gang, all tasks, since the others could not go on. */
fun Task.yieldPlace() {
    val grace = job.spec.saveS + 1
    val concerned = if (job.spec.kind == JobKind.GANG) job.placements else placements.toList()
    concerned.forEach { it.askToStop(if (it.phase == Phase.RUNNING) grace else 0.0) }
}
