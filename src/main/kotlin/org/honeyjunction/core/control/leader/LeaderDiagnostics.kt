package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.jobs.Explainer
import org.honeyjunction.core.control.jobs.Explanation
import org.honeyjunction.core.control.jobs.PendingReason
import org.honeyjunction.core.control.jobs.StalledJob
import org.honeyjunction.core.control.jobs.counted
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.model.Job

/** Statistics and explanations of the leader's decisions for operators and users. Nothing here changes the state. */
internal class LeaderDiagnostics(private val components: LeaderComponents) {
    private val state = components.state

    /** The state of the cluster as one line for the log. */
    fun statistics(): String =
        listOf(
            state.statistics(),
            components.journal.statistics(),
            components.workConservation.statistics(state.now),
            components.failures.statistics(state.now),
            state.messageCounters.statistics(),
            components.unknownJobs.statistics(),
            "less than half started ${groupsWithFewStarted()}",
        ).joinToString("; ")

    private fun groupsWithFewStarted(): List<String> =
        servedCounts(state.now)
            .filter { it.value.starved }
            .map { (group, count) -> "$group ${count.started} of ${count.accepted}" }

    /** For each class and team: how many of the jobs that have had enough time to start were started. */
    fun servedCounts(now: Long): Map<FairnessGroup, ServedCount> =
        components.fairness.counts(state.active.values.asSequence().map { it.counted(now) })

    /** The classes and teams with less than half of their jobs started although machines had free capacity for a waiting one. */
    fun starvedGroups(now: Long): Map<FairnessGroup, ServedCount> {
        val stalled = stalledJobs(now).filter { it.reason == PendingReason.NONE }.mapNotNull { state.job(it.job) }
        return servedCounts(now).filter { (group, count) ->
            count.starved && stalled.any { group in it.counted(now).groups }
        }
    }

    /** The jobs that have waited for too long although there was free capacity that they may use. */
    fun stalledJobs(now: Long): List<StalledJob> = components.workConservation.stalled(now)

    /** See [Leader.explain]. */
    fun explain(id: String, first: Int, limit: Int, now: Long): List<Explanation>? {
        val explainer = components.explainer ?: return null
        explainer.beginBatch()
        val job = state.job(id) ?: return explainer.rememberedTasks(id, first, limit, now)
        val freeCapacity = freeCapacityFor(job, now)
        val context = startedCounts(job, now) + listOfNotNull(freeCapacity)
        return (first until minOf(job.tasks.size, first + limit)).mapNotNull { explainer.explain(job.tasks[it], now, context) }
    }

    /** The remembered explanations for the tasks of a job that is not in the state any more; null if there are none. */
    private fun Explainer.rememberedTasks(id: String, first: Int, limit: Int, now: Long): List<Explanation>? =
        (first until first + limit).mapNotNull { rememberedExplanation("$id/$it", now) }.ifEmpty { null }

    private fun freeCapacityFor(job: Job, now: Long): String? =
        components.workConservation.stalledJob(job, now)?.let {
            "free machines have had room for it for ${(now - it.sinceMs) / 1000} s: ${it.reason.text}"
        }

    private fun startedCounts(job: Job, now: Long): List<String> {
        val counts = servedCounts(now)
        return job.counted(now).groups.mapNotNull { group ->
            counts[group]?.let { "of $group ${it.started} of ${it.accepted} jobs have been started" }
        }
    }
}
