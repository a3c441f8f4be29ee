package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.capacity.TaskDemand
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.mayUse
import org.honeyjunction.core.model.zonesFor
import org.honeyjunction.core.placement.FirstFitEstimate
import org.honeyjunction.core.placement.TaskRow

/** Makes the rows of the placement matrix out of jobs and tasks. */
class TaskRows(private val state: ClusterState) {
    /** A row with what all tasks of [job] have in common, whatever runs at this moment. */
    fun template(job: Job): TaskRow =
        TaskRow(
            job = job.index,
            task = 0,
            team = job.team,
            priority = job.spec.priority,
            waitingMs = 0,
            need = job.spec.need,
            image = job.image,
            imageGb = job.spec.imageGb,
            zones = offeredZones(job),
            types = usableTypes(job),
            spot = job.spec.spot,
            oneZone = false,
            gangOf = 0,
            guaranteed = true,
            shape = job.shape,
        )

    /** The row of [job]'s first waiting task as things stand now. */
    fun firstWaiting(job: Job, now: Long): TaskRow {
        val task = job.tasks[job.waiting.nextSetBit(0)]
        val severalTasks = job.spec.tasks > 1
        return template(job).copy(
            task = task.number,
            waitingMs = now - task.waitingSince,
            zones = state.openZones(job, null) and offeredZones(job),
            oneZone = (job.spec.oneZone || state.book.mustShareZone(job.shape)) && severalTasks,
            gangOf = if (job.spec.kind == JobKind.GANG) job.waiting.cardinality() else 0,
            guaranteed = job.guaranteed,
            zoneRoom = if (job.spec.spread && severalTasks) state.openPerZone(job) else null,
            late = job.missesDeadline(now),
            mates = state.siblingPlaces(job, null),
        )
    }

    /** The row that [task], which may be on a machine, would be if it had to be placed elsewhere. */
    fun relocation(task: Task, now: Long): TaskRow =
        template(task.job).copy(
            task = task.number,
            waitingMs = now - task.waitingSince,
            zones = state.openZones(task.job, task) and offeredZones(task.job),
            guaranteed = task.job.guaranteed,
            mates = state.siblingPlaces(task.job, task),
        )

    /**
     * The rows of [demands], task by task, [limit] at most: those that there is room for, then others in their order, which
     * may make better use of it. Cut by their order alone, the first rows may be such that no machine takes, and nothing
     * else would ever be considered. A gang that would be cut is left out, but not for being larger than the limit.
     */
    fun select(demands: List<TaskDemand>, fitting: FirstFitEstimate, now: Long, limit: Int): List<TaskRow> {
        val rows = ArrayList<TaskRow>()
        val selected = IntArray(demands.size)
        demands.forEachIndexed { i, demand ->
            val gangOf = demand.sample.gangOf
            val left = limit - rows.size
            if (left <= 0 || gangOf > left && rows.size > limit / 2) return@forEachIndexed
            selected[i] = fitting.take(demand.sample, if (gangOf > 0) demand.count else minOf(demand.count, left))
            append(rows, demand, 0, selected[i], now)
        }
        demands.forEachIndexed { i, demand ->
            val more = minOf(demand.count - selected[i], limit - rows.size)
            if (demand.sample.gangOf == 0) append(rows, demand, selected[i], more, now)
        }
        return rows
    }

    /** Appends [count] rows for the job's waiting tasks after the first [skip]. */
    private fun append(rows: MutableList<TaskRow>, demand: TaskDemand, skip: Int, count: Int, now: Long) {
        if (count <= 0) return
        val job = state.jobAt(demand.sample.job) ?: return
        var number = job.waiting.nextSetBit(0)
        repeat(skip) { number = job.waiting.nextSetBit(number + 1) }
        repeat(count) {
            rows += demand.sample.copy(task = number, waitingMs = now - job.tasks[number].waitingSince)
            number = job.waiting.nextSetBit(number + 1)
        }
    }

    /** The machine types that [job] may use, as a bit mask. */
    private fun usableTypes(job: Job): Long =
        state.cluster.types.entries.fold(0L) { mask, (index, type) -> if (job.spec.mayUse(type)) mask or (1L shl index) else mask }

    /** The zones in which some type that [job] may use is offered, as a bit mask. */
    private fun offeredZones(job: Job): Long =
        state.cluster.types.values
            .filter(job.spec::mayUse)
            .fold(0L) { mask, type -> mask or state.cluster.zonesFor(job.spec, type) }
}
