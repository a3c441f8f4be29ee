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
 * All teams are at their limits while jobs on unreachable machines are cancelled and the leader changes. [SimulatedCluster] checks the
 * protocol's rules after every step.
 */
class TeamLimitFaultsTest {
    /** A fault of the machines that run the cancelled jobs. */
    enum class MachineFault(val inject: SimulatedCluster.(List<FakeWorker>) -> Unit) {
        HANG({ workers -> workers.forEach { it.hungUntil = now + 8_000 } }),
        HANG_BEYOND_LEASE({ workers -> workers.forEach { it.hungUntil = now + 20_000 } }),
        CUT({ workers -> workers.forEach { it.cutUntil = now + 9_000 } }),
        CUT_BEYOND_LEASE({ workers -> workers.forEach { it.cutUntil = now + 22_000 } }),
        DEAF({ workers -> workers.forEach { it.deafUntil = now + 16_000 } }),
        DEAD({ workers -> workers.forEach { it.dead = true } }),
    }

    /** How the leader changes. */
    private enum class LeaderFault(val inject: SimulatedCluster.() -> Unit) {
        HAND_OVER({ handOver() }),
        CRASH({ crash() }),
        CUT_OFF({ isolateLeader() }),
        HAND_OVER_TWICE({
            handOver()
            after(1_500) { handOver() }
        }),
    }

    /**
     * When users cancel their jobs: long enough before the failover for the job records to be replaced by terminal records, just before
     * the failover, or after it.
     */
    private enum class CancellationTime(val beforeMs: Long, val afterMs: Long) { BEFORE(900, 0), AT_FAILOVER(30, 0), AFTER(0, 700) }

    /** Accelerators in use by live tasks of [team] on workers with a valid lease. */
    private fun SimulatedCluster.gpusInUse(team: String) =
        workers.values.filter { it.holds(now) }.sumOf { worker ->
            worker.tasks.values
                .filter { it.live && it.spec.team == team }
                .sumOf { it.spec.need.gpus }
        }

    /** Whether [worker] has a valid lease and a live task of one of the jobs [ids]. */
    private fun SimulatedCluster.holdsTaskOf(worker: FakeWorker, ids: List<String>) =
        worker.holds(now) && worker.tasks.values.any { it.live && it.spec.id in ids }

