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

/** Builds the rows of the placement matrix from jobs and tasks. */
class TaskRows(private val state: ClusterState) {
    /** A row with the values that all tasks of [job] share, independent of the tasks that run now. */
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
            gangSize = 0,
            guaranteed = true,
            shape = job.shape,
        )

    /** The row of [job]'s first waiting task, given where the job's other tasks are now. */
    fun firstWaiting(job: Job, now: Long): TaskRow {
        val task = job.tasks[job.waiting.nextSetBit(0)]
        val severalTasks = job.spec.tasks > 1
        return template(job).copy(
            task = task.number,
            waitingMs = now - task.waitingSince,
            zones = state.openZones(job, null) and offeredZones(job),
            oneZone = (job.spec.oneZone || state.ruleBook.mustShareZone(job.shape)) && severalTasks,
            gangSize = if (job.spec.kind == JobKind.GANG) job.waiting.cardinality() else 0,
            guaranteed = job.guaranteed,
            remainingPerZone = if (job.spec.spread && severalTasks) state.openPerZone(job) else null,
            late = job.missesDeadline(now),
            mates = state.siblingPlaces(job, null),
        )
    }

    /** The row for placing [task], which may be on a machine, on another machine. */
    fun relocation(task: Task, now: Long): TaskRow =
        template(task.job).copy(
            task = task.number,
            waitingMs = now - task.waitingSince,
            zones = state.openZones(task.job, task) and offeredZones(task.job),
            guaranteed = task.job.guaranteed,
            mates = state.siblingPlaces(task.job, task),
        )

    /**
     * At most [limit] rows of [demands], one for each task: first the rows that fit into the free capacity, then the other
     * rows in queue order, which may use it better. Taking the first rows in queue order alone would starve the others if no
     * machine can take the first ones. A gang that would be cut is left out, unless at most half of the rows are taken: a gang
     * larger than the limit is still considered.
     */
    fun select(demands: List<TaskDemand>, fitting: FirstFitEstimate, now: Long, limit: Int): List<TaskRow> {
        val rows = ArrayList<TaskRow>()
        val selected = IntArray(demands.size)
        demands.forEachIndexed { i, demand ->
            val gangOf = demand.sample.gangSize
            val left = limit - rows.size
            if (left <= 0 || gangOf > left && rows.size > limit / 2) return@forEachIndexed
            selected[i] = fitting.reserve(demand.sample, if (gangOf > 0) demand.count else minOf(demand.count, left))
            append(rows, demand, 0, selected[i], now)
        }
        demands.forEachIndexed { i, demand ->
            val more = minOf(demand.count - selected[i], limit - rows.size)
            if (demand.sample.gangSize == 0) append(rows, demand, selected[i], more, now)
        }
        return rows
    }

    /** Appends rows for [count] waiting tasks of the job, without its first [skip] ones. */
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
