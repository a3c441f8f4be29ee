package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.jobs.Explainer
import org.honeyjunction.core.control.jobs.Explanation
import org.honeyjunction.core.control.jobs.PendingReason
import org.honeyjunction.core.control.jobs.StalledJob
import org.honeyjunction.core.control.jobs.counted
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.model.Job

/** What operators and users are shown of the leader's decisions; nothing here changes the state. */
internal class LeaderDiagnostics(private val parts: LeaderComponents) {
    private val state = parts.state

    /** One line for the log. */
    fun statistics(): String =
        listOf(
            state.statistics(),
            parts.journal.statistics(),
            parts.workConservation.statistics(state.now),
            parts.failures.statistics(state.now),
            "less than half started ${groupsWithFewStarted()}",
        ).joinToString("; ")

    private fun groupsWithFewStarted(): List<String> =
        servedCounts(state.now)
            .filter { it.value.starved }
            .map { (group, count) -> "$group ${count.started} of ${count.accepted}" }

    /** For each class and team: how many of the jobs that have had time to start were started. */
    fun servedCounts(now: Long): Map<FairnessGroup, ServedCount> =
        parts.fairness.counts(state.active.values.asSequence().map { it.counted(now) })

    /** The classes and teams with less than half of their jobs started although machines have had room for a waiting one. */
    fun starvedGroups(now: Long): Map<FairnessGroup, ServedCount> {
        val stalled = stalledJobs(now).filter { it.reason == PendingReason.NONE }.mapNotNull { state.job(it.job) }
        return servedCounts(now).filter { (group, count) ->
            count.starved && stalled.any { group in it.counted(now).groups }
        }
    }

    /** The jobs that have waited beside free capacity that they may use for longer than they should. */
    fun stalledJobs(now: Long): List<StalledJob> = parts.workConservation.stalled(now)

    /** See [Leader.explain]. */
    fun explain(id: String, first: Int, most: Int, now: Long): List<Explanation>? {
        val explainer = parts.explainer ?: return null
        explainer.beginBatch()
        val job = state.job(id) ?: return explainer.rememberedTasks(id, first, most, now)
        val freeCapacity = freeCapacityBeside(job, now)
        val context = startedCounts(job, now) + listOfNotNull(freeCapacity)
        return (first until minOf(job.tasks.size, first + most)).mapNotNull { explainer.explain(job.tasks[it], now, context) }
    }

    /** What is remembered of the tasks of a job that is not in the state any more. */
    private fun Explainer.rememberedTasks(id: String, first: Int, most: Int, now: Long): List<Explanation>? =
        (first until first + most).mapNotNull { rememberedExplanation("$id/$it", now) }.ifEmpty { null }

    private fun freeCapacityBeside(job: Job, now: Long): String? =
        parts.workConservation.stalledJob(job, now)?.let {
            "free machines have had room for it for ${(now - it.sinceMs) / 1000} s: ${it.reason.text}"
        }

    private fun startedCounts(job: Job, now: Long): List<String> {
        val counts = servedCounts(now)
        return job.counted(now).groups.mapNotNull { group ->
            counts[group]?.let { "of $group ${it.started} of ${it.accepted} jobs have been started" }
        }
    }
}
