package org.honeyjunction.simulation

import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Two overlapping faults, in virtual time: [SimulatedCluster] asserts the protocol's rules after every step. */
class OverlappingFaultsTest {
    private fun SimulatedCluster.live(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    /** One long job on machines of its own, running. */
    private fun SimulatedCluster.running(tasks: Int = 4): String {
        elect()
        val id = submit(1, JobKind.ARRAY, tasks, "b", seconds = 1e6)
        run(15_000)
        assertEquals(tasks, live(id), "the tasks run")
        return id
    }

    /**
     * The gap: the leader loses the state service (and the others), its workers stay with it; the next one, whom no worker
     * hears, confirms that the job is cancelled, and then the state service is down for all. [SimulatedCluster] notes ran_cancelled
     * once the time is over.
     */
    @ParameterizedTest(name = "{0}, seed {1}")
    @CsvSource(
        "the next leader ends after the confirmation, 1",
        "the next leader ends after the confirmation, 2",
        "the next leader is heard by nobody, 3",
        "the next leader is heard by nobody, 4",
        "the next leader is heard after 20 s, 5",
        "the next leader is heard after 20 s, 6",
    )
    fun `a job that is cancelled through the next leader is gone in time, though the former one answers its workers`(
        case: String,
        seed: Long,
    ) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.running()
        val former = cluster.leader!!
        cluster.network.nextLeaderLosesMessages = true
        cluster.isolateLeader()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 200)
        val next = cluster.leader!!
        assertTrue(next !== former && former.alive)
        cluster.cancel(job)
        // Nobody hears it, so the former leader may keep the tasks alive: it is confirmed only when that has an end.
        cluster.run(RenewalBound.CONFIRMATION_DELAY_MS - 2_000)
        assertTrue(job !in cluster.history.cancelledAt, "not yet")
        assertEquals(4, cluster.live(job))
        cluster.run(3_000)
        assertTrue(job in cluster.history.cancelledAt, "confirmed")
        cluster.state.down = true
        if ("ends" in case) next.alive = false
        if ("20 s" in case) cluster.after(20_000) { next.messagesToWorkersLost = false }
        cluster.run(45_000)
        assertEquals(emptyList<String>(), cluster.broken, case)
        assertEquals(0, cluster.live(job), case)
    }

    /** Where the next leader is heard, its token comes first, and nobody waits; what it ends after that makes no difference. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a cancellation is confirmed at once where the next leader's token is known`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.running()
        cluster.isolateLeader()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_500)
        cluster.cancel(job)
        cluster.run(300)
        assertTrue(job in cluster.history.cancelledAt, "confirmed")
        cluster.state.down = true
        cluster.leader!!.alive = false
        cluster.run(40_000)
        assertEquals(0, cluster.live(job))
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The price: an outage in which all other controllers answer costs no task, however long; see RenewalBoundTest for the rest. */
    @Test
    fun `an outage of the state service longer than a cancellation may take ends no task`() {
        val cluster = SimulatedCluster(1)
        val job = cluster.running()
        cluster.state.down = true
        cluster.run(80_000)
        assertEquals(4, cluster.live(job))
        cluster.state.down = false
        cluster.run(5_000)
        assertEquals(4, cluster.live(job))
        assertEquals(
            1,
            cluster.history.starts.values
                .map { it.task.attempt }
                .distinct()
                .size,
            "none was started again",
        )
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** Stops are lost on deaf machines: the lease ends what was cancelled, and what is deaf is no proof of anything before its time. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a leader ends while commands do not reach machines - cancelled tasks end with the lease, the rest is started once`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.running()
        val other = cluster.submit(2, JobKind.ARRAY, 3, "b", seconds = 30.0)
        cluster.run(10_000)
        cluster.workers.values.forEach { it.deafUntil = cluster.now + 25_000 }
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 500)
        cluster.cancel(job)
        cluster.run(36_000)
        assertEquals(0, cluster.live(job))
        cluster.run(120_000)
        assertEquals(JobStage.DONE, cluster.state.terminalRecords[other]?.stage)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** A small job whose ends lie apart: results that an earlier leader wrote are never asked for again. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a job of two tasks ends half before and half after failovers - each task runs once, done is reported in time`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        // One begins when the other is nearly done: a team's limit lets one run at a time.
        val job = cluster.submit(1, JobKind.ARRAY, 2, "a", gpus = 4, seconds = 12.0)
        val rest = cluster.submit(2, JobKind.ARRAY, 1, "a", gpus = 4, seconds = 14.0)
        cluster.network.repeatedHeartbeatPercent = 30
        cluster.run(14_000)
        repeat(2) {
            cluster.crash()
            cluster.run(9_000)
        }
        cluster.run(90_000)
        for (id in listOf(job, rest)) assertEquals(JobStage.DONE, cluster.state.terminalRecords[id]?.stage, id)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The largest of a class begin within four minutes beside small work that never stops, over two changes of leader. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `whole gangs of the largest size and an array at its team's limit begin beside steady small work`(seed: Long) {
        val cluster = SimulatedCluster(seed, capacity = 9)
        cluster.elect()
        val small = ArrayList<String>()
        val large = ArrayList<String>()
        for (second in 0 until 300) {
            if (second % 2 == 0) {
                small +=
                    cluster.submit(
                        1_000 + second,
                        JobKind.ARRAY,
                        1,
                        if (second % 4 == 0) "a" else "b",
                        seconds = 9.0 + second % 7,
                        jobClass = "steady",
                    )
            }
            if (second % 60 == 20) {
                large +=
                    cluster.submit(
                        10 + second,
                        JobKind.GANG,
                        4,
                        "b",
                        oneZone = true,
                        gpus = 4,
                        seconds = 15.0,
                        jobClass = "train",
                        priority = Priority.HIGH,
                    )
                large += cluster.submit(11 + second, JobKind.ARRAY, 12, "a", seconds = 12.0, jobClass = "steady")
            }
            if (second == 50 || second == 130) cluster.crash()
            cluster.run(1_000)
            val late =
                large.filter { id ->
                    cluster.state.jobs[id]?.let { cluster.now - it.createdAtWall > 240_000 } == true &&
                        cluster.history.starts.values.none { it.task.spec.id == id }
                }
            assertEquals(emptyList<String>(), late, "begin within four minutes, at ${cluster.now}")
        }
        cluster.run(260_000)
        assertEquals(emptyList<String>(), (small + large).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
        assertEquals(emptyList<String>(), cluster.broken)
    }

    private val faults: List<Pair<String, SimulatedCluster.() -> Unit>> =
        listOf(
            "the leader ends" to { crash() },
            "the leader is cut off" to { isolateLeader() },
            "the leader is cut off and messages of the next one are lost" to
                {
                    network.nextLeaderLosesMessages = true
                    isolateLeader()
                    after(20_000) {
                        network.nextLeaderLosesMessages = false
                        leader?.messagesToWorkersLost = false
                    }
                },
            "the leader stands still" to { freeze(9_000) },
            "the state service is down" to {
                state.down = true
                after(20_000) { state.down = false }
            },
            "half of the machines are deaf" to
                { workers.values.filterIndexed { i, _ -> i % 2 == 0 }.forEach { it.deafUntil = now + 16_000 } },
            "a zone is cut" to { disconnectZone("x", 14_000) },
            "machines hang" to { workers.values.filterIndexed { i, _ -> i % 3 == 0 }.forEach { it.hungUntil = now + 16_000 } },
            "reports come twice" to {
                network.repeatedHeartbeatPercent = 60
                after(30_000) { network.repeatedHeartbeatPercent = 0 }
            },
            "a job is cancelled" to
                {
                    state.jobs.values
                        .filter { it.spec.kind != JobKind.SERVICE }
                        .drop(1)
                        .firstOrNull()
                        ?.let { cancel(it.spec.id) }
                },
        )

    /** Every two faults, the second a moment or some seconds after the first, over arrays, a gang and replicas. */
    @ParameterizedTest
    @ValueSource(longs = [300, 3_000, 7_000])
    fun `every overlap of two faults`(gapMs: Long) {
        for ((a, first) in faults) {
            for ((b, second) in faults) {
                val cluster = SimulatedCluster(31L * a.hashCode() + b.hashCode() + gapMs)
                cluster.elect()
                val jobs =
                    listOf(
                        cluster.submit(1, JobKind.ARRAY, 6, "a", spot = true, seconds = 12.0, checkpoint = 3.0),
                        cluster.submit(2, JobKind.ARRAY, 2, "b", seconds = 25.0),
                        cluster.submit(3, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 14.0),
                    )
                val replicas = cluster.submit(4, JobKind.SERVICE, 2, "b", spread = true, priority = Priority.PRODUCTION)
                cluster.run(11_000)
                first(cluster)
                cluster.run(gapMs)
                second(cluster)
                cluster.run(150_000)
                val name = "$a, after $gapMs ms $b"
                assertEquals(emptyList<String>(), cluster.broken, name)
                assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it] == null }, "unfinished after: $name")
                assertEquals(2, cluster.runningTaskCount(replicas), "replicas after: $name")
            }
        }
    }
}
