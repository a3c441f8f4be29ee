package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase

/** The health of a zone as a whole: many machines that become unresponsive together are handled as one event. */
enum class ZoneHealth {
    /** Most machines of the zone are responsive, or the zone has too few machines to tell. */
    HEALTHY,

    /** Most machines are unresponsive: the zone is considered cut off, and its machines are expected back with their caches. */
    PARTITIONED,

    /** Some machines that were unresponsive report again, but not yet all. */
    RECOVERING,
}

/** Derives the health of each zone from the heartbeats of its machines. Times are monotonic milliseconds. */
class ZoneHealthMonitor(private val state: ClusterState, private val startedAt: Long) {
    private class Zone(startedAt: Long) {
        var health = ZoneHealth.HEALTHY
        var since = startedAt

        /** When the latest partition began. */
        var partitionedAt = Long.MAX_VALUE

        /** When the latest partition ended. */
        var recoveredAt = Long.MIN_VALUE / 2

        /** The highest number of machines that were unresponsive at once in the latest partition. */
        var mostUnresponsive = 0

        /** The lowest number of machines that were responsive at once in the latest partition. */
        var fewestResponsive = Int.MAX_VALUE
    }

    private val zones = List(state.cluster.zones.size) { Zone(startedAt) }
    private var nextEvaluationAt = startedAt

    /** The health of the zone with the dense index [zone]. */
    operator fun get(zone: Int): ZoneHealth = zones.getOrNull(zone)?.health ?: ZoneHealth.HEALTHY

    /** Changes the health of the zone at [index] to [next]; no other function changes it. */
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

    /** Evaluates all zones, at most once per [PERIOD_MS]. */
    fun step(now: Long) {
        if (now < nextEvaluationAt) return
        nextEvaluationAt = now + PERIOD_MS
        val present = IntArray(zones.size)
        val unresponsive = IntArray(zones.size)
        for (machine in state.machines) {
            if (machine.zone !in zones.indices || machine.phase !in COUNTED_PHASES) continue
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
        // Once a tenth of the unresponsive machines report again, the others follow within a heartbeat period. Machines that were
        // declared dead during the partition do not count as recovered; if no unresponsive one is left, there is none to wait for.
        val recovered = present - unresponsive - zone.fewestResponsive
        if (present == 0) {
            enter(index, ZoneHealth.HEALTHY, now)
        } else if (unresponsive == 0 || recovered * RECOVERY_DIVISOR >= zone.mostUnresponsive) {
            enter(index, ZoneHealth.RECOVERING, now)
        }
    }

    /** Whether [machine] has missed its heartbeats, so that no task should be started there. */
    fun unresponsive(machine: Machine, now: Long): Boolean =
        when (machine.phase) {
            MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE -> true
            MachinePhase.UNCONFIRMED -> heartbeatOverdue(machine, now)
            MachinePhase.BOOTING, MachinePhase.UP, MachinePhase.DRAINING, MachinePhase.RELEASING, MachinePhase.GONE -> false
        }

    /**
     * Whether the heartbeats of [machine] are overdue. Answers to commands do not count as heartbeats: they renew no lease, so that
     * tasks started on [machine] would be lost when the lease expires.
     */
    fun heartbeatOverdue(machine: Machine, now: Long) =
        elapsedMs(machine, machine.lastHeartbeatAt, now) > state.cluster.heartbeatIntervalMs * OVERDUE_HEARTBEATS

    /** Milliseconds since the last message of [machine], be it a heartbeat or the answer to a command. */
    fun sinceLastContactMs(machine: Machine, now: Long) = elapsedMs(machine, machine.lastContactAt, now)

    /** Milliseconds since [since], not counting the time before this process last resumed: while suspended it receives no messages. */
    private fun elapsedMs(machine: Machine, since: Long, now: Long) =
        now - maxOf(maxOf(since, machine.knownSince), maxOf(startedAt, state.leaseGuard.resumedAt))

    /** Whether [machine] was rented during a partition that has recently healed, so that its capacity may be surplus. */
    fun rentedDuringPartition(machine: Machine, now: Long): Boolean =
        zones.any {
            machine.knownSince in it.partitionedAt..it.recoveredAt && now - it.recoveredAt < SCALE_IN_WINDOW_MS
        }

    private companion object {
        const val PERIOD_MS = 250L

        /** Heartbeat periods after which a heartbeat is overdue: one heartbeat may be lost and the next one slightly late. */
        const val OVERDUE_HEARTBEATS = 2.25

        /** A zone with fewer machines is never considered partitioned. */
        const val MIN_MACHINES = 3

        /** A partition ends when one in this many of the zone's unresponsive machines reports again. */
        const val RECOVERY_DIVISOR = 10

        /** How long after a partition the machines rented during the partition may be released while they still boot. */
        const val SCALE_IN_WINDOW_MS = 20_000L

        /** Phases of the machines that count when the health of a zone is derived. */
        val COUNTED_PHASES =
            setOf(MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED, MachinePhase.UNREACHABLE, MachinePhase.DRAINING)
    }
}
