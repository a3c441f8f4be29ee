package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Resources

/**
 * Applies one team's limit to its pending jobs in queue order. Counts the resources that the team uses, those of the tasks
 * admitted so far, and those reserved for a gang. Each pass over the queue uses a new instance.
 */
internal class TeamQuota(private val state: ClusterState, private val teamIndex: Int, private val now: Long) {
    private val team = state.cluster.teams[teamIndex]
    private var admitted = state.usage(teamIndex)

    /** The part of the limit that is reserved for a gang, which is expected to start in [reservedForS] seconds. */
    private var reserved = Resources.NONE
    private var reservedForS = 0.0

    /** When each of the team's tasks, except those of services, is expected to end, and what it releases. Only gangs need it. */
    private val expectedEnds by lazy(LazyThreadSafetyMode.NONE) {
        state.active.values
            .filter { it.team == teamIndex && it.spec.kind != JobKind.SERVICE }
            .flatMap { it.placements }
            .map { it.expectedRemainingS(now) to it.task.job.spec.need }
            .sortedBy { it.first }
    }

    /** How many of the [pending] tasks of [job], which is not a gang, the limit allows. */
    fun allowedTasks(job: Job, pending: Int): Int {
        val use = useBeside(job)
        if (team.withinLimit(use + job.spec.need * pending)) return pending
        return largestCount(pending) { team.withinLimit(use + job.spec.need * it) }
    }

    /**
     * Whether the limit allows all [pending] tasks of [gang] at once. If not, the gang's need is reserved, unless an earlier
     * gang of the queue has a reservation. Without it, single tasks of arrays would take each released part and starve the gang.
     */
    fun allowsGang(gang: Job, pending: Int): Boolean {
        if (team.withinLimit(useBeside(gang) + gang.spec.need * pending)) return true
        if (reservedForS == 0.0) reserveFor(gang)
        return false
    }

    /** Charges [count] tasks of [job], which are to start: less remains for the jobs behind it in the queue. */
    fun admit(job: Job, count: Int) {
        admitted += job.spec.need * count
    }

    /** Backfilling: a job that is expected to end before the gang starts may use the reserved part until then. */
    private fun useBeside(job: Job): Resources {
        val runS = job.expectedRunS
        val endsBefore = runS != null && runS * ESTIMATE_SAFETY_FACTOR <= reservedForS
        return if (endsBefore) admitted else admitted + reserved
    }

    /**
     * Reserves what [gang] needs if, by the owners' estimates, the team's tasks release it within [RESERVE_WITHIN_S], or if the
     * gang has waited for [RESERVE_AFTER_MS]. A gang that can't start for minutes must not block other jobs all that time.
     */
    private fun reserveFor(gang: Job) {
        val startsInS = expectedStartS(gang) ?: return
        if (startsInS > RESERVE_WITHIN_S && now - gang.createdAt < RESERVE_AFTER_MS) return
        reserved = gang.spec.need * gang.unfinished
        reservedForS = maxOf(startsInS, MIN_RESERVED_S)
    }

    /** In how many seconds the limit is expected to allow [gang]; null if never, because services use too much of it. */
    private fun expectedStartS(gang: Job): Double? {
        val need = gang.spec.need * gang.unfinished
        var use = admitted
        if (team.withinLimit(use + need)) return 0.0
        for ((endsInS, freed) in expectedEnds) {
            use -= freed
            if (team.withinLimit(use + need)) return endsInS
        }
        return null
    }

    /** The largest count up to [limit] that [fits], by binary search; if a count fits, all smaller ones must fit too. */
    private inline fun largestCount(limit: Int, fits: (Int) -> Boolean): Int {
        var low = 0
        var high = limit
        while (low < high) {
            val middle = (low + high + 1) / 2
            if (fits(middle)) low = middle else high = middle - 1
        }
        return low
    }

    private companion object {
        const val RESERVE_WITHIN_S = 60.0
        const val RESERVE_AFTER_MS = 120_000L

        /** Greater than 0, since 0 means that nothing is reserved. */
        const val MIN_RESERVED_S = 0.001

        /** Estimates are often wrong by half, so backfilled jobs are assumed to run for twice as long. */
        const val ESTIMATE_SAFETY_FACTOR = 2
    }
}

/** Marks the jobs within their team's guarantee: those that fit into it together with the team's earlier active jobs. */
internal class GuaranteeMarker(private val state: ClusterState) {
    private var markedAt = Long.MIN_VALUE
    private var markedJobs = -1

    /** Sets [Job.guaranteed] of all active jobs, unless this was done within [REFRESH_MS] for the same number of jobs. */
    fun refresh(now: Long) {
        if (now - markedAt < REFRESH_MS && markedJobs == state.active.size) return
        markedAt = now
        markedJobs = state.active.size
        val use = HashMap<Int, Resources>()
        for (job in state.active.values.sortedBy { it.createdAt }) {
            val sum = use.getOrDefault(job.team, Resources.NONE) + job.spec.need * job.spec.tasks
            job.guaranteed = state.cluster.teams[job.team].withinGuarantee(sum)
            use[job.team] = sum
        }
    }

    private companion object {
        const val REFRESH_MS = 400L
    }
}
