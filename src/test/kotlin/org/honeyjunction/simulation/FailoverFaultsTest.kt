package org.honeyjunction.simulation

import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** What reaches a new leader in its first seconds: old reports, and cancellations. */
class FailoverFaultsTest {
    private fun SimulatedCluster.live(id: String) =
        workers.values.filter { it.holds(now) }.sumOf { worker ->
            worker.tasks.values.count { it.live && it.spec.id == id }
        }

    /**
     * Tasks are stopped and started again on the machines that cache their images, and results are reaped, so that old
     * reports list what is not there any more.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `stale heartbeats are the first that a new leader gets from its machines`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 5, setup = ClusterSetup(limits = mapOf("a" to 12.0, "b" to 14.0)))
        cluster.elect()
        cluster.network.recordedHeartbeatPercent = 25
        cluster.network.repeatedHeartbeatPercent = 20
        val jobs = ArrayList<String>()
        repeat(7) { round ->
            jobs += cluster.submit(10 * round + 1, JobKind.ARRAY, 8, "a", seconds = 7.0, checkpoint = 1.0, priority = Priority.LOW)
            jobs += cluster.submit(10 * round + 2, JobKind.ARRAY, 8, "b", seconds = 1.0 + round % 3)
            cluster.run(5_000)
            jobs += cluster.submit(10 * round + 3, JobKind.GANG, 2, "b", gpus = 4, seconds = 2.0, priority = Priority.HIGH)
            cluster.run(3_500 + cluster.random.nextInt(1_500).toLong())
            when (round) {
                2 -> cluster.workers.values.firstOrNull { !it.dead }?.dead = true
                3 -> cluster.workers.values.firstOrNull { !it.dead }?.cutUntil = cluster.now + 15_000
                4 -> cluster.workers.values.firstOrNull { !it.dead }?.hungUntil = cluster.now + 6_000
            }
            // Half of the machines are known by old reports alone for a while.
            cluster.workers.values.filterIndexed { i, _ -> (i + round) % 2 == 0 }.forEach {
                it.hungUntil = maxOf(it.hungUntil, cluster.now + 3_500)
            }
            // Twice in a row: what the first was told late is told to the second as well.
            if (seed % 3 == 0L) cluster.crash() else cluster.handOver()
            if (round % 2 == 1) cluster.after(400) { cluster.handOver() }
        }
        assertTrue(cluster.staleFirstHeartbeats >= 5, "${cluster.staleFirstHeartbeats} machines were first heard by an old report")
        cluster.network.recordedHeartbeatPercent = 0
        cluster.network.repeatedHeartbeatPercent = 0
        cluster.run(30_000)
        cluster.requireWorkConservation()
        cluster.run(240_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
    }

    /**
     * The task was stopped and started once more on the same machine: the reports that are late tell of the first attempt
     * and of its end, and the machine hangs meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `stale heartbeats of an earlier attempt do not end the later one`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 6)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 1, "a", gpus = 3, seconds = 1e6)
        val other = cluster.submit(3, JobKind.ARRAY, 1, "b", gpus = 3, seconds = 18.0)
        cluster.run(16_000)
        val there = cluster.history.starts.getValue("$job/0")
        cluster.network.recordedHeartbeatPercent = 100
        cluster.run(2_500)
        cluster.leader!!.run {
            state.job(job)!!.tasks[0].evict()
            state.job(job)!!.notBefore = cluster.now + 6_000
        }
        cluster.run(6_000)
        assertEquals(0, cluster.live(job), "stopped")
        cluster.network.recordedHeartbeatPercent = 0
        cluster.run(2_500)
        val again = cluster.history.starts.getValue("$job/0")
        assertEquals(listOf(1, there.worker.name), listOf(cluster.live(job), again.worker.name))
        assertTrue(again.task.attempt > there.task.attempt && cluster.workers.size > 1)
        there.worker.hungUntil = cluster.now + 5_000
        cluster.handOver()
        cluster.run(9_000)
        assertTrue(cluster.staleFirstHeartbeats > 0)
        assertEquals(again.task.attempt, cluster.history.starts.getValue("$job/0").task.attempt, "it was not started again")
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(JobStage.DONE, cluster.state.terminalRecords[other]?.stage)
    }

    /**
     * From a second and a half before one controller's work changes hands to three seconds after it; jobs that run, fetch,
     * are on their way or were just accepted.
     */
    @ParameterizedTest(name = "{0} ms")
    @ValueSource(longs = [-1_500, -700, -300, -100, -40, 0, 20, 60, 120, 300, 700, 1_500, 3_000])
    fun `jobs are cancelled in the seconds around a failover`(offsetMs: Long) {
        for (change in listOf("hand over", "crash", "cut off", "hand over, deaf machines", "hand over, hanging machines")) {
            for (seed in 1L..3L) {
                val name = "$change, $offsetMs ms, seed $seed"
                val cluster =
                    SimulatedCluster(seed * 31 + offsetMs, capacity = 10, setup = ClusterSetup(limits = mapOf("a" to 12.0, "b" to 12.0)))
                cluster.elect()
                cluster.network.delayedCommandPercent = 15
                val running =
                    listOf(
                        cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 1e6),
                        cluster.submit(2, JobKind.GANG, 2, "b", gpus = 2, seconds = 1e6),
                    )
                val stays = cluster.submit(3, JobKind.ARRAY, 4, "b", seconds = 12.0)
                cluster.run(20_000)
                val begin = cluster.now + 3_000
                // Accepted at moments such that some are reserved, recorded, sent or fetching when the leader changes.
                val fresh =
                    listOf(1_400L, 900, 450, 250, 120, 60, 20).mapIndexed { i, before ->
                        cluster.after(begin - before - cluster.now) {
                            cluster.submit(
                                10 + i,
                                JobKind.ARRAY,
                                1,
                                if (i % 2 == 0) "a" else "b",
                                seconds = 1e6,
                            )
                        }
                        "j-${10 + i}"
                    }
                val cancelled = running + fresh
                cluster.after(
                    begin + offsetMs - cluster.now,
                ) { cancelled.filter { it in cluster.state.jobs }.forEach(cluster::cancelUntilConfirmed) }
                cluster.after(begin - cluster.now) {
                    val half = cluster.workers.values.filterIndexed { i, _ -> i % 2 == 0 }
                    if ("deaf" in change) half.forEach { it.deafUntil = cluster.now + 15_000 }
                    if ("hanging" in change) half.forEach { it.hungUntil = cluster.now + 7_000 }
                    when {
                        "hand over" in change -> cluster.handOver()
                        change == "crash" -> cluster.crash()
                        else -> cluster.isolateLeader()
                    }
                }
                cluster.run(3_000 + SimulatedCluster.LEADER_LEASE_MS + 3_200)
                // Those that came after the moment are called off as well, so that all end.
                cancelled.forEach(cluster::cancelUntilConfirmed)
                cluster.run(45_000)
                cluster.network.delayedCommandPercent = 0
                assertEquals(
                    emptyList<String>(),
                    cancelled.filter { cluster.state.terminalRecords[it]?.stage != JobStage.CANCELLED },
                    "$name: confirmed",
                )
                assertEquals(0, cancelled.sumOf { cluster.live(it) }, name)
                cluster.requireWorkConservation()
                cluster.run(100_000)
                assertEquals(JobStage.DONE, cluster.state.terminalRecords[stays]?.stage, name)
                assertEquals(emptyList<String>(), cluster.broken, name)
            }
        }
    }
}
