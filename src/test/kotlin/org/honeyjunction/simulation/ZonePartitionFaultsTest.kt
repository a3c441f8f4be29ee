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

/** Zones as part of a meeting: jobs bound to one that lose machines, and a zone that is cut off with a controller in it. */
class ZonePartitionFaultsTest {
    private fun SimulatedCluster.live(id: String) =
        workers.values.sumOf { worker -> if (worker.holds(now)) worker.tasks.values.count { it.live && it.spec.id == id } else 0 }

    private fun SimulatedCluster.with(id: String) =
        workers.values.filter { worker ->
            worker.holds(now) &&
                worker.tasks.values.any { it.live && it.spec.id == id }
        }

    private fun bound(n: Int, kind: JobKind, tasks: Int, zone: String?, oneZone: Boolean, gpus: Double = 1.0, spread: Boolean = false) =
        JobSpec(
            "j-$n",
            "bound",
            "b",
            kind,
            Priority.NORMAL,
            tasks,
            Resources(gpus, gpus, gpus),
            "i${n % 3}",
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

    private val losses: Map<String, SimulatedCluster.(String) -> Unit> =
        mapOf(
            "die" to { id -> with(id).take(1).forEach { it.dead = true } },
            "hang past the lease" to { id -> with(id).take(1).forEach { it.hungUntil = now + 17_000 } },
            "hang within the lease" to { id -> with(id).take(1).forEach { it.hungUntil = now + 9_000 } },
            "are deaf" to { id -> with(id).take(1).forEach { it.deafUntil = now + 20_000 } },
            "are cut off" to { id -> with(id).forEach { it.cutUntil = now + 17_000 } },
            "all die" to { id -> with(id).forEach { it.dead = true } },
        )

    /**
     * [SimulatedCluster] notes wrong_place: no task of a job of one zone may start in another while an old one may still be in the
     * first, whoever leads.
     */
    @ParameterizedTest(name = "machines {0}, the leader ends {1} ms later")
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
    fun `jobs bound to one zone lose machines and the leader ends`(how: String, crashAfterMs: Long) {
        var doubts = 0
        var moved = 0
        for (seed in 1L..3L) {
            val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 60.0))
            val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
            cluster.elect()
            val specs =
                listOf(
                    bound(1, JobKind.ARRAY, 4, "x", false, 2.0),
                    bound(2, JobKind.ARRAY, 4, null, true, 2.0),
                    bound(3, JobKind.GANG, 2, null, true, 4.0),
                    bound(4, JobKind.ARRAY, 4, null, false, 2.0, spread = true),
                    bound(5, JobKind.GANG, 2, "y", true, 2.0),
                )
            val jobs = specs.map(cluster::submit)
            cluster.run(14_000)
            val zones = jobs.associateWith { id -> cluster.with(id).map { it.box.zone }.toSet() }
            cluster.onEachStart { s: HistoryChecker.Start ->
                if (s.task.spec.oneZone && s.worker.box.zone !in zones.getValue(s.task.spec.id)) {
                    moved++
                }
            }
            for (id in listOf(jobs[1], jobs[2])) losses.getValue(how)(cluster, id)
            cluster.run(crashAfterMs)
            cluster.crash()
            repeat(80) {
                cluster.run(500)
                val s = cluster.leader!!.leader.state
                doubts +=
                    jobs.count { id ->
                        s.active[id]?.let { j ->
                            j.spec.oneZone &&
                                !j.waiting.isEmpty &&
                                j.placements.any { it.phase == Phase.UNCONFIRMED }
                        } ==
                            true
                    }
            }
            cluster.runWithWorkConservation(120_000)
            assertEquals(emptyList<String>(), cluster.broken, how)
            assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished: $how")
        }
        // The meeting: the new leader had tasks to start while others of the job might still have been in their zone; or all
        // had to go on elsewhere.
        if (how in setOf("hang past the lease", "are deaf") || how == "die") {
            assertTrue(doubts > 0 || moved > 0, "$how: in doubt $doubts, moved $moved")
        }
    }

    /**
     * A zone with workers and the leader in it is cut off for longer than the leases. It goes on answering its zone; the
     * other side elects another, who must neither start what may still run there nor, before the former's renewals have an
     * end, confirm what they keep alive.
     */
    @ParameterizedTest(name = "seed {0}, for {1} ms, the cloud down, and after the confirmation the state service: {2}")
    @CsvSource("1,20000,false", "2,40000,false", "3,100000,false", "4,150000,false", "5,100000,true", "6,150000,true")
    fun `a zone is partitioned with the leader in it, and jobs are cancelled through the other side`(
        seed: Long,
        cutMs: Long,
        outage: Boolean,
    ) {
        val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0))
        val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
        cluster.elect()
        val doomed = cluster.submit(bound(1, JobKind.ARRAY, 4, "x", false).copy(estimateS = 1e6))
        val jobs =
            listOf(
                cluster.submit(bound(2, JobKind.ARRAY, 4, "x", false)),
                cluster.submit(bound(3, JobKind.GANG, 2, "x", true, 4.0)),
                cluster.submit(bound(4, JobKind.ARRAY, 6, null, true)),
                cluster.submit(bound(5, JobKind.ARRAY, 4, null, false, spread = true)),
            )
        val outside = cluster.submit(bound(6, JobKind.ARRAY, 2, "y", false).copy(estimateS = 1e6))
        cluster.run(15_000)
        assertEquals(4, cluster.live(doomed))
        val former = cluster.leader!!
        val sessions = cluster.workers.values.filter { it.box.zone == "x" }.associate { it.name to it.session }
        cluster.partitionZoneWithLeader("x", cutMs)
        if (outage) {
            // No machine can be given up as a proof: only the bound on the former leader's renewals ends what it keeps alive.
            cluster.cloud.down = true
            cluster.after(cutMs) { cluster.cloud.down = false }
        }
        val cutAt = cluster.now
        cluster.run(SimulatedCluster.LEADER_LEASE_MS + 1_000)
        val next = cluster.leader!!
        assertTrue(next !== former && former.alive)
        cluster.cancel(doomed)
        cluster.cancel(outside)
        cluster.run(1_000)
        assertTrue(outside in cluster.history.cancelledAt, "the next one reaches its machines")
        assertEquals(
            doomed in cluster.history.cancelledAt,
            cluster.live(doomed) == 0,
            "not confirmed while the former leader may keep it alive",
        )
        cluster.run(7_000)
        assertTrue(
            cluster.now - cutAt > 12_500 &&
                sessions.all { (name, s) ->
                    cluster.workers[name]?.session == s
                },
            "kept alive past the lease by the former leader",
        )
        if (outage) {
            while (doomed !in cluster.history.cancelledAt && cluster.now - cutAt < 90_000) cluster.run(100)
            assertEquals(4, cluster.live(doomed), "confirmed while the former leader still keeps it alive")
            cluster.state.down = true
            cluster.after(50_000) { cluster.state.down = false }
        }
        cluster.run(RenewalBound.CONFIRMATION_DELAY_MS + cutMs)
        assertTrue(doomed in cluster.history.cancelledAt && cluster.live(doomed) == 0)
        cluster.runWithWorkConservation(120_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }

    /**
     * The same with a controller that does not lead: it has no right to answer, so the zone's leases end; its tasks are
     * started elsewhere only then.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `a zone is partitioned with a controller that does not lead`(seed: Long) {
        val setup = ClusterSetup(limits = mapOf("a" to 40.0, "b" to 40.0))
        val cluster = SimulatedCluster(seed, capacity = 16, setup = setup)
        cluster.elect()
        val jobs =
            listOf(
                cluster.submit(bound(2, JobKind.ARRAY, 4, "x", false)),
                cluster.submit(bound(3, JobKind.GANG, 2, null, true, 4.0)),
                cluster.submit(bound(4, JobKind.ARRAY, 8, null, false)),
            )
        cluster.run(15_000)
        val sessions = cluster.workers.values.filter { it.box.zone == "x" }.associate { it.name to it.session }
        cluster.disconnectZone("x", 25_000)
        cluster.run(3_000)
        cluster.crash()
        cluster.run(24_000)
        assertTrue(
            sessions.any { (name, s) ->
                cluster.workers[name]?.let { it.session > s } ?: true
            },
            "leases ended, or machines were given up",
        )
        cluster.runWithWorkConservation(150_000)
        assertEquals(emptyList<String>(), cluster.broken)
        assertEquals(emptyList<String>(), jobs.filter { cluster.state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished")
    }
}
