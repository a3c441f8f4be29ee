package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.fake.FakeWorker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * New machines boot within two seconds and get tasks at once, while writes are applied late or their responses are lost. Then the
 * leader ends, and the next leader knows of these machines only from journal pages.
 */
class NewMachineFailoverTest {
    /** Machines that have been up for less than two seconds, have live tasks, and are stored only in journal pages. */
    private fun SimulatedCluster.newMachinesWithTasks(since: Map<String, Long>): List<FakeWorker> {
        val newMachines =
            workers.values.filter { worker ->
                !worker.dead &&
                    now - since.getValue(worker.name) < 2_000 &&
                    worker.tasks.values.any { it.live }
            }
        if (newMachines.isEmpty()) return newMachines
        val stored = state.recovered()
        val named =
            stored.pages.flatMapTo(HashSet()) { page -> page.starts.map { it.machine } } - stored.machines.mapTo(HashSet()) { it.name }
        return newMachines.filter { it.name in named }
    }

    @ParameterizedTest(name = "{0}, {1}, seed {2}")
    @CsvSource(
        "reachable, hand over, 1",
        "reachable, hand over, 2",
        "reachable, crash, 3",
        "reachable, crash, 4",
        "reachable, cut off, 5",
        "reachable, cut off, 6",
        "cut,       hand over, 7",
        "cut,       hand over, 8",
        "cut,       crash, 9",
        "cut,       crash, 10",
        "cut,       cut off, 11",
        "cut,       cut off, 12",
        "deaf,      hand over, 13",
        "deaf,      crash, 14",
        "deaf,      cut off, 15",
        "hanging,   hand over, 16",
        "hanging,   crash, 17",
        "hanging,   cut off, 18",
    )
    fun `all jobs complete when the next leader learns of new machines with tasks only from journal pages`(
        reachability: String,
        change: String,
        seed: Long,
    ) {
        val cluster =
            SimulatedCluster(seed, capacity = 14, setup = ClusterSetup(limits = mapOf("a" to 14.0, "b" to 10.0), listLagMs = 8_000))
        cluster.cloud.bootFactor = 0.25
        cluster.cloud.extraListLag = true
        cluster.network.lateWritePercent = 25
        cluster.network.unansweredWritePercent = 15
        cluster.network.delayedCommandPercent = 4
        cluster.elect()
        val upSince = HashMap<String, Long>()
        val jobs = ArrayList<String>()
        var roundsWithFault = 0
        repeat(4) { round ->
            jobs += cluster.submit(10 * round + 1, JobKind.ARRAY, 6, "a", gpus = 2, seconds = 5.0)
            jobs += cluster.submit(10 * round + 2, JobKind.ARRAY, 9, "b", seconds = 14.0)
            jobs += cluster.submit(10 * round + 3, JobKind.GANG, 2, "b", gpus = 4, oneZone = true, seconds = 6.0)
            for (step in 0 until 600) {
                cluster.run(20)
                cluster.workers.keys.forEach { upSince.putIfAbsent(it, cluster.now) }
                val newMachines = cluster.newMachinesWithTasks(upSince)
                if (newMachines.isEmpty()) continue
                when (reachability) {
                    "cut" -> newMachines.forEach { it.cutUntil = cluster.now + 9_000 }
                    "deaf" -> newMachines.forEach { it.deafUntil = cluster.now + 9_000 }
                    "hanging" -> newMachines.forEach { it.hungUntil = cluster.now + 8_000 }
                }
                when (change) {
                    "hand over" -> cluster.handOver()
                    "crash" -> cluster.crash()
                    else -> cluster.isolateLeader()
                }
                if (change == "hand over") {
                    assertTrue(
                        newMachines.all { worker ->
                            cluster.leader!!.leader.state.machine(worker.name)!!.let { it.address == null && it.placements.isNotEmpty() }
                        },
                    )
                }
                roundsWithFault++
                break
            }
            cluster.run(13_000)
        }
        assertTrue(roundsWithFault > 0, "no failover happened while new machines were known from journal pages alone")
        assertTrue(cluster.lateWrites > 2, "${cluster.lateWrites} writes were applied late")
        cluster.network.lateWritePercent = 0
        cluster.network.unansweredWritePercent = 0
        cluster.network.delayedCommandPercent = 0
        cluster.run(30_000)
        cluster.requireWorkConservation()
        cluster.run(220_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished jobs")
        assertTrue(
            cluster.cloud.paid().let {
                it.first + it.second
            } <= 3,
            "idle machines are released: ${cluster.workers.keys}, ${cluster.cloud.bootingCount} booting",
        )
    }

    /**
     * A journal page that is applied late must not overwrite anything that newer pages recorded, even if the leader ends at that
     * moment and the next leader can reach none of the machines.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `all jobs complete after a journal page is applied late, after newer pages, and the leader ends`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 8, setup = ClusterSetup(limits = mapOf("a" to 14.0, "b" to 14.0)))
        cluster.cloud.bootFactor = 0.25
        cluster.elect()
        val jobs = ArrayList<String>()
        var roundsWithFault = 0
        repeat(5) { round ->
            cluster.network.lateWritePercent = 40
            val lateWritesBefore = cluster.lateWrites
            for (step in 0 until 60) {
                jobs += cluster.submit(100 * round + step + 1, JobKind.ARRAY, 1, if (step % 2 == 0) "a" else "b", seconds = 7.0 + step % 5)
                cluster.run(300)
                if (cluster.lateWrites > lateWritesBefore + 1) break
            }
            if (cluster.lateWrites > lateWritesBefore + 1) roundsWithFault++
            cluster.network.lateWritePercent = 0
            cluster.workers.values.forEach { it.cutUntil = cluster.now + 5_000 }
            cluster.handOver()
            cluster.run(9_000)
        }
        assertEquals(5, roundsWithFault, "rounds with late writes")
        cluster.run(20_000)
        cluster.requireWorkConservation()
        cluster.run(150_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished jobs")
    }
}
