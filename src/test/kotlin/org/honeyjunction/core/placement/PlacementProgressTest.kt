package org.honeyjunction.core.placement

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleTable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Rounds make progress: whatever could be placed is placed, however rows and columns are cut. */
class PlacementProgressTest {
    private data class JobOf(
        val tasks: Int,
        val gang: Boolean,
        val gpus: Int,
        val priority: Priority,
        val spot: Boolean,
        val zones: Long,
        val oneZone: Boolean,
        val image: Int,
        val guaranteed: Boolean,
    )

    private fun gpus(n: Int) = Resources(n.toDouble(), n.toDouble(), n.toDouble())

    private fun rows(job: Int, j: JobOf) =
        List(j.tasks) {
            TaskRow(
                job,
                it,
                job % 2,
                j.priority,
                1_000L * job,
                gpus(j.gpus),
                j.image,
                5.0,
                j.zones,
                -1,
                j.spot,
                j.oneZone,
                if (j.gang) j.tasks else 0,
                j.guaranteed,
            )
        }

    private fun summary(capacities: List<FreeCapacity>, rows: List<TaskRow>) =
        Summary(capacities, listOf(TeamShare(1.0, 3), TeamShare(2.0, 0)), capacities.size, rows)

    /** What the leader would do with [proposals]; fails on any that does not fit. */
    private fun applied(
        capacities: List<FreeCapacity>,
        rows: List<TaskRow>,
        proposals: List<Proposal>,
    ): Pair<List<FreeCapacity>, List<TaskRow>> {
        val byTask = rows.associateBy { it.job to it.task }
        val free = capacities.associateTo(HashMap()) { it.machine to it.free }
        for (p in proposals) {
            val row = byTask.getValue(p.job to p.task)
            val capacity = capacities.first { it.machine == p.machine }
            assertTrue(row.allows(capacity, free.getValue(p.machine)), "$p does not fit")
            free[p.machine] = free.getValue(p.machine) - row.need
        }
        val placed = proposals.groupBy { it.job }
        placed.forEach { (job, there) ->
            val sample = byTask.getValue(job to there.first().task)
            if (sample.gangSize > 0) assertEquals(sample.gangSize, there.size, "gang $job in part")
            if (sample.oneZone) {
                assertEquals(
                    1,
                    there
                        .map { p ->
                            capacities.first { it.machine == p.machine }.zone
                        }.distinct()
                        .size,
                    "zones of $job",
                )
            }
        }
        assertEquals(proposals.size, proposals.distinctBy { it.job to it.task }.size, "a task twice")
        val started = proposals.mapTo(HashSet()) { it.job to it.task }
        return capacities.map { it.withFree(free.getValue(it.machine)) } to rows.filter { (it.job to it.task) !in started }
    }

    /** Whether some job, seen by itself, could start: a task of it, or all of a gang. By counting, without the cut's means. */
    private fun possible(capacities: List<FreeCapacity>, rows: List<TaskRow>): List<Int> =
        rows
            .groupBy { it.job }
            .filterValues { tasks ->
                val row = tasks.first()
                val zones = capacities.filter { row.allows(it) }.groupBy { if (row.oneZone) it.zone else 0 }
                zones.values.any { there -> there.sumOf { (it.free.gpus / row.need.gpus + 1e-9).toInt() } >= maxOf(1, row.gangSize) }
            }.keys
            .toList()

    @Provide
    fun clusters(): Arbitrary<Pair<List<FreeCapacity>, List<TaskRow>>> {
        val jobs =
            Combinators
                .combine(
                    Arbitraries.integers().between(1, 9),
                    Arbitraries.of(true, false),
                    Arbitraries.of(1, 1, 2, 4),
                    Arbitraries.of(Priority.NORMAL, Priority.HIGH, Priority.PRODUCTION),
                    Arbitraries.of(true, false),
                    Arbitraries.of(-1L, 1L, 2L),
                    Arbitraries.of(true, false),
                    Arbitraries.integers().between(0, 3),
                ).`as` { tasks, gang, need, priority, spot, zones, oneZone, image ->
                    JobOf(
                        tasks,
                        gang,
                        need,
                        priority,
                        spot,
                        zones,
                        oneZone,
                        image,
                        tasks % 2 == 0,
                    )
                }
        val capacities =
            Combinators
                .combine(
                    Arbitraries.integers().between(0, 4),
                    Arbitraries.integers().between(0, 1),
                    Arbitraries.of(true, false),
                    Arbitraries.integers().between(-1, 3),
                    Arbitraries.of(-1, -1, -1, 0, 1),
                ).`as` { free, zone, spot, image, held ->
                    { m: Int ->
                        FreeCapacity(
                            m,
                            gpus(free),
                            0,
                            zone,
                            spot,
                            if (image <
                                0
                            ) {
                                intArrayOf()
                            } else {
                                intArrayOf(image)
                            },
                            reservedFor = held,
                            reservedPriority = Priority.HIGH,
                        )
                    }
                }
        return Combinators.combine(capacities.list().ofMinSize(1).ofMaxSize(14), jobs.list().ofMinSize(1).ofMaxSize(8)).`as` { r, j ->
            r.mapIndexed { m, capacity -> capacity(m) } to j.flatMapIndexed { i, job -> rows(i, job) }
        }
    }

