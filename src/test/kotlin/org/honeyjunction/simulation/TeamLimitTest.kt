package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against incident inc-691c: gangs of a team at its limit waited for ten minutes behind arrays of the same team. */
class TeamLimitTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, replicas of the team's service, which never ends, whether the gang completes
        "a gang that the limit has room for starts,              4,  true",
        "a gang that the limit never has room for blocks no job, 13, false",
    )
    fun `a gang starts beside arrays of its team at the limit, and blocks none of them if it never fits`(
        case: String,
        replicas: Int,
        gangDone: Boolean,
    ) {
        val cluster = SimulatedCluster(61, capacity = 20, setup = ClusterSetup(limits = mapOf("a" to 16.0, "b" to 16.0)))
        cluster.elect()
        val service = cluster.submit(1, JobKind.SERVICE, replicas, "a", priority = Priority.PRODUCTION)
        cluster.run(12_000)
        // Arrays of one task each, which end one after the other, keep the team at its limit; a machine dies and the leader crashes.
        val arrays = ArrayList<String>()
        lateinit var gang: String
        repeat(160) {
            if (it == 30) gang = cluster.submit(2, JobKind.GANG, 1, "a", gpus = 4, seconds = 10.0, priority = Priority.HIGH)
            arrays += cluster.submit(100 + it, JobKind.ARRAY, 1, "a", seconds = 12.0 + it * 7 % 5)
            if (it == 100) cluster.workers.values.firstOrNull { worker -> !worker.dead }?.dead = true
            if (it == 120) cluster.crash()
            cluster.run(1_000)
            // Checked before the machine dies, because the room that its tasks leave at once could let the gang start by chance.
            if (it == 99) assertEquals(gangDone, cluster.state.terminalRecords[gang]?.stage == JobStage.DONE, case)
        }
        cluster.run(900_000)
        assertEquals(
            emptyList<String>(),
            arrays.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
            "$case: unfinished arrays",
        )
        assertEquals(replicas, cluster.runningTaskCount(service), case)
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
