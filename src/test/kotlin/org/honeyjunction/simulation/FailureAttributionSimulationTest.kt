package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Faulty jobs and faulty machines among many sound ones, and machines that boot slowly, at once or never. */
class FailureAttributionSimulationTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, faulty jobs, faulty machines, leader crashes, most machines that may be released. If two faulty jobs fail on one
        // machine before either job is recognized as faulty, the machine is classified as faulty; this happens to one of sixty machines.
        "faulty jobs cost at most one machine,          6, 0, false, 1",
        "faulty jobs and a failover,                    6, 0, true,  1",
        "faulty machines are released,                  0, 4, false, 4",
        "faulty jobs and machines and a failover,       6, 4, true,  6",
    )
    fun `failures are attributed to the faulty jobs and machines`(
        case: String,
        faultyJobCount: Int,
        faultyMachineCount: Int,
        crash: Boolean,
        maxReleased: Int,
    ) {
        val cluster = SimulatedCluster(41, capacity = 60, setup = ClusterSetup(limits = mapOf("a" to 240.0, "b" to 240.0)))
        cluster.elect()
        val services = (1..6).map { cluster.submit(it, JobKind.SERVICE, 4, "a", spread = true, priority = Priority.PRODUCTION) }
        val initialJobs = (10..17).map { cluster.submit(it, JobKind.ARRAY, 16, "b", seconds = 6.0) }
        cluster.run(12_000)
        cluster.workers.values.take(faultyMachineCount).forEach { it.faulty = true }
        val faultyJobs =
            (20 until 20 + faultyJobCount).map {
                cluster.submit(
                    it,
                    if (it % 2 == 0) JobKind.ARRAY else JobKind.GANG,
                    4,
                    "b",
                    seconds = 2.0,
                    jobClass = "faulty",
                )
            }
        val soundJobs =
            (40..60).map {
                cluster.submit(
                    it,
                    if (it % 3 == 0) JobKind.GANG else JobKind.ARRAY,
                    6,
                    "b",
                    seconds = 5.0,
                    spot = it % 2 == 0,
                )
            }
        cluster.run(10_000)
        if (crash) {
            cluster.crash()
            cluster.workers.values
                .filter { !it.faulty }
                .drop(5)
                .take(2)
                .forEach { it.hungUntil = cluster.now + 9_000 }
            cluster.run(12_000)
        }
        cluster.run(25_000)
        // Idle machines are released after 45 s: machines released before that were classified as faulty, or died.
        assertTrue(cluster.cloud.releases <= maxReleased, "$case: ${cluster.cloud.releases} machines were released")
        val startedBefore = cluster.started
        cluster.run(60_000)
        assertTrue(
            cluster.started - startedBefore <= faultyJobCount * 4 * 6,
            "$case: ${cluster.started - startedBefore} starts in a minute in which only faulty jobs were left",
        )
        assertEquals(
            emptyList<String>(),
            (initialJobs + soundJobs).filter {
                cluster.state.terminalRecords[it]?.stage != JobStage.DONE
            },
            "$case: unfinished",
        )
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, case)
        faultyJobs.forEach { cluster.cancel(it) }
        cluster.run(40_000)
        assertTrue(faultyJobs.all { cluster.state.terminalRecords[it]?.stage == JobStage.CANCELLED }, case)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** Machines boot slowly, at once or never, while the leader fails over and machines die. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, factor of the boot time, one machine in so many never boots, leader crashes, most rented machines that boot
        "boots take four times as long,    4.0,  0, false, 45",
        "machines boot at once,            0.02, 0, false, 45",
        "one machine in four never boots,  1.0,  4, false, 60",
        "slow and failed boots; failover,  4.0,  4, true,  70",
    )
    fun `all jobs complete and no failed boot stays rented while machines boot slowly, at once or never`(
        case: String,
        bootFactor: Double,
        bootFailsOneIn: Int,
        crash: Boolean,
        maxRented: Int,
    ) {
        val cluster = SimulatedCluster(51, capacity = 120, setup = ClusterSetup(limits = mapOf("a" to 240.0, "b" to 240.0)))
        cluster.elect()
        cluster.cloud.bootFactor = bootFactor
        cluster.cloud.bootFailsOneIn = bootFailsOneIn
        val services = (1..6).map { cluster.submit(it, JobKind.SERVICE, 4, "a", spread = true, priority = Priority.PRODUCTION) }
        val jobs =
            (10..25).map { cluster.submit(it, JobKind.ARRAY, 6, "b", seconds = 8.0) } +
                (30..33).map { cluster.submit(it, JobKind.GANG, 3, "b", gpus = 4, seconds = 8.0) }
        cluster.run(8_000)
        if (crash) cluster.crash()
        cluster.run(40_000)
        cluster.workers.values.take(3).forEach { it.dead = true }
        cluster.run(if (crash) 260_000 else 110_000)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "$case: unfinished")
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, case)
        assertTrue(
            cluster.cloud.totalRented - cluster.cloud.failedBoots <= maxRented,
            "$case: ${cluster.cloud.totalRented} rented, ${cluster.cloud.failedBoots} never booted",
        )
        assertEquals(0, cluster.cloud.bootingCount, "$case: rented machines that never booted are released")
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