    @Property(tries = 1_500, seed = "5")
    fun `a round places something as long as anything could be placed`(
        @ForAll("clusters") cluster: Pair<List<FreeCapacity>, List<TaskRow>>,
    ) {
        val round = PlacementRound(CostSettings(maxColumns = 6))
        var (capacities, rows) = cluster
        repeat(rows.size + 1) {
            val proposals = round.place(summary(capacities, rows))
            if (proposals.isEmpty()) {
                assertEquals(emptyList<Int>(), possible(capacities, rows), "could start, and is not placed")
                return
            }
            val (left, waiting) = applied(capacities, rows, proposals)
            capacities = left
            rows = waiting
        }
    }

    @Property(tries = 800, seed = "6")
    fun `what is said to fit does, whole gangs, and nothing is left that would fit beside it`(
        @ForAll("clusters") cluster: Pair<List<FreeCapacity>, List<TaskRow>>,
    ) {
        val (capacities, rows) = cluster
        val jobs = rows.groupBy { it.job }.values
        val fitting = FirstFitEstimate(capacities, RuleTable.NONE)
        val first = jobs.map { tasks -> fitting.reserve(tasks.first(), tasks.size) }
        jobs.zip(first).forEach { (tasks, n) -> if (tasks.first().gangSize > 0) assertTrue(n == 0 || n == tasks.size) }
        // Not one more of what was refused in part fits now; gangs may, where a zone was chosen for them.
        jobs.zip(first).forEach { (tasks, n) ->
            if (tasks.first().gangSize == 0 &&
                !tasks.first().oneZone &&
                n < tasks.size
            ) {
                assertEquals(0, fitting.reserve(tasks.first(), 1))
            }
        }
        if (first.all { it == 0 }) assertEquals(emptyList<Int>(), possible(capacities, rows))
    }

    @Test
    fun `of very many rooms those are kept that what waits fits into`() {
        val capacities =
            List(5_000) { FreeCapacity(it, gpus(4), 0, 0, true, intArrayOf(3)) } + FreeCapacity(5_000, gpus(1), 0, 0, false, intArrayOf())
        val row = rows(0, JobOf(1, false, 1, Priority.PRODUCTION, false, -1, false, 3, true))
        val fitting = FirstFitEstimate(capacities, RuleTable.NONE)
        assertEquals(1, fitting.reserve(row[0], 1))
        assertEquals(listOf(5_000), PlacementRound().place(summary(fitting.selectCapacities(capacities, row, 100), row)).map { it.machine })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "128 replicas that may not use spot machines beside 200 spot machines and arrays, 128, false, 1, 200, true,  0, 60, 60",
        "of them one finds an ordinary machine and does not keep the arrays waiting,       128, false, 1, 200, true,  1, 60, 61",
        "a gang of more tasks than an assignment has columns,                              100, true,  1, 40,  false, 0, 0,  100",
        "a tasks that waited longer and have their image go before a gang that just came,    3,   true,  4, 3,   false, 0, 12, 12",
        "a gang of one task too many waits and lets the others go,                         13,  true,  1, 3,   false, 0, 12, 12",
    )
    fun `cut first, barred later`(
        case: String,
        tasks: Int,
        gang: Boolean,
        need: Int,
        machines: Int,
        spot: Boolean,
        ordinary: Int,
        arrays: Int,
        expected: Int,
    ) {
        val capacities =
            List(machines) { FreeCapacity(it, gpus(4), 0, 0, spot, intArrayOf(7)) } +
                List(ordinary) { FreeCapacity(machines + it, gpus(1), 0, 0, false, intArrayOf()) }
        val priority = if (gang) Priority.NORMAL else Priority.PRODUCTION
        val first = rows(0, JobOf(tasks, gang, need, priority, false, -1, false, 0, true))
        val second = (1..arrays).flatMap { rows(it, JobOf(1, false, 1, Priority.NORMAL, true, -1, false, 7, true)) }
        val proposals = PlacementRound(CostSettings(maxColumns = 16)).place(summary(capacities, first + second))
        applied(capacities, first + second, proposals)
        assertEquals(expected, proposals.size, case)
    }
}
