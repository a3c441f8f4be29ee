package org.honeyjunction.simulation

import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.fake.Work

/** The users of a [SimulatedCluster]: they submit jobs, and cancel them. */
class SimulatedUsers(private val context: SimulationContext) {
    /** Stores the job durably; the leader observes it after a message latency. */
    fun submit(spec: JobSpec): String {
        val stored = context.state.submit(StoredJob(spec, SimulatedController.NODE, context.now, 0, JobStage.ACTIVE))
        context.after(context.latency()) { context.leader?.run { jobObserved(stored, context.now, context.now) } }
        return spec.id
    }

    /** Sends one cancellation of job [id] to the present leader. */
    fun cancel(id: String) = context.leader?.run { cancel(id, context.now) }

    /** Repeats the cancellation of job [id] until it is confirmed, by whichever leader. */
    fun cancelUntilConfirmed(id: String) {
        when (context.state.terminalRecords[id]?.stage) {
            JobStage.CANCELLED -> context.history.cancelledAt.putIfAbsent(id, context.now)
            JobStage.DONE -> Unit
            else -> {
                cancel(id)
                context.after(RETRY_MS) { cancelUntilConfirmed(id) }
            }
        }
    }

    /** The work that the tasks of job [id] do on their machines; null if there is no such job. */
    fun workOf(id: String): Work? {
        val job = context.state.jobs[id] ?: context.state.terminalRecords[id] ?: return null
        return Work(job.spec, job.spec.estimateS, fails = job.spec.jobClass == FAULTY_CLASS)
    }

    private companion object {
        const val RETRY_MS = 1_000L

        /** All tasks of jobs of this class fail. */
        const val FAULTY_CLASS = "faulty"
    }
}
