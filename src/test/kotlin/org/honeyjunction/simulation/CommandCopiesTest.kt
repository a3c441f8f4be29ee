package org.honeyjunction.simulation

import org.honeyjunction.core.control.jobs.evict
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random

/** Guards against a start that is executed once more when a copy of its message arrives after its worker has forgotten the attempt. */
class CommandCopiesTest {
    private fun cluster(seed: Long, capacity: Int = 4) =
        SimulatedCluster(seed, capacity).also { cluster ->
            cluster.network.commandCopyDelayMs = { message -> COPY_DELAY_MS.takeIf { message.commands.any { it is Command.Start } } }
            cluster.elect()
        }

    private fun SimulatedCluster.runUntil(withinMs: Long = 60_000, condition: () -> Boolean) {
        val end = now + withinMs
        while (!condition() && now < end) run(20)
        assertTrue(condition(), "within $withinMs ms")
    }

    /** What happens to the leader while the copy is on its way. */
    private fun SimulatedCluster.changeLeader(change: String) {
        when (change) {
            "the leader hands over" -> handOver()
            "the leader ends" -> crash()
            "two leaders follow each other" -> {
                handOver()
                after(600) { handOver() }
            }
        }
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = ["the leader stays", "the leader hands over", "the leader ends", "two leaders follow each other"])
    fun `a copy of an executed start does not start a cancelled task again`(change: String) {
        for (seed in 1L..SEEDS) {
            val cluster = cluster(seed)
            val job = cluster.submit(1, JobKind.ARRAY, 2, seconds = 1e6)
            cluster.runUntil { cluster.runningTaskCount(job) == 2 }
            cluster.cancelUntilConfirmed(job)
            cluster.runUntil { cluster.workers.values.none { worker -> worker.tasks.values.any { it.spec.id == job } } }
            cluster.changeLeader(change)
            cluster.run(80_000)
            assertEquals(JobStage.CANCELLED, cluster.state.terminalRecords[job]?.stage)
            assertEquals(emptyList<String>(), cluster.broken, "seed $seed")
            assertEquals(0, cluster.history.startedCancelled, "seed $seed")
            assertTrue(cluster.commandCopies > 0, "copies have arrived")
        }
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = ["the leader stays", "the leader hands over", "the leader ends", "two leaders follow each other"])
    fun `a copy of an executed start does not start a task that has moved to another machine`(change: String) {
        for (seed in 1L..SEEDS) {
            val cluster = cluster(seed)
            val job = cluster.submit(1, JobKind.ARRAY, 2, checkpoint = 2.0, seconds = 1e6)
            cluster.runUntil { cluster.runningTaskCount(job) == 2 }
            val left = cluster.workers.values.filter { worker -> worker.tasks.values.any { it.live } }
            left.forEach { it.noticeS = 600.0 }
            cluster.runUntil { left.all { worker -> worker.tasks.isEmpty() } }
            cluster.changeLeader(change)
            cluster.run(60_000)
            assertEquals(emptyList<String>(), cluster.broken, "seed $seed")
            assertEquals(2, cluster.runningTaskCount(job))
            assertTrue(cluster.commandCopies > 0, "copies have arrived")
        }
    }

    /** Copies arrive from 0.1 s up to three worker leases later, while tasks are evicted, cancelled, end and fail and leaders change. */
    @ParameterizedTest
    @CsvSource("1, 40")
    fun `no copy of an executed message starts anything, whatever has ended the attempt`(from: Long, to: Long) {
        var copies = 0
        for (seed in from..to) {
            val cluster = SimulatedCluster(seed)
            val drawn = Random(seed)
            cluster.network.commandCopyDelayMs = { if (drawn.nextInt(100) < 60) 100L + drawn.nextInt(36_000) else null }
            cluster.elect()
            val cancelled = (1..6).map { cluster.submit(it, JobKind.ARRAY, 3, if (it % 2 == 0) "a" else "b", seconds = 30.0) }
            cluster.submit(7, JobKind.ARRAY, 20, "b", seconds = 2.0)
            cluster.submit(8, JobKind.GANG, 3, "b", oneZone = true, gpus = 2, checkpoint = 2.0, seconds = 25.0)
            cluster.submit(9, JobKind.SERVICE, 2, "a", spread = true)
            cluster.submit(10, JobKind.ARRAY, 1, "a", seconds = 1.0, jobClass = "faulty")
            repeat(12) {
                cluster.run(500 + drawn.nextInt(6_000).toLong())
                when (drawn.nextInt(5)) {
                    0 -> cluster.handOver()
                    1 -> cluster.crash()
                    2 -> cluster.cancelUntilConfirmed(cancelled[drawn.nextInt(cancelled.size)])
                    else -> cluster.leader?.run { state.active.values.forEach { job -> job.tasks.forEach { it.evict() } } }
                }
            }
            cluster.run(60_000)
            assertEquals(emptyList<String>(), cluster.broken, "seed $seed")
            copies += cluster.commandCopies
        }
        assertTrue(copies > 40 * to, "$copies copies")
    }

    @Test
    fun `a copy of a start that is still listed changes nothing`() {
        val cluster = cluster(1)
        val job = cluster.submit(1, JobKind.ARRAY, 2, seconds = 1e6)
        cluster.run(60_000)
        assertEquals(2, cluster.runningTaskCount(job))
        assertEquals(emptyList<String>(), cluster.broken)
    }

    private companion object {
        const val SEEDS = 5L

        /** As long as in the incident; the worker has forgotten the attempt by then. */
        const val COPY_DELAY_MS = 7_300L
    }
}
