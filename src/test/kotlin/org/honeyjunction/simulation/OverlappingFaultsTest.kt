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

/** Pairs of overlapping faults, in virtual time. [SimulatedCluster] checks the protocol's rules after every step. */
class OverlappingFaultsTest {
    /** Number of live tasks of the job [id] on workers with a valid lease. */
    private fun SimulatedCluster.liveTasks(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    /** Elects a leader, submits a long job, and returns its id when all its [tasks] run. */
    private fun SimulatedCluster.startLongJob(tasks: Int = 4): String {
        elect()
        val id = submit(1, JobKind.ARRAY, tasks, "b", seconds = 1e6)
        run(15_000)
        assertEquals(tasks, liveTasks(id), "the tasks run")
        return id
    }

    /**
     * The leader loses the state service and the other controllers, but still answers its workers. The next leader, whose messages
     * reach no worker, confirms a cancellation, and then the state service goes down for all controllers. [SimulatedCluster] reports
     * `ran_cancelled` if a task runs on after the time allowed for a cancellation.
     */
    @ParameterizedTest(name = "{0}, seed {1}")
    @CsvSource(
        "the next leader ends after the confirmation, 1",
        "the next leader ends after the confirmation, 2",
        "the next leader reaches no worker, 3",
        "the next leader reaches no worker, 4",
        "the next leader reaches the workers after 20 s, 5",
        "the next leader reaches the workers after 20 s, 6",
    )
    fun `a job cancelled through the next leader stops in time though the former leader still answers its workers`(
        case: String,
        seed: Long,
    ) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.startLongJob()
        val former = cluster.leader!!
        cluster.network.nextLeaderLosesMessages = true
        cluster.isolateLeader()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 200)
        val next = cluster.leader!!
        assertTrue(next !== former && former.alive)
        cluster.cancel(job)
        // The next leader reaches no worker, so the former one may keep the tasks alive. The cancellation is confirmed only when the
        // former leader can no longer renew the workers' leases.
        cluster.run(RenewalBound.CONFIRMATION_DELAY_MS - 2_000)
        assertTrue(job !in cluster.history.cancelledAt, "the cancellation is not confirmed yet")
        assertEquals(4, cluster.liveTasks(job))
        cluster.run(3_000)
        assertTrue(job in cluster.history.cancelledAt, "confirmed")
        cluster.state.down = true
        if ("ends" in case) next.alive = false
        if ("20 s" in case) cluster.after(20_000) { next.messagesToWorkersLost = false }
        cluster.run(45_000)
        assertEquals(emptyList<String>(), cluster.broken, case)
        assertEquals(0, cluster.liveTasks(job), case)
    }

    /**
     * The workers have the next leader's fencing token and so ignore responses of the former leader: the cancellation is confirmed
     * without delay, and the tasks stop even if the next leader ends right afterwards.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a cancellation is confirmed at once where the next leader's token is known`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.startLongJob()
        cluster.isolateLeader()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_500)
        cluster.cancel(job)
        cluster.run(300)
        assertTrue(job in cluster.history.cancelledAt, "confirmed")
        cluster.state.down = true
        cluster.leader!!.alive = false
        cluster.run(40_000)
        assertEquals(0, cluster.liveTasks(job))
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The other controllers confirm all the time that no later term has begun. RenewalBoundTest covers outages without that. */
    @Test
    fun `an outage of the state service that is longer than a cancellation may take ends no task`() {
        val cluster = SimulatedCluster(1)
        val job = cluster.startLongJob()
        cluster.state.down = true
        cluster.run(80_000)
        assertEquals(4, cluster.liveTasks(job))
        cluster.state.down = false
        cluster.run(5_000)
        assertEquals(4, cluster.liveTasks(job))
        assertEquals(
            1,
            cluster.history.starts.values
                .map { it.task.attempt }
                .distinct()
                .size,
            "no task was started again",
        )
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /**
     * Stop commands do not reach the machines, so cancelled tasks end with the worker leases. Before a lease has expired, the lack of
     * responses proves nothing, and no task may be started elsewhere.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a leader crashes while commands do not reach machines - cancelled tasks end with the lease, others never run twice`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        val job = cluster.startLongJob()
        val other = cluster.submit(2, JobKind.ARRAY, 3, "b", seconds = 30.0)
        cluster.run(10_000)
        cluster.workers.values.forEach { it.deafUntil = cluster.now + 25_000 }
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 500)
        cluster.cancel(job)
        cluster.run(36_000)
        assertEquals(0, cluster.liveTasks(job))
        cluster.run(120_000)
        assertEquals(JobStage.DONE, cluster.state.terminalRecords[other]?.stage)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The tasks of a small job end under different leaders: results that an earlier leader recorded are never requested again. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a job whose tasks end before and after failovers is reported as done`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        // The three tasks need 12 accelerators, and the team's limit is 10: the third task starts when another one has ended.
        val job = cluster.submit(1, JobKind.ARRAY, 2, "a", gpus = 4, seconds = 12.0)
        val otherJob = cluster.submit(2, JobKind.ARRAY, 1, "a", gpus = 4, seconds = 14.0)
        cluster.network.repeatedHeartbeatPercent = 30
        cluster.run(14_000)
        repeat(2) {
            cluster.crash()
            cluster.run(9_000)
        }
        cluster.run(90_000)
        for (id in listOf(job, otherJob)) assertEquals(JobStage.DONE, cluster.state.terminalRecords[id]?.stage, id)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The largest jobs start within four minutes beside a steady stream of small jobs, also when the leader crashes twice. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `gangs of the largest size and an array as large as its team's limit allows start beside steady small jobs`(seed: Long) {
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
            val overdue =
                large.filter { id ->
                    cluster.state.jobs[id]?.let { cluster.now - it.createdAtWall > 240_000 } == true &&
                        cluster.history.starts.values.none { it.task.spec.id == id }
                }
            assertEquals(emptyList<String>(), overdue, "large jobs not started within four minutes, at ${cluster.now}")
        }
        cluster.run(260_000)
        assertEquals(emptyList<String>(), (small + large).filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE })
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** The names determine the seeds of the runs: a changed name draws other runs. */
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

    /** Injects every two faults, the second one [gapMs] after the first, while arrays, a gang and the replicas of a service run. */
    @ParameterizedTest
    @ValueSource(longs = [300, 3_000, 7_000])
    fun `all jobs end and all replicas run after every overlap of two faults`(gapMs: Long) {
        for ((firstFault, injectFirst) in faults) {
            for ((secondFault, injectSecond) in faults) {
                val cluster = SimulatedCluster(31L * firstFault.hashCode() + secondFault.hashCode() + gapMs)
                cluster.elect()
                val jobs =
                    listOf(
                        cluster.submit(1, JobKind.ARRAY, 6, "a", spot = true, seconds = 12.0, checkpoint = 3.0),
                        cluster.submit(2, JobKind.ARRAY, 2, "b", seconds = 25.0),
                        cluster.submit(3, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 14.0),
                    )
                val replicas = cluster.submit(4, JobKind.SERVICE, 2, "b", spread = true, priority = Priority.PRODUCTION)
                cluster.run(11_000)
                injectFirst(cluster)
                cluster.run(gapMs)
                injectSecond(cluster)
                cluster.run(150_000)
                val name = "$firstFault, after $gapMs ms $secondFault"
                assertEquals(emptyList<String>(), cluster.broken, name)
                assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it] == null }, "unfinished after: $name")
                assertEquals(2, cluster.runningTaskCount(replicas), "replicas after: $name")
            }
        }
    }
}
