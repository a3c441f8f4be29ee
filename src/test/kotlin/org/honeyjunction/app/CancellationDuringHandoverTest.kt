package org.honeyjunction.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * Jobs cancelled in the seconds in which one controller's work changes hands, at every node in turn, and again at the next
 * one until there is an answer.
 */
class CancellationDuringHandoverTest {
    private enum class Moment { OLD_TERM, NO_TERM, BEING_READ, BEFORE_A_REPORT, HELD }

    private fun FaultyStateServiceCluster.moment(before: Long): Moment {
        val term = loopback.store[Keys.LEADER_RECORD]?.value?.path("term")?.longValue() ?: return Moment.NO_TERM
        if (term == before) return Moment.OLD_TERM
        val leader =
            (0 until FaultyStateServiceCluster.NODES)
                .firstNotNullOfOrNull { n ->
                    node(n)?.driverWithLease?.takeIf { it.term.number == term }
                }?.leader
                ?: return Moment.BEING_READ
        return if (leader.state.machines.any { it.lease.fenced }) Moment.HELD else Moment.BEFORE_A_REPORT
    }

    @ParameterizedTest(name = "the leader {0}")
    @CsvSource("ends", "ends and comes back at once", "is refused alone", "stands still")
    fun `cancelled in every moment of a handover, at every node`(how: String) {
        val moments = HashMap<Moment, Int>()
        for (seed in 1L..SEEDS) {
            val jobs = List(JOBS) { FaultyStateServiceCluster.job(it + 1, 300.0, 100L * it) }
            var slow = false
            val told = ArrayList<String>()
            val day =
                FaultyStateServiceCluster(seed, jobs) { r ->
                    if (slow && r.path == "/store") {
                        Fate.Slow(SCAN_MS)
                    } else {
                        Fate.Answered
                    }
                }.play(DAY_MS) {
                    delay(HANDOVER_MS)
                    val n = checkNotNull(loopback.leader())
                    val term = loopback.term()
                    slow = true
                    when (how) {
                        "ends", "ends and comes back at once" ->
                            loopback.loop.scope.launch {
                                kill(n)
                                delay(if (how == "ends") 9_000 else 300)
                                restart(n)
                            }
                        "is refused alone" -> loopback.refuse(n, 20_000)
                        else -> hang(n, 9_000)
                    }
                    val left = jobs.indices.toMutableList()
                    var last: Moment? = null
                    var next = 0L
                    while (left.isNotEmpty()) {
                        val moment = moment(term)
                        // One at each node as a moment begins, and one now and then while it lasts.
                        val some =
                            if (moment != last) {
                                FaultyStateServiceCluster.NODES
                            } else if (now >= next) {
                                1
                            } else {
                                0
                            }
                        if (some > 0) next = now + GAP_MS
                        last = moment
                        for (i in left.take(some)) {
                            left -= i
                            users.jobs[i].cancelWanted = true
                            moments.merge(moment, 1, Int::plus)
                            loopback.loop.scope.launch { told += cancel(jobs[i].work.spec.id, n + i) }
                        }
                        delay(LOOK_MS)
                    }
                    slow = false
                }
            assertEquals(emptyList<String>(), day.broken, "seed $seed")
            assertEquals(List(JOBS) { "cancelled" }, told, "seed $seed")
        }
        assertTrue(moments.keys.containsAll(Moment.entries), "$moments")
    }

    private companion object {
        const val SEEDS = 2L
        const val JOBS = 27
        const val HANDOVER_MS = 9_000L
        const val SCAN_MS = 350L
        const val GAP_MS = 700L
        const val LOOK_MS = 2L
        const val DAY_MS = 45_000L
    }
}
