package org.honeyjunction.simulation

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.FakeWorker

/**
 * Reports each job that waits for more than [MAX_WAIT_MS] while suitable machines have room and its team is under its limit. The
 * check counts the tasks that really are on the machines, so that a wrong belief of the leader about them is detected. Unlike
 * `fake.WorkConservationCheck`, this check takes the jobs from the leader's state, and a change of a waiting job does not restart
 * its waiting time.
 */
class WorkConservationChecker(private val limits: Map<String, Resources>, private val reportViolation: (Long, String) -> Unit) {
    private class Running(val worker: FakeWorker, val task: FakeWorker.Task)

    private val waitingSince = HashMap<String, Long>()

    /** Checks the leader's [jobs] against the [workers] as they are [now]. */
    fun check(jobs: Collection<Job>, workers: Collection<FakeWorker>, now: Long) {
        val healthyWorkers = workers.filter { isHealthy(it, now) }
        val live = workers.filter { it.holds(now) }.flatMap { worker -> worker.tasks.values.filter { it.live }.map { Running(worker, it) } }
        val usedByTeam =
            live.groupBy { it.task.spec.team }.mapValues { (_, ofTeam) ->
                ofTeam.fold(Resources.NONE) { sum, running -> sum + running.task.spec.need }
            }
        val byJob = live.groupBy { it.task.spec.id }
        val startable =
            jobs.filter { job ->
                val used = usedByTeam[job.spec.team] ?: Resources.NONE
                !job.cancelRequested && isStartable(job, byJob[job.spec.id].orEmpty(), healthyWorkers, used)
            }
        val ids = startable.mapTo(HashSet()) { it.spec.id }
        waitingSince.keys.retainAll(ids)
        for (id in ids) {
            val since = waitingSince.getOrPut(id) { now }
            if (now - since > MAX_WAIT_MS) reportViolation(now, "waits: $id although machines have room, since $since")
        }
    }

    private fun isHealthy(worker: FakeWorker, now: Long) =
        !worker.silent(now) && now >= worker.cutUntil && now >= worker.deafUntil && worker.noticeS == null

    /** Whether one more task of [job] (of a gang, all of them) could be started now. */
    private fun isStartable(job: Job, present: List<Running>, workers: List<FakeWorker>, used: Resources): Boolean {
        val spec = job.spec
        val missing = spec.tasks - job.doneCount - present.count { !job.tasks[it.task.number].done }
        val gang = spec.kind == JobKind.GANG
        if (missing <= 0 || gang && present.isNotEmpty()) return false
        val count = if (gang) missing else 1
        val limit = limits[spec.team] ?: return false
        if (!(used + spec.need * count).fitsIn(Resources(Double.MAX_VALUE, limit.gpus, Double.MAX_VALUE))) return false
        val zones = present.groupingBy { it.worker.box.zone }.eachCount()
        val byZone = workers.filter { mayRunOn(spec, it, zones) }.groupBy { it.box.zone }
        val room = byZone.mapValues { (_, ofZone) -> ofZone.sumOf { spec.need.countIn(it.box.size - it.used()).coerceAtMost(count) } }
        return (if (spec.oneZone) room.values.maxOrNull() ?: 0 else room.values.sum()) >= count
    }

    /** [zones] counts the tasks that the job has in each zone. */
    private fun mayRunOn(spec: JobSpec, worker: FakeWorker, zones: Map<String, Int>): Boolean {
        val box = worker.box
        return when {
            box.spot && !spec.spot -> false
            spec.zone != null && spec.zone != box.zone -> false
            spec.types?.contains(box.type) == false -> false
            spec.oneZone && zones.isNotEmpty() -> zones.keys == setOf(box.zone)
            spec.spread -> (zones[box.zone] ?: 0) < (spec.tasks + 1) / 2
            else -> true
        }
    }

    companion object {
        /** Longest time that a job may wait while it could be started. */
        const val MAX_WAIT_MS = 90_000L
    }
}
