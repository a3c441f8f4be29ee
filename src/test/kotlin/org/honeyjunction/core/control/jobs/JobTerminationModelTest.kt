package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.jobs.JobTerminationExploration.Companion.explore
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Explores every short sequence of events around the end of a job with the leader's production code; see [JobTerminationModel]. */
class JobTerminationModelTest {
    @Test
    fun `no invariant breaks while a terminal write is in doubt, with reads, status requests, late writes and failovers`() {
        val (violations, observed, states) = explore(DEPTH, OUTCOME_UNKNOWN) { JobTerminationModel(1) }
        assertEquals(emptyList<String>(), violations)
        assertTrue(states > 2_000, "$states")
        assertTrue(
            observed.containsAll(listOf("answered", "answer lost", "applied late", "in doubt with an unfenced machine")),
            "$observed",
        )
    }

    /** Between the ends of the tasks, the job is cancelled, the term changes, and writes are answered, lost or applied late. */
    @Test
    fun `no invariant breaks when other events happen between the ends of two tasks`() {
        val (violations, observed, states) = explore(DEPTH, TWO_TASKS) { JobTerminationModel(2, pageWritesAnswered = false) }
        assertEquals(emptyList<String>(), violations)
        assertTrue(states > 10_000, "$states")
        assertTrue(observed.containsAll(listOf("answered", "answer lost", "applied late")), "$observed")
    }

    /** Checks the exploration itself: it must detect that a leader's writes lack the condition on the term. */
    @Test
    fun `writes without the condition on the term are found to violate an invariant`() {
        assertTrue(explore(DEPTH, OUTCOME_UNKNOWN) { JobTerminationModel(1, comparesTerm = false) }.violations.isNotEmpty())
    }

    /** Guards against a lost result: a delayed write of an older page must not overwrite newer pages, which have more results. */
    @ParameterizedTest
    @CsvSource("true, ", "false, task 1 is forgotten by its machine and not done")
    fun `a delayed write of an older page loses a result only if versions are not compared`(
        comparesVersions: Boolean,
        violation: String?,
    ) {
        val path =
            "task 0 ends, the page write is delayed, the page write is answered, task 1 ends, the page write is answered, " +
                "vm-1 reports, a delayed write is applied, the term changes"
        val initial = JobTerminationModel(3, pageWritesAnswered = false, comparesVersions = comparesVersions)
        val model = path.split(", ").fold(initial) { model, action -> model.act(action) }
        assertEquals(violation, model.violation)
        assertEquals(comparesVersions, "applied late" !in model.observed, "the delayed write is applied only if versions are not compared")
    }

    private companion object {
        const val DEPTH = 8
        val OUTCOME_UNKNOWN =
            listOf(
                "task 0 ends",
                "the user cancels the job",
                "the final write is answered",
                "the final write's answer is lost",
                "the final write is delayed",
                "a delayed write is applied",
                "the record is read",
                "reading the record fails",
                "another node reads the record",
                "a user asks the leader",
                "vm-2 reports a task without the token",
                "vm-2 reports the token and no task",
                "the term changes",
            )
        val TWO_TASKS =
            listOf(
                "task 0 ends",
                "task 1 ends",
                "vm-1 reports",
                "the user cancels the job",
                "the final write is answered",
                "the final write's answer is lost",
                "the page write is answered",
                "the page write's answer is lost",
                "the page write is delayed",
                "a delayed write is applied",
                "the record is read",
                "another node reads the record",
                "a user asks the leader",
                "the term changes",
            )
    }
}
