package org.honeyjunction.simulation

import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/**
 * Replays in virtual time combinations of faults that occurred on real machines. [SimulatedCluster] checks the protocol's rules
 * after every step, and each test asserts that the faults really overlapped.
 */
class OverlappingFaultsRecoveryTest {
    /** Number of live tasks of the job [id] on workers with a valid lease. */
    private fun SimulatedCluster.liveTasks(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    /** Workers that have live tasks of the job [id], whether or not their leases are valid. */
    private fun SimulatedCluster.workersWithTasksOf(id: String) =
        workers.values.filter { worker -> worker.tasks.values.any { it.live && it.spec.id == id } }

    private fun SimulatedCluster.assertDone(ids: List<String>) {
        assertEquals(emptyList<String>(), broken)
        assertEquals(emptyList<String>(), ids.filter { state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }

    /** Commands still reach the workers whose heartbeats are blocked. Every duration is shorter than the worker lease. */
    @ParameterizedTest
    @CsvSource("1,3000", "2,5000", "3,7000", "4,7000")
    fun `heartbeats that are blocked for less than the lease cost no task`(seed: Long, forMs: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 8, "b", seconds = 40.0)
        cluster.run(12_000)
        assertEquals(8, cluster.runningTaskCount(job))
        var starts = 0
        cluster.onEachStart { starts++ }
        cluster.blockHeartbeats(cluster.workers.keys.toSet(), forMs)
        cluster.run(forMs + 60_000)
        assertEquals(0, starts, "tasks that were started again")
        assertEquals(setOf(1L), cluster.workers.values.map { it.session }.toSet().ifEmpty { setOf(1L) })
        cluster.assertDone(listOf(job))
    }

    /**
     * Heartbeats are blocked for longer than the worker lease while the workers still answer commands. Tasks on these workers end
     * with the lease, because only an answered heartbeat renews it. The leader restarts the tasks elsewhere once it has proof that
     * they have ended, and starts no further task on a worker whose lease is about to expire.
     */
    @ParameterizedTest(name = "seed {0}, leader crashes: {1}")
    @CsvSource("1,false", "2,false", "3,false", "4,true", "5,true")
    fun `heartbeats are blocked for longer than the lease - tasks restart elsewhere and none starts on these workers`(
        seed: Long,
        crash: Boolean,
    ) {
        val cluster = SimulatedCluster(seed, capacity = 5, setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0)))
        cluster.elect()
        val long = cluster.submit(1, JobKind.ARRAY, 8, "b", seconds = 45.0, checkpoint = 5.0)
        cluster.run(12_000)
        val blockedWorkers = cluster.workersWithTasksOf(long).take(2)
        val blockedNames = blockedWorkers.map { it.name }.toSet()
        val sessions = blockedWorkers.map { it.session }
        val lateStarts = ArrayList<String>()
        val blockedAt = cluster.now
        var commands = 0
        cluster.blockHeartbeats(blockedNames, 60_000)
        cluster.onEachStart {
            // A new leader also waits for heartbeats for some seconds before it considers a worker silent.
            val since = minOf(it.at - blockedAt, it.at - cluster.leader!!.leader.state.startedAt)
            if (it.worker.name in blockedNames && it.at < blockedAt + 60_000) {
                if (since > 6_000) {
                    lateStarts += "${it.at}: ${it.task.id}"
                } else {
                    commands++
                }
            }
        }
        val jobs = arrayListOf(long)
        val cancelled = ArrayList<String>()
        repeat(120) { step ->
            val id = cluster.submit(10 + step, JobKind.ARRAY, 1, if (step % 2 == 0) "a" else "b", seconds = 4.0, priority = Priority.HIGH)
            if (step % 4 == 0) {
                cluster.after(2_500) {
                    cancelled += id
                    cluster.cancel(id)
                }
            } else {
                jobs += id
            }
            if (crash && step == 25) cluster.crash()
            cluster.run(500)
        }
        assertTrue(blockedWorkers.zip(sessions).all { (worker, s) -> worker.session > s }, "the leases of the blocked workers ended")
        assertTrue(commands > 0, "commands reached the blocked workers")
        cluster.run(120_000)
        assertEquals(emptyList<String>(), lateStarts, "starts on workers without heartbeats")
        cluster.assertDone(jobs)
        assertEquals(emptyList<String>(), cancelled.filter { cluster.state.terminalRecords[it] == null })
    }

