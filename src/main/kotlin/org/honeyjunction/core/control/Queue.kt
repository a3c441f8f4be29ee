package org.honeyjunction.core.control

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.mayUse
import org.honeyjunction.core.model.zonesFor
import org.honeyjunction.core.placement.Room
import org.honeyjunction.core.placement.Row
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TeamShare

/** Turns the state into what rounds and the planner read. */
class Queue(private val state: ClusterState) {
    /** The waiting tasks within the teams' limits; those of [owner] only, unless it is null. */
    fun rows(now: Long, limit: Int, owner: (Job) -> Boolean = { true }): List<Row> {
        markGuaranteed()
        val left = HashMap<Int, Resources>()
        val rows = ArrayList<Row>()
        val ordered = state.active.values.sortedWith(
            compareByDescending<Job> { it.spec.priority }.thenByDescending { it.guaranteed }.thenBy { it.createdAt },
        )
        for (job in ordered) {
            if (!job.startable || job.notBefore > now || !owner(job)) continue
            if (rows.size >= limit) break
            addRows(job, now, limit, left, rows)
        }
        return rows
    }

    private fun addRows(job: Job, now: Long, limit: Int, left: MutableMap<Int, Resources>, rows: MutableList<Row>) {
        var waiting = job.tasks.filter { !it.done && it.placements.isEmpty() }
        val gang = job.spec.kind == JobKind.GANG
        if (gang && waiting.size < job.tasks.count { !it.done }) return
        var use = left.getOrPut(job.team) { state.usage(job.team) }
        val team = state.cluster.teams[job.team]
        if (gang && (!team.allows(use + job.spec.need * waiting.size) || waiting.size > limit)) return
        if (!gang) waiting = waiting.take(limit - rows.size)
        val types = types(job)
        val zones = state.zonesNow(job, null) and allZones(job)
        val zoneRoom = if (job.spec.spread && job.spec.tasks > 1) state.spreadRoom(job) else null
        for (task in waiting) {
            if (!team.allows(use + job.spec.need)) break
            use += job.spec.need
            rows += Row(
                job.index, task.number, job.team, job.spec.priority, now - task.waitingSince, job.spec.need,
                job.image, job.spec.imageGb, zones, types, job.spec.spot, job.spec.oneZone && job.spec.tasks > 1,
                if (gang) waiting.size else 0, job.guaranteed, zoneRoom,
            )
        }
        left[job.team] = use
    }

    /** The row that [task] would be if it had to be placed elsewhere. */
    fun row(task: Task, now: Long): Row = sample(task.job).copy(
        task = task.number, waitingMs = now - task.waitingSince,
        zones = state.zonesNow(task.job, task) and allZones(task.job), guaranteed = task.job.guaranteed,
    )

    /** A row like the job's tasks, for the forecast. */
    fun sample(job: Job): Row = Row(
        job.index, 0, job.team, job.spec.priority, 0, job.spec.need, job.image, job.spec.imageGb,
        allZones(job), types(job), job.spec.spot, false, 0, true,
    )

    private fun types(job: Job): Long =
        state.cluster.types.entries.fold(0L) { mask, (i, t) -> if (job.spec.mayUse(t)) mask or (1L shl i) else mask }

    private fun allZones(job: Job): Long =
        state.cluster.types.values.filter(job.spec::mayUse).fold(0L) { m, t -> m or state.cluster.zonesFor(job.spec, t) }

    /** A job lies within the guarantee if it fits into it together with its team's earlier unfinished jobs. */
    private fun markGuaranteed() {
        val use = HashMap<Int, Resources>()
        for (job in state.active.values.sortedBy { it.createdAt }) {
            val sum = use.getOrDefault(job.team, Resources.NONE) + job.spec.need * job.spec.tasks
            job.guaranteed = state.cluster.teams[job.team].guarantees(sum)
            use[job.team] = sum
        }
    }

    fun summary(now: Long, limit: Int, owner: (Job) -> Boolean): Summary {
        val rooms = state.machines.filter { it.usable && it.type >= 0 && it.address != null }.map { m ->
            room(m, now)
        }
        val running = IntArray(state.cluster.teams.size)
        state.liveMachines.forEach { m -> m.placements.values.forEach { running[it.task.job.team]++ } }
        val teams = state.cluster.teams.mapIndexed { i, t -> TeamShare(weight(t.guarantee), running[i]) }
        val smallest = state.active.values.map { it.spec.need }.minByOrNull { it.gpus * 1000 + it.cpus }
        val slots = if (smallest == null) 0 else state.machines
            .filter { it.phase == MachinePhase.UP }
            .sumOf { m -> smallest.countIn(state.cluster.types[m.type]?.size ?: Resources.NONE).coerceAtMost(1000) }
        return Summary(rooms.filter { it.free.fitsAnything() }, teams, slots, rows(now, limit, owner))
    }

    fun room(m: Machine, now: Long) =
        Room(m.index, state.room(m), m.type, m.zone, m.spot, m.images.keys.toIntArray(), m.floorAt(now), fetchingGb(m))

    private fun fetchingGb(m: Machine): Double = m.placements.values.filter { it.phase <= Phase.FETCHING && it.phase != Phase.UNHEARD }
        .distinctBy { it.task.job.image }.sumOf { it.task.job.spec.imageGb }

    private fun weight(r: Resources) = if (r.gpus > 0) r.gpus else r.cpus

    private fun Resources.fitsAnything() = cpus > 1e-6 && memoryGb > 1e-6
}
