package org.honeyjunction.core

import org.honeyjunction.core.evidence.TermDoor
import org.honeyjunction.core.evidence.TermDoor.State
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class TermDoorTest {
    /** `r` renews: until, now; `b` beats up to a moment every 100 ms; `s` stands still and goes on then. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', value = [
        "no lease yet                                     | b 500                                | OVERDUE | no",
        "within the lease                                 | r 5000 0, b 4900                     | OPEN    | no",
        "an outage: past the lease, awake all the time    | r 5000 0, b 6000                     | OVERDUE | no",
        "the outage ends                                  | r 5000 0, b 6000, r 11000 6100       | OPEN    | no",
        "stood still within the lease                     | r 5000 0, b 1000, s 4000             | OPEN    | 4000",
        "woken past it                                    | r 5000 0, b 1000, s 9000             | WOKEN   | 9000",
        "still woken, whatever time passes                | r 5000 0, b 1000, s 9000, b 60000    | WOKEN   | 9000",
        "woken and told that the lease went on            | r 5000 0, b 1000, s 9000, r 14000 9050 | OPEN  | 9000",
        "a renewal that was asked for before says nothing | r 5000 0, b 1000, s 9000, r 6000 9050  | WOKEN | 9000",
        "woken twice                                      | r 5000 0, s 9000, r 14000 9050, s 20000 | WOKEN | 20000",
        "a hiccup is none                                 | r 5000 0, b 1000, s 2400             | OPEN    | no",
    ])
    fun `what may leave`(case: String, events: String, state: State, resumedAt: String) {
        val door = TermDoor(0)
        var now = 0L
        for (e in events.split(',').map { it.trim().split(' ') }) {
            val to = e.last().toLong()
            if (e[0] == "b") while (now < to) { now += 100; door.beat(now) }
            now = to
            if (e[0] == "s") door.beat(now)
            if (e[0] == "r") door.renewed(e[1].toLong(), now)
        }
        assertEquals(state, door.state, case)
        assertEquals(resumedAt, if (door.resumedAt < 0) "no" else door.resumedAt.toString(), case)
    }
}
