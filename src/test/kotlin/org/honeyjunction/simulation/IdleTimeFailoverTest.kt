package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Idle machines are released in time although the leader changes often. */
class IdleTimeFailoverTest {
    /**
     * Guards against a failure seen in a deployment: four machines stayed idle for a minute, because each failover restarted their
     * idle time.
     */
    @Test
    fun `idle machines are released in time although a failover happens every 25 s`() {
        val cluster = SimulatedCluster(3)
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 8, "a", seconds = 5.0)
        while (cluster.state.terminalRecords.isEmpty()) cluster.run(100)
        val idleFrom = cluster.now
        assertTrue(cluster.workers.isNotEmpty())
        // The leader changes every 25 s, and machines are released after 45 s of idle time.
        while (cluster.workers.isNotEmpty() && cluster.now - idleFrom < 200_000) {
            cluster.run(25_000)
            cluster.leader?.alive = false
            cluster.run(SimulatedCluster.LEADER_LEASE_MS)
            cluster.elect()
        }
        assertTrue(cluster.now - idleFrom < 100_000, "released after ${(cluster.now - idleFrom) / 1000} s")
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