    private fun play(machineFault: MachineFault, leaderFault: LeaderFault, cancellationTime: CancellationTime, seed: Long) {
        val name = "$machineFault, $leaderFault, cancelled $cancellationTime, seed $seed"
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
        // These jobs exceed the limits and wait for running ones to end; a part of the limits is reserved for the gangs.
        val waiting =
            listOf(
                cluster.submit(6, JobKind.ARRAY, 9, "a", seconds = 9.0),
                cluster.submit(7, JobKind.ARRAY, 12, "b", seconds = 8.0),
                cluster.submit(8, JobKind.GANG, 2, "b", gpus = 4, seconds = 12.0, priority = Priority.HIGH),
                cluster.submit(9, JobKind.GANG, 2, "a", gpus = 2, seconds = 9.0),
            )
        cluster.run(1_500)
        assertEquals(listOf(8.0, 12.0), listOf(cluster.gpusInUse("a"), cluster.gpusInUse("b")), "$name: the teams are at their limits")
        val silent = cluster.workers.values.filter { cluster.holdsTaskOf(it, cancelledJobs) }.filterIndexed { i, _ -> i % 3 < 2 }
        assertTrue(silent.isNotEmpty(), name)
        machineFault.inject(cluster, silent)
        if (cancellationTime.beforeMs > 0) {
            cancelledJobs.forEach(cluster::cancelUntilConfirmed)
            cluster.run(cancellationTime.beforeMs)
        }
        val stillPresent = silent.any { cluster.holdsTaskOf(it, cancelledJobs) } || machineFault == MachineFault.DEAD
        leaderFault.inject(cluster)
        cluster.run(cancellationTime.afterMs)
        if (cancellationTime.afterMs > 0) cancelledJobs.forEach(cluster::cancelUntilConfirmed)
        assertTrue(stillPresent, "$name: cancelled tasks are still on unreachable machines")
        cluster.run(40_000)
        cluster.network.delayedCommandPercent = 0
        cluster.requireWorkConservation()
        cluster.run(230_000)
        assertEquals(emptyList<String>(), cluster.broken, name)
        assertEquals(
            emptyList<String>(),
            cancelledJobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.CANCELLED },
            "$name: jobs that are not cancelled",
        )
        assertEquals(
            emptyList<String>(),
            (waiting + others[0]).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
            "$name: unfinished",
        )
        assertEquals(2, cluster.runningTaskCount(others[1]), name)
    }

    @ParameterizedTest
    @EnumSource
    fun `jobs on unreachable machines are cancelled around a failover, and waiting jobs of teams at their limits complete`(
        machineFault: MachineFault,
    ) {
        for (leaderFault in LeaderFault.entries) {
            for (cancellationTime in CancellationTime.entries) {
                for (seed in 1L..2L) {
                    play(
                        machineFault,
                        leaderFault,
                        cancellationTime,
                        seed + 10 * leaderFault.ordinal,
                    )
                }
            }
        }
    }

    /**
     * No leader leads for long enough to see the machine's lease expire, and a hanging machine keeps its tasks beyond the lease. Only the
     * release of the machine ends the task for certain.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a task cancelled on a hanging machine ends in time across failovers`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 8)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 1e6)
        cluster.submit(2, JobKind.SERVICE, 6, "b")
        cluster.run(18_000)
        val hungWorkers = cluster.workers.values.filter { worker -> worker.tasks.values.any { it.live && it.spec.id == job } }.take(1)
        hungWorkers.forEach { it.hungUntil = cluster.now + 100_000 }
        cluster.cancelUntilConfirmed(job)
        cluster.run(1_000)
        val cancelledAt = cluster.history.cancelledAt.getValue(job)
        var handOvers = 0
        while (cluster.now < cancelledAt + 36_500) {
            cluster.run(500)
            if (cluster.now / 8_000 > (cluster.now - 500) / 8_000) cluster.handOver().also { handOvers++ }
        }
        assertTrue(handOvers >= 4)
        assertEquals(
            emptyList<String>(),
            hungWorkers.filter { it.name in cluster.workers }.map { it.name },
            "machines that are not released",
        )
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The leader ends when its journal page records a start that has not been sent yet or whose command is still unanswered. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `a recorded start that was never sent counts towards the limit until it is disproved, and is repeated`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 4, setup = ClusterSetup(limits = mapOf("a" to 4.0, "b" to 4.0)))
        cluster.elect()
        val first = cluster.submit(1, JobKind.ARRAY, 4, "a", seconds = 6.0)
        var roundsWithUnsentStart = 0
        val jobs = ArrayList<String>()
        repeat(3) { round ->
            jobs += cluster.submit(10 + round, JobKind.ARRAY, 6, "a", seconds = 5.0)
            // Runs until a journal page records the start of a task that no machine has or had.
            for (step in 0 until 2_000) {
                cluster.run(20)
                val recordedStarts = cluster.state.pages.values.flatMap { it.first.starts }.filter { it.job in cluster.state.jobs }
                val unsent =
                    recordedStarts.filter { start ->
                        cluster.workers.values.none { worker -> worker.tasks.keys.any { it.task == "${start.job}/${start.number}" } } &&
                            "${start.job}/${start.number}" !in cluster.history.starts
                    }
                if (unsent.isEmpty()) continue
                roundsWithUnsentStart++
                // With even seeds the machine is partitioned, so that a command that is on its way is delayed.
                if (seed % 2 == 0L) cluster.workers[unsent[0].machine]?.cutUntil = cluster.now + 6_000
                cluster.handOver()
                break
            }
            cluster.run(4_000)
        }
        assertEquals(3, roundsWithUnsentStart, "rounds with a start that was recorded and not sent")
        cluster.run(10_000)
        cluster.requireWorkConservation()
        cluster.run(140_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), (jobs + first).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
    }
}
