package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Single and random faults, in virtual time. [SimulatedCluster] checks the protocol's rules after every step. */
class SimulationTest {
    internal fun SimulatedCluster.submitJobs(): List<String> =
        listOf(
            submit(1, JobKind.ARRAY, 14, "a", spot = true),
            submit(2, JobKind.ARRAY, 6, "b", checkpoint = 2.0, seconds = 20.0),
            submit(3, JobKind.GANG, 3, "b", oneZone = true, gpus = 4),
            submit(4, JobKind.ARRAY, 5, "b", spread = true),
        )

    private fun SimulatedCluster.assertAllDone(jobs: List<String>) {
        assertEquals(emptyList<String>(), broken)
        assertEquals(emptyList<String>(), jobs.filter { state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished jobs")
    }

    @Test
    fun `without faults all jobs complete, a service keeps running, and a cancelled job ends`() {
        val cluster = SimulatedCluster(1)
        cluster.elect()
        val jobs = cluster.submitJobs()
        val service = cluster.submit(5, JobKind.SERVICE, 2, "a", spread = true)
        cluster.run(25_000)
        val cancelledJob = cluster.submit(6, JobKind.ARRAY, 4, "b", seconds = 1e6)
        cluster.run(15_000)
        cluster.cancel(cancelledJob)
        cluster.run(120_000)
        cluster.assertAllDone(jobs)
        assertEquals(JobStage.CANCELLED, cluster.state.terminalRecords[cancelledJob]?.stage)
        assertEquals(2, cluster.workers.values.sumOf { it.tasks.values.count { t -> t.live && t.spec.id == service } })
        assertTrue(cluster.workers.size <= 3, "idle machines are released: ${cluster.workers.keys}")
    }

    @ParameterizedTest(name = "{0}, seed {1}")
    @CsvSource(
        "leader crash,1",
        "leader crash,2",
        "leader cut off,3",
        "leader cut off,4",
        "machine dies,5",
        "machine dies,6",
        "machine hangs,7",
        "machine hangs,8",
        "machine cut,9",
        "machine cut,10",
        "state outage,11",
        "cloud outage,12",
        "spot notice,13",
        "everything,14",
        "everything,15",
        "everything,16",
        "everything,17",
        "everything,18",
    )
    fun `the protocol's rules hold under faults and all jobs complete`(fault: String, seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val jobs = cluster.submitJobs()
        cluster.run(6_000 + cluster.random.nextInt(8_000).toLong())
        val kinds =
            listOf(
                "leader crash",
                "leader cut off",
                "machine dies",
                "machine hangs",
                "machine cut",
                "state outage",
                "cloud outage",
                "spot notice",
            )
        repeat(6) {
            cluster.inject(if (fault == "everything") kinds[cluster.random.nextInt(kinds.size)] else fault)
            cluster.run(1_000 + cluster.random.nextInt(9_000).toLong())
        }
        cluster.state.down = false
        cluster.cloud.down = false
        cluster.run(300_000)
        cluster.assertAllDone(jobs)
    }

    internal fun SimulatedCluster.inject(fault: String) {
        val machine = workers.values.filter { !it.dead }.let { if (it.isEmpty()) null else it[random.nextInt(it.size)] }
        when (fault) {
            "leader crash" -> {
                leader?.alive = false
                after(SimulatedCluster.LEADER_LEASE_MS) { elect() }
            }
            "leader cut off" -> {
                // The old leader keeps running and reaches the workers, but the state service rejects its writes after the election.
                after(SimulatedCluster.LEADER_LEASE_MS) { elect() }
            }
            "machine dies" -> machine?.dead = true
            "machine hangs" -> machine?.hungUntil = now + 5_000 + random.nextInt(25_000)
            "machine cut" -> machine?.cutUntil = now + 3_000 + random.nextInt(25_000)
            "state outage" -> {
                state.down = true
                after(4_000) { state.down = false }
            }
            "cloud outage" -> {
                cloud.down = true
                after(8_000) { cloud.down = false }
            }
            "spot notice" ->
                workers.values.firstOrNull { it.box.spot && !it.dead }?.let {
                    it.noticeS = 10.0
                    after(10_000) { it.dead = true }
                }
        }
    }

    @Test
    fun `all jobs complete on a thousand machines after a leader crash and the loss of dozens of machines`() {
        val cluster = SimulatedCluster(7, capacity = 1_000, setup = ClusterSetup(limits = mapOf("a" to 3_000.0, "b" to 3_000.0)))
        cluster.elect()
        val jobs =
            (1..40).map { cluster.submit(it, JobKind.ARRAY, 60, if (it % 2 == 0) "a" else "b", spot = it % 3 == 0, seconds = 25.0) } +
                (41..80).map { cluster.submit(it, JobKind.GANG, 1 + it % 4, "b", oneZone = true, gpus = 4, seconds = 15.0) } +
                cluster.submit(81, JobKind.ARRAY, 700, "a", seconds = 5.0)
        cluster.run(18_000)
        assertTrue(cluster.workers.size > 500, "rented ${cluster.workers.size}")
        cluster.inject("leader crash")
        repeat(40) { cluster.inject(listOf("machine dies", "machine hangs", "machine cut")[it % 3]) }
        cluster.run(12_000)
        cluster.inject("state outage")
        cluster.run(120_000)
        cluster.assertAllDone(jobs)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `a job whose task always fails is restarted with backoff, and another job completes`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 1, "a", seconds = 1.0, jobClass = "faulty")
        val soundJob = cluster.submit(2, JobKind.ARRAY, 6, "b", seconds = 30.0)
        cluster.run(200_000)
        cluster.assertAllDone(listOf(soundJob))
        assertTrue(cluster.started < 40, "${cluster.started} starts")
    }
}
