package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Resources

/**
 * One team's limit while its pending jobs are taken in their order: what the team uses, with what was admitted so far, and
 * what is reserved for a gang. Made anew for each pass over the queue.
 */
internal class TeamQuota(private val state: ClusterState, private val teamIndex: Int, private val now: Long) {
    private val team = state.cluster.teams[teamIndex]
    private var admitted = state.usage(teamIndex)

    /** What is reserved of the limit for a gang, which is expected to start in [reservedForS] seconds. */
    private var reserved = Resources.NONE
    private var reservedForS = 0.0

    /** When each of the team's tasks that end by themselves is expected to end, and what it frees. Only gangs need it. */
    private val expectedEnds by lazy(LazyThreadSafetyMode.NONE) {
        state.active.values
            .filter { it.team == teamIndex && it.spec.kind != JobKind.SERVICE }
            .flatMap { it.placements }
            .map { it.expectedRemainingS(now) to it.task.job.spec.need }
            .sortedBy { it.first }
    }

    /** How many of [pending] tasks of [job], which is no gang, the limit allows. */
    fun allowedTasks(job: Job, pending: Int): Int {
        val use = useBeside(job)
        if (team.withinLimit(use + job.spec.need * pending)) return pending
        return largestCount(pending) { team.withinLimit(use + job.spec.need * it) }
    }

    /**
     * Whether the limit allows all [pending] tasks of [gang] at once. If not, what it needs of the limit is reserved, unless
     * a gang before it has that already: otherwise the next task of an array would take each part that gets free, for ever.
     */
    fun allowsGang(gang: Job, pending: Int): Boolean {
        if (team.withinLimit(useBeside(gang) + gang.spec.need * pending)) return true
        if (reservedForS == 0.0) reserveFor(gang)
        return false
    }

    /** [count] tasks of [job] are to start: those after it in the queue find that much less. */
    fun admit(job: Job, count: Int) {
        admitted += job.spec.need * count
    }

    /** Backfilling: a job that is expected to end before the reserved part is needed may use it meanwhile. */
    private fun useBeside(job: Job): Resources {
        val runS = job.expectedRunS
        val endsBefore = runS != null && runS * ESTIMATE_FACTOR <= reservedForS
        return if (endsBefore) admitted else admitted + reserved
    }

    /**
     * Reserves what [gang] needs if, by the owners' estimates, the team's work is expected to free it before long; or if the
     * gang has waited for long enough. What can't start for minutes must not keep other jobs from the limit all the time.
     */
    private fun reserveFor(gang: Job) {
        val startsInS = expectedStartS(gang) ?: return
        if (startsInS > RESERVE_WITHIN_S && now - gang.createdAt < RESERVE_AFTER_MS) return
        reserved = gang.spec.need * gang.unfinished
        reservedForS = maxOf(startsInS, LEAST_RESERVED_S)
    }

    /** In how many seconds the limit is expected to allow [gang]; null: never, because of services, which do not end. */
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

    /** The largest count up to [limit] that [fits], which holds for all smaller ones too. */
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
        /** A reservation is made if it can be used within [RESERVE_WITHIN_S], or when the gang has waited for [RESERVE_AFTER_MS]. */
        const val RESERVE_WITHIN_S = 60.0
        const val RESERVE_AFTER_MS = 120_000L

        /** Above 0, which stands for no reservation. */
        const val LEAST_RESERVED_S = 0.001

        /** Estimates are often wrong by half. */
        const val ESTIMATE_FACTOR = 2
    }
}

/** Marks the jobs that lie within their team's guarantee: those that fit into it with the team's earlier unfinished jobs. */
internal class GuaranteeMarker(private val state: ClusterState) {
    private var markedAt = Long.MIN_VALUE
    private var markedJobs = -1

    /** Sets [Job.guaranteed] of all active jobs, unless that was done a moment ago for as many jobs. */
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
