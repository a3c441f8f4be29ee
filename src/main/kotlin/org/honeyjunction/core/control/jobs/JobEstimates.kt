package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement

// What follows from the owners' estimates of run times. Estimates order and reserve; nothing is stopped because of one.

/** Seconds that a task of the job is expected to run; null for a service, which does not end by itself. */
val Job.expectedRunS: Double? get() = spec.estimateS.takeUnless { spec.kind == JobKind.SERVICE }

/**
 * Seconds until a task of a job that ends by itself is expected to leave its machine. One that has outlasted its estimate is
 * expected to go on for [OVERRUN] of the time that it has run.
 */
fun Placement.expectedRemainingS(now: Long): Double {
    val ranS = if (phase == Phase.RUNNING) (now - phaseSince) / 1000.0 else 0.0
    return maxOf(task.job.spec.estimateS - ranS, ranS * OVERRUN)
}

/**
 * Whether the job can't meet its deadline any more, so that starting it first would only make others late too. After
 * [DEADLINES_DEFERRED] times its deadline it is ordered by age again, so that it can't be overtaken for ever.
 */
fun Job.missesDeadline(now: Long): Boolean {
    val deadlineS = spec.deadlineS ?: return false
    val ageS = (now - createdAt) / 1000.0
    return ageS + spec.estimateS > deadlineS && ageS < deadlineS * DEADLINES_DEFERRED
}

private const val OVERRUN = 0.3
private const val DEADLINES_DEFERRED = 4
