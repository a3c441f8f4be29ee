package org.honeyjunction.core.failures

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class FailureAttributionTest {
    /**
     * Events are `f job task machine` (a task failed), `s job machine` (a task finished), `o job` (the job ended) and `w ms` (time
     * passes); the expected values are the health of jobs 1 and 2 and of machines 1 to 3.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "nothing happened                                        |                                     | UNTRIED UNTRIED | " +
                "HEALTHY HEALTHY HEALTHY",
            "one error: either may be at fault                       | f 1 0 1                             | SUSPECTED UNTRIED | " +
                "QUARANTINED HEALTHY HEALTHY",
            "the quarantine expires                                  | f 1 0 1, w 20000                    | SUSPECTED UNTRIED | " +
                "HEALTHY HEALTHY HEALTHY",
            "the job finishes elsewhere: the machine was faulty      | f 1 0 1, s 1 2                      | HEALTHY UNTRIED   | " +
                "FAULTY HEALTHY HEALTHY",
            "the job fails on a second machine                       | f 1 0 1, f 1 0 2                    | SUSPECTED UNTRIED | " +
                "QUARANTINED QUARANTINED HEALTHY",
            "the job fails on a third: the machines are cleared      | f 1 0 1, f 1 0 2, f 1 0 3           | FAILING UNTRIED | " +
                "HEALTHY HEALTHY HEALTHY",
            "four failures on one machine count once                 | f 1 0 1, f 1 1 1, f 1 2 1, f 1 3 1  | SUSPECTED UNTRIED | " +
                "QUARANTINED HEALTHY HEALTHY",
            "two jobs fail on one machine                            | f 1 0 1, f 2 0 1                    | SUSPECTED SUSPECTED | " +
                "FAULTY HEALTHY HEALTHY",
            "a failing job makes no machine faulty                   | f 1 0 1, f 1 0 2, f 1 0 3, f 1 0 4, f 2 0 1 | " +
                "FAILING SUSPECTED | QUARANTINED HEALTHY HEALTHY",
            "a healthy job fails once                                | s 1 1, f 1 1 2                      | HEALTHY UNTRIED   | " +
                "HEALTHY FAULTY HEALTHY",
            "one task of a healthy job fails wherever it runs        | s 1 1, f 1 1 2, f 1 1 3             | HEALTHY UNTRIED   | " +
                "HEALTHY FAULTY HEALTHY",
            "another job finishes on a quarantined machine           | f 1 0 1, s 2 1                      | SUSPECTED HEALTHY   | " +
                "HEALTHY HEALTHY HEALTHY",
            "a failing job that finishes after all                   | f 1 0 1, f 1 0 2, f 1 0 3, s 1 4    | HEALTHY UNTRIED   | " +
                "HEALTHY HEALTHY HEALTHY",
            "the user cancels the job                                | f 1 0 1, o 1                        | UNTRIED UNTRIED | " +
                "HEALTHY HEALTHY HEALTHY",
            "quarantined for two jobs, one of which ends             | f 1 0 1, f 1 0 2, f 2 0 3, o 1      | UNTRIED SUSPECTED | " +
                "HEALTHY HEALTHY QUARANTINED",
        ],
    )
    fun `a failure is attributed to the job or to the machine`(case: String, events: String?, jobs: String, machines: String) {
        val attribution = FailureAttribution()
        var now = 0L
        for (event in events.orEmpty().split(',').map { it.trim().split(' ') }.filter { it.size > 1 }) {
            val numbers = event.drop(1).map { it.toInt() }
            when (event[0]) {
                "f" -> attribution.failed(numbers[0], numbers[1], numbers[2], now, 10_000)
                "s" -> attribution.succeeded(numbers[0], numbers[1], now)
                "o" -> attribution.jobEnded(numbers[0], now)
                else -> now += numbers[0]
            }
        }
        assertEquals(jobs, (1..2).joinToString(" ") { attribution.jobHealth(it).name }, case)
        assertEquals(machines, (1..3).joinToString(" ") { attribution.machineHealth(it, now).name }, case)
    }

    @Test
    fun `backoff grows with retries, not with tasks, and survives a failover`() {
        val attribution = FailureAttribution()
        (1..3).forEach { attribution.failed(1, it, it, 0, 1_000) }
        val pauses =
            (1..12).map { wave ->
                (0 until 5)
                    .map { attribution.failed(1, it, 10 + it, wave * 1_000_000L + it, 1_000).backoffMs }
                    .also { assertEquals(1, it.toSet().size) }
                    .first()
            }
        assertEquals(pauses.sorted(), pauses)
        assertEquals(listOf(2_000L, 300_000L), listOf(pauses.first(), pauses.last()))
        val checkpoints = attribution.checkpoint(100) { "j-1" }
        assertEquals(listOf(JobFailureCheckpoint("j-1", true, 13, 8, 100)), checkpoints)
        val next = FailureAttribution()
        assertEquals(300_000L, next.restore(7, checkpoints.single(), 100))
        assertTrue(next.failing(7))
        assertEquals(JobFailures(8, 0L), next.failures(7))
    }

    /** A job that fails everywhere must not make a machine faulty, in whatever order its tasks fail. */
    @Property(tries = 500)
    fun `one job that always fails makes no machine faulty`(
        @ForAll @Size(max = 60) on: List<Byte>,
    ) {
        val attribution = FailureAttribution()
        on.forEachIndexed { i, m -> attribution.failed(1, i % 7, Math.floorMod(m.toInt(), 20), i * 500L, 10_000) }
        assertTrue((0 until 20).none { attribution.machineHealth(it, on.size * 500L) == MachineHealth.FAULTY })
        val quarantined = (0 until 20).count { attribution.machineHealth(it, on.size * 500L) == MachineHealth.QUARANTINED }
        assertTrue(quarantined <= FailureAttribution.FAILING_JOB_MIN_MACHINES - 1)
    }

    /** One faulty machine among healthy ones, with jobs that run one after the other: no job is taken to be failing. */
    @Property(tries = 300)
    fun `one faulty machine makes no job failing`(
        @ForAll @Size(max = 60) at: List<Byte>,
    ) {
        val attribution = FailureAttribution()
        at.forEachIndexed { i, b ->
            val job = i / 3
            val machine = Math.floorMod(b.toInt(), 8)
            if (machine == 0) attribution.failed(job, 0, 0, i * 500L, 10_000) else attribution.succeeded(job, machine, i * 500L)
        }
        assertTrue((0 until 20).none { attribution.jobHealth(it) == JobHealth.FAILING })
        assertTrue((1 until 8).none { attribution.machineHealth(it, at.size * 500L) == MachineHealth.FAULTY })
    }
}
