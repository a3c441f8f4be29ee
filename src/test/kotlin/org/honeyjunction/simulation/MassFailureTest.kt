package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Many machines that fail together, in virtual time; SimulatedCluster asserts the rules and work conservation after every step. */
class MassFailureTest {
    private fun fleet(seed: Long, machines: Int): SimulatedCluster {
        val cluster =
            SimulatedCluster(seed, capacity = machines, setup = ClusterSetup(limits = mapOf("a" to 4.0 * machines, "b" to 4.0 * machines)))
        cluster.elect()
        return cluster
    }

    private fun SimulatedCluster.services(count: Int) =
        (1..count).map {
            submit(it, JobKind.SERVICE, 4, "a", spread = true, priority = Priority.PRODUCTION)
        }

    private fun SimulatedCluster.arrays(from: Int, count: Int) =
        (from until from + count).map {
            submit(
                it,
                JobKind.ARRAY,
                20,
                "b",
                seconds = 30.0,
                checkpoint = 5.0,
                spot = it % 2 == 0,
            )
        }

    private fun SimulatedCluster.assertRules() = assertEquals(emptyList<String>(), broken)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, cut for s, the leader crashes meanwhile, connections reset, part of the machines kept at least, rented at
        // most for each lost
        "shorter than the lease,                  8,  false, false, 0.98",
        "as long as the lease,                    12, false, false, 0.98",
        "longer than the lease and back warm,     16, false, false, 0.9",
        "the same with resets,                    16, false, true,  0.9",
        "the leader crashes in it,                16, true,  false, 0.9",
        "the leader crashes in it; resets too,    16, true,  true,  0.9",
    )
    fun `a partitioned zone that returns keeps its machines`(case: String, seconds: Long, crash: Boolean, resets: Boolean, kept: Double) {
        val cluster = fleet(11, 400)
        val services = cluster.services(30)
        cluster.arrays(100, 60)
        cluster.run(40_000)
        val before = cluster.machinesIn("x")
        assertTrue(before.size > 50, "up in x: ${before.size}")
        val rented = cluster.cloud.totalRented
        cluster.network.resetsConnections = resets
        cluster.disconnectZone("x", seconds * 1_000)
        cluster.run(2_000)
        if (crash) cluster.crash()
        cluster.run(seconds * 1_000 + 3_000)
        val left = cluster.machinesIn("x").count { it in before }
        assertTrue(left >= before.size * kept, "$case: $left of ${before.size} machines are left")
        assertTrue(cluster.cloud.totalRented - rented <= before.size / 2, "$case: ${cluster.cloud.totalRented - rented} rented meanwhile")
        cluster.run(20_000)
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, "$case: replicas are back")
        cluster.assertRules()
    }

    @Test
    fun `a partition that never ends - production is restarted elsewhere, and the machines are released at last`() {
        val cluster = fleet(12, 200)
        val services = cluster.services(20)
        cluster.run(30_000)
        val before = cluster.machinesIn("x")
        cluster.disconnectZone("x", 10_000_000)
        cluster.run(10_000)
        cluster.crash()
        cluster.run(120_000)
        // Half of a spread job may stay in one zone: the rest must wait for the other.
        assertTrue(services.all { cluster.runningTaskCount(it) >= 2 }, "${services.map { cluster.runningTaskCount(it) }}")
        assertEquals(emptySet<String>(), cluster.machinesIn("x").intersect(before))
        cluster.assertRules()
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "1,two zones in turn",
        "2,half a zone dead and half cut",
        "3,all machines hang together with the leader",
        "4,return during an outage of the state service",
        "5,the cloud is down meanwhile",
        "6,everything at once",
        "7,a zone cut while its controller holds the term",
        "8,a capacity that shrinks to a third",
        "9,everything returns as the replacements come up",
        "10,a cut of the only zone with room",
    )
    fun `hard cases at a thousand machines`(case: Int, name: String) {
        val cluster = fleet(20L + case, 1_000)
        val services = cluster.services(60)
        val arrays = cluster.arrays(100, 90)
        val gangs = (300..330).map { cluster.submit(it, JobKind.GANG, 3, "b", oneZone = true, gpus = 4, seconds = 15.0) }
        cluster.run(35_000)
        when (case) {
            1 -> {
                cluster.disconnectZone("x", 15_000)
                cluster.run(18_000)
                cluster.disconnectZone("y", 15_000)
            }
            2 -> {
                cluster.workers.values.filter { it.box.zone == "x" }.forEachIndexed { i, m ->
                    if (i % 2 == 0) m.dead = true else m.cutUntil = cluster.now + 20_000
                }
            }
            3 -> {
                cluster.workers.values.forEach { it.hungUntil = cluster.now + 16_000 }
                cluster.crash()
            }
            4 -> {
                cluster.disconnectZone("x", 14_000)
                cluster.run(10_000)
                cluster.state.down = true
                cluster.run(9_000)
                cluster.state.down = false
            }
            5 -> {
                cluster.cloud.down = true
                cluster.disconnectZone("x", 20_000)
                cluster.run(4_000)
                cluster.crash()
                cluster.run(20_000)
                cluster.cloud.down = false
            }
            7 -> {
                cluster.disconnectZone("x", 16_000)
                cluster.isolateLeader()
                cluster.run(20_000)
            }
            8 -> {
                cluster.cloud.capacity = cluster.workers.size / 3
                cluster.workers.values.filterIndexed { i, _ -> i % 3 > 0 }.forEach { it.dead = true }
            }
            9 -> {
                cluster.disconnectZone("x", 21_000)
                cluster.run(2_000)
                cluster.crash()
            }
            10 -> {
                cluster.cloud.capacity = cluster.workers.size
                cluster.workers.values.filter { it.box.zone == "y" }.forEach { it.cutUntil = cluster.now + 14_000 }
            }
            else -> {
                cluster.disconnectZone("x", 16_000)
                cluster.run(2_000)
                cluster.crash()
                cluster.workers.values.filter { it.box.zone == "y" }.take(60).forEach {
                    it.dead = true
                }
                cluster.run(7_000)
                cluster.state.down = true
                cluster.run(5_000)
                cluster.state.down = false
            }
        }
        cluster.run(if (case == 8) 260_000 else 150_000)
        assertEquals(
            emptyList<String>(),
            (arrays + gangs).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
            "unfinished after '$name'",
        )
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, name)
        cluster.assertRules()
    }

    private val actions: List<Pair<String, SimulatedCluster.() -> Unit>> =
        listOf(
            "nothing" to {},
            "cut x" to { disconnectZone("x", 9_000) },
            "cut y long" to { disconnectZone("y", 20_000) },
            "leader crashes" to { crash() },
            "leader cut off" to {
                leader?.isolated = true
                after(SimulatedCluster.LEADER_LEASE_MS) { elect() }
            },
            "a machine dies" to { workers.values.firstOrNull { !it.dead }?.dead = true },
            "a machine hangs" to { workers.values.lastOrNull { !it.dead }?.hungUntil = now + 16_000 },
        )

    /**
     * Every sequence of [depth] troubles over three machines in two zones: the rules hold at each step, and all work is done
     * in the end.
     */
    private fun walk(depth: Int): Int {
        var walked = 0

        fun go(path: List<Int>) {
            if (path.size < depth) return actions.indices.forEach { go(path + it) }
            walked++
            val cluster = SimulatedCluster(path.fold(1L) { seed, a -> seed * 31 + a }, capacity = 3)
            cluster.elect()
            val jobs =
                listOf(
                    cluster.submit(1, JobKind.ARRAY, 5, "a", spot = true, seconds = 9.0),
                    cluster.submit(2, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 12.0),
                    cluster.submit(3, JobKind.ARRAY, 2, "b", spread = true, priority = Priority.PRODUCTION, seconds = 15.0),
                )
            cluster.run(7_000)
            for (a in path) {
                actions[a].second(cluster)
                cluster.run(3_000)
            }
            cluster.run(150_000)
            val name = path.joinToString { actions[it].first }
            assertEquals(emptyList<String>(), cluster.broken, name)
            assertEquals(
                emptyList<String>(),
                jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
                "unfinished after: $name",
            )
        }
        go(emptyList())
        return walked
    }

    @Test
    fun `every sequence of three faults on three machines`() {
        assertEquals(343, walk(3))
    }

    /** mvn test -Dtest=MassFailureTest -DexcludedGroups=none: some minutes. */
    @Tag("measure")
    @Test
    fun `every sequence of four faults on three machines`() {
        assertEquals(2_401, walk(4))
    }
}
