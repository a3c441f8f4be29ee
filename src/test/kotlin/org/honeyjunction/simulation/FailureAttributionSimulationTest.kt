package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Jobs that were submitted with a mistake, and machines at fault, among many that are sound. */
class FailureAttributionSimulationTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, bad jobs, bad machines, leader crashes, machines released at most Where two bad jobs meet on one machine
        // before either is found out, it is taken for faulty: one of sixty.
        "jobs with a mistake cost next to no machine,   6, 0, false, 1",
        "the same over a takeover,                      6, 0, true,  1",
        "machines at fault are returned,                0, 4, false, 4",
        "both at once with takeovers,                   6, 4, true,  6",
    )
    fun `failures are attributed to the faulty jobs and machines`(
        case: String,
        badJobs: Int,
        badMachines: Int,
        crash: Boolean,
        released: Int,
    ) {
        val cluster = SimulatedCluster(41, capacity = 60, setup = ClusterSetup(limits = mapOf("a" to 240.0, "b" to 240.0)))
        cluster.elect()
        val services = (1..6).map { cluster.submit(it, JobKind.SERVICE, 4, "a", spread = true, priority = Priority.PRODUCTION) }
        val first = (10..17).map { cluster.submit(it, JobKind.ARRAY, 16, "b", seconds = 6.0) }
        cluster.run(12_000)
        cluster.workers.values.take(badMachines).forEach { it.faulty = true }
        val bad =
            (20 until 20 + badJobs).map {
                cluster.submit(
                    it,
                    if (it % 2 == 0) JobKind.ARRAY else JobKind.GANG,
                    4,
                    "b",
                    seconds = 2.0,
                    jobClass = "faulty",
                )
            }
        val good =
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
        // Idle machines are returned after 45 s: what has been given back by now was taken for faulty, or died.
        assertTrue(cluster.cloud.releases <= released, "$case: ${cluster.cloud.releases} machines were given back")
        val before = cluster.started
        cluster.run(60_000)
        assertTrue(
            cluster.started - before <= badJobs * 4 * 6,
            "$case: ${cluster.started - before} starts in a minute in which only bad jobs were left",
        )
        assertEquals(
            emptyList<String>(),
            (first + good).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
            "$case: unfinished",
        )
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, case)
        bad.forEach { cluster.cancel(it) }
        cluster.run(40_000)
        assertTrue(bad.all { cluster.state.terminalRecords[it]?.stage == JobStage.CANCELLED }, case)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** Machines that come late, at once or never, while leaders change and machines die. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, factor, one in so many never, leader crashes, rented at most beside those that never came
        "four times as long,               4.0,  0, false, 45",
        "at once,                          0.02, 0, false, 45",
        "one in four never,                1.0,  4, false, 60",
        "both over a takeover,             4.0,  4, true,  70",
    )
    fun `machines that boot slowly, at once or never`(case: String, factor: Double, failsOneIn: Int, crash: Boolean, rented: Int) {
        val cluster = SimulatedCluster(51, capacity = 120, setup = ClusterSetup(limits = mapOf("a" to 240.0, "b" to 240.0)))
        cluster.elect()
        cluster.cloud.bootFactor = factor
        cluster.cloud.bootFailsOneIn = failsOneIn
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
            cluster.cloud.totalRented - cluster.cloud.failedBoots <= rented,
            "$case: ${cluster.cloud.totalRented} rented, ${cluster.cloud.failedBoots} never up",
        )
        assertEquals(0, cluster.cloud.bootingCount, "$case: none is paid for in vain in the end")
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
