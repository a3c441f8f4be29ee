package org.honeyjunction.core.placement

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
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
import org.honeyjunction.fake.MachineSpec
import org.honeyjunction.fake.ReferenceModel
import org.honeyjunction.rules.RulesReader
import org.honeyjunction.rules.TopologyReader
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.PeerCodec
import org.honeyjunction.wire.PeerMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Placement under rules: special cases as tables, and random clusters compared with an exhaustive search over assignments. */
class RulesPlacementTest {
    /** A small cluster of machines m0, m1, ..., where each letter of `racks` is the rack of one machine. */
    private class RulesFixture(rules: String, racks: String, val spotEvery: Int = 0, val slots: Int = 1) {
        val cluster =
            Cluster(
                NameTable().also { n ->
                    listOf("x", "y").forEach(n::index)
                },
                listOf(Team("a", Resources(0.0, 100.0, 0.0), Resources(0.0, 1000.0, 0.0))),
                12_000,
                2_000,
                37_000,
            ).also {
                it.types[
                    it.typeNames.index(
                        "t",
                    ),
                ] = MachineType("t", Resources(8.0, 8.0, 8.0), 50.0, 1.0, 8.0, 3.0, 5.0, listOf(0, 1))
            }
        val topology =
            TopologyReader.parse(
                Json.read(
                    """{"machines":[${racks.indices.joinToString(
                        ",",
                    ) { """{"name":"m$it","labels":{"rack":"${racks[it]}"}}""" }}]}""".toByteArray(),
                ),
            )
        val set =
            RulesReader(topology.labels).read(rules).let {
                check(it.errors.isEmpty()) { it.errors }
                RuleSet(1, it.rules, topology)
            }
        val book = RuleBook(cluster, set)
        val specs = HashMap<Int, JobSpec>()

        fun spec(job: Int, jobClass: String, kind: JobKind = JobKind.ARRAY, tasks: Int = 1) =
            JobSpec(
                "j-$job",
                jobClass,
                "a",
                kind,
                Priority.NORMAL,
                tasks,
                Resources(1.0, 1.0, 1.0),
                "i",
                3.0,
                null,
                null,
                false,
                false,
                true,
                10.0,
                0.0,
                0.0,
                null,
            ).also { specs[job] = it }

