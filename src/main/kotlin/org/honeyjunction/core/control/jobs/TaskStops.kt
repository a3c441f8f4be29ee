package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task

/** Requests a stop, which [TaskDispatcher] sends. A repeated request only has an effect if its grace period is shorter. */
fun Placement.requestStop(graceS: Double) {
    if (stopping && graceS >= stopGraceS) return
    stopping = true
    stopGraceS = graceS
    stopSentAt = 0L
}

/** Evicts the task with time to save a checkpoint. Evicts all tasks of a gang, since the others could not continue. */
fun Task.evict() {
    val graceS = job.spec.saveS + 1
    val concerned = if (job.spec.kind == JobKind.GANG) job.placements.toList() else placements.toList()
    concerned.forEach { it.requestStop(if (it.phase == Phase.RUNNING) graceS else 0.0) }
}