    /**
     * Jobs are cancelled while heartbeats are blocked, before and after the leader crashes. The next leader sends its fencing token
     * and the stops as direct commands, so neither needs a heartbeat.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `cancelled tasks stop at once while heartbeats are blocked, also through the next leader`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val first = cluster.submit(1, JobKind.ARRAY, 4, "b", seconds = 1e6)
        val second = cluster.submit(2, JobKind.ARRAY, 4, "b", seconds = 1e6)
        cluster.run(15_000)
        cluster.blockHeartbeats(cluster.workers.keys.toSet(), 9_000)
        cluster.run(500)
        cluster.cancel(first)
        cluster.run(700)
        assertTrue(first in cluster.history.cancelledAt)
        assertEquals(0, cluster.liveTasks(first))
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 700)
        assertEquals(4, cluster.liveTasks(second), "the second job still runs while heartbeats are blocked")
        cluster.cancel(second)
        cluster.run(1_000)
        assertTrue(second in cluster.history.cancelledAt)
        assertEquals(0, cluster.liveTasks(second))
        cluster.run(60_000)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /**
     * Ten leaders within two minutes; in some runs each leads for only 3 s, and in some the state service has an outage during three of
     * the failovers.
     */
    @ParameterizedTest(name = "seed {0}, each leader leads for {1} ms, outage: {2}")
    @CsvSource("1,7000,false", "2,7000,true", "3,3000,false", "4,3000,true")
    fun `ten failovers - jobs complete, fencing tokens never decrease, idle machines are released`(
        seed: Long,
        leadsMs: Long,
        outage: Boolean,
    ) {
        val setup = ClusterSetup()
        val cluster = SimulatedCluster(seed, setup = setup)
        cluster.elect()
        val replicas = cluster.submit(1, JobKind.SERVICE, 2, "b", spread = true, priority = Priority.PRODUCTION)
        val jobs =
            arrayListOf(
                cluster.submit(2, JobKind.ARRAY, 6, "a", seconds = 40.0),
                cluster.submit(3, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 60.0),
            )
        cluster.run(12_000)
        val terms = ArrayList<Long>()
        val tokens = HashMap<String, Long>()
        var restarted = 0
        cluster.onEachStart { if (it.task.spec.id == replicas) restarted++ }
        repeat(10) { failover ->
            if (outage && failover in 3..5) {
                cluster.state.down = true
                cluster.after(6_000) { cluster.state.down = false }
            }
            jobs += cluster.submit(100 + failover, JobKind.ARRAY, 1, if (failover % 2 == 0) "a" else "b", seconds = 6.0)
            cluster.crashAndElectWhenPossible()
            val before = cluster.state.term
            while (cluster.state.term == before) cluster.run(200)
            cluster.run(leadsMs)
            terms += cluster.state.term
            for (worker in cluster.workers.values) assertTrue(worker.token >= (tokens.put(worker.name, worker.token) ?: 0), "token fell")
            assertTrue(cluster.workers.values.any { it.token shr 24 == cluster.state.term }, "a worker has the new leader's fencing token")
        }
        assertEquals(terms.sorted().distinct(), terms)
        assertEquals(10, terms.size)
        assertEquals(0, restarted, "replicas that were restarted")
        cluster.runWithWorkConservation(60_000)
        cluster.assertDone(jobs)
        assertEquals(2, cluster.runningTaskCount(replicas))
        cluster.run(120_000)
        assertTrue(cluster.workers.size <= 2, "${cluster.workers.size} machines for two replicas")
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /**
     * More jobs than the machines have room for, while commands and responses each take up to 1.8 s longer. Urgent jobs preempt others
     * once it is proven that the preempted tasks have stopped, and no job waits forever.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `urgent jobs start and all jobs complete in an overloaded cluster with slow connections`(seed: Long) {
        val setup = ClusterSetup(limits = mapOf("a" to 20.0, "b" to 20.0))
        val cluster = SimulatedCluster(seed, capacity = 6, setup = setup)
        cluster.elect()
        val lowPriorityJob = cluster.submit(1, JobKind.ARRAY, 40, "a", seconds = 14.0, checkpoint = 3.0, priority = Priority.LOW)
        cluster.run(15_000)
        cluster.network.maxExtraLatencyMs = 1_800
        var maxTokenIncrease = 0L
        val jobs = arrayListOf(lowPriorityJob)
        val urgent = ArrayList<String>()
        val stoppedJobs = HashSet<String>()
        for (second in 0 until 120) {
            if (second % 5 == 0) jobs += cluster.submit(10 + second, JobKind.ARRAY, 3, if (second % 2 == 0) "a" else "b", seconds = 9.0)
            if (second % 20 == 3) urgent += cluster.submit(300 + second, JobKind.ARRAY, 4, "b", seconds = 8.0, priority = Priority.HIGH)
            if (second == 40) urgent += cluster.submit(500, JobKind.GANG, 3, "b", gpus = 4, seconds = 10.0, priority = Priority.HIGH)
            if (second == 60) cluster.crash()
            cluster.run(1_000)
            cluster.leader?.leader?.state?.let { state ->
                maxTokenIncrease =
                    maxOf(maxTokenIncrease, state.machines.maxOfOrNull { it.token - state.termToken } ?: 0L)
            }
            cluster.workers.values.forEach { worker ->
                worker.tasks.values.filter { (it.state as? TaskState.Ended)?.cause == TerminationReason.STOPPED }.forEach {
                    stoppedJobs +=
                        it.spec.id
                }
            }
            val overdue =
                urgent.filter { id ->
                    cluster.state.jobs[id]?.let { cluster.now - it.createdAtWall > 60_000 } == true &&
                        cluster.history.starts.values.none { it.task.spec.id == id }
                }
            assertEquals(emptyList<String>(), overdue, "urgent jobs not started within 60 s, at ${cluster.now}")
        }
        assertTrue(maxTokenIncrease > 0, "responses to commands came too late")
        assertTrue(lowPriorityJob in stoppedJobs, "tasks of low priority were preempted")
        cluster.network.maxExtraLatencyMs = 0
        cluster.runWithWorkConservation(200_000)
        cluster.assertDone(jobs + urgent)
    }

    /**
     * The tasks of small jobs end under different leaders, while copies of old heartbeats arrive again and six in ten responses to
     * writes of journal pages are lost.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `tasks that end under different leaders run once, despite late heartbeats and lost responses to page writes`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        var lostResponses = 0
        cluster.network.writeResponseLost =
            { changes -> (changes.any { it is Change.JournalPage } && cluster.random.nextInt(10) < 6).also { if (it) lostResponses++ } }
        val starts = HashMap<String, Int>()
        cluster.onEachStart { starts.merge(it.task.id, 1, Int::plus) }
        // The team's limit allows two tasks at a time, so the others start when these end.
        val jobs =
            listOf(
                cluster.submit(1, JobKind.ARRAY, 3, "a", gpus = 4, seconds = 13.0),
                cluster.submit(2, JobKind.ARRAY, 2, "a", gpus = 4, seconds = 11.0),
            )
        cluster.network.repeatedHeartbeatPercent = 60
        var partlyDoneJobs = 0
        repeat(4) {
            cluster.run(13_000)
            cluster.crash()
            partlyDoneJobs +=
                jobs.count { id ->
                    cluster.state.pages.values.any { (page, _) -> page.done[id]?.isEmpty == false } &&
                        id in cluster.state.jobs
                }
            cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_000)
        }
        assertTrue(lostResponses > 0, "responses were lost")
        assertTrue(partlyDoneJobs > 0, "a leader crashed while only some tasks of a job had ended")
        cluster.run(120_000)
        cluster.assertDone(jobs)
        assertEquals(setOf(1), starts.values.toSet(), "each task ran once: $starts")
    }

    /**
     * The only heartbeat that reports the end of a task is delayed by [heldMs], until a new leader has acted. If [heldMs] exceeds the
     * worker lease, the worker has a new session by then.
     */
    @ParameterizedTest(name = "seed {0}, delayed by {1} ms")
    @CsvSource("1,8000", "2,8000", "3,9000", "4,18000", "5,18000", "6,30000")
    fun `a job completes though the only heartbeat that reports a task end arrives after a new leader has acted`(seed: Long, heldMs: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 2, "b", gpus = 4, seconds = 16.0)
        var machine = ""
        var arrivesAt = 0L
        cluster.network.heartbeatDelayMs = { heartbeat ->
            if (machine.isEmpty() && heartbeat.tasks.any { (it.state as? TaskState.Ended)?.cause == TerminationReason.DONE }) {
                machine = heartbeat.machine
                arrivesAt = cluster.now + heldMs
                cluster.crash()
                heldMs
            } else if (heartbeat.machine == machine && cluster.now < arrivesAt) {
                // Later heartbeats of the worker do not overtake the delayed one.
                arrivesAt - cluster.now + 200
            } else {
                null
            }
        }
        // No command reaches the worker, so no response to a command reports the end either.
        cluster.network.reachesWorker = { worker, _ -> worker.name != machine || cluster.now >= arrivesAt }
        while (machine.isEmpty()) cluster.run(100)
        val session = cluster.workers.getValue(machine).session
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_500)
        val phases =
            cluster.leader!!
                .leader.state.active
                .getValue(job)
                .placements
                .filter { it.machine.name == machine }
                .map { it.phase }
        assertTrue(phases.isEmpty() || phases.all { it == Phase.UNCONFIRMED || it.reported }, "$phases")
        assertTrue(cluster.leader!!.term == 2L && cluster.now < arrivesAt, "the new leader acts first")
        cluster.run(arrivesAt - cluster.now + 100)
        assertEquals(
            heldMs > 13_000,
            (cluster.workers[machine]?.session ?: (session + 1)) > session,
            "whether the worker has a new session when the heartbeat arrives",
        )
        cluster.run(90_000)
        cluster.assertDone(listOf(job))
    }

    /**
     * All controllers are down for longer than any lease, so all tasks end. The next leaders restart them from the stored records
     * alone, each task once.
     */
    @ParameterizedTest
    @CsvSource("1,20000", "2,30000", "3,45000", "4,90000")
    fun `all jobs go on after all controllers were down for longer than the leases`(seed: Long, downMs: Long) {
        val setup = ClusterSetup()
        val cluster = SimulatedCluster(seed, setup = setup)
        cluster.elect()
        val replicas = cluster.submit(1, JobKind.SERVICE, 2, "b", spread = true, priority = Priority.PRODUCTION)
        val jobs =
            listOf(
                cluster.submit(2, JobKind.ARRAY, 6, "a", seconds = 30.0, checkpoint = 5.0),
                cluster.submit(3, JobKind.GANG, 2, "b", oneZone = true, gpus = 2, seconds = 30.0, checkpoint = 5.0),
                cluster.submit(4, JobKind.ARRAY, 2, "b", oneZone = true, seconds = 25.0),
            )
        cluster.run(15_000)
        assertTrue((jobs + replicas).all { cluster.liveTasks(it) > 0 })
        val cancelled = cluster.submit(5, JobKind.ARRAY, 2, "a", seconds = 1e6)
        cluster.run(5_000)
        cluster.leader!!.alive = false
        cluster.run(downMs)
        assertTrue(cluster.workers.values.all { it.session > 1 }, "all workers have new sessions")
        assertEquals(0, (jobs + replicas + cancelled).sumOf { cluster.liveTasks(it) }, "live tasks after the leases expired")
        cluster.elect()
        cluster.cancel(cancelled)
        // The first leader after the outage crashes soon, and the second one stays.
        cluster.run(700)
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 10_000)
        assertEquals(2, cluster.runningTaskCount(replicas), "running replicas")
        cluster.runWithWorkConservation(100_000)
        cluster.assertDone(jobs)
        assertTrue(cluster.state.terminalRecords[cancelled]?.stage == JobStage.CANCELLED && cluster.liveTasks(cancelled) == 0)
    }

    /**
     * A machine hangs before the stop command of a cancelled job arrives. Once the cancellation is confirmed, the job's task must stop
     * when the machine resumes, and must be gone before the time allowed for a cancellation is over.
     */
    @ParameterizedTest(name = "seed {0}, hangs for {1} ms, leader crashes: {2}, commands arrive afterwards: {3}")
    @CsvSource(
        "1,3000,false,true",
        "2,8000,false,true",
        "3,10500,false,true",
        "4,15000,false,true",
        "5,60000,false,true",
        "6,8000,true,true",
        "7,10500,true,true",
        "8,15000,true,true",
        "9,60000,true,true",
        "1,3000,false,false",
        "2,8000,false,false",
        "6,8000,true,false",
    )
    fun `a cancelled task ends when its hanging machine resumes or is released`(
        seed: Long,
        hangMs: Long,
        crash: Boolean,
        commands: Boolean,
    ) {
        // With such a long boot time the leader would wait for a silent machine beyond the time allowed for a cancellation.
        val setup = ClusterSetup().let { s -> ClusterSetup(type = s.type.copy(bootS = 40.0)) }
        val cluster = SimulatedCluster(seed, setup = setup)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 4, "b", seconds = 1e6)
        cluster.submit(2, JobKind.SERVICE, 8, "a", priority = Priority.PRODUCTION)
        cluster.run(70_000)
        assertEquals(4, cluster.runningTaskCount(job))
        val hung = cluster.workersWithTasksOf(job).take(1)
        assertTrue(cluster.workers.size > 1, "another machine is not silent: if all are, the leader concludes nothing from silence")
        val until = cluster.now + hangMs
        hung.forEach { it.hungUntil = until }
        cluster.run(40)
        cluster.cancel(job)
        val askedAt = cluster.now
        cluster.run(200)
        assertTrue(job in cluster.history.cancelledAt, "the cancellation is confirmed")
        if (!commands) cluster.network.commandsReach = { it !in hung }
        if (crash) cluster.crash()
        while (cluster.now < until && cluster.now < askedAt + 36_500) cluster.run(100)
        if (hangMs > 37_000) {
            assertTrue(hung.none { it.name in cluster.workers }, "the machine is released, because a hanging machine keeps its tasks")
        } else {
            assertTrue(
                hung.any { worker ->
                    worker.name in cluster.workers && worker.tasks.values.any { it.live && it.spec.id == job }
                } ||
                    hangMs > 9_000,
                "the machine resumes with the task",
            )
            cluster.run(3_000)
            assertEquals(
                0,
                cluster.workers.values.sumOf { worker ->
                    worker.tasks.values.count { it.live && it.spec.id == job }
                },
                "the response to the first heartbeat stops the task",
            )
        }
        cluster.run(60_000)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /**
     * The state service refuses requests of the leader alone. A second later, or about when another leader is elected, it fails for
     * all controllers for longer than a cancellation may take. A user cancels the job at different times before and during these
     * faults: its tasks stop soon after the request, and the cancellation is confirmed only when it is durable.
     */
    @ParameterizedTest(name = "outage {0} ms after the refusal")
    @ValueSource(longs = [1_000, 4_500, 7_000])
    fun `cancelled jobs stop while the state service refuses the leader or is down, and only durable cancellations are confirmed`(
        outageAfterMs: Long,
    ) {
        for (cancelAfterMs in listOf(-1_000L, -100, -20, 0, 20, 100, 500, 980, 1_000, 1_020, 3_000, 4_980, 5_020, 6_000, 7_100, 30_000)) {
            for (seed in 1L..2L) {
                val name = "cancelled after $cancelAfterMs ms, seed $seed"
                val cluster = SimulatedCluster(seed)
                cluster.elect()
                val job = cluster.submit(1, JobKind.ARRAY, 4, "b", seconds = 1e6)
                val other = cluster.submit(2, JobKind.ARRAY, 3, "a", seconds = 1e6)
                cluster.run(15_000)
                val former = cluster.leader!!
                val refusedAt = cluster.now + 2_000
                cluster.after(2_000) {
                    former.refused = true
                    cluster.after(SimulatedCluster.LEADER_LEASE_MS) { if (!cluster.state.down) cluster.elect() }
                }
                cluster.after(2_000 + outageAfterMs) { cluster.state.down = true }

                // The user repeats the request until the cancellation is confirmed.
                fun requestCancellation() {
                    if (job in cluster.history.cancelledAt) return
                    cluster.cancel(job)
                    cluster.after(1_000) { requestCancellation() }
                }
                cluster.after(2_000 + cancelAfterMs) { requestCancellation() }
                cluster.run(2_000 + maxOf(cancelAfterMs, 0) + 3_000)
                assertEquals(0, cluster.liveTasks(job), "live tasks of the cancelled job: $name")
                cluster.run(refusedAt + outageAfterMs + 45_000 - cluster.now)
                assertEquals(
                    cancelAfterMs < 0 || cancelAfterMs < outageAfterMs - 500 && outageAfterMs > SimulatedCluster.LEADER_LEASE_MS,
                    job in cluster.history.cancelledAt,
                    "confirmed only if durable: $name",
                )
                assertEquals(3, cluster.liveTasks(other), "the other job keeps running: $name")
                cluster.state.down = false
                former.refused = false
                cluster.run(10_000)
                assertEquals(JobStage.CANCELLED, cluster.state.terminalRecords[job]?.stage, name)
                assertEquals(emptyList<String>(), cluster.broken, name)
            }
        }
    }

    /**
     * Long jobs leave room on the machines. A gang waits because its team's limit has no room for it yet, and small jobs of the same
     * team are queued behind it.
     */
    @ParameterizedTest(name = "seed {0}, leader crashes: {1}")
    @CsvSource("1,false", "2,false", "3,true", "4,true")
    fun `no job waits for 90 s while machines have room and its team is below its limit`(seed: Long, crash: Boolean) {
        val setup = ClusterSetup(limits = mapOf("a" to 16.0, "b" to 16.0))
        val cluster = SimulatedCluster(seed, capacity = 12, setup = setup)
        cluster.elect()
        cluster.requireWorkConservation()
        cluster.submit(4, JobKind.SERVICE, 8, "b", priority = Priority.PRODUCTION)
        val jobs = arrayListOf(cluster.submit(1, JobKind.ARRAY, 13, "a", seconds = 220.0))
        cluster.run(15_000)
        jobs += cluster.submit(3, JobKind.GANG, 2, "a", gpus = 2, seconds = 10.0, priority = Priority.HIGH)
        cluster.run(3_000)
        repeat(6) {
            jobs +=
                cluster.submit(
                    10 + it,
                    JobKind.ARRAY,
                    1,
                    if (it % 2 == 0) "a" else "b",
                    seconds = 9.0,
                    priority = if (it < 3) Priority.LOW else Priority.NORMAL,
                )
        }
        if (crash) cluster.crash()
        cluster.run(340_000)
        cluster.assertDone(jobs)
    }

    /**
     * The part of a team's limit that is reserved for a gang is withheld from the team's jobs of every owner. Jobs that are expected
     * to end before the gang can start may use that part meanwhile.
     */
    @Test
    fun `a gang's reservation of its team's limit also applies to long jobs of other owners`() {
        val cluster = SimulatedCluster(5, setup = ClusterSetup(limits = mapOf("a" to 8.0, "b" to 16.0)))
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 7, "a", seconds = 30.0)
        cluster.run(12_000)
        cluster.submit(2, JobKind.GANG, 2, "a", gpus = 2, seconds = 10.0, priority = Priority.HIGH)
        cluster.run(200)

        fun submitToOtherOwner(number: Int, seconds: Double): String {
            val spec =
                JobSpec(
                    "j-$number",
                    "c",
                    "a",
                    JobKind.ARRAY,
                    Priority.NORMAL,
                    1,
                    Resources(1.0, 1.0, 1.0),
                    "i0",
                    2.0,
                    null,
                    null,
                    false,
                    false,
                    false,
                    seconds,
                    0.0,
                    1.0,
                    null,
                )
            val stored = cluster.state.submit(StoredJob(spec, "m", cluster.now, 0, JobStage.ACTIVE))
            cluster.leader!!.run { jobObserved(stored, cluster.now, cluster.now) }
            return spec.id
        }
        val long = submitToOtherOwner(3, 25.0)
        val short = submitToOtherOwner(4, 2.0)
        val core = cluster.leader!!.leader
        val wanted = core.summaryFor("m", cluster.now).rows.map { core.state.jobAt(it.job)!!.spec.id }
        assertEquals(listOf(short), wanted, "jobs that the other owner may start, without $long")
    }
}