        fun rows(spec: JobSpec, job: Int): List<TaskRow> =
            List(spec.tasks) {
                TaskRow(
                    job,
                    it,
                    0,
                    spec.priority,
                    60_000,
                    spec.need,
                    0,
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

        fun machineSpec(machine: Int) =
            MachineSpec(
                "m$machine",
                "",
                "t",
                Resources(8.0, 8.0, 8.0),
                if (machine % 2 ==
                    0
                ) {
                    "x"
                } else {
                    "y"
                },
                spotEvery > 0 && machine % spotEvery == 0,
                50.0,
                1.0,
            )

        fun capacity(machine: Int, running: List<JobSpec> = emptyList(), cached: Boolean = false): FreeCapacity {
            val machineSpec = machineSpec(machine)
            val zone = cluster.zones.find(machineSpec.zone)
            return FreeCapacity(
                machine,
                Resources(1.0, 1.0, 1.0) * slots,
                0,
                zone,
                machineSpec.spot,
                if (cached) intArrayOf(0) else intArrayOf(),
                place = book.place(machineSpec.name, 0, zone, machineSpec.spot),
                running = running.map { book.shape(it) }.filter { it >= 0 }.toIntArray(),
            )
        }

        /** Runs a round on the summary after encoding and decoding, as another controller receives it. */
        fun place(capacities: List<FreeCapacity>, rows: List<TaskRow>, patienceMs: Long = 0): List<Proposal> {
            val summary = Summary(capacities, listOf(TeamShare(1.0, 0)), capacities.size, rows, book.table)
            val decoded =
                PeerCodec.decode(
                    okio.Buffer().write(PeerCodec.encode(PeerMessage.SummaryResponse(1, true, QuotaPlan.NONE, 1.0, summary))),
                ) as PeerMessage.SummaryResponse
            return PlacementRound(
                CostSettings(packing = 0.0, spotPreference = 0.0, agingPerS = 0.0, patienceMs = patienceMs),
            ).place(decoded.summary)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            // case | rule | class | racks | tasks | slots | runs on m0 | placed on
            "a requirement excludes machines     | for all { must machine.rack = \"b\" }                        | q | aab  | 2 | 1 " +
                "|   | m2",
            "an unmet requirement waits          | for all { must machine.rack = \"z\" }                        | q | aab  | 2 | 1 |   | ",
            "a preference is met if possible     | for all { prefer machine.rack = \"b\" weight 5 }             | q | aab  | 1 | 1 " +
                "|   | m2",
            "a preference does not stop a start  | for all { prefer machine.rack = \"z\" weight 500 }           | q | aa   | 2 | 1 " +
                "|   | m0 m1",
            "not with a running class            | for class \"q\" { must not machine runs class \"b\" }        | q | aa   | 2 | 1 " +
                "| b | m1",
            "a running task's rule binds too     | for class \"b\" { must not machine runs class \"q\" }        | q | aa   | 2 | 1 " +
                "| b | m1",
            "a one-way rule does not bind others | for class \"b\" { must not machine runs class \"q\" one way } | q | aa   | 2 | 1 " +
                "| b | m0 m1",
            "only with a running class           | for class \"q\" { must machine runs class \"b\" }            | q | aa   | 2 | 1 " +
                "| b | m0",
            "one task per machine as a must      | for class \"q\" { must not machine runs class \"q\" }        | q | aa   | 4 | 4 " +
                "|   | m0 m1",
            "one task per machine preferred      | for class \"q\" { prefer not machine runs class \"q\" weight 9 } | q | aab | 3 | " +
                "4 | | m0 m1 m2",
            "a requirement outranks a preference | for all { must machine.rack = \"a\" prefer machine.rack = \"b\" weight 900 } | q " +
                "| ab | 1 | 1 | | m0",
            "same rack as a requirement          | for all { must same rack }                                   | q | abb  | 3 | 1 " +
                "|   | m1 m2",
        ],
    )
    fun `tasks are placed as the rule requires`(
        case: String,
        rule: String,
        jobClass: String,
        racks: String,
        tasks: Int,
        slots: Int,
        runningClass: String?,
        expected: String?,
    ) {
        val fixture = RulesFixture("rule \"r\" $rule", racks, slots = slots)
        val runningThere = runningClass?.let { listOf(fixture.spec(9, it)) }.orEmpty()
        val capacities = racks.indices.map { fixture.capacity(it, if (it == 0) runningThere else emptyList()) }
        val placed =
            fixture
                .place(capacities, fixture.rows(fixture.spec(1, jobClass, tasks = tasks), 1))
                .map { "m${it.machine}" }
                .distinct()
                .sorted()
        assertEquals(expected.orEmpty(), placed.joinToString(" "), case)
    }

    @ParameterizedTest(name = "gang of {1} on racks {0}, patience left {2}: {3} on one rack")
    @CsvSource(
        "aabb,4,0,2",
        "aaabb,4,0,3",
        "abcd,4,0,1",
        "aaaa,4,0,4",
        "abbbbc,4,0,4",
        // The gang waits for a better place only if its preference is not met.
        "aabb,4,90000,0",
        "aaaab,4,90000,4",
        "baaaa,4,90000,4",
        "bbcaaaa,4,90000,4",
    )
    fun `a gang prefers one rack`(racks: String, tasks: Int, patienceMs: Long, largestGroup: Int) {
        val fixture = RulesFixture("rule \"r\" for kind gang { prefer same rack weight 20 }", racks)
        val placed =
            fixture.place(
                racks.indices.map { fixture.capacity(it) },
                fixture.rows(fixture.spec(1, "g", JobKind.GANG, tasks), 1),
                patienceMs,
            )
        assertEquals(if (largestGroup == 0) 0 else tasks, placed.size, "the gang starts whole or not at all")
        assertEquals(largestGroup, placed.groupingBy { racks[it.machine] }.eachCount().values.maxOrNull() ?: 0)
    }

    @org.junit.jupiter.api.Test
    fun `a gang whose tasks may not share a machine starts on separate machines with several slots each`() {
        val fixture = RulesFixture("rule \"r\" for kind gang { must not machine runs kind gang }", "aaaa", slots = 8)
        val placed = fixture.place(List(4) { fixture.capacity(it) }, fixture.rows(fixture.spec(1, "g", JobKind.GANG, 4), 1))
        assertEquals(4, placed.map { it.machine }.distinct().size)
    }

    @org.junit.jupiter.api.Test
    fun `two jobs that may not share a machine are placed on separate machines in one round`() {
        val fixture = RulesFixture("rule \"r\" for class \"q\" { must not machine runs class \"b\" }", "aa", slots = 4)
        val q = fixture.rows(fixture.spec(1, "q", tasks = 3), 1)
        val b = fixture.rows(fixture.spec(2, "b", tasks = 3), 2)
        val placed = fixture.place(listOf(fixture.capacity(0), fixture.capacity(1)), q + b)
        assertTrue(placed.size >= 3, "$placed")
        placed.groupBy { it.machine }.values.forEach { proposals ->
            assertEquals(1, proposals.map { it.job }.distinct().size, "$proposals")
        }
    }

    class Case(val rules: String, val racks: String, val classes: List<String>, val cached: List<Boolean>, val running: List<String>)

    @Provide
    fun cases(): Arbitrary<Case> {
        val test =
            Arbitraries.of(
                "machine.rack = \"a\"",
                "machine.rack != \"b\"",
                "machine.spot",
                "not machine.spot",
                "machine.zone in [\"x\"]",
                "machine.rack in [\"a\", \"c\"]",
                "(machine.spot or machine.rack = \"b\")",
                "not (machine.zone = \"y\" and machine.spot)",
                "machine.gpus >= 8",
                "not machine runs class \"b\"",
                "machine runs class \"c\"",
            )
        val clause =
            Combinators.combine(test, Arbitraries.integers().between(1, 9).injectNull(0.4)).`as` { condition, weight ->
                if (weight ==
                    null
                ) {
                    "must $condition"
                } else {
                    "prefer $condition weight $weight.25"
                }
            }
        val rule =
            Combinators
                .combine(
                    Arbitraries.of("class \"q\"", "class \"s\"", "not class \"q\"", "all"),
                    clause.list().ofMinSize(1).ofMaxSize(2),
                ).`as` { selector, clauses -> "rule \"r\" for $selector { ${clauses.joinToString(" ")} }" }
        return Combinators
            .combine(
                rule.list().ofMaxSize(3),
                Arbitraries.strings().withChars("abc").ofMinLength(1).ofMaxLength(5),
                Arbitraries.of("q", "s", "t").list().ofMinSize(1).ofMaxSize(5),
                Arbitraries.of(true, false).list().ofSize(5),
                Arbitraries.of("", "b", "c").list().ofSize(5),
            ).`as` { r, racks, classes, cached, running -> Case(r.joinToString("\n"), racks, classes, cached, running) }
    }

    @org.junit.jupiter.api.Test
    fun `jobs that fit no free machine do not block later jobs`() {
        val fixture = RulesFixture("rule \"r\" for class \"q\" { must machine.rack = \"z\" }", "a")
        val placed =
            fixture.place(
                listOf(fixture.capacity(0)),
                fixture.rows(fixture.spec(1, "q", tasks = 9), 1) + fixture.rows(fixture.spec(2, "t"), 2),
            )
        assertEquals(listOf(2), placed.map { it.job })
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource(
        delimiter = '|',
        value = [
            "rule \"gpus\" for all { must machine.gpus >= 9 }                                                      | gpus",
            "rule \"zone\" for all { must machine.zone = \"x\" } rule \"gpus\" for all { must machine.gpus >= 9 }  | gpus",
            "rule \"x\" for all { must machine.zone = \"x\" } rule \"y\" for all { must not machine.zone = \"x\" } | x y",
            "rule \"rack\" for all { must machine.rack = \"a\" }                                                  | ",
            "rule \"zone\" for all { must machine.zone = \"x\" }                                                  | ",
            "rule \"other\" for class \"z\" { must machine.gpus >= 9 }                                             | ",
            "rule \"beside\" for all { must machine runs class \"b\" }                                            | ",
        ],
    )
    fun `rules that no machine can ever satisfy are reported`(rules: String, expected: String?) {
        // The rules "rack" and "beside" are not reported: the topology may give a machine that is rented later the rack "a", and a task
        // of class "b" may run on it.
        val fixture = RulesFixture(rules, "a")
        assertEquals(expected.orEmpty(), fixture.book.rulesForbidding(fixture.spec(1, "q")).joinToString(" ") { it.name })
    }

    /** With one slot per machine, a round under rules is one assignment, which is compared with an exhaustive search. */
    @Property(tries = 300, seed = "3")
    fun `no rule is violated and the assignment is optimal`(
        @ForAll("cases") case: Case,
    ) {
        val fixture = RulesFixture(case.rules, case.racks, spotEvery = 2)
        val reference = ReferenceModel(fixture.set)
        val tasks = case.classes.mapIndexed { i, c -> fixture.spec(i + 1, c) }
        val runningThere =
            case.racks.indices.map { m ->
                case.running[m].takeIf { it.isNotEmpty() }?.let { listOf(fixture.spec(100 + m, it)) }.orEmpty()
            }
        val cost =
            tasks.map { spec ->
                case.racks.indices.map { m ->
                    val verdicts = reference.judge(spec, fixture.machineSpec(m), runningThere[m], listOf(fixture.machineSpec(m)))
                    val weights =
                        fixture.set.rules
                            .filter {
                                RuleBook.matches(it.selector, org.honeyjunction.core.rules.Shape(spec))
                            }.flatMap { it.clauses }
                            .map { it.weight }
                    // The new task may also violate rules of the running tasks. Of these rules only "must ... runs class b" could be
                    // violated, and no such rule applies to class b itself.
                    val breaksRunning =
                        runningThere[m].any { runningTask ->
                            reference
                                .judge(
                                    runningTask,
                                    fixture.machineSpec(m),
                                    emptyList(),
                                    listOf(fixture.machineSpec(m)),
                                ).zip(reference.judge(runningTask, fixture.machineSpec(m), listOf(spec), listOf(fixture.machineSpec(m))))
                                .any { (x, y) ->
                                    x.must &&
                                        x.met &&
                                        !y.met
                                }
                        }
                    if (breaksRunning || verdicts.any { it.must && !it.met }) {
                        null
                    } else {
                        (if (case.cached[m]) 0.0 else 3.0) +
                            verdicts.zip(weights).filter { (v, _) -> !v.must && !v.met }.sumOf { it.second!! }
                    }
                }
            }
        val capacities = case.racks.indices.map { fixture.capacity(it, runningThere[it], case.cached[it]) }
        val placed = fixture.place(capacities, tasks.flatMapIndexed { i, spec -> fixture.rows(spec, i + 1) })
        val violations = placed.filter { cost[it.job - 1][it.machine] == null }
        assertTrue(violations.isEmpty(), "violated: $violations in ${case.rules}")
        // Rows are pruned to twice the number of usable slots; if that drops rows, the round may miss the optimum.
        if (cost.count { row -> row.any { it != null } } > 2 * case.racks.indices.count { m -> cost.any { it[m] != null } }) return
        val (maxPlaced, minCost) = best(cost, 0, 0)
        assertEquals(maxPlaced, placed.size, "as many tasks as possible: ${case.rules} ${case.racks} ${case.classes}")
        assertEquals(
            minCost,
            placed.sumOf { cost[it.job - 1][it.machine]!! },
            1e-6,
            "${case.rules} ${case.racks} ${case.classes} ${case.running}",
        )
    }

    /** The maximum number of placed tasks, and the minimum cost of placing that many. */
    private fun best(cost: List<List<Double?>>, task: Int, used: Int): Pair<Int, Double> {
        if (task == cost.size) return 0 to 0.0
        var best = best(cost, task + 1, used)
        for ((m, c) in cost[task].withIndex()) {
            if (c == null || used and (1 shl m) != 0) continue
            val (n, rest) = best(cost, task + 1, used or (1 shl m))
            if (n + 1 > best.first || n + 1 == best.first && rest + c < best.second) best = n + 1 to rest + c
        }
        return best
    }
}
