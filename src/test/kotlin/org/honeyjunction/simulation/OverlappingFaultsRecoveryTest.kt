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
 * Overlapping faults that real machines showed, in virtual time; [SimulatedCluster] asserts the rules after every step, and each test
 * that its meeting took place.
 */
class OverlappingFaultsRecoveryTest {
    private fun SimulatedCluster.live(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    private fun SimulatedCluster.with(id: String) =
        workers.values.filter { worker -> worker.tasks.values.any { it.live && it.spec.id == id } }

    private fun SimulatedCluster.assertDone(ids: List<String>) {
        assertEquals(emptyList<String>(), broken)
        assertEquals(emptyList<String>(), ids.filter { state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }

    /** Direct commands still reach workers that reach no controller: no spell below the lease costs anything. */
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
        assertEquals(0, starts, "nothing was started again")
        assertEquals(setOf(1L), cluster.workers.values.map { it.session }.toSet().ifEmpty { setOf(1L) })
        cluster.assertDone(listOf(job))
    }

    /**
     * Mute for longer than the lease, while starts and stops keep being answered: tasks go by their leases all the same,
     * since nothing but an answered report renews them. They go on elsewhere, on evidence, and nothing more is put where the
     * end of the lease would take it.
     */
    @ParameterizedTest(name = "seed {0}, the leader ends: {1}")
    @CsvSource("1,false", "2,false", "3,false", "4,true", "5,true")
    fun `heartbeats are blocked for longer than the lease - tasks go on elsewhere and none is started there`(seed: Long, crash: Boolean) {
        val cluster = SimulatedCluster(seed, capacity = 5, setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0)))
        cluster.elect()
        val long = cluster.submit(1, JobKind.ARRAY, 8, "b", seconds = 45.0, checkpoint = 5.0)
        cluster.run(12_000)
        val mute = cluster.with(long).take(2)
        val names = mute.map { it.name }.toSet()
        val sessions = mute.map { it.session }
        val late = ArrayList<String>()
        val mutedAt = cluster.now
        var commands = 0
        cluster.blockHeartbeats(names, 60_000)
        cluster.onEachStart {
            // A new leader gives reports their time too.
            val since = minOf(it.at - mutedAt, it.at - cluster.leader!!.leader.state.startedAt)
            if (it.worker.name in names && it.at < mutedAt + 60_000) {
                if (since > 6_000) {
                    late += "${it.at}: ${it.task.id}"
                } else {
                    commands++
                }
            }
        }
        val jobs = arrayListOf(long)
        val cancelled = ArrayList<String>()
        repeat(120) { half ->
            val id = cluster.submit(10 + half, JobKind.ARRAY, 1, if (half % 2 == 0) "a" else "b", seconds = 4.0, priority = Priority.HIGH)
            if (half % 4 == 0) {
                cluster.after(2_500) {
                    cancelled += id
                    cluster.cancel(id)
                }
            } else {
                jobs += id
            }
            if (crash && half == 25) cluster.crash()
            cluster.run(500)
        }
        assertTrue(mute.zip(sessions).all { (m, s) -> m.session > s }, "their leases ended")
        assertTrue(commands > 0, "commands reached them")
        cluster.run(120_000)
        assertEquals(emptyList<String>(), late, "started where reports are missing")
        cluster.assertDone(jobs)
        assertEquals(emptyList<String>(), cancelled.filter { cluster.state.terminalRecords[it] == null })
    }

