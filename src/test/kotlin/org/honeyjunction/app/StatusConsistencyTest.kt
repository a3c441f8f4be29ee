package org.honeyjunction.app

import org.honeyjunction.app.local.LocalCluster
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.VirtualEnvironment
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.Work
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.Random

/**
 * One-task jobs four a second, a quarter of them cancelled, whose users ask at all nodes and repeat the submission at every
 * turn: whole controllers in virtual time.
 */
class StatusConsistencyTest {
    private class Played(val cluster: LocalCluster, val place: VirtualEnvironment, val users: StatusConsistencyUsers) {
        val broken get() = cluster.loopback.watch.broken + place.failures.map { "failed: $it" }

        fun run(ms: Long) = place.time.runUntil(place.time.now + ms)
    }

    /** As few changes a second as a large deployment has. */
    private fun settings(changesPerS: Double) =
        LocalSettings(
            Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()).also {
                it.withObject("/state").put("write_rps", changesPerS).put("rps", 500.0)
            },
            null,
            20,
        )

    private fun play(seed: Long, seconds: Int, faults: String, changesPerS: Double = 30.0): Played {
        val place = VirtualEnvironment(seed)
        val random = Random(seed)
        val planned = List(seconds * PER_S) { n -> job(n, random) }
        val cluster =
            LocalCluster(settings(changesPerS), NODES, Tuning(idleMs = 6_000, forecastMs = 20_000), seed, planned, {}, place = place)
        val users =
            StatusConsistencyUsers(
                cluster.loopback.loop.withHostName("users"),
                cluster.nodes,
                cluster.loopback.watch,
                random,
                cluster.loopback::now,
            )
        val drawn = faults.split(',').filter { it.isNotBlank() }.map { Fault.parse(it) }
        cluster.start(drawn)
        planned.forEachIndexed { n, job ->
            users.follow(
                job,
                if (n % 4 != 3) StatusConsistencyUsers.Cancel.NEVER else CANCELS[n / 4 % CANCELS.size],
            )
        }
        val played = Played(cluster, place, users)
        val until = drawn.maxOfOrNull { it.atMs + it.forMs } ?: 0L
        while (place.time.now < MOST_MS &&
            played.broken.isEmpty() &&
            (place.time.now < until || users.jobs.any { !it.over })
        ) {
            played.run(1_000)
        }
        played.run(AFTER_MS)
        return played
    }

    private fun job(n: Int, random: Random): PlannedJob {
        val runS = 1.0 + random.nextInt(3)
        val spec =
            JobSpec(
                "j-%06d".format(n + 1),
                "swarm",
                if (n % 5 == 0) "blend-team" else "desk",
                JobKind.ARRAY,
                Priority.NORMAL,
                1,
                Resources(1.0, 0.0, 1.0),
                "i${n % 2}",
                0.5,
                null,
                null,
                false,
                false,
                true,
                runS,
                0.0,
                0.0,
                null,
            )
        val atMs = 4_000L + n * 1_000L / PER_S + random.nextInt(200)
        return PlannedJob(Work(spec, runS), atMs, atMs + 1_000 + random.nextInt(3_000))
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "no trouble | ''",
            "the leader ends, twice | at 12s kill leader for 2s, at 24s kill leader for 6s",
            "the leader stands still | at 12s hang leader for 9s",
            "the leader is refused alone | at 12s refuse leader for 20s",
            "another is refused alone | at 10s refuse others for 15s",
            "the leader is cut off from the state service and the others | at 12s isolate leader for 15s",
            "transactions are late or lose their answers | at 8s delay writes for 20s",
            "transactions are late, and the leader ends | at 8s delay writes for 20s, at 14s kill leader for 2s",
            "nobody is answered | at 12s state outage for 8s",
        ],
    )
    fun `no node answers less than another has told`(case: String, faults: String) {
        for (seed in 1L..3) {
            val p = play(seed, seconds = 30, faults)
            assertEquals(emptyList<String>(), p.broken, "seed $seed")
            assertEquals(emptyList<String>(), p.users.jobs.filter { !it.over }.map { it.spec.id }, "seed $seed: not over")
            // The meeting took place: all nodes answered, close after each of the turns of a job.
            val least =
                mapOf(
                    StatusConsistencyUsers.Look.ACCEPTED to 30,
                    StatusConsistencyUsers.Look.ENDED to 20,
                    StatusConsistencyUsers.Look.DONE to 30,
                    StatusConsistencyUsers.Look.CANCELLED to 5,
                )
            least.forEach { (look, count) -> assertTrue((p.users.answered[look] ?: 0) >= count, "seed $seed: ${p.users.answered}") }
            if ("leader" in faults && "hang" !in faults) assertTrue(p.cluster.loopback.term() > 1, "no change of leader")
        }
    }

    @Test
    fun `looks do not stand in the way of submissions`() {
        for (seed in 1L..3) {
            val p = play(seed, seconds = 60, "")
            assertTrue(p.users.acceptedWithin(1_000) >= 0.97, "seed $seed: ${p.users.acceptedWithin(1_000)} within a second")
            assertTrue(p.users.repeats > p.users.jobs.size * NODES * 2, "${p.users.repeats} repeats")
            assertTrue(p.users.putOff < p.users.repeats / 50, "${p.users.putOff} of ${p.users.repeats} repeats were put off")
        }
    }

    @Test
    fun `the books of a swarm are in order after changes of leader`() {
        val p = play(7, seconds = 150, "at 40s kill leader for 2s, at 80s kill leader for 9s, at 120s refuse leader for 20s")
        assertEquals(emptyList<String>(), p.broken)
        assertTrue(p.cluster.loopback.term() >= 4, "${p.cluster.loopback.term()} terms")
        // What was written in place is moved when nothing waits: two changes each, at a tenth of all.
        p.run(p.users.jobs.size * 2 * 1_000L / 3 + REMEMBERED_MS)
        val store = p.cluster.loopback.store
        val records = p.users.jobs.associateWith { j -> listOf("j/", "f/").mapNotNull { store["$it${j.spec.id}"] } }
        assertEquals(emptyList<String>(), records.filterValues { it.size != 1 }.map { it.key.spec.id }, "not one record each")
        records.forEach { (job, kept) ->
            val stage = JobCodec.stored(kept[0].value, kept[0].version).stage
            assertEquals(if (job.word == StatusConsistencyUsers.Word.DONE) JobStage.DONE else JobStage.CANCELLED, stage, job.spec.id)
        }
        assertEquals(0, store.range("j/", null, 1_000).first.size, "the next leader reads no job that is over")
        val leader = p.cluster.controllers.nodes.firstNotNullOf { it.driverWithLease }.leader
        assertEquals(0, leader.state.active.size)
        assertEquals(
            emptyList<String>(),
            p.users.jobs
                .filter {
                    leader.state.job(it.spec.id) != null
                }.map { it.spec.id },
            "still in the leader's memory",
        )
        // A controller that has just begun has nothing in memory: the records answer.
        p.users.answered.clear()
        (0 until NODES).forEach(p.cluster.controllers::kill)
        (0 until NODES).forEach(p.cluster.controllers::start)
        p.run(5_000)
        p.users.lookAgain()
        p.run(p.users.jobs.size * 125L + 10_000)
        assertEquals(emptyList<String>(), p.broken)
        assertTrue(p.users.answered.values.sum() > p.users.jobs.size * 0.9, "${p.users.answered}")
    }

    private companion object {
        const val NODES = 3
        const val PER_S = 4
        const val MOST_MS = 400_000L
        const val AFTER_MS = 8_000L

        /** What is over stays in a leader's memory for ten minutes. */
        const val REMEMBERED_MS = 630_000L
        val CANCELS =
            listOf(StatusConsistencyUsers.Cancel.AT_ONCE, StatusConsistencyUsers.Cancel.AT_END, StatusConsistencyUsers.Cancel.MIDWAY)
    }
}
