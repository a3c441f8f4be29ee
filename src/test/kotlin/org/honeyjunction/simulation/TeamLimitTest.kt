package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Teams at their limits: inc-691c, where gangs waited for ten minutes behind their own team's arrays. */
class TeamLimitTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, replicas of the team that never end, gang done
        "a gang is not passed for ever,                         4,  true",
        "one that the limit never has room for holds nobody up, 13, false",
    )
    fun `a gang and the arrays of its team`(case: String, replicas: Int, done: Boolean) {
        val cluster = SimulatedCluster(61, capacity = 20, setup = ClusterSetup(limits = mapOf("a" to 16.0, "b" to 16.0)))
        cluster.elect()
        val service = cluster.submit(1, JobKind.SERVICE, replicas, "a", priority = Priority.PRODUCTION)
        cluster.run(12_000)
        // Arrays of one task that end one by one keep the team at its limit; machines die and the leader changes meanwhile.
        val arrays = ArrayList<String>()
        lateinit var gang: String
        repeat(160) {
            if (it == 30) gang = cluster.submit(2, JobKind.GANG, 1, "a", gpus = 4, seconds = 10.0, priority = Priority.HIGH)
            arrays += cluster.submit(100 + it, JobKind.ARRAY, 1, "a", seconds = 12.0 + it * 7 % 5)
            if (it == 100) cluster.workers.values.firstOrNull { m -> !m.dead }?.dead = true
            if (it == 120) cluster.crash()
            cluster.run(1_000)
            // What a dead machine leaves free at once would let the gang in by luck.
            if (it == 99) assertEquals(done, cluster.state.terminalRecords[gang]?.stage == JobStage.DONE, case)
        }
        cluster.run(900_000)
        assertEquals(emptyList<String>(), arrays.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "$case: arrays")
        assertEquals(replicas, cluster.runningTaskCount(service), case)
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
