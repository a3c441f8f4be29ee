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

/** Checks that rounds make progress: tasks that fit are placed, however rows and columns are pruned. */
class PlacementProgressTest {
    private data class JobShape(
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

    private fun rows(job: Int, shape: JobShape) =
        List(shape.tasks) {
            TaskRow(
                job,
                it,
                job % 2,
                shape.priority,
                1_000L * job,
                gpus(shape.gpus),
                shape.image,
                5.0,
                shape.zones,
                -1,
                shape.spot,
                shape.oneZone,
                if (shape.gang) shape.tasks else 0,
                shape.guaranteed,
            )
        }

    private fun summary(capacities: List<FreeCapacity>, rows: List<TaskRow>) =
        Summary(capacities, listOf(TeamShare(1.0, 3), TeamShare(2.0, 0)), capacities.size, rows)

    /** Applies [proposals] as the leader would, and fails if one does not fit; returns the remaining capacities and rows. */
    private fun applyProposals(
        capacities: List<FreeCapacity>,
        rows: List<TaskRow>,
        proposals: List<Proposal>,
    ): Pair<List<FreeCapacity>, List<TaskRow>> {
        val byTask = rows.associateBy { it.job to it.task }
        val free = capacities.associateTo(HashMap()) { it.machine to it.free }
        for (proposal in proposals) {
            val row = byTask.getValue(proposal.job to proposal.task)
            val capacity = capacities.first { it.machine == proposal.machine }
            assertTrue(row.allows(capacity, free.getValue(proposal.machine)), "$proposal does not fit")
            free[proposal.machine] = free.getValue(proposal.machine) - row.need
        }
        val placed = proposals.groupBy { it.job }
        placed.forEach { (job, placements) ->
            val sample = byTask.getValue(job to placements.first().task)
            if (sample.gangSize > 0) assertEquals(sample.gangSize, placements.size, "gang $job is incomplete")
            if (sample.oneZone) {
                assertEquals(
                    1,
                    placements
                        .map { proposal ->
                            capacities.first { it.machine == proposal.machine }.zone
                        }.distinct()
                        .size,
                    "zones of $job",
                )
            }
        }
        assertEquals(proposals.size, proposals.distinctBy { it.job to it.task }.size, "a task is proposed twice")
        val started = proposals.mapTo(HashSet()) { it.job to it.task }
        return capacities.map { it.withFree(free.getValue(it.machine)) } to rows.filter { (it.job to it.task) !in started }
    }

    /** The jobs that could start by themselves, a single task or a whole gang; counted independently of the pruning. */
    private fun startableJobs(capacities: List<FreeCapacity>, rows: List<TaskRow>): List<Int> =
        rows
            .groupBy { it.job }
            .filterValues { tasks ->
                val row = tasks.first()
                val zones = capacities.filter { row.allows(it) }.groupBy { if (row.oneZone) it.zone else 0 }
                zones.values.any { machines ->
                    machines.sumOf { (it.free.gpus / row.need.gpus + 1e-9).toInt() } >=
                        maxOf(1, row.gangSize)
                }
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
                    JobShape(
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
                ).`as` { free, zone, spot, image, reservedFor ->
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
                            reservedFor = reservedFor,
                            reservedPriority = Priority.HIGH,
                        )
                    }
                }
        return Combinators.combine(capacities.list().ofMinSize(1).ofMaxSize(14), jobs.list().ofMinSize(1).ofMaxSize(8)).`as` { r, j ->
            r.mapIndexed { m, capacity -> capacity(m) } to j.flatMapIndexed { i, job -> rows(i, job) }
        }
    }

    @Property(tries = 1_500, seed = "5")
    fun `a round places at least one task while any job could start`(
        @ForAll("clusters") cluster: Pair<List<FreeCapacity>, List<TaskRow>>,
    ) {
        val round = PlacementRound(CostSettings(maxColumns = 6))
        var (capacities, rows) = cluster
        repeat(rows.size + 1) {
            val proposals = round.place(summary(capacities, rows))
            if (proposals.isEmpty()) {
                assertEquals(emptyList<Int>(), startableJobs(capacities, rows), "jobs that could start are not placed")
                return
            }
            val (left, waiting) = applyProposals(capacities, rows, proposals)
            capacities = left
            rows = waiting
        }
    }

    @Property(tries = 800, seed = "6")
    fun `the first-fit estimate takes gangs whole and leaves no task that would still fit`(
        @ForAll("clusters") cluster: Pair<List<FreeCapacity>, List<TaskRow>>,
    ) {
        val (capacities, rows) = cluster
        val jobs = rows.groupBy { it.job }.values
        val estimate = FirstFitEstimate(capacities, RuleTable.NONE)
        val first = jobs.map { tasks -> estimate.reserve(tasks.first(), tasks.size) }
        jobs.zip(first).forEach { (tasks, n) -> if (tasks.first().gangSize > 0) assertTrue(n == 0 || n == tasks.size) }
        // No further task of a partly fitting job fits now; this does not hold for gangs and for jobs bound to a chosen zone.
        jobs.zip(first).forEach { (tasks, n) ->
            if (tasks.first().gangSize == 0 &&
                !tasks.first().oneZone &&
                n < tasks.size
            ) {
                assertEquals(0, estimate.reserve(tasks.first(), 1))
            }
        }
        if (first.all { it == 0 }) assertEquals(emptyList<Int>(), startableJobs(capacities, rows))
    }

    @Test
    fun `the summary keeps the machines that waiting tasks fit on when there are more machines than it may hold`() {
        val capacities =
            List(5_000) { FreeCapacity(it, gpus(4), 0, 0, true, intArrayOf(3)) } + FreeCapacity(5_000, gpus(1), 0, 0, false, intArrayOf())
        val row = rows(0, JobShape(1, false, 1, Priority.PRODUCTION, false, -1, false, 3, true))
        val estimate = FirstFitEstimate(capacities, RuleTable.NONE)
        assertEquals(1, estimate.reserve(row[0], 1))
        assertEquals(
            listOf(5_000),
            PlacementRound().place(summary(estimate.selectCapacities(capacities, row, 100), row)).map { it.machine },
        )
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "128 replicas that may not use spot machines beside 200 spot machines and arrays, 128, false, 1, 200, true,  0, 60, 60",
        "one replica gets the on-demand machine and the arrays still start,                128, false, 1, 200, true,  1, 60, 61",
        "a gang with more tasks than an assignment has columns,                            100, true,  1, 40,  false, 0, 0,  100",
        "tasks with a longer wait and a cached image go before a new gang,                   3,   true,  4, 3,   false, 0, 12, 12",
        "a gang with one task too many waits and the others start,                         13,  true,  1, 3,   false, 0, 12, 12",
    )
    fun `pruning does not keep startable tasks from being placed`(
        case: String,
        tasks: Int,
        gang: Boolean,
        need: Int,
        machines: Int,
        spot: Boolean,
        onDemand: Int,
        arrays: Int,
        expected: Int,
    ) {
        val capacities =
            List(machines) { FreeCapacity(it, gpus(4), 0, 0, spot, intArrayOf(7)) } +
                List(onDemand) { FreeCapacity(machines + it, gpus(1), 0, 0, false, intArrayOf()) }
        val priority = if (gang) Priority.NORMAL else Priority.PRODUCTION
        val first = rows(0, JobShape(tasks, gang, need, priority, false, -1, false, 0, true))
        val second = (1..arrays).flatMap { rows(it, JobShape(1, false, 1, Priority.NORMAL, true, -1, false, 7, true)) }
        val proposals = PlacementRound(CostSettings(maxColumns = 16)).place(summary(capacities, first + second))
        applyProposals(capacities, first + second, proposals)
        assertEquals(expected, proposals.size, case)
    }
}
