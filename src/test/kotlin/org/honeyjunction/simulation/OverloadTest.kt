package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * A leader that is overloaded, so that it responds to heartbeats too late or does not read them while commands still pass, or whose
 * process is suspended.
 */
class OverloadTest {
    /**
     * Guards against a failure in which tasks ran twice. A worker's lease ended, and the leader learned of the worker's next session
     * from the response to a command and started tasks in that session. A moment later the lease of the previous session expired at
     * the leader, which concluded that all tasks on the machine were gone.
     */
    @ParameterizedTest(name = "seed {0}, {1} ms")
    @CsvSource("1,5000", "2,5000", "3,6000", "4,8000", "5,10000", "6,11000")
    fun `heartbeats that wait while commands pass do not make tasks run twice`(seed: Long, lateMs: Long) {
        val cluster = SimulatedCluster(seed, capacity = 16, setup = ClusterSetup(limits = mapOf("a" to 160.0, "b" to 160.0)))
        cluster.elect()
        // A job that is cancelled later takes half of every machine. Responses to its stop commands report the next session.
        val cancelledJob = cluster.submit(1_000, JobKind.ARRAY, 32, "a", seconds = 1e6)
        val jobs = arrayListOf(cluster.submit(3, JobKind.ARRAY, 64, "b", seconds = 12.0))
        cluster.run(30_000)
        cluster.network.responsesLateUntil = cluster.now + lateMs
        cluster.network.heartbeatsUnreadUntil = cluster.now + lateMs + 16_000
        cluster.run(12_500)
        cluster.cancel(cancelledJob)
        repeat(20) {
            jobs += cluster.submit(6 + 3 * it, JobKind.ARRAY, 3, if (it % 2 == 0) "a" else "b", seconds = 8.0)
            cluster.run(400)
        }
        cluster.workers.values.take(2).forEach { it.dead = true }
        cluster.run(lateMs)
        cluster.crash()
        cluster.run(120_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertTrue(jobs.all { cluster.state.terminalRecords[it]?.stage == JobStage.DONE }, "all jobs are done")
    }

    /** The leader's process is suspended while its clock runs on, for shorter or longer than the leases, also beside other faults. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "shorter than the leader lease,              4000, false, false",
        "longer than the leader lease,               14000, false, false",
        "longer than the worker leases too,          25000, false, false",
        "for a minute,                               60000, false, false",
        "while the state service is down,            14000, true,  false",
        "while machines die and a zone is cut,       14000, false, true",
    )
    fun `all jobs complete and all replicas run after the leader's process was suspended`(
        case: String,
        forMs: Long,
        outage: Boolean,
        machineFaults: Boolean,
    ) {
        val cluster = SimulatedCluster(31, capacity = 60, setup = ClusterSetup(limits = mapOf("a" to 240.0, "b" to 240.0)))
        cluster.elect()
        val services = (1..8).map { cluster.submit(it, JobKind.SERVICE, 4, "a", spread = true, priority = Priority.PRODUCTION) }
        val jobs = (11..30).map { cluster.submit(it, JobKind.ARRAY, 6, "b", seconds = 15.0, checkpoint = 5.0) }
        cluster.run(30_000)
        cluster.state.down = outage
        cluster.freeze(forMs)
        if (machineFaults) {
            cluster.workers.values.take(3).forEach { it.dead = true }
            cluster.disconnectZone("x", 16_000)
        }
        cluster.run(forMs + 100)
        cluster.state.down = false
        cluster.run(100_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, case)
        assertTrue(jobs.all { cluster.state.terminalRecords[it]?.stage == JobStage.DONE }, case)
    }
}
