package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.TaskRow

/** What keeps a pending task from a machine that has room for it; [text] is for operators. */
enum class PendingReason(val text: String) {
    /** Nothing does: rounds ought to place it. */
    NONE("nothing stands in the way"),
    HOLD("the room is kept for a job that needs whole machines"),
    FLOOR("the room was made for work of a higher priority"),
    LIMIT("its team is at its limit"),
}

/** A job whose tasks could have started for a while: so many [tasks], since [sinceMs] (steady time). */
data class StalledJob(val job: String, val tasks: Int, val reason: PendingReason, val sinceMs: Long)

/**
 * Watches work conservation: that no task is pending for long beside free room that it may use. It asks the question anew
 * by counting what fits, without the round's candidate pruning and costs, so that an error there shows here.
 */
class WorkConservationMonitor(private val state: ClusterState, private val queue: PendingQueue) {
    /** A job that was pending beside room at every check since [since], for the same [reason]. */
    private class Observation(val since: Long, val reason: PendingReason) {
        var logged = false
        var tasks = 0
    }

    /** What one check found of a job. */
    private class Finding(val tasks: Int, val reason: PendingReason)

    private class FreeSince(val room: Resources, val since: Long)

    /** By job index. */
    private val observations = HashMap<Int, Observation>()

    /** By machine index. */
    private var freeSince = emptyMap<Int, FreeSince>()
    private var nextCheckAt = Long.MIN_VALUE

    /** Jobs that are pending beside room for longer than a few rounds and a fetch that they may wait for would take. */
    fun stalled(now: Long): List<StalledJob> =
        observations.mapNotNull { (index, observation) -> state.jobAt(index)?.let { stalled(it, observation, now) } }

    /** The same for one job; null: it does not stall. */
    fun of(job: Job, now: Long): StalledJob? = observations[job.index]?.let { stalled(job, it, now) }

    private fun stalled(job: Job, observation: Observation, now: Long): StalledJob? {
        if (now - observation.since <= toleratedMs(job)) return null
        return StalledJob(job.spec.id, observation.tasks, observation.reason, observation.since)
    }

    fun step(now: Long) {
        // Past its lease a leader starts nothing, whatever has room.
        if (now >= state.leaseValidUntil) return observations.clear()
        if (now < nextCheckAt) return
        nextCheckAt = now + PERIOD_MS
        val free = unchanged(queue.capacity.allFree(now), now)
        if (free.isEmpty()) return observations.clear()
        val found = findPendingBesideRoom(free, now)
        observations.entries.removeIf { (index, observation) -> found[index]?.reason != observation.reason }
        for ((index, finding) in found) {
            observations.getOrPut(index) { Observation(now, finding.reason) }.tasks = finding.tasks
        }
        logStalled(now)
    }

    /** By job index, what is pending although [free] has room for it. */
    private fun findPendingBesideRoom(free: List<FreeCapacity>, now: Long): Map<Int, Finding> {
        val demands = queue.demands(now)
        val found = HashMap<Int, Finding>()
        val asHeld = FirstFitEstimate(free, state.ruleBook.table, skipFetching = true)
        // As if nothing were held or kept for a priority: what fits only then is reported, though it is meant to wait.
        val asIfOpen = FirstFitEstimate(free.map { it.unreserved() }, state.ruleBook.table, skipFetching = true)
        for (demand in demands) {
            val fits = asHeld.reserve(demand.sample, demand.count)
            val job = state.jobAt(demand.sample.job) ?: continue
            if (fits > 0) {
                found[job.index] = Finding(fits, PendingReason.NONE)
                continue
            }
            val fitsIfOpen = asIfOpen.reserve(demand.sample, demand.count)
            if (fitsIfOpen > 0) found[job.index] = Finding(fitsIfOpen, holdOrFloor(demand.sample, free))
        }
        for (demand in queue.beyondLimits(demands, now)) {
            val fits = asIfOpen.reserve(demand.sample, demand.count)
            if (fits > 0) found[demand.sample.job] = Finding(fits, PendingReason.LIMIT)
        }
        return found
    }

    /** Rooms that nothing was taken from or given back to for a few rounds: what just got free may not have been seen yet. */
    private fun unchanged(rooms: List<FreeCapacity>, now: Long): List<FreeCapacity> {
        val current =
            rooms.associate { room ->
                val before = freeSince[room.machine]?.takeIf { it.room == room.free }
                room.machine to (before ?: FreeSince(room.free, now))
            }
        freeSince = current
        return rooms.filter { now - current.getValue(it.machine).since >= state.tuning.placementIntervalMs * ROUNDS }
    }

    private fun holdOrFloor(sample: TaskRow, rooms: List<FreeCapacity>): PendingReason {
        val held =
            rooms.any {
                val heldForOther = it.reservedFor >= 0 && it.reservedFor != sample.job && sample.priority <= it.reservedPriority
                heldForOther && sample.allows(it.type, it.zone, it.spot, it.floor, it.free)
            }
        return if (held) PendingReason.HOLD else PendingReason.FLOOR
    }

    /** Each job once, for as long as it stalls for the same reason. */
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

    /** A few rounds; and a row may wait for a busy slot for as long as a fetch of its own would take. */
    private fun toleratedMs(job: Job): Long {
        val slowestGbPerS = state.cluster.types.values.minOfOrNull { it.fetchGbPerS } ?: return Long.MAX_VALUE
        val fetchMs = (job.spec.imageGb / slowestGbPerS * 1000).toLong()
        return state.tuning.placementIntervalMs * ROUNDS + fetchMs
    }

    /** How many tasks are pending beside room, by what keeps them. */
    fun statistics(now: Long): String =
        "pending beside free capacity " + stalled(now).groupBy { it.reason }.mapValues { (_, all) -> all.sumOf { it.tasks } }

    private companion object {
        const val PERIOD_MS = 1_000L
        const val ROUNDS = 10
    }
}
