package org.honeyjunction.core.fairness

import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.failures.JobFailureCheckpoint
import org.honeyjunction.wire.CheckpointCodec
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class FairnessMonitorTest {
    private val ofClass = FairnessGroup(FairnessGroup.Kind.CLASS, "c")

    private fun job(started: Boolean, ageMs: Long, team: String = "t") = CountedJob("c", team, started, ageMs)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case; jobs that have started, that have waited briefly, that have waited long; expected: accepted, started, starved
        "all started,                        4, 0, 0, 4, 4, false",
        "recent ones do not count yet,       3, 9, 0, 3, 3, false",
        "more than half waited for long,     3, 0, 4, 7, 3, true",
        "half of them have started,          4, 0, 4, 8, 4, false",
        "a few jobs are too few to tell,     0, 0, 3, 3, 0, false",
    )
    fun `a class is starved if fewer than half of its jobs have started in time`(
        case: String,
        started: Int,
        recent: Int,
        old: Int,
        accepted: Int,
        ran: Int,
        starved: Boolean,
    ) {
        val served = FairnessMonitor(10_000)
        val active = List(started) { job(true, 100) } + List(recent) { job(false, 9_000) } + List(old) { job(false, 11_000) }
        val count = served.counts(active.asSequence()).getValue(ofClass)
        assertEquals(listOf(accepted, ran, starved), listOf(count.accepted, count.started, count.starved), case)
    }

    /** Small jobs that are all served must not hide large jobs of the same class that never start. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "the largest never start,      5, 0, true",
        "half of the largest do,       2, 2, false",
        "too few of them to tell,      3, 0, false",
    )
    fun `the largest jobs of a class count by themselves`(case: String, waiting: Int, started: Int, starved: Boolean) {
        val jobs =
            List(60) { CountedJob("c", "t", true, 60_000, 1 + it % 4) } + List(waiting) { CountedJob("c", "t", false, 60_000, 64 + it) } +
                List(started) { CountedJob("c", "t", true, 60_000, 70) }
        val all = FairnessMonitor(10_000).counts(jobs.asSequence())
        assertEquals(
            setOf(FairnessGroup.ofSize("c", 64)),
            all.keys.filterTo(HashSet()) { it.kind == FairnessGroup.Kind.SIZE },
            "only the largest size is reported",
        )
        assertEquals(starved, all.getValue(FairnessGroup.ofSize("c", 100)).starved, case)
        assertEquals(false, all.getValue(ofClass).starved, case)
        assertEquals("class c's largest, of 64 tasks and more", FairnessGroup.ofSize("c", 127).toString())
    }

    @Test
    fun `a class of one size is reported as a class only`() {
        val groups = FairnessMonitor(1).counts(sequenceOf(job(true, 5), job(false, 9))).keys
        assertEquals(emptySet<FairnessGroup>(), groups.filterTo(HashSet()) { it.kind == FairnessGroup.Kind.SIZE })
    }

    @Test
    fun `ended jobs are checkpointed, and counted once`() {
        val first = FairnessMonitor(10_000)
        first.recordEnded(job(true, 500), done = true)
        first.recordEnded(job(false, 20_000), done = false)
        first.recordEnded(job(false, 500), done = false)
        val next = FairnessMonitor(10_000).apply { restore(first.checkpoint()) }
        val all = next.counts(sequenceOf(job(true, 1), job(false, 30_000, "u")))
        assertEquals(ServedCount(4, 2, 1), all[ofClass])
        assertEquals(
            mapOf("t" to ServedCount(3, 2, 1), "u" to ServedCount(1, 0, 0)),
            all.filterKeys { it.kind == FairnessGroup.Kind.TEAM }.mapKeys { it.key.name },
        )
    }

    @Test
    fun `a leader checkpoint is read as it was written, and fits into the smallest value`() {
        val checkpoint =
            LeaderCheckpoint(
                List(20) { JobFailureCheckpoint("j-%06d".format(it), it % 2 == 0, it, 9, 1_764_630_000_000) },
                List(12) { BootTimeCheckpoint("boveda-24g", "ciudad-vieja", it % 2 == 0, 20, 25_000, 42_000) },
                (0 until 30).associate {
                    FairnessGroup(FairnessGroup.Kind.entries[it % 2], "spread-backtest-$it") to
                        ServedCount(300, 200, 100)
                },
            )
        val bytes = Json.write(CheckpointCodec.writeLeader(checkpoint))
        assertEquals(checkpoint, CheckpointCodec.readLeader(Json.read(bytes)))
        assertTrue(bytes.size <= 4096, "${bytes.size} bytes")
        assertEquals(LeaderCheckpoint(), CheckpointCodec.readLeader(Json.read(Json.write(CheckpointCodec.writeLeader(LeaderCheckpoint())))))
    }
}
