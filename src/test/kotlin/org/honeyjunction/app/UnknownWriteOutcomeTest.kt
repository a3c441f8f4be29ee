package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Each kind of write without an answer, carried out at once or late, while other nodes read what it wrote and leaders change. */
class UnknownWriteOutcomeTest {
    /** What a transaction is for, by what it writes. */
    private fun kind(r: Request): String {
        val puts =
            if (r.path ==
                "/commit"
            ) {
                CounterpartCodec.commit(r.body).writes
            } else {
                return if (r.path ==
                    "/leases"
                ) {
                    "a lease"
                } else if (r.path.endsWith("/extend")) {
                    "an extension"
                } else {
                    ""
                }
            }

        fun any(prefix: String, removed: Boolean = false) =
            puts.any { (key, value, _) ->
                key.startsWith(prefix) &&
                    (value == null) == removed
            }
        return when {
            any(Keys.LEADER_RECORD) -> "the term"
            any(Keys.TERMINAL_RECORDS) -> "a final record"
            puts.any { (key, value, _) ->
                key.startsWith(Keys.JOBS) && value?.path("stage")?.asText().let { it != null && it != "ACTIVE" }
            } -> "a final record in place"
            any(Keys.JOBS) -> "an acceptance"
            any(Keys.JOURNAL_PAGES) -> "a page"
            any(Keys.MACHINE_CHECKPOINTS) -> "hints"
            any(Keys.LEADER_CHECKPOINT) -> "marks"
            any(Keys.MACHINE_TYPES) -> "machine types"
            else -> ""
        }
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        "an acceptance, lost",
        "an acceptance, late",
        "a page, lost",
        "a page, late",
        "a final record, lost",
        "a final record, late",
        "a final record in place, lost",
        "a final record in place, late",
        "the term, lost",
        "the term, late",
        "a lease, lost",
        "an extension, lost",
        "an extension, late",
        "hints, lost",
        "hints, late",
        "marks, late",
        "machine types, lost",
        "machine types, late",
    )
    fun `nobody is told anything older and all is served`(kind: String, how: String) {
        for (seed in 1L..SEEDS) {
            var met = 0
            var turn = 0
            val jobs =
                List(JOBS) {
                    FaultyStateServiceCluster.job(
                        it + 1,
                        1.0 + it % 4,
                        700L * it,
                        1 + it % 2,
                        if (it % 4 ==
                            0
                        ) {
                            700L * it + 700L * (1 + it % 5)
                        } else {
                            null
                        },
                    )
                }
            // Finals are recorded in place while changes are short.
            val day =
                FaultyStateServiceCluster(seed, jobs, if (kind == "a final record in place") FEW_WRITES else MANY_WRITES) { r ->
                    // Two in three of its kind, so that it goes on all the same.
                    if (now > TROUBLE_MS || kind(r) != kind || turn++ % 3 == 2) {
                        Fate.Answered
                    } else {
                        met++
                        if (how == "lost") Fate.Lost else Fate.Late(2_000L + turn * 700L % 8_000)
                    }
                }.play(DAY_MS, TROUBLE_MS) {
                    // Two changes of leader, so that another one reads what the first had written or would have.
                    for (at in listOf(LEADER_ENDS_MS, LEADER_ENDS_MS * 2)) {
                        delay(at - now)
                        loopback.leader()?.let { n ->
                            kill(n)
                            delay(1_000)
                            restart(n)
                        }
                    }
                }
            assertEquals(emptyList<String>(), day.broken, "seed $seed")
            assertEquals(
                emptyList<String>(),
                day.users.jobs
                    .filter {
                        it.stage != FakeUsers.Stage.DONE && it.stage != FakeUsers.Stage.CANCELLED
                    }.map { "${it.spec.id} ${it.stage}" },
                "seed $seed",
            )
            assertTrue(met > 0, "seed $seed: $kind came about $met times")
            // The first, and one after each end of a leader: a term that was won without an answer is not given up.
            if (kind == "the term" && how == "lost") assertEquals(3, day.loopback.term(), "seed $seed")
        }
    }

    private companion object {
        const val SEEDS = 2L
        const val JOBS = 16
        const val TROUBLE_MS = 35_000L
        const val LEADER_ENDS_MS = 9_000L
        const val DAY_MS = 100_000L
        const val MANY_WRITES = 100.0
        const val FEW_WRITES = 5.0
    }
}
