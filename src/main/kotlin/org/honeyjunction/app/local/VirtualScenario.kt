package org.honeyjunction.app.local

import org.honeyjunction.app.ExitStatus
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.simulation.Scenario

/** `local --virtual`: the core alone against fakes in virtual time, at the size of a large fleet, within seconds. */
class VirtualScenario(private val setup: ClusterSetup, private val machines: Int, private val seed: Long, private val withinS: Int) {
    /** The exit status; [jobs]: null for those that suit the size of the fleet. */
    fun play(jobs: List<PlannedJob>?, faults: List<Fault>): Int {
        val ticker = Ticker(System.console() != null, ::println) { it }
        val planned = jobs ?: Scenario.jobs(machines, setup)
        val scenario = Scenario(setup, machines, seed, planned, faults) { at, what -> ticker.show("%7.1f s  %s".format(at / 1000.0, what)) }
        scenario.run(withinS * 1_000L)
        ticker.end()
        print(scenario)
        val passed = scenario.cluster.broken.isEmpty() && scenario.unfinished().isEmpty()
        return if (passed) ExitStatus.OK else ExitStatus.FAILED
    }

    private fun print(scenario: Scenario) {
        val cluster = scenario.cluster
        printServiceLevels(scenario)
        cluster.broken.forEach { println("BROKEN  $it") }
        println(
            "${scenario.doneCount} jobs done, ${scenario.unfinished().size} without a final answer; ${cluster.started} starts, " +
                "${cluster.broken.size} rules broken or stalls; virtual time ${cluster.now / 1000} s",
        )
    }

    private fun printServiceLevels(scenario: Scenario) {
        val levels = scenario.serviceLevels
        val header = listOf("", "median", "nine in ten", "most")
        val waits = JobKind.entries.map { kind -> listOf(waitTitle(kind)) + levels.waitQuantiles(kind).map(::seconds) }
        println(Outcome.table(listOf(header) + waits))
        val availability = levels.availability() * 100
        val worst = levels.worstAvailability(WORST_S) * 100
        println("replica time %.2f%%, in the worst 30 s %.2f%%".format(availability, worst))
        println(
            "money %.2f, accelerators in use while paid for %.1f%%; %d machines rented, %d given back".format(
                levels.spent,
                levels.utilization * 100,
                scenario.cluster.cloud.totalRented,
                scenario.cluster.cloud.releases,
            ),
        )
    }

    private fun waitTitle(kind: JobKind) = "wait of ${kind.name.lowercase()}s until all tasks had started"

    private fun seconds(value: Double?) = value?.let { "%.0f s".format(it) } ?: "-"

    private companion object {
        const val WORST_S = 30
    }
}
