package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.honeyjunction.fake.FakeWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Every team is at its limit while jobs are cancelled whose machines can't be asked, and the leader changes; [SimulatedCluster] asserts
 * the rules after every step.
 */
class TeamLimitFaultsTest {
    enum class MachineFault(val inject: SimulatedCluster.(List<FakeWorker>) -> Unit) {
        HANG({ all -> all.forEach { it.hungUntil = now + 8_000 } }),
        HANG_BEYOND_LEASE({ all -> all.forEach { it.hungUntil = now + 20_000 } }),
        CUT({ all -> all.forEach { it.cutUntil = now + 9_000 } }),
        CUT_BEYOND_LEASE({ all -> all.forEach { it.cutUntil = now + 22_000 } }),
        DEAF({ all -> all.forEach { it.deafUntil = now + 16_000 } }),
        DEAD({ all -> all.forEach { it.dead = true } }),
    }

    private enum class LeaderFault(val inject: SimulatedCluster.() -> Unit) {
        HAND_OVER({ handOver() }),
        CRASH({ crash() }),
        CUT_OFF({ isolateLeader() }),
        TWICE({
            handOver()
            after(1_500) { handOver() }
        }),
    }

    /**
     * When users call their jobs off: long enough before the change for the records to be moved, at the change, or later, at
     * whoever leads.
     */
    private enum class Cancelled(val beforeMs: Long, val afterMs: Long) { BEFORE(900, 0), AT_THE_CHANGE(30, 0), AFTER(0, 700) }

    private fun SimulatedCluster.live(team: String) =
        workers.values.filter { it.holds(now) }.sumOf { worker ->
            worker.tasks.values
                .filter { it.live && it.spec.team == team }
                .sumOf { it.spec.need.gpus }
        }

    private fun SimulatedCluster.on(worker: FakeWorker, ids: List<String>) =
        worker.holds(now) && worker.tasks.values.any { it.live && it.spec.id in ids }

