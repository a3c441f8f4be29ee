package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase

/** The health of a zone as a whole: many machines that become unresponsive together are one event, not hundreds. */
enum class ZoneHealth {
    HEALTHY,

    /** Most of its machines are unresponsive: it is taken to be cut off, and its machines to come back with their caches. */
    PARTITIONED,

    /** Its machines report again, but not yet all. */
    RECOVERING,
}

/** Derives the health of each zone from the heartbeats of its machines. Times are monotonic milliseconds. */
class ZoneHealthMonitor(private val state: ClusterState, private val startedAt: Long) {
    private class Zone(startedAt: Long) {
        var health = ZoneHealth.HEALTHY
        var since = startedAt

        /**
         * Of the latest partition: when it began and ended, the most machines that were unresponsive at once, and the fewest that
         * were responsive.
         */
        var partitionedAt = Long.MAX_VALUE
        var recoveredAt = Long.MIN_VALUE / 2
        var mostUnresponsive = 0
        var fewestResponsive = Int.MAX_VALUE
    }

    private val zones = List(state.cluster.zones.size) { Zone(startedAt) }
    private var nextAt = startedAt

    operator fun get(zone: Int): ZoneHealth = zones.getOrNull(zone)?.health ?: ZoneHealth.HEALTHY

    /** The only function that changes a zone's health. */
    private fun enter(index: Int, next: ZoneHealth, now: Long) {
        val zone = zones[index]
        logChange(index, next, now)
        if (next == ZoneHealth.PARTITIONED && zone.health == ZoneHealth.HEALTHY) zone.partitionedAt = now
        if (next == ZoneHealth.PARTITIONED) {
            zone.mostUnresponsive = 0
            zone.fewestResponsive = Int.MAX_VALUE
        }
        if (zone.health == ZoneHealth.PARTITIONED) zone.recoveredAt = now
        zone.health = next
        zone.since = now
    }

    private fun logChange(index: Int, next: ZoneHealth, now: Long) {
        val zone = zones[index]
        val phases =
            state.machines
                .filter { it.zone == index }
                .groupingBy { it.phase }
                .eachCount()
                .toSortedMap()
        val name = state.cluster.zones.name(index)
        val afterS = (now - zone.since) / 1000
        state.effects += Effect.LogEvent("zone-health-changed", "$name: ${zone.health} -> $next after $afterS s, $phases")
    }

    /** Evaluates all zones, at most once in [PERIOD_MS]. */
    fun step(now: Long) {
        if (now < nextAt) return
        nextAt = now + PERIOD_MS
        val present = IntArray(zones.size)
        val unresponsive = IntArray(zones.size)
        for (machine in state.machines) {
            if (machine.zone !in zones.indices || machine.phase !in PRESENT) continue
            present[machine.zone]++
            if (unresponsive(machine, now)) unresponsive[machine.zone]++
        }
        zones.indices.forEach { evaluate(it, present[it], unresponsive[it], now) }
    }

    private fun evaluate(index: Int, present: Int, unresponsive: Int, now: Long) {
        val zone = zones[index]
        when (zone.health) {
            ZoneHealth.HEALTHY -> if (partitioned(present, unresponsive)) enter(index, ZoneHealth.PARTITIONED, now)
            ZoneHealth.PARTITIONED -> evaluatePartition(index, present, unresponsive, now)
            ZoneHealth.RECOVERING -> {
                val settled = now - zone.since > state.cluster.heartbeatIntervalMs * OVERDUE_HEARTBEATS
                val next = if (partitioned(present, unresponsive)) ZoneHealth.PARTITIONED else ZoneHealth.HEALTHY
                if (settled) enter(index, next, now)
            }
        }
    }

    private fun partitioned(present: Int, unresponsive: Int) = present >= MIN_MACHINES && unresponsive * 2 > present

    private fun evaluatePartition(index: Int, present: Int, unresponsive: Int, now: Long) {
        val zone = zones[index]
        zone.mostUnresponsive = maxOf(zone.mostUnresponsive, unresponsive)
        zone.fewestResponsive = minOf(zone.fewestResponsive, present - unresponsive)
        // Once a tenth of them reports again, the others will within a heartbeat period. Machines that were declared dead
        // meanwhile do not count as recovered.
        val recovered = present - unresponsive - zone.fewestResponsive
        if (present == 0) {
            enter(index, ZoneHealth.HEALTHY, now)
        } else if (recovered * RECOVERY_DIVISOR >= zone.mostUnresponsive) {
            enter(index, ZoneHealth.RECOVERING, now)
        }
    }

    /** Whether [machine] has missed its heartbeats, so that nothing should rely on it now. */
    fun unresponsive(machine: Machine, now: Long): Boolean =
        when (machine.phase) {
            MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE -> true
            MachinePhase.UNCONFIRMED -> heartbeatOverdue(machine, now)
            MachinePhase.BOOTING, MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.RELEASING, MachinePhase.GONE -> false
        }

    /** Answers to commands do not count: they renew no lease, so tasks started there meanwhile would be lost with the lease. */
    fun heartbeatOverdue(machine: Machine, now: Long) =
        elapsedMs(machine, machine.lastHeartbeatAt, now) > state.cluster.heartbeatIntervalMs * OVERDUE_HEARTBEATS

    /** How long no message of [machine] has come, neither a heartbeat nor the answer to a command. */
    fun sinceLastContactMs(machine: Machine, now: Long) = elapsedMs(machine, machine.lastContactAt, now)

    /** While this process was suspended it could receive nothing, so that the time before does not count. */
    private fun elapsedMs(machine: Machine, since: Long, now: Long) =
        now - maxOf(maxOf(since, machine.knownSince), maxOf(startedAt, state.leaseGuard.resumedAt))

    /** Whether [machine] was rented during a partition that has healed since: it may not be needed any more. */
    fun rentedDuringPartition(machine: Machine, now: Long): Boolean =
        zones.any {
            machine.knownSince in it.partitionedAt..it.recoveredAt && now - it.recoveredAt < SCALE_IN_WINDOW_MS
        }

    private companion object {
        const val PERIOD_MS = 250L

        /** In heartbeat periods: a heartbeat may be a little late, or lost once. */
        const val OVERDUE_HEARTBEATS = 2.25

        /** A zone with fewer machines is never taken to be partitioned. */
        const val MIN_MACHINES = 3

        /** A partition ends when one in this many of its unresponsive machines reports again. */
        const val RECOVERY_DIVISOR = 10

        /** How long after a partition the machines rented meanwhile may be returned before they are up. */
        const val SCALE_IN_WINDOW_MS = 20_000L
        val PRESENT =
            setOf(MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED, MachinePhase.UNREACHABLE, MachinePhase.DRAINING)
    }
}
