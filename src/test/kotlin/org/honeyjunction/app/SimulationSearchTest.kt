package org.honeyjunction.app

import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.ScenarioResult
import org.honeyjunction.app.local.SimulationSearch
import org.honeyjunction.app.local.VirtualCluster
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.fake.Fault
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/**
 * Whole controllers in virtual time: several at once, with users, and troubles that meet. `local --virtual --controllers N
 * --search D` plays more.
 */
class SimulationSearchTest {
    private val settings = LocalSettings(Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()), null, 10)

    private fun cluster(controllers: Int) = VirtualCluster(settings, controllers, Tuning(idleMs = 6_000, forecastMs = 20_000))

    private fun search(controllers: Int) = SimulationSearch(cluster(controllers), controllers, settings.zoneNames, settings.teamNames)

    private fun play(controllers: Int, seeds: LongRange, faults: List<Fault> = emptyList()): List<ScenarioResult> {
        val cluster = cluster(controllers)
        val days = search(controllers).let { s -> seeds.map { s.draw(it, faults) } }
        val threads = Executors.newFixedThreadPool(4)
        try {
            val played = threads.invokeAll(days.map { Callable { cluster.play(it) } }).map { it.get() }
            assertEquals(
                emptyList<String>(),
                days.zip(played).filter { !it.second.passed }.map { (day, p) ->
                    "seed ${day.seed}: ${p.broken} ${p.unserved} ${day.faults}"
                },
            )
            return played
        } finally {
            threads.shutdownNow()
        }
    }

    @ParameterizedTest
    @CsvSource("3, 1, 140", "5, 1001, 1060")
    fun `drawn scenarios with overlapping faults break no rule and leave no job`(controllers: Int, from: Long, to: Long) {
        val played = play(controllers, from..to)
        // What is drawn must bring about what it is for.
        assertTrue(played.sumOf { it.terms } > played.size * 1.4, "terms ${played.sumOf { it.terms }}")
        assertTrue(played.sumOf { it.cancelled } > played.size && played.sumOf { it.lateWrites } > played.size / 4)
        val coverage = played.flatMap { it.coverage.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        coverage.filterKeys { it != "starts after a cancellation" }.forEach { (what, n) -> assertTrue(n > played.size / 2, "$n $what") }
    }

    /** The meetings that operators named, each on a few days of its own. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "refused alone, then nobody is answered for longer than a cancellation may take | at 9s refuse leader for 30s, at 17s " +
                "state outage for 40s",
            "cut off with its workers while jobs are cancelled elsewhere | at 9s isolate leader for 60s, at 17s state outage for 30s",
            "cut off with its workers, whom the next leader does not reach | at 9s isolate leader for 60s, at 9s mute others for 60s",
            "writes carried out late, and their writer is gone | at 8s delay writes for 25s, at 10s kill leader for 1s, at 17s kill " +
                "leader for 1s",
            "small jobs whose ends lie apart over two changes of leader | at 8s kill leader for 9s, at 16s kill leader for 9s, at " +
                "16s repeat reports for 40s",
            "handed over and back, all end, one returns at once | at 9s kill leader for 0.6s, at 15s kill all for 0.5s, at 15.8s " +
                "kill node 0 for 9s, at 15.8s kill node 1 for 9s",
            "a leader ends while machines are deaf | at 9s deafen 6 machines for 14s, at 10s kill leader for 9s",
            "a leader ends while machines can't be reached | at 9s cut 6 machines for 14s, at 10s kill leader for 9s, at 20s hang 3 " +
                "machines for 5s",
            "commands held up while their leader stands still | at 9s hang 4 machines for 5s, at 9.2s hang leader for 7s, at 12s " +
                "cut 2 machines for 5s",
            "answers lost while users look closely, and their leader ends at a write | at 5s close looks for 40s, at 6s lose " +
                "answers for 30s, at 12s on write kill leader for 6s",
            "jobs called off as they end, are accepted and run, while the work changes hands | at 5s cancel ends for 60s, at 5s " +
                "cancel accepted for 30s, at 9s on term cancel 4 jobs for 5s, at 9s kill leader for 9s",
            "old reports reach every controller as a new leader begins | at 4s keep reports for 3s, at 9s refuse leader for 20s, at " +
                "9s on term cut 6 machines for 9s, at 22s on end kill leader for 2s",
            "machines that reach no controller, and ever new leaders | at 8s mute 6 machines for 30s, at 9s kill leader for 1s, at " +
                "15s on term hang leader for 8s, at 24s kill leader for 1s",
            "new machines get work at once while writes lag and the leader ends | at 0s hurry boots for 40s, at 0s lag lists for " +
                "40s, at 4s delay writes for 20s, at 6s kill leader for 9s, at 14s on write kill leader for 9s",
            "copies of executed commands, their leader back within a second | at 4s copy commands for 60s, at 5s cancel accepted for " +
                "30s, at 9s kill leader for 0.6s, at 20s kill all for 0.5s, at 21s cancel 4 jobs for 5s",
            "copies of executed commands while machines are drained and cut | at 4s copy commands for 60s, at 8s notice machine for " +
                "20s, at 12s cut 4 machines for 9s, at 15s kill leader for 0.4s, at 25s cancel ends for 20s",
            "old reports after newer ones, of earlier sessions | at 7s repeat reports for 60s, at 9s cut 4 machines for 9s, at 19s " +
                "kill leader for 2s",
        ],
    )
    fun `overlapping faults that operators named`(case: String, faults: String) {
        play(3, 501L..512, faults.split(',').map { Fault.parse(it) })
    }

    @Test
    fun `a seed always gives the same run`() {
        val cluster = cluster(3)
        val day = search(3).draw(14)

        fun outcome(result: ScenarioResult) =
            listOf(result.broken, result.unserved, result.terms, result.cancelled, result.lateWrites, result.starts, result.virtualMs)
        assertEquals(outcome(cluster.play(day)), outcome(cluster.play(search(3).draw(14))))
    }
}
