package org.honeyjunction.app.local

import org.honeyjunction.app.ExitStatus
import org.honeyjunction.fake.Fault
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** `local --virtual --controllers N --search D`: scenarios run in parallel, and are reported in the order of their seeds. */
class SearchRun(private val cluster: VirtualCluster, settings: LocalSettings, private val controllers: Int) {
    private val search = SimulationSearch(cluster, controllers, settings.zoneNames, settings.teamNames)

    /** Sums over the scenarios that have run. */
    private class Totals {
        var terms = 0L
        var cancelled = 0
        var lateWrites = 0
        var starts = 0
        val coverage = LinkedHashMap<String, Int>()

        fun add(result: ScenarioResult) {
            terms += result.terms
            cancelled += result.cancelled
            lateWrites += result.lateWrites
            starts += result.starts
            result.coverage.forEach { (situation, count) -> coverage.merge(situation, count, Int::plus) }
        }

        override fun toString() =
            "$terms terms, $cancelled cancellations, $lateWrites transactions carried out late, $starts starts; " +
                coverage.entries.joinToString { "${it.value} ${it.key}" }
    }

    /** The exit status: failed at the first scenario in which a rule is broken or a job is not served. */
    fun run(days: Int, seed: Long, faults: List<Fault>): Int {
        val ticker = Ticker(System.console() != null, ::println) { it }
        val threads = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors())
        try {
            val scenarios = (seed until seed + days).map { search.draw(it, faults) }
            val totals = Totals()
            for (batch in scenarios.chunked(BATCH)) {
                for ((scenario, result) in batch.zip(playAll(threads, batch))) {
                    totals.add(result)
                    if (!result.passed) {
                        ticker.end()
                        return reportFailure(scenario, result)
                    }
                }
                ticker.show("${batch.last().seed - seed + 1} days")
            }
            ticker.end()
            println("$days days from seed $seed with $controllers controllers: no rule broken; $totals")
            if (faults.isEmpty()) printOverlaps()
            return ExitStatus.OK
        } finally {
            threads.shutdownNow()
        }
    }

    private fun playAll(threads: ExecutorService, scenarios: List<ShortScenario>): List<ScenarioResult> =
        threads.invokeAll(scenarios.map { Callable { cluster.play(it) } }).map { it.get() }

    private fun printOverlaps() {
        val pairs = search.overlaps.entries.sortedBy { it.value }
        val rarest = pairs.first()
        val commonest = pairs.last()
        val range = "${rarest.value} times ${rarest.key} to ${commonest.value} times ${commonest.key}"
        println("meetings of ${search.overlaps.size} pairs of troubles: $range")
    }

    private fun reportFailure(scenario: ShortScenario, result: ScenarioResult): Int {
        println("seed ${scenario.seed}: ${result.failure}")
        val smallest = search.shrink(scenario, result.failure)
        val repeated = cluster.play(smallest)
        repeated.broken.forEach { println("BROKEN  $it") }
        repeated.unserved.forEach { println("UNSERVED  $it") }
        println("of ${scenario.faults.size} troubles ${smallest.faults.size} are needed; to replay:")
        val replay = "  honeyjunction local --virtual --controllers $controllers --search 1 --seed ${scenario.seed}"
        println(replay + smallest.faults.joinToString("") { " --fault '$it'" })
        return ExitStatus.FAILED
    }

    private companion object {
        const val BATCH = 64
    }
}