    private fun play(machineFault: MachineFault, leaderFault: LeaderFault, cancelled: Cancelled, seed: Long) {
        val name = "$machineFault, $leaderFault, cancelled $cancelled, seed $seed"
        val cluster = SimulatedCluster(seed, capacity = 12, setup = ClusterSetup(limits = mapOf("a" to 8.0, "b" to 12.0)))
        cluster.elect()
        cluster.network.delayedCommandPercent = 5
        val cancelledJobs =
            listOf(
                cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 1e6),
                cluster.submit(2, JobKind.GANG, 2, "b", gpus = 4, seconds = 1e6),
                cluster.submit(3, JobKind.ARRAY, 2, "b", seconds = 1e6),
            )
        val others =
            listOf(
                cluster.submit(4, JobKind.ARRAY, 4, "a", seconds = 40.0, checkpoint = 4.0),
                cluster.submit(5, JobKind.SERVICE, 2, "b", priority = Priority.PRODUCTION),
            )
        cluster.run(26_000)
        // More than the limits take waits for what gets free; of the gang, the limit's part is kept.
        val waiting =
            listOf(
                cluster.submit(6, JobKind.ARRAY, 9, "a", seconds = 9.0),
                cluster.submit(7, JobKind.ARRAY, 12, "b", seconds = 8.0),
                cluster.submit(8, JobKind.GANG, 2, "b", gpus = 4, seconds = 12.0, priority = Priority.HIGH),
                cluster.submit(9, JobKind.GANG, 2, "a", gpus = 2, seconds = 9.0),
            )
        cluster.run(1_500)
        assertEquals(listOf(8.0, 12.0), listOf(cluster.live("a"), cluster.live("b")), "$name: at their limits")
        val silent = cluster.workers.values.filter { cluster.on(it, cancelledJobs) }.filterIndexed { i, _ -> i % 3 < 2 }
        assertTrue(silent.isNotEmpty(), name)
        machineFault.inject(cluster, silent)
        if (cancelled.beforeMs > 0) {
            cancelledJobs.forEach(cluster::cancelUntilConfirmed)
            cluster.run(cancelled.beforeMs)
        }
        val held = silent.any { cluster.on(it, cancelledJobs) } || machineFault == MachineFault.DEAD
        leaderFault.inject(cluster)
        cluster.run(cancelled.afterMs)
        if (cancelled.afterMs > 0) cancelledJobs.forEach(cluster::cancelUntilConfirmed)
        assertTrue(held, "$name: what was cancelled is still on machines that can't be asked")
        cluster.run(40_000)
        cluster.network.delayedCommandPercent = 0
        cluster.requireWorkConservation()
        cluster.run(230_000)
        assertEquals(emptyList<String>(), cluster.broken, name)
        assertEquals(
            emptyList<String>(),
            cancelledJobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.CANCELLED },
            "$name: cancelled",
        )
        assertEquals(
            emptyList<String>(),
            (waiting + others[0]).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
            "$name: done",
        )
        assertEquals(2, cluster.runningTaskCount(others[1]), name)
    }

    @ParameterizedTest
    @EnumSource
    fun `teams at their limits, a burst of cancellations, unreachable machines and a failover`(machineFault: MachineFault) {
        for (leaderFault in LeaderFault.entries) {
            for (cancelled in Cancelled.entries) {
                for (seed in 1L..2L) {
                    play(
                        machineFault,
                        leaderFault,
                        cancelled,
                        seed + 10 * leaderFault.ordinal,
                    )
                }
            }
        }
    }

    /**
     * None of the leaders is there for long enough to see a lease end, and a machine that hangs keeps its tasks beyond its
     * own: only a release is sure.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a task cancelled on a hanging machine ends in time across failovers`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 8)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 1e6)
        cluster.submit(2, JobKind.SERVICE, 6, "b")
        cluster.run(18_000)
        val there = cluster.workers.values.filter { m -> m.tasks.values.any { it.live && it.spec.id == job } }.take(1)
        there.forEach { it.hungUntil = cluster.now + 100_000 }
        cluster.cancelUntilConfirmed(job)
        cluster.run(1_000)
        val since = cluster.history.cancelledAt.getValue(job)
        var changes = 0
        while (cluster.now < since + 36_500) {
            cluster.run(500)
            if (cluster.now / 8_000 > (cluster.now - 500) / 8_000) cluster.handOver().also { changes++ }
        }
        assertTrue(changes >= 4)
        assertEquals(emptyList<String>(), there.filter { it.name in cluster.workers }.map { it.name }, "released")
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The leader ends at the very moment at which its page names a start that it has not sent, and when what it sent was not answered. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `a start that was recorded and never sent counts until there is evidence, and is repeated`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 4, setup = ClusterSetup(limits = mapOf("a" to 4.0, "b" to 4.0)))
        cluster.elect()
        val first = cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 6.0)
        var met = 0
        val jobs = ArrayList<String>()
        repeat(3) { round ->
            jobs += cluster.submit(10 + round, JobKind.ARRAY, 6, "a", seconds = 5.0)
            // Until some page names what is on no machine and was on none.
            for (step in 0 until 2_000) {
                cluster.run(20)
                val named = cluster.state.pages.values.flatMap { it.first.starts }.filter { it.job in cluster.state.jobs }
                val unsent =
                    named.filter { s ->
                        cluster.workers.values.none { m -> "${s.job}/${s.number}" in m.tasks } &&
                            "${s.job}/${s.number}" !in cluster.history.starts
                    }
                if (unsent.isEmpty()) continue
                met++
                // What is on its way gets there or does not: the machines of half of them are cut.
                if (seed % 2 == 0L) cluster.workers[unsent[0].machine]?.cutUntil = cluster.now + 6_000
                cluster.handOver()
                break
            }
            cluster.run(4_000)
        }
        assertEquals(3, met, "recorded, not sent")
        cluster.run(10_000)
        cluster.requireWorkConservation()
        cluster.run(140_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), (jobs + first).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
    }
}
