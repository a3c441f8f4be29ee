package org.honeyjunction.fake

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources

/**
 * Work conservation as users see it: which of their jobs wait without any change though machines that fit have room and their
 * team is under its limit. Judged by the tasks that really are on the machines. The simulation of the core has a stricter
 * check of its own (`simulation.WorkConservationChecker`), which knows the leader's jobs and forgives no change meanwhile.
 */
class WorkConservationCheck(private val limits: Map<String, Resources>) {
    private class WaitingPeriod(val state: Any, val since: Long)

    private val periods = HashMap<String, WaitingPeriod>()

    /** Those of the jobs [open] that have waited so for more than [mostMs]. */
    fun longerThan(mostMs: Long, open: List<JobSpec>, workers: Collection<FakeWorker>, completed: Set<String>, now: Long): List<JobSpec> {
        val live = workers.filter { it.holds(now) }.flatMap { worker -> worker.tasks.values.filter { it.live }.map { worker to it } }
        val byJob = live.groupBy { (_, task) -> task.spec.id }
        val used =
            live.groupBy { (_, task) -> task.spec.team }.mapValues { (_, ofTeam) ->
                ofTeam.fold(Resources.NONE) { sum, (_, task) -> sum + task.spec.need }
            }
        val sound = workers.filter { isSound(it, now) }
        periods.keys.retainAll(open.mapTo(HashSet()) { it.id })
        return open.filter { spec ->
            val present = byJob[spec.id].orEmpty()
            val ids = present.mapTo(HashSet()) { (_, task) -> task.id }
            val missing = (0 until spec.tasks).map { "${spec.id}/$it" }.filter { it !in completed && it !in ids }
            val count = if (spec.kind == JobKind.GANG) spec.tasks else 1
            val waits =
                missing.isNotEmpty() &&
                    (spec.kind != JobKind.GANG || present.isEmpty()) &&
                    !above(spec, count, used[spec.team] ?: Resources.NONE) &&
                    fits(spec, count, sound, present.groupingBy { (worker, _) -> worker.box.zone }.eachCount())
            if (!waits) periods -= spec.id
            waits && waitingSince(spec.id, missing to ids, now).let { now - it > mostMs }
        }
    }

    private fun isSound(worker: FakeWorker, now: Long): Boolean {
        val reachable = now >= maxOf(worker.cutUntil, worker.deafUntil, worker.muteUntil)
        return worker.holds(now) && !worker.silent(now) && worker.noticeS == null && !worker.faulty && reachable
    }

    /** Since when the job waits with the same tasks missing and the same ones present. */
    private fun waitingSince(id: String, state: Any, now: Long): Long {
        val period = periods[id]?.takeIf { it.state == state } ?: WaitingPeriod(state, now).also { periods[id] = it }
        return period.since
    }

    /** Whether [count] more tasks would exceed the team's limit; a limit of 0 is none. */
    private fun above(spec: JobSpec, count: Int, used: Resources): Boolean {
        val limit = limits[spec.team] ?: return false
        val gpusExceeded = limit.gpus > 0 && used.gpus + spec.need.gpus * count > limit.gpus
        val cpusExceeded = limit.cpus > 0 && used.cpus + spec.need.cpus * count > limit.cpus
        return gpusExceeded || cpusExceeded
    }

    /** Whether [count] more tasks find room; [mates]: how many the job has in each zone. */
    private fun fits(spec: JobSpec, count: Int, workers: List<FakeWorker>, mates: Map<String, Int>): Boolean {
        val byZone = workers.filter { mayRunOn(spec, it.box) }.groupBy { it.box.zone }
        val room =
            byZone.mapValues { (zone, ofZone) ->
                val total = ofZone.sumOf { places(it.used(), it.box.size, spec.need, count) }
                if (spec.spread) minOf(total, (spec.tasks + 1) / 2 - (mates[zone] ?: 0)) else total
            }
        if (spec.oneZone) return room.any { (zone, places) -> places >= count && mates.keys.all { it == zone } }
        return room.values.sumOf { maxOf(it, 0) } >= count
    }

    private fun mayRunOn(spec: JobSpec, box: MachineSpec) =
        (!box.spot || spec.spot) && (spec.zone == null || spec.zone == box.zone) && spec.types?.contains(box.type) != false

    /** How many tasks, [most] at most, fit on a machine of [size] beside what is [used]. */
    private fun places(used: Resources, size: Resources, need: Resources, most: Int): Int =
        generateSequence(used + need) { it + need }.take(most).takeWhile { it.fitsIn(size) }.count()
}
