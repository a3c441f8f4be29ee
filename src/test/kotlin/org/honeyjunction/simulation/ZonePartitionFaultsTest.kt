package org.honeyjunction.simulation

import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.HistoryChecker
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Faults that involve zones: jobs bound to one zone lose machines, and a zone is partitioned together with a controller. */
class ZonePartitionFaultsTest {
    /** Number of live tasks of the job [id] on workers with a valid lease. */
    private fun SimulatedCluster.liveTasks(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    /** Workers with a valid lease and live tasks of the job [id]. */
    private fun SimulatedCluster.workersWithTasksOf(id: String) =
        workers.values.filter { worker ->
            worker.holds(now) &&
                worker.tasks.values.any { it.live && it.spec.id == id }
        }

    /** A job of 40 s for each task, which may be bound to [zone] or to any [oneZone]. */
    private fun jobSpec(
        number: Int,
        kind: JobKind,
        tasks: Int,
        zone: String?,
        oneZone: Boolean,
        gpus: Double = 1.0,
        spread: Boolean = false,
    ) = JobSpec(
        "j-$number",
        "bound",
        "b",
        kind,
        Priority.NORMAL,
        tasks,
        Resources(gpus, gpus, gpus),
        "i${number % 3}",
        2.0,
        null,
        zone,
        oneZone,
        spread,
        false,
        40.0,
        5.0,
        1.0,
        null,
    )

    /** Faults of the machines that run a job, by the name used in the test cases. */
    private val machineFaults: Map<String, SimulatedCluster.(String) -> Unit> =
        mapOf(
            "die" to { id -> workersWithTasksOf(id).take(1).forEach { it.dead = true } },
            "hang past the lease" to { id -> workersWithTasksOf(id).take(1).forEach { it.hungUntil = now + 17_000 } },
            "hang within the lease" to { id -> workersWithTasksOf(id).take(1).forEach { it.hungUntil = now + 9_000 } },
            "are deaf" to { id -> workersWithTasksOf(id).take(1).forEach { it.deafUntil = now + 20_000 } },
            "are cut off" to { id -> workersWithTasksOf(id).forEach { it.cutUntil = now + 17_000 } },
            "all die" to { id -> workersWithTasksOf(id).forEach { it.dead = true } },
        )

    /**
     * [SimulatedCluster] reports `wrong_place` if a task of a job that must stay in one zone starts in another zone while an older task
     * of the job may still run in the first one, whichever leader starts it.
     */
    @ParameterizedTest(name = "machines {0}, the leader crashes {1} ms later")
    @CsvSource(
        "die,200",
        "die,4000",
        "hang past the lease,200",
        "hang past the lease,8000",
        "hang within the lease,200",
        "are deaf,200",
        "are deaf,6000",
        "are cut off,200",
        "are cut off,6000",
        "all die,200",
        "all die,9000",
    )
    fun `jobs bound to one zone use one zone at a time and complete after they lose machines and the leader crashes`(
        fault: String,
        crashAfterMs: Long,
    ) {
        var unconfirmedSamples = 0
        var movedTasks = 0
        for (seed in 1L..3L) {
            val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 60.0))
            val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
            cluster.elect()
            val specs =
                listOf(
                    jobSpec(1, JobKind.ARRAY, 4, "x", false, 2.0),
                    jobSpec(2, JobKind.ARRAY, 4, null, true, 2.0),
                    jobSpec(3, JobKind.GANG, 2, null, true, 4.0),
                    jobSpec(4, JobKind.ARRAY, 4, null, false, 2.0, spread = true),
                    jobSpec(5, JobKind.GANG, 2, "y", true, 2.0),
                )
            val jobs = specs.map(cluster::submit)
            cluster.run(14_000)
            val zones = jobs.associateWith { id -> cluster.workersWithTasksOf(id).map { it.box.zone }.toSet() }
            cluster.onEachStart { start: HistoryChecker.Start ->
                if (start.task.spec.oneZone && start.worker.box.zone !in zones.getValue(start.task.spec.id)) {
                    movedTasks++
                }
            }
            for (id in listOf(jobs[1], jobs[2])) machineFaults.getValue(fault)(cluster, id)
            cluster.run(crashAfterMs)
            cluster.crash()
            repeat(80) {
                cluster.run(500)
                val state = cluster.leader!!.leader.state
                unconfirmedSamples +=
                    jobs.count { id ->
                        state.active[id]?.let { job ->
                            job.spec.oneZone &&
                                !job.waiting.isEmpty &&
                                job.placements.any { it.phase == Phase.UNCONFIRMED }
                        } ==
                            true
                    }
            }
            cluster.runWithWorkConservation(120_000)
            assertEquals(emptyList<String>(), cluster.broken, fault)
            assertEquals(
                emptyList<String>(),
                jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE },
                "unfinished: $fault",
            )
        }
        // The faults overlapped: the new leader had tasks to start while other tasks of the job might still have run in their zone, or
        // the whole job had to move to another zone.
        if (fault in setOf("hang past the lease", "are deaf") || fault == "die") {
            assertTrue(
                unconfirmedSamples > 0 || movedTasks > 0,
                "$fault: $unconfirmedSamples samples with unconfirmed tasks, $movedTasks moved tasks",
            )
        }
    }

    /**
     * A zone with workers and the leader in it is partitioned for longer than the leases. That leader goes on answering the workers of
     * its zone. The other side elects another leader, which must not start tasks that may still run in the zone, and must not confirm the
     * cancellation of a job there while the former leader may still renew the leases of its workers.
     */
    @ParameterizedTest(name = "seed {0}, partition of {1} ms, outage of the cloud, and of the state service after the confirmation: {2}")
    @CsvSource("1,20000,false", "2,40000,false", "3,100000,false", "4,150000,false", "5,100000,true", "6,150000,true")
    fun `jobs that are cancelled while a zone is partitioned with the leader are confirmed no earlier than their tasks must end`(
        seed: Long,
        cutMs: Long,
        outage: Boolean,
    ) {
        val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0))
        val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
        cluster.elect()
        val cancelledInZone = cluster.submit(jobSpec(1, JobKind.ARRAY, 4, "x", false).copy(estimateS = 1e6))
        val jobs =
            listOf(
                cluster.submit(jobSpec(2, JobKind.ARRAY, 4, "x", false)),
                cluster.submit(jobSpec(3, JobKind.GANG, 2, "x", true, 4.0)),
                cluster.submit(jobSpec(4, JobKind.ARRAY, 6, null, true)),
                cluster.submit(jobSpec(5, JobKind.ARRAY, 4, null, false, spread = true)),
            )
        val cancelledOutside = cluster.submit(jobSpec(6, JobKind.ARRAY, 2, "y", false).copy(estimateS = 1e6))
        cluster.run(15_000)
        assertEquals(4, cluster.liveTasks(cancelledInZone))
        val former = cluster.leader!!
        val sessions = cluster.workers.values.filter { it.box.zone == "x" }.associate { it.name to it.session }
        cluster.partitionZoneWithLeader("x", cutMs)
        if (outage) {
            // No machine can be released to prove that its tasks ended: only the bound on the former leader's renewals ends them.
            cluster.cloud.down = true
            cluster.after(cutMs) { cluster.cloud.down = false }
        }
        val cutAt = cluster.now
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_000)
        val next = cluster.leader!!
        assertTrue(next !== former && former.alive)
        cluster.cancel(cancelledInZone)
        cluster.cancel(cancelledOutside)
        cluster.run(1_000)
        assertTrue(cancelledOutside in cluster.history.cancelledAt, "the next leader reaches the machines outside the zone")
        assertEquals(
            cancelledInZone in cluster.history.cancelledAt,
            cluster.liveTasks(cancelledInZone) == 0,
            "not confirmed while the former leader may keep it alive",
        )
        cluster.run(7_000)
        assertTrue(
            cluster.now - cutAt > 12_500 &&
                sessions.all { (name, session) ->
                    cluster.workers[name]?.session == session
                },
            "the former leader keeps the sessions alive for longer than the lease",
        )
        if (outage) {
            while (cancelledInZone !in cluster.history.cancelledAt && cluster.now - cutAt < 90_000) cluster.run(100)
            assertEquals(4, cluster.liveTasks(cancelledInZone), "confirmed while the former leader still keeps it alive")
            cluster.state.down = true
            cluster.after(50_000) { cluster.state.down = false }
        }
        cluster.run(RenewalBound.CONFIRMATION_DELAY_MS + cutMs)
        assertTrue(cancelledInZone in cluster.history.cancelledAt && cluster.liveTasks(cancelledInZone) == 0)
        cluster.runWithWorkConservation(120_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }

    /**
     * The controller in the partitioned zone is not the leader and so must not answer heartbeats: the leases of the zone's workers
     * expire, and only then are their tasks started elsewhere.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `all jobs complete after a zone is partitioned with a controller that is not the leader`(seed: Long) {
        val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0))
        val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
        cluster.elect()
        val jobs =
            listOf(
                cluster.submit(jobSpec(2, JobKind.ARRAY, 4, "x", false)),
                cluster.submit(jobSpec(3, JobKind.GANG, 2, null, true, 4.0)),
                cluster.submit(jobSpec(4, JobKind.ARRAY, 8, null, false)),
            )
        cluster.run(15_000)
        val sessions = cluster.workers.values.filter { it.box.zone == "x" }.associate { it.name to it.session }
        cluster.disconnectZone("x", 25_000)
        cluster.run(3_000)
        cluster.crash()
        cluster.run(24_000)
        assertTrue(
            sessions.any { (name, session) ->
                cluster.workers[name]?.let { it.session > session } ?: true
            },
            "leases expired, or machines were released",
        )
        cluster.runWithWorkConservation(150_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }
}
