package org.honeyjunction.core.control

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.Preemption
import org.honeyjunction.core.placement.Row
import org.honeyjunction.core.placement.Running

/** Stops tasks for others that go before them. */
class MakingRoom(private val state: ClusterState, private val queue: Queue, private val fleet: Fleet) {
    fun preempt(now: Long) {
        val rows = queue.rows(now, MAX_ROWS).filter { it.waitingMs >= state.tuning.preemptAfterMs }
        if (rows.isEmpty()) return
        val machines = state.machines.filter { it.usable && it.type >= 0 }
        // Room that is being vacated counts as free: it was made for one of these rows.
        val free = HashMap<Int, Resources>()
        for (m in machines) {
            val leaving = m.placements.values.filter { it.stopping }.fold(Resources.NONE) { s, p -> s + p.task.job.spec.need }
            free[m.index] = state.room(m) + leaving
        }
        val unmet = fleet.unmet?.unmet.orEmpty().mapTo(HashSet()) { it.job }
        val running = machines.associate { m -> m.index to m.placements.values.filter { !it.stopping && it.phase.reported } }
        for (row in rows) {
            val rooms = machines.map { m -> queue.room(m, now).withFree(free.getValue(m.index)) }
            val ready = rooms.firstOrNull { row.allows(it) }
            if (ready != null) {
                free[ready.machine] = ready.free - row.need
                continue
            }
            val candidates = running.mapValues { (_, there) ->
                there.filter { !it.stopping && (row.job in unmet || cheap(row, it)) }.map { describe(it, now) }
            }
            val victims = Preemption.victims(row, rooms, candidates, ::fetchS)
            if (victims.isEmpty()) continue
            victims.forEach { it.of.task.yieldPlace() }
            val machine = victims.first().of.machine
            hold(machine, row, now)
            free[machine.index] = free.getValue(machine.index) + victims.fold(Resources.NONE) { s, v -> s + v.need } - row.need
        }
    }

    /** While machines can still be rented, only work that keeps its progress makes way. */
    private fun cheap(row: Row, p: Placement) =
        p.task.job.spec.priority < row.priority && p.task.job.spec.checkpointS > 0

    private fun hold(machine: Machine, row: Row, now: Long) {
        machine.floor = row.priority
        machine.floorUntil = now + HOLD_MS
    }

    private fun fetchS(machine: Int, row: Row): Double {
        val m = state.machines[machine]
        val rate = state.cluster.types[m.type]?.fetchGbPerS ?: return 0.0
        return if (row.image in m.images) 0.0 else row.imageGb / rate
    }

    private fun describe(p: Placement, now: Long): Running<Placement> {
        val job = p.task.job
        val ranS = if (p.phase == Phase.RUNNING) (now - p.since) / 1000.0 else 0.0
        val saves = job.spec.checkpointS > 0 && p.phase == Phase.RUNNING
        val lost = when {
            job.spec.kind == JobKind.SERVICE -> SERVICE_LOSS_S
            saves -> job.spec.saveS
            else -> ranS
        }
        // A start that is undone at once was none.
        val young = if (ranS < YOUNG_S) YOUNG_S else 0.0
        return Running(p, p.machine.index, job.team, job.spec.priority, job.guaranteed, job.spec.need, lost + young + RESTART_S)
    }

    private companion object {
        const val MAX_ROWS = 32
        const val HOLD_MS = 8_000L
        const val YOUNG_S = 30.0
        const val RESTART_S = 3.0
        const val SERVICE_LOSS_S = 60.0
    }
}
