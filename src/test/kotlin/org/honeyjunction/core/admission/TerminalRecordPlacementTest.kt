package org.honeyjunction.core.admission

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class TerminalRecordPlacementTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, queue delay in seconds, demand exceeds the capacity, records already in place, expected
        "no write is queued,              0.0, false, 0, false",
        "changes are scarce,              1.0, false, 2, true",
        "demand exceeds the capacity,     0.0, true,  2, true",
        "the bound on records is reached, 9.0, true,  3, false",
    )
    fun `a terminal state is written in place while write capacity is short and fewer records than the maximum are in place`(
        case: String,
        queueDelayS: Double,
        demandExceedsCapacity: Boolean,
        recordsInPlace: Int,
        expected: Boolean,
    ) {
        val placement = TerminalRecordPlacement(20.0, maxInPlace = 3)
        repeat(recordsInPlace) { placement.addInPlace("j-$it") }
        assertEquals(expected, placement.shouldWriteInPlace(queueDelayS, demandExceedsCapacity), case)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            // Twenty changes a second, a tenth of them for moves of two changes each: one record a second.
            "oldest first, one a second      | idle 0, idle 500, idle 1000, idle 1001       | a, -, b, -",
            "not while a write is queued     | busy 0, busy 5000, idle 5001                 | -, -, a",
            "a failed move is retried last   | idle 0, fails a, idle 1000, idle 2000, idle 3000 | a, b, c, a",
            "a moved record is not repeated  | idle 0, moved a, idle 1000, moved b, idle 2000, moved c, idle 3000 | a, b, c, -",
        ],
    )
    fun `records are moved in order at a limited rate`(case: String, steps: String, expected: String) {
        val placement = TerminalRecordPlacement(20.0)
        listOf("a", "b", "c", "a").forEach(placement::addInPlace)
        val results =
            steps.split(", ").mapNotNull { step ->
                val (event, argument) = step.split(' ')
                if (event == "idle" ||
                    event == "busy"
                ) {
                    placement.startNextMove(event == "idle", argument.toLong()) ?: "-"
                } else {
                    null.also { placement.finishMove(argument, event == "moved") }
                }
            }
        assertEquals(expected, results.joinToString(), case)
    }
}
