package org.honeyjunction.core.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class LeaderLivenessTest {
    /** Events: `n` the key-value store names a leader (or none, `-`) at a time; `r` the leader responds at a time. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "no leader is known                       |                               | 100  | none",
            "a new leader                             | n a 0                         | 1900 | a",
            "a leader that responds                   | n a 0, r 1500, r 3000         | 4900 | a",
            "a leader that no longer responds         | n a 0, r 1500                 | 3600 | none",
            "named again without a response           | n a 0, r 1500, n a 3000       | 3600 | none",
            "another node became the leader           | n a 0, r 1500, n b 7000       | 8900 | b",
            "there is no leader                       | n a 0, n - 500                | 600  | none",
            "the leader responds again                | n a 0, r 1500, r 9000         | 9100 | a",
        ],
    )
    fun `only a leader that has responded recently is reachable`(case: String, events: String?, now: Long, expected: String) {
        val liveness = LeaderLiveness(0)
        for (event in events.orEmpty().split(',').map { it.trim().split(' ') }.filter { it.size > 1 }) {
            if (event[0] == "r") {
                liveness.recordResponse(event[1].toLong())
            } else {
                liveness.observeLeader(event[1].takeIf { it != "-" }, event[2].toLong())
            }
        }
        assertEquals(expected, liveness.reachableLeader(now) ?: "none", case)
    }
}
