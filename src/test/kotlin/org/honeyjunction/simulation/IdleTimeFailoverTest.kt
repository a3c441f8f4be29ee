package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class IdleTimeFailoverTest {
    /** A deployment's check found four machines with nothing to do for a minute: every takeover began their idle time anew. */
    @Test
    fun `the idle time of a machine survives failovers`() {
        val cluster = SimulatedCluster(3)
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 8, "a", seconds = 5.0)
        while (cluster.state.terminalRecords.isEmpty()) cluster.run(100)
        val idleFrom = cluster.now
        assertTrue(cluster.workers.isNotEmpty())
        // Every 25 s another leader; the idle time is 45 s.
        while (cluster.workers.isNotEmpty() && cluster.now - idleFrom < 200_000) {
            cluster.run(25_000)
            cluster.leader?.alive = false
            cluster.run(SimulatedCluster.LEADER_LEASE_MS)
            cluster.elect()
        }
        assertTrue(cluster.now - idleFrom < 100_000, "given back after ${(cluster.now - idleFrom) / 1000} s")
        assertEquals(emptyList<String>(), cluster.broken)
    }
}