    /** Mute machines, the leader ends, and a cancellation: the next one's token and stop go as commands, no report is needed for either. */
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
        assertEquals(0, cluster.live(first))
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 700)
        assertEquals(4, cluster.live(second), "still there, and its machines mute")
        cluster.cancel(second)
        cluster.run(1_000)
        assertTrue(second in cluster.history.cancelledAt)
        assertEquals(0, cluster.live(second))
        cluster.run(60_000)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** Ten leaders in two minutes, some of whom lead for three seconds; a state service that is away for three of the changes. */
    @ParameterizedTest(name = "seed {0}, each leads {1} ms, outage {2}")
    @CsvSource("1,7000,false", "2,7000,true", "3,3000,false", "4,3000,true")
    fun `ten failovers - jobs go on, fencing tokens grow, idle machines are released`(seed: Long, leadsMs: Long, outage: Boolean) {
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
        repeat(10) { change ->
            if (outage && change in 3..5) {
                cluster.state.down = true
                cluster.after(6_000) { cluster.state.down = false }
            }
            jobs += cluster.submit(100 + change, JobKind.ARRAY, 1, if (change % 2 == 0) "a" else "b", seconds = 6.0)
            cluster.crashAndElectWhenPossible()
            val before = cluster.state.term
            while (cluster.state.term == before) cluster.run(200)
            cluster.run(leadsMs)
            terms += cluster.state.term
            for (m in cluster.workers.values) assertTrue(m.token >= (tokens.put(m.name, m.token) ?: 0), "tokens never fall")
            assertTrue(cluster.workers.values.any { it.token shr 24 == cluster.state.term }, "the new token is known")
        }
        assertEquals(terms.sorted().distinct(), terms)
        assertEquals(10, terms.size)
        assertEquals(0, restarted, "replicas stayed")
        cluster.runWithWorkConservation(60_000)
        cluster.assertDone(jobs)
        assertEquals(2, cluster.runningTaskCount(replicas))
        cluster.run(120_000)
        assertTrue(cluster.workers.size <= 2, "${cluster.workers.size} machines for two replicas")
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /** More work than room while commands and answers take seconds: what is urgent takes its place, on evidence; nothing waits for ever. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `more work than room over slow connections`(seed: Long) {
        val setup = ClusterSetup(limits = mapOf("a" to 20.0, "b" to 20.0))
        val cluster = SimulatedCluster(seed, capacity = 6, setup = setup)
        cluster.elect()
        val idle = cluster.submit(1, JobKind.ARRAY, 40, "a", seconds = 14.0, checkpoint = 3.0, priority = Priority.LOW)
        cluster.run(15_000)
        cluster.network.maxExtraLatencyMs = 1_800
        var unanswered = 0L
        val jobs = arrayListOf(idle)
        val urgent = ArrayList<String>()
        val stopped = HashSet<String>()
        for (second in 0 until 120) {
            if (second % 5 == 0) jobs += cluster.submit(10 + second, JobKind.ARRAY, 3, if (second % 2 == 0) "a" else "b", seconds = 9.0)
            if (second % 20 == 3) urgent += cluster.submit(300 + second, JobKind.ARRAY, 4, "b", seconds = 8.0, priority = Priority.HIGH)
            if (second == 40) urgent += cluster.submit(500, JobKind.GANG, 3, "b", gpus = 4, seconds = 10.0, priority = Priority.HIGH)
            if (second == 60) cluster.crash()
            cluster.run(1_000)
            cluster.leader?.leader?.state?.let { s ->
                unanswered =
                    maxOf(unanswered, s.machines.maxOfOrNull { it.token - s.termToken } ?: 0L)
            }
            cluster.workers.values.forEach { m ->
                m.tasks.values.filter { (it.state as? TaskState.Ended)?.cause == TerminationReason.STOPPED }.forEach {
                    stopped +=
                        it.spec.id
                }
            }
            val late =
                urgent.filter { id ->
                    cluster.state.jobs[id]?.let { cluster.now - it.createdAtWall > 60_000 } == true &&
                        cluster.history.starts.values.none { it.task.spec.id == id }
                }
            assertEquals(emptyList<String>(), late, "urgent work begins, at ${cluster.now}")
        }
        assertTrue(unanswered > 0, "answers came too late")
        assertTrue(idle in stopped, "something made way")
        cluster.network.maxExtraLatencyMs = 0
        cluster.runWithWorkConservation(200_000)
        cluster.assertDone(jobs + urgent)
    }

    /**
     * Jobs of two and three tasks whose ends lie apart across three leaders, while old reports come again and most answers
     * to writes of pages are lost.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `small jobs end far apart across failovers, late heartbeats and lost responses to page writes`(seed: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        var lost = 0
        cluster.network.writeResponseLost =
            { changes -> (changes.any { it is Change.JournalPage } && cluster.random.nextInt(10) < 6).also { if (it) lost++ } }
        val starts = HashMap<String, Int>()
        cluster.onEachStart { starts.merge(it.task.id, 1, Int::plus) }
        // A team's limit lets two run at a time: the others begin when those end.
        val jobs =
            listOf(
                cluster.submit(1, JobKind.ARRAY, 3, "a", gpus = 4, seconds = 13.0),
                cluster.submit(2, JobKind.ARRAY, 2, "a", gpus = 4, seconds = 11.0),
            )
        cluster.network.repeatedHeartbeatPercent = 60
        var apart = 0
        repeat(4) {
            cluster.run(13_000)
            cluster.crash()
            apart +=
                jobs.count { id ->
                    cluster.state.pages.values.any { (page, _) -> page.done[id]?.isEmpty == false } &&
                        id in cluster.state.jobs
                }
            cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_000)
        }
        assertTrue(lost > 0, "answers were lost")
        assertTrue(apart > 0, "a leader ended between two ends of a job")
        cluster.run(120_000)
        cluster.assertDone(jobs)
        assertEquals(setOf(1), starts.values.toSet(), "each task ran once: $starts")
    }

    /**
     * The only report that shows an end is held back until a new leader has acted; [heldMs] beyond the lease, the worker has
     * a new session by then.
     */
    @ParameterizedTest(name = "seed {0}, held for {1} ms")
    @CsvSource("1,8000", "2,8000", "3,9000", "4,18000", "5,18000", "6,30000")
    fun `the only heartbeat that shows an end arrives when a new leader has acted`(seed: Long, heldMs: Long) {
        val cluster = SimulatedCluster(seed)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 2, "b", gpus = 4, seconds = 16.0)
        var machine = ""
        var arrives = 0L
        cluster.network.heartbeatDelayMs = { r ->
            if (machine.isEmpty() && r.tasks.any { (it.state as? TaskState.Ended)?.cause == TerminationReason.DONE }) {
                machine = r.machine
                arrives = cluster.now + heldMs
                cluster.crash()
                heldMs
            } else if (r.machine == machine && cluster.now < arrives) {
                // Nothing of it overtakes that report.
                arrives - cluster.now + 200
            } else {
                null
            }
        }
        // Nor does an answer to a command tell of it.
        cluster.network.reachesWorker = { m, _ -> m.name != machine || cluster.now >= arrives }
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
        assertTrue(cluster.leader!!.term == 2L && cluster.now < arrives, "the new leader acts first")
        cluster.run(arrives - cluster.now + 100)
        assertEquals(heldMs > 13_000, (cluster.workers[machine]?.session ?: (session + 1)) > session, "the worker's session by then")
        cluster.run(90_000)
        cluster.assertDone(listOf(job))
    }

    /** No controller for longer than any lease: all tasks are gone, and come back once each, from their records alone. */
    @ParameterizedTest
    @CsvSource("1,20000", "2,30000", "3,45000", "4,90000")
    fun `all controllers are down for longer than the leases and return`(seed: Long, awayMs: Long) {
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
        assertTrue((jobs + replicas).all { cluster.live(it) > 0 })
        val cancelled = cluster.submit(5, JobKind.ARRAY, 2, "a", seconds = 1e6)
        cluster.run(5_000)
        cluster.leader!!.alive = false
        cluster.run(awayMs)
        assertTrue(cluster.workers.values.all { it.session > 1 }, "new sessions")
        assertEquals(0, (jobs + replicas + cancelled).sumOf { cluster.live(it) }, "gone by their leases")
        cluster.elect()
        cluster.cancel(cancelled)
        // The first ends at once again, the second stays.
        cluster.run(700)
        cluster.crash()
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 10_000)
        assertEquals(2, cluster.runningTaskCount(replicas), "replicas are back")
        cluster.runWithWorkConservation(100_000)
        cluster.assertDone(jobs)
        assertTrue(cluster.state.terminalRecords[cancelled]?.stage == JobStage.CANCELLED && cluster.live(cancelled) == 0)
    }

    /**
     * The machine hangs before the stop arrives; confirmed as cancelled, its task must not go on when it resumes, and not be
     * there when its time is over.
     */
    @ParameterizedTest(name = "seed {0}, hangs {1} ms, leader ends: {2}, commands get through afterwards: {3}")
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
    fun `a cancelled task does not go on after its machine hung`(seed: Long, hangMs: Long, crash: Boolean, commands: Boolean) {
        // A machine takes long to boot, so that a silent one would be waited for beyond the time for a cancellation.
        val setup = ClusterSetup().let { s -> ClusterSetup(type = s.type.copy(bootS = 40.0)) }
        val cluster = SimulatedCluster(seed, setup = setup)
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 4, "b", seconds = 1e6)
        cluster.submit(2, JobKind.SERVICE, 8, "a", priority = Priority.PRODUCTION)
        cluster.run(70_000)
        assertEquals(4, cluster.runningTaskCount(job))
        val hung = cluster.with(job).take(1)
        assertTrue(cluster.workers.size > 1, "while no machine is heard, silence tells nothing")
        val until = cluster.now + hangMs
        hung.forEach { it.hungUntil = until }
        cluster.run(40)
        cluster.cancel(job)
        val askedAt = cluster.now
        cluster.run(200)
        assertTrue(job in cluster.history.cancelledAt, "confirmed")
        if (!commands) cluster.network.commandsReach = { it !in hung }
        if (crash) cluster.crash()
        while (cluster.now < until && cluster.now < askedAt + 36_500) cluster.run(100)
        if (hangMs > 37_000) {
            assertTrue(hung.none { it.name in cluster.workers }, "released, since a machine that hangs keeps what it has")
        } else {
            assertTrue(
                hung.any { m ->
                    m.name in cluster.workers && m.tasks.values.any { it.live && it.spec.id == job }
                } ||
                    hangMs > 9_000,
                "it resumes with the task",
            )
            cluster.run(3_000)
            assertEquals(
                0,
                cluster.workers.values.sumOf { m ->
                    m.tasks.values.count { it.live && it.spec.id == job }
                },
                "stopped by the answer to its first report",
            )
        }
        cluster.run(60_000)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    /**
     * The state service refuses the leader alone and a second later (or when another leads) is out for all for longer than a
     * cancellation may take; the job is cancelled at each moment. From the moment that a user asks its tasks are stopped;
     * nothing is told that is not durable.
     */
    @ParameterizedTest(name = "outage {0} ms after the refusal")
    @ValueSource(longs = [1_000, 4_500, 7_000])
    fun `jobs cancelled at each moment of a refused leader and the outage after it`(outageAfterMs: Long) {
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

                // Its user asks again until there is an answer.
                fun ask() {
                    if (job in cluster.history.cancelledAt) return
                    cluster.cancel(job)
                    cluster.after(1_000) { ask() }
                }
                cluster.after(2_000 + cancelAfterMs) { ask() }
                cluster.run(2_000 + maxOf(cancelAfterMs, 0) + 3_000)
                assertEquals(0, cluster.live(job), "stopped, though it may not be confirmed: $name")
                cluster.run(refusedAt + outageAfterMs + 45_000 - cluster.now)
                assertEquals(
                    cancelAfterMs < 0 || cancelAfterMs < outageAfterMs - 500 && outageAfterMs > SimulatedCluster.LEADER_LEASE_MS,
                    job in cluster.history.cancelledAt,
                    "confirmed only what is durable: $name",
                )
                assertEquals(3, cluster.live(other), "the rest runs on: $name")
                cluster.state.down = false
                former.refused = false
                cluster.run(10_000)
                assertEquals(JobStage.CANCELLED, cluster.state.terminalRecords[job]?.stage, name)
                assertEquals(emptyList<String>(), cluster.broken, name)
            }
        }
    }

    /**
     * Work that lasts, beside which machines keep room, a gang that its team's limit has no room for yet, and small work of
     * that team behind it.
     */
    @ParameterizedTest(name = "seed {0}, a change of leader: {1}")
    @CsvSource("1,false", "2,false", "3,true", "4,true")
    fun `no job waits for 90 s beside room while its team is under its limit`(seed: Long, crash: Boolean) {
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
     * What is kept for a gang is kept from its team's jobs at every controller; what should end before it can begin may have
     * the room meanwhile.
     */
    @Test
    fun `a gang's reservation of the limit holds against jobs of other owners too`() {
        val cluster = SimulatedCluster(5, setup = ClusterSetup(limits = mapOf("a" to 8.0, "b" to 16.0)))
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 7, "a", seconds = 30.0)
        cluster.run(12_000)
        cluster.submit(2, JobKind.GANG, 2, "a", gpus = 2, seconds = 10.0, priority = Priority.HIGH)
        cluster.run(200)

        fun other(n: Int, seconds: Double): String {
            val spec =
                JobSpec(
                    "j-$n",
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
        val long = other(3, 25.0)
        val short = other(4, 2.0)
        val core = cluster.leader!!.leader
        val wanted = core.summaryFor("m", cluster.now).rows.map { core.state.jobAt(it.job)!!.spec.id }
        assertEquals(listOf(short), wanted, "and not $long")
    }
}
