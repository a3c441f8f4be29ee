package org.honeyjunction.core.lease

import org.honeyjunction.core.lease.LeaseGuard.State
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class LeaseGuardTest {
    /** Events: `r` the lease is renewed (until, now); `t` the guard ticks every 100 ms until then; `s` it is suspended until then. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "no lease yet                                     | t 500                                | EXPIRED | no",
            "within the lease                                 | r 5000 0, t 4900                     | HELD    | no",
            "the lease expired in an outage, no suspension    | r 5000 0, t 6000                     | EXPIRED | no",
            "the outage ends                                  | r 5000 0, t 6000, r 11000 6100       | HELD    | no",
            "suspended, and resumed within the lease          | r 5000 0, t 1000, s 4000             | HELD    | 4000",
            "resumed after the lease had expired              | r 5000 0, t 1000, s 9000             | RESUMED_EXPIRED   | 9000",
            "still expired however much time passes           | r 5000 0, t 1000, s 9000, t 60000    | RESUMED_EXPIRED   | 9000",
            "resumed, and the lease is renewed                | r 5000 0, t 1000, s 9000, r 14000 9050 | HELD  | 9000",
            "a renewal that has expired already has no effect | r 5000 0, t 1000, s 9000, r 6000 9050  | RESUMED_EXPIRED | 9000",
            "suspended twice                                  | r 5000 0, s 9000, r 14000 9050, s 20000 | RESUMED_EXPIRED | 20000",
            "a short delay is no suspension                   | r 5000 0, t 1000, s 2400             | HELD    | no",
        ],
    )
    fun `the state after renewals, ticks and suspensions`(case: String, events: String, state: State, resumedAt: String) {
        val guard = LeaseGuard(0)
        var now = 0L
        for (event in events.split(',').map { it.trim().split(' ') }) {
            val at = event.last().toLong()
            if (event[0] == "t") {
                while (now < at) {
                    now += 100
                    guard.recordTick(now)
                }
            }
            now = at
            if (event[0] == "s") guard.recordTick(now)
            if (event[0] == "r") guard.renewed(event[1].toLong(), now)
        }
        assertEquals(state, guard.state, case)
        assertEquals(resumedAt, if (guard.resumedAt < 0) "no" else guard.resumedAt.toString(), case)
    }
}
