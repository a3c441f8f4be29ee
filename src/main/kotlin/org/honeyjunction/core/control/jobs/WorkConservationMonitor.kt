package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.TaskRow

/** Why a task is pending although a machine has room for it; [text] is for operators. */
enum class PendingReason(val text: String) {
    /** No known reason: placement rounds should place the task. */
    NONE("nothing stands in the way"),

    /** The machine is reserved for a job that needs whole machines. */
    HOLD("the room is kept for a job that needs whole machines"),

    /** The machine only accepts tasks of a higher priority, for which its capacity was freed. */
    FLOOR("the room was made for work of a higher priority"),

    /** The team's limit does not allow the task. */
    LIMIT("its team is at its limit"),
}

/** A job with [tasks] that are pending although machines have had room for them since [sinceMs] (steady time). */
data class StalledJob(val job: String, val tasks: Int, val reason: PendingReason, val sinceMs: Long)

/**
 * Monitors work conservation: no task may be pending for long while a machine that it may use has room. The monitor counts
 * the tasks that fit by itself, without the candidate pruning and the costs of placement rounds, so that it detects errors there.
 */
class WorkConservationMonitor(private val state: ClusterState, private val queue: PendingQueue) {
    /** A job whose tasks were pending despite free capacity at every check since [since], for the same [reason]. */
    private class Observation(val since: Long, val reason: PendingReason) {
        var logged = false

        /** The number of such tasks at the latest check. */
        var tasks = 0
    }

    /** The result of one check of a job: the number of its [tasks] that are pending despite free capacity, and the [reason]. */
    private class Finding(val tasks: Int, val reason: PendingReason)

    /** The capacity [free] of a machine, unchanged since [since]. */
    private class FreeSince(val free: Resources, val since: Long)

    /** Observations by job index. */
    private val observations = HashMap<Int, Observation>()

    /** The free capacity of machines at the latest check, by machine index. */
    private var freeSince = emptyMap<Int, FreeSince>()
    private var nextCheckAt = Long.MIN_VALUE

    /** Jobs whose tasks have been pending despite free capacity for longer than [toleratedMs]. */
    fun stalled(now: Long): List<StalledJob> =
        observations.mapNotNull { (index, observation) -> state.jobAt(index)?.let { stalled(it, observation, now) } }

    /** Whether and why [job] is stalled; null if it is not. */
    fun stalledJob(job: Job, now: Long): StalledJob? = observations[job.index]?.let { stalled(job, it, now) }

    private fun stalled(job: Job, observation: Observation, now: Long): StalledJob? {
        if (now - observation.since <= toleratedMs(job)) return null
        return StalledJob(job.spec.id, observation.tasks, observation.reason, observation.since)
    }

    /** Checks all pending tasks against the free capacity, once in [PERIOD_MS], and logs jobs that have become stalled. */
    fun step(now: Long) {
        // A leader whose lease has expired starts no tasks, however much capacity is free.
        if (now >= state.leaseValidUntil) return observations.clear()
        if (now < nextCheckAt) return
        nextCheckAt = now + PERIOD_MS
        val free = unchanged(queue.capacity.allFree(now), now)
        if (free.isEmpty()) return observations.clear()
        val found = findPendingDespiteRoom(free, now)
        observations.entries.removeIf { (index, observation) -> found[index]?.reason != observation.reason }
        for ((index, finding) in found) {
            observations.getOrPut(index) { Observation(now, finding.reason) }.tasks = finding.tasks
        }
        logStalled(now)
    }

    /** The jobs, by index, with tasks that are pending although [free] has room for them. */
    private fun findPendingDespiteRoom(free: List<FreeCapacity>, now: Long): Map<Int, Finding> {
        val demands = queue.demands(now)
        val found = HashMap<Int, Finding>()
        val withReservations = FirstFitEstimate(free, state.ruleBook.table, skipFetching = true)
        // Ignores reservations and priority floors: tasks that only fit without these are reported with that reason.
        val withoutReservations = FirstFitEstimate(free.map { it.unreserved() }, state.ruleBook.table, skipFetching = true)
        for (demand in demands) {
            val fits = withReservations.reserve(demand.sample, demand.count)
            val job = state.jobAt(demand.sample.job) ?: continue
            if (fits > 0) {
                found[job.index] = Finding(fits, PendingReason.NONE)
                continue
            }
            val fitsUnreserved = withoutReservations.reserve(demand.sample, demand.count)
            if (fitsUnreserved > 0) found[job.index] = Finding(fitsUnreserved, holdOrFloor(demand.sample, free))
        }
        for (demand in queue.beyondLimits(demands, now)) {
            val fits = withoutReservations.reserve(demand.sample, demand.count)
            if (fits > 0) found[demand.sample.job] = Finding(fits, PendingReason.LIMIT)
        }
        return found
    }

    /** Those of [capacities] that have not changed for [ROUNDS] rounds: rounds may not have seen newly released capacity yet. */
    private fun unchanged(capacities: List<FreeCapacity>, now: Long): List<FreeCapacity> {
        val current =
            capacities.associate { capacity ->
                val before = freeSince[capacity.machine]?.takeIf { it.free == capacity.free }
                capacity.machine to (before ?: FreeSince(capacity.free, now))
            }
        freeSince = current
        return capacities.filter { now - current.getValue(it.machine).since >= state.tuning.placementIntervalMs * ROUNDS }
    }

    private fun holdOrFloor(sample: TaskRow, capacities: List<FreeCapacity>): PendingReason {
        val held =
            capacities.any {
                val heldForOther = it.reservedFor >= 0 && it.reservedFor != sample.job && sample.priority <= it.reservedPriority
                heldForOther && sample.allows(it.type, it.zone, it.spot, it.floor, it.free)
            }
        return if (held) PendingReason.HOLD else PendingReason.FLOOR
    }

    /** Logs each stalled job once, until its reason changes or it is no longer stalled. */
    private fun logStalled(now: Long) {
        for (stalled in stalled(now)) {
            val observation = observations.getValue(state.job(stalled.job)!!.index)
            if (observation.logged) continue
            observation.logged = true
            val seconds = (now - stalled.sinceMs) / 1000
            val message = "${stalled.tasks} tasks of ${stalled.job} pending beside free capacity for $seconds s: ${stalled.reason.text}"
            state.effects += Effect.LogEvent("job-stalled", message)
        }
    }

    /** [ROUNDS] rounds and a fetch of the job's image: a task may wait as long for a machine that already has the image. */
    private fun toleratedMs(job: Job): Long {
        val slowestGbPerS = state.cluster.types.values.minOfOrNull { it.fetchGbPerS } ?: return Long.MAX_VALUE
        val fetchMs = (job.spec.imageGb / slowestGbPerS * 1000).toLong()
        return state.tuning.placementIntervalMs * ROUNDS + fetchMs
    }

    /** A line of statistics: the number of tasks of stalled jobs by reason. */
    fun statistics(now: Long): String =
        "pending beside free capacity " + stalled(now).groupBy { it.reason }.mapValues { (_, all) -> all.sumOf { it.tasks } }

    private companion object {
        const val PERIOD_MS = 1_000L
        const val ROUNDS = 10
    }
}
