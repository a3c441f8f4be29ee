package org.honeyjunction.core.placement

import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Team
import org.honeyjunction.core.rules.RuleBook
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.rules.RulesReader
import org.honeyjunction.rules.TopologyReader
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.PeerCodec
import org.honeyjunction.wire.PeerMessage
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/**
 * Measures the duration of a round for several numbers of machines and rules. Not part of the tests; run with
 * `mvn test -Dgroups=measure -DexcludedGroups=`.
 */
@Tag("measure")
class PlacementRoundBenchmark {
    @Test
    fun measure() {
        for ((rules, machines) in listOf(0 to 1_400, 10 to 1_400, 200 to 1_400, 0 to 5_000, 0 to 20_000)) {
            val (summary, bytes) = summary(rules, machines)
            val round = PlacementRound()
            repeat(WARMUP_ROUNDS) { round.place(summary) }
            val times =
                LongArray(MEASURED_ROUNDS) {
                    val from = System.nanoTime()
                    round.place(summary)
                    System.nanoTime() - from
                }.sorted()
            val placed = round.place(summary).size
            println(
                "$machines machines, $rules rules: round ${"%.2f".format(times[MEASURED_ROUNDS / 2] / 1e6)} ms (p95 ${"%.2f".format(
                    times[MEASURED_ROUNDS * 95 / 100] / 1e6,
                )}), $placed placed, summary $bytes bytes",
            )
            assertTrue(placed > 0)
        }
    }

    private fun summary(rules: Int, machines: Int): Pair<Summary, Int> {
        val cluster =
            Cluster(
                NameTable().also { n ->
                    List(4) { "z$it" }.forEach(n::index)
                },
                listOf(Team("a", Resources(0.0, 100.0, 0.0), Resources(0.0, 9000.0, 0.0))),
                12_000,
                2_000,
                37_000,
            ).also {
                it.types[it.typeNames.index("t")] =
                    MachineType("t", Resources(32.0, 4.0, 128.0), 50.0, 1.0, 8.0, 3.0, 5.0, listOf(0, 1, 2, 3))
            }
        val topology =
            TopologyReader.parse(
                Json.read(
                    """{"machines":[${(0 until 40).joinToString(
                        ",",
                    ) { """{"name":"vm-${"%02d".format(it)}*","labels":{"rack":"r$it"}}""" }}]}""".toByteArray(),
                ),
            )
        // One third of the rules each on machine attributes, on tasks that run on the machine, and on the place of the job's other tasks.
        val text =
            (0 until rules).joinToString("\n") { i ->
                when (i % 3) {
                    0 ->
                        "rule \"$i\" for class \"c${i % 20}\" { must machine.rack != \"r${i % 40}\" prefer machine.zone in " +
                            "[\"z0\", \"z1\"] weight 2 }"
                    1 ->
                        "rule \"$i\" for class \"c${i % 20}\" { must not machine runs class \"c${(i + 7) % 20}\" prefer not " +
                            "machine.spot weight 1 }"
                    else -> "rule \"$i\" for class \"c${i % 20}\" and kind gang { prefer same rack weight 20 }"
                }
            }
        val read = RulesReader(topology.labels).read(text)
        check(read.errors.isEmpty()) { read.errors }
        val book = RuleBook(cluster, RuleSet(if (rules == 0) 0 else 1, read.rules, topology))
        val specs =
            (0 until 20).map { classIndex ->
                val kind = if (classIndex % 4 == 3) JobKind.GANG else JobKind.ARRAY
                JobSpec(
                    "j-$classIndex",
                    "c$classIndex",
                    "a",
                    kind,
                    Priority.NORMAL,
                    if (kind ==
                        JobKind.GANG
                    ) {
                        4
                    } else {
                        17
                    },
                    Resources(4.0, 1.0, 8.0),
                    "i${classIndex % 6}",
                    5.0,
                    null,
                    null,
                    false,
                    false,
                    true,
                    60.0,
                    0.0,
                    0.0,
                    null,
                )
            }
        val capacities =
            (0 until machines).map { machine ->
                val name = "vm-%02d%04d".format(machine % 40, machine)
                val running = if (book.empty) IntArray(0) else intArrayOf(book.shape(specs[machine % 20])).filter { it >= 0 }.toIntArray()
                FreeCapacity(
                    machine,
                    Resources(16.0, 1.0 + machine % 2, 64.0),
                    0,
                    machine % 4,
                    machine % 3 == 0,
                    intArrayOf(machine % 6),
                    fetchGbPerS = 1.0,
                    place =
                        book.place(
                            name,
                            0,
                            machine % 4,
                            machine % 3 == 0,
                        ),
                    running = running,
                )
            }
        val rows =
            specs
                .flatMapIndexed { job, spec ->
                    List(spec.tasks) {
                        TaskRow(
                            job,
                            it,
                            0,
                            spec.priority,
                            5_000,
                            spec.need,
                            job % 6,
                            spec.imageGb,
                            -1,
                            -1,
                            true,
                            false,
                            if (spec.kind ==
                                JobKind.GANG
                            ) {
                                spec.tasks
                            } else {
                                0
                            },
                            true,
                            shape = book.shape(spec),
                        )
                    }
                }.take(256)
        val summary = Summary(capacities, listOf(TeamShare(1.0, machines)), machines * 4, rows, book.table)
        return summary to PeerCodec.encode(PeerMessage.SummaryResponse(1, true, QuotaPlan.NONE, 1.0, summary)).size
    }

    private companion object {
        const val WARMUP_ROUNDS = 60
        const val MEASURED_ROUNDS = 60
    }
}
