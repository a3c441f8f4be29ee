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

/** Many machines fail together, in virtual time. [SimulatedCluster] checks the protocol's rules after every step. */
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
        // case, seconds that the partition lasts, leader crashes meanwhile, connections are reset, least share of the machines kept
        "shorter than the lease,                  8,  false, false, 0.98",
        "as long as the lease,                    12, false, false, 0.98",
        "longer than the lease,                   16, false, false, 0.9",
        "longer than the lease with resets,       16, false, true,  0.9",
        "the leader crashes meanwhile,            16, true,  false, 0.9",
        "the leader crashes meanwhile; resets,    16, true,  true,  0.9",
    )
    fun `a partitioned zone that returns keeps its machines`(
        case: String,
        seconds: Long,
        crash: Boolean,
        resets: Boolean,
        minKept: Double,
    ) {
        val cluster = fleet(11, 400)
        val services = cluster.services(30)
        cluster.arrays(100, 60)
        cluster.run(40_000)
        val machinesBefore = cluster.machinesIn("x")
        assertTrue(machinesBefore.size > 50, "machines up in zone x: ${machinesBefore.size}")
        val rentedBefore = cluster.cloud.totalRented
        cluster.network.resetsConnections = resets
        cluster.disconnectZone("x", seconds * 1_000)
        cluster.run(2_000)
        if (crash) cluster.crash()
        cluster.run(seconds * 1_000 + 3_000)
        val machinesKept = cluster.machinesIn("x").count { it in machinesBefore }
        assertTrue(machinesKept >= machinesBefore.size * minKept, "$case: $machinesKept of ${machinesBefore.size} machines are kept")
        assertTrue(
            cluster.cloud.totalRented - rentedBefore <= machinesBefore.size / 2,
            "$case: ${cluster.cloud.totalRented - rentedBefore} machines rented meanwhile",
        )
        cluster.run(20_000)
        assertEquals(services.associateWith { 4 }, services.associateWith { cluster.runningTaskCount(it) }, "$case: running replicas")
        cluster.assertRules()
    }

    @Test
    fun `a partition that never ends - production tasks are restarted elsewhere, and the partitioned machines are released`() {
        val cluster = fleet(12, 200)
        val services = cluster.services(20)
        cluster.run(30_000)
        val machinesBefore = cluster.machinesIn("x")
        cluster.disconnectZone("x", 10_000_000)
        cluster.run(10_000)
        cluster.crash()
        cluster.run(120_000)
        // At most half of a spread job's tasks may run in one zone, so the other half waits for the partitioned zone.
        assertTrue(services.all { cluster.runningTaskCount(it) >= 2 }, "${services.map { cluster.runningTaskCount(it) }}")
        assertEquals(emptySet<String>(), cluster.machinesIn("x").intersect(machinesBefore))
        cluster.assertRules()
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "1,two zones are partitioned in turn",
        "2,half of the machines of a zone die and the others are partitioned",
        "3,all machines hang and the leader crashes",
        "4,a zone returns during an outage of the state service",
        "5,a zone is partitioned during an outage of the cloud",
        "6,a partition and a leader crash and dead machines and an outage of the state service",
        "7,a zone and the leader are partitioned",
        "8,two thirds of the machines die and the capacity of the cloud shrinks to a third",
        "9,a partitioned zone returns when its replacement machines come up",
        "10,a zone is partitioned while the cloud has no free capacity",
    )
    fun `all jobs complete and all replicas run after combined faults on a thousand machines`(case: Int, name: String) {
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
                cluster.workers.values.filter { it.box.zone == "x" }.forEachIndexed { i, worker ->
                    if (i % 2 == 0) worker.dead = true else worker.cutUntil = cluster.now + 20_000
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

    private val faults: List<Pair<String, SimulatedCluster.() -> Unit>> =
        listOf(
            "no fault" to {},
            "zone x is cut for less than the lease" to { disconnectZone("x", 9_000) },
            "zone y is cut for longer than the lease" to { disconnectZone("y", 20_000) },
            "the leader crashes" to { crash() },
            "the leader is cut off" to {
                leader?.isolated = true
                after(SimulatedCluster.LEADER_LEASE_MS) { elect() }
            },
            "a machine dies" to { workers.values.firstOrNull { !it.dead }?.dead = true },
            "a machine hangs" to { workers.values.lastOrNull { !it.dead }?.hungUntil = now + 16_000 },
        )

    /**
     * Runs every sequence of [depth] faults on three machines in two zones. The protocol's rules hold at each step, and all jobs
     * complete in the end. Returns the number of sequences.
     */
    private fun runAllSequences(depth: Int): Int {
        var sequences = 0

        fun runFrom(path: List<Int>) {
            if (path.size < depth) return faults.indices.forEach { runFrom(path + it) }
            sequences++
            val cluster = SimulatedCluster(path.fold(1L) { seed, fault -> seed * 31 + fault }, capacity = 3)
            cluster.elect()
            val jobs =
                listOf(
                    cluster.submit(1, JobKind.ARRAY, 5, "a", spot = true, seconds = 9.0),
                    cluster.submit(2, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 12.0),
                    cluster.submit(3, JobKind.ARRAY, 2, "b", spread = true, priority = Priority.PRODUCTION, seconds = 15.0),
                )
            cluster.run(7_000)
            for (fault in path) {
                faults[fault].second(cluster)
                cluster.run(3_000)
            }
            cluster.run(150_000)
            val name = path.joinToString { faults[it].first }
            assertEquals(emptyList<String>(), cluster.broken, name)
            assertEquals(
                emptyList<String>(),
                jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
                "unfinished after: $name",
            )
        }
        runFrom(emptyList())
        return sequences
    }

    @Test
    fun `all jobs complete after every sequence of three faults on three machines`() {
        assertEquals(343, runAllSequences(3))
    }

    /** Takes some minutes and runs only on request: `mvn test -Dtest=MassFailureTest -DexcludedGroups=none`. */
    @Tag("measure")
    @Test
    fun `all jobs complete after every sequence of four faults on three machines`() {
        assertEquals(2_401, runAllSequences(4))
    }
}
