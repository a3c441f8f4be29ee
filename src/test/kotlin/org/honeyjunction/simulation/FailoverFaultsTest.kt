package org.honeyjunction.simulation

import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Stale heartbeats and cancellations that reach a new leader in the first seconds of its term. */
class FailoverFaultsTest {
    /** Number of live tasks of the job [id] on workers with a valid lease. */
    private fun SimulatedCluster.liveTasks(id: String) =
        workers.values.filter { it.holds(now) }.sumOf { worker ->
            worker.tasks.values.count { it.live && it.spec.id == id }
        }

    /**
     * Tasks are stopped and started again on the machines that cache their images, and results of ended tasks are deleted, so
     * that a stale heartbeat lists tasks that the machine does not have any more.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `all jobs complete though the first heartbeats that a new leader gets from machines are stale`(seed: Long) {
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
            // For a while the new leader knows half of the machines from stale heartbeats alone.
            cluster.workers.values.filterIndexed { i, _ -> (i + round) % 2 == 0 }.forEach {
                it.hungUntil = maxOf(it.hungUntil, cluster.now + 3_500)
            }
            // Two failovers in a row: the second leader gets stale heartbeats too.
            if (seed % 3 == 0L) cluster.crash() else cluster.handOver()
            if (round % 2 == 1) cluster.after(400) { cluster.handOver() }
        }
        assertTrue(cluster.staleFirstHeartbeats >= 5, "the first heartbeat was stale for ${cluster.staleFirstHeartbeats} machines")
        cluster.network.recordedHeartbeatPercent = 0
        cluster.network.repeatedHeartbeatPercent = 0
        cluster.run(30_000)
        cluster.requireWorkConservation()
        cluster.run(240_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
    }

    /**
     * The task is stopped and started once more on the same machine. Stale heartbeats then report the first attempt and its end to
     * the new leader while the machine hangs.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `stale heartbeats of an earlier attempt do not end the later one`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 6)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 1, "a", gpus = 3, seconds = 1e6)
        val other = cluster.submit(3, JobKind.ARRAY, 1, "b", gpus = 3, seconds = 18.0)
        cluster.run(16_000)
        val firstStart = cluster.history.starts.getValue("$job/0")
        cluster.network.recordedHeartbeatPercent = 100
        cluster.run(2_500)
        cluster.leader!!.run {
            state.job(job)!!.tasks[0].evict()
            state.job(job)!!.notBefore = cluster.now + 6_000
        }
        cluster.run(6_000)
        assertEquals(0, cluster.liveTasks(job), "the first attempt was stopped")
        cluster.network.recordedHeartbeatPercent = 0
        cluster.run(2_500)
        val secondStart = cluster.history.starts.getValue("$job/0")
        assertEquals(listOf(1, firstStart.worker.name), listOf(cluster.liveTasks(job), secondStart.worker.name))
        assertTrue(secondStart.task.attempt > firstStart.task.attempt && cluster.workers.size > 1)
        firstStart.worker.hungUntil = cluster.now + 5_000
        cluster.handOver()
        cluster.run(9_000)
        assertTrue(cluster.staleFirstHeartbeats > 0)
        assertEquals(secondStart.task.attempt, cluster.history.starts.getValue("$job/0").task.attempt, "the task was not started again")
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(JobStage.DONE, cluster.state.terminalRecords[other]?.stage)
    }

    /**
     * Users cancel jobs from 1.5 s before the leader changes until 3 s after the change. The jobs' tasks run, fetch their images,
     * are being sent to workers, or have just been accepted.
     */
    @ParameterizedTest(name = "{0} ms")
    @ValueSource(longs = [-1_500, -700, -300, -100, -40, 0, 20, 60, 120, 300, 700, 1_500, 3_000])
    fun `jobs that are cancelled in the seconds around a failover stop, and their cancellation is recorded`(offsetMs: Long) {
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
                val uncancelled = cluster.submit(3, JobKind.ARRAY, 4, "b", seconds = 12.0)
                cluster.run(20_000)
                val failoverAt = cluster.now + 3_000
                // The jobs are accepted at intervals such that some are reserved, recorded, sent or fetching when the leader changes.
                val recentlyAccepted =
                    listOf(1_400L, 900, 450, 250, 120, 60, 20).mapIndexed { i, before ->
                        cluster.after(failoverAt - before - cluster.now) {
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
                val cancelled = running + recentlyAccepted
                cluster.after(
                    failoverAt + offsetMs - cluster.now,
                ) { cancelled.filter { it in cluster.state.jobs }.forEach(cluster::cancelUntilConfirmed) }
                cluster.after(failoverAt - cluster.now) {
                    val affected = cluster.workers.values.filterIndexed { i, _ -> i % 2 == 0 }
                    if ("deaf" in change) affected.forEach { it.deafUntil = cluster.now + 15_000 }
                    if ("hanging" in change) affected.forEach { it.hungUntil = cluster.now + 7_000 }
                    when {
                        "hand over" in change -> cluster.handOver()
                        change == "crash" -> cluster.crash()
                        else -> cluster.isolateLeader()
                    }
                }
                cluster.run(3_000 + SimulatedCluster.LEADER_LEASE_MS + 3_200)
                // Jobs accepted after the first cancellation requests are cancelled as well, so that all of them end.
                cancelled.forEach(cluster::cancelUntilConfirmed)
                cluster.run(45_000)
                cluster.network.delayedCommandPercent = 0
                assertEquals(
                    emptyList<String>(),
                    cancelled.filter { cluster.state.terminalRecords[it]?.stage != JobStage.CANCELLED },
                    "$name: jobs without a recorded cancellation",
                )
                assertEquals(0, cancelled.sumOf { cluster.liveTasks(it) }, name)
                cluster.requireWorkConservation()
                cluster.run(100_000)
                assertEquals(JobStage.DONE, cluster.state.terminalRecords[uncancelled]?.stage, name)
                assertEquals(emptyList<String>(), cluster.broken, name)
            }
        }
    }
}
