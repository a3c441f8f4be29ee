package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement

// Values derived from the run times that job owners estimate. They only order jobs and time reservations: no task is stopped
// for exceeding its estimate.

/** Seconds that a task of the job is expected to run; null for a service, whose tasks run until they are stopped. */
val Job.expectedRunS: Double? get() = spec.estimateS.takeUnless { spec.kind == JobKind.SERVICE }

/**
 * Seconds until the task is expected to leave its machine; not for services. A task that has run for longer than estimated is
 * expected to run for another [OVERRUN_FACTOR] of its run time so far.
 */
fun Placement.expectedRemainingS(now: Long): Double {
    val ranS = if (phase == Phase.RUNNING) (now - phaseSince) / 1000.0 else 0.0
    return maxOf(task.job.spec.estimateS - ranS, ranS * OVERRUN_FACTOR)
}

/**
 * Whether the job can no longer meet its deadline, so that starting it first would only make other jobs late too. From
 * [MAX_DEFERRAL_DEADLINES] times its deadline on the job is ordered by age again, which prevents starvation.
 */
fun Job.missesDeadline(now: Long): Boolean {
    val deadlineS = spec.deadlineS ?: return false
    val ageS = (now - createdAt) / 1000.0
    return ageS + spec.estimateS > deadlineS && ageS < deadlineS * MAX_DEFERRAL_DEADLINES
}

private const val OVERRUN_FACTOR = 0.3
private const val MAX_DEFERRAL_DEADLINES = 4
