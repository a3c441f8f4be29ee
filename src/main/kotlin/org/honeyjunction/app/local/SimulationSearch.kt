package org.honeyjunction.app.local

import org.honeyjunction.fake.Fault
import java.util.Random

/** Randomized search: draws short scenarios with overlapping faults, and shrinks the faults of one that fails. */
class SimulationSearch(private val cluster: VirtualCluster, controllers: Int, zones: List<String>, private val teams: List<String>) {
    private val catalog = FaultCatalog(controllers, zones)

    /** How often two kinds of faults overlapped in the scenarios drawn so far. */
    val overlaps = sortedMapOf<String, Int>()

    /** The scenario of [seed]; with [given], if there are any, instead of the faults that it would draw. */
    fun draw(seed: Long, given: List<Fault> = emptyList()): ShortScenario {
        val random = Random(seed)
        val kind = ShortScenario.Kind.of(seed)
        val faults = drawFaults(random, kind)
        val jobs = ScenarioJobs(random, teams).of(kind)
        return ShortScenario(seed, kind, jobs, given.ifEmpty { faults + drawCopies(seed) })
    }

    private fun drawFaults(random: Random, kind: ShortScenario.Kind): List<Fault> {
        val count = (if (kind == ShortScenario.Kind.LONG) 5 else 2) + random.nextInt(4)
        var atMs = 5_000L + random.nextInt(9_000)
        val drawn = ArrayList<FaultTemplate>()
        val faults = ArrayList<Fault>()
        repeat(count) {
            val template = catalog.draw(random)
            drawn += template
            val forMs = template.durationMs(random)
            faults += template.faults(atMs, drawMoment(random), forMs, random)
            // Gaps that matter: none, while a term is won, while its leader recovers, and when the first fault is nearly over.
            atMs += GAPS_MS[random.nextInt(GAPS_MS.size)] + random.nextInt(400)
        }
        countOverlaps(drawn)
        return faults
    }

    /**
     * In half of the scenarios copies of executed commands arrive, and in half of these the leader or all controllers end and are back
     * within a second. A generator of its own leaves the other faults and the jobs of each seed as they are.
     */
    private fun drawCopies(seed: Long): List<Fault> {
        val random = Random(seed * COPY_SEED_FACTOR)
        if (random.nextBoolean()) return emptyList()
        val copies = Fault.parse("at ${1 + random.nextInt(8)}s copy commands for ${20 + random.nextInt(40)}s")
        if (random.nextBoolean()) return listOf(copies)
        val target = if (random.nextBoolean()) "leader" else "all"
        return listOf(copies, Fault.parse("at ${8 + random.nextInt(20)}s kill $target for 0.${2 + random.nextInt(7)}s"))
    }

    private fun drawMoment(random: Random): String {
        if (random.nextInt(MOMENT_ONE_IN) != 0) return ""
        val moment = Fault.Moment.entries[random.nextInt(Fault.Moment.entries.size)]
        return "on ${moment.name.lowercase()} "
    }

    private fun countOverlaps(drawn: List<FaultTemplate>) {
        for (later in drawn.indices) {
            for (earlier in 0 until later) {
                val pair = listOf(drawn[later].name, drawn[earlier].name).sorted()
                overlaps.merge(pair.joinToString(" + "), 1, Int::plus)
            }
        }
    }

    /** [scenario] with as few faults as possible such that it still ends in [failure]; faults are left out one at a time. */
    fun shrink(scenario: ShortScenario, failure: String): ShortScenario {
        var smallest = scenario
        while (true) {
            val candidates = smallest.faults.asSequence().map(smallest::without)
            smallest = candidates.firstOrNull { cluster.play(it).failure == failure } ?: return smallest
        }
    }

    private companion object {
        const val MOMENT_ONE_IN = 4
        const val COPY_SEED_FACTOR = 7_919L
        val GAPS_MS = listOf(0, 300, 1_000, 2_500, 5_000, 6_500, 9_000, 15_000)
    }
}
