package org.honeyjunction.rules

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.Clause
import org.honeyjunction.core.rules.ComparisonOperator
import org.honeyjunction.core.rules.Printer
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.core.rules.TaskSelector
import org.honeyjunction.core.rules.Test
import org.honeyjunction.core.rules.Value
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** What holds for any rules: what is printed reads as the same, and no text whatever throws. */
class RulesPropertiesTest {
    private val names = Arbitraries.of("a", "roast-match-serve", "quote \" and \\ slash", "ñandú", "#", "")

    private fun who(depth: Int): Arbitrary<TaskSelector> {
        val leaf: Arbitrary<TaskSelector> =
            Arbitraries.oneOf(
                listOf(
                    Arbitraries.just(TaskSelector.All),
                    Combinators.combine(Arbitraries.of(TaskSelector.Field.entries), names).`as` { f, n -> TaskSelector.Named(f, n) },
                    Arbitraries.of(JobKind.entries).map { TaskSelector.OfKind(it) },
                    Arbitraries.of(Priority.entries).map { TaskSelector.OfPriority(it) },
                ),
            )
        if (depth == 0) return leaf
        val inner = who(depth - 1)
        return Arbitraries.oneOf(
            listOf(
                leaf,
                inner.map { TaskSelector.Not(it) },
                Combinators.combine(inner, inner).`as` {
                    a,
                    b,
                    ->
                    TaskSelector.And(a, b)
                },
                Combinators.combine(inner, inner).`as` { a, b -> TaskSelector.Or(a, b) },
            ),
        )
    }

    private fun test(depth: Int): Arbitrary<Test> {
        val texts = Arbitraries.of<Attribute>(Attribute.Zone, Attribute.Type, Attribute.Label("rack"))
        val numbers = Arbitraries.doubles().between(0.0, 1000.0).ofScale(2).map { Value.Number(it) }
        val leaf: Arbitrary<Test> =
            Arbitraries.oneOf(
                listOf(
                    Combinators.combine(texts, Arbitraries.of(ComparisonOperator.EQ, ComparisonOperator.NE), names).`as` {
                        a,
                        o,
                        n,
                        ->
                        Test.Compare(a, o, Value.Text(n))
                    },
                    Combinators
                        .combine(
                            Arbitraries.of(Attribute.Amount.entries),
                            Arbitraries.of(ComparisonOperator.entries),
                            numbers,
                        ).`as` {
                            a,
                            o,
                            n,
                            ->
                            Test.Compare(a, o, n)
                        },
                    Arbitraries.of(true, false).map { Test.Compare(Attribute.Spot, ComparisonOperator.EQ, Value.Flag(it)) },
                    Combinators.combine(texts, names.list().ofMinSize(1).ofMaxSize(3)).`as` {
                        a,
                        all,
                        ->
                        Test.OneOf(a, all.map { Value.Text(it) })
                    },
                    texts.map { Test.Same(it) },
                    names.map { Test.Caches(it) },
                    who(1).map { Test.Runs(it) },
                ),
            )
        if (depth == 0) return leaf
        val inner = test(depth - 1)
        return Arbitraries.oneOf(
            listOf(
                leaf,
                inner.map { Test.Not(it) },
                Combinators.combine(inner, inner).`as` {
                    a,
                    b,
                    ->
                    Test.And(a, b)
                },
                Combinators.combine(inner, inner).`as` { a, b -> Test.Or(a, b) },
            ),
        )
    }

    @Provide
    fun rules(): Arbitrary<List<Rule>> {
        val weight = Arbitraries.doubles().between(0.01, 1000.0).ofScale(2)
        val clause = Combinators.combine(test(2), weight.injectNull(0.5)).`as` { t, w -> Clause(t, w) }
        return Combinators
            .combine(Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20), who(2), clause.list().ofMaxSize(4))
            .`as` { n, w, c -> Rule(n, w, c) }
            .list()
            .ofMaxSize(5)
    }

    @Property(tries = 400, seed = "7")
    fun `printed rules read as themselves`(
        @ForAll("rules") rules: List<Rule>,
    ) {
        val read = RulesReader(listOf("rack")).read(Printer.text(rules))
        assertEquals(emptyList<Diagnostic>(), read.errors, Printer.text(rules))
        assertEquals(rules, read.rules)
    }

    @Provide
    fun texts(): Arbitrary<String> {
        val words =
            Arbitraries.of(
                "rule",
                "\"r\"",
                "for",
                "all",
                "{",
                "}",
                "must",
                "prefer",
                "not",
                "and",
                "or",
                "(",
                ")",
                "machine",
                ".",
                "gpus",
                "machine.gpus",
                ">=",
                "1",
                "weight",
                "same",
                "rack",
                "runs",
                "class",
                "in",
                "[",
                "]",
                ",",
                "one way",
                "\"",
                "#",
                "\n",
                "-",
                "é",
                "\u0000",
                "kind",
                "gang",
            )
        return Arbitraries.oneOf(listOf(words.list().ofMaxSize(40).map { it.joinToString(" ") }, Arbitraries.strings().ofMaxLength(200)))
    }

    @Property(tries = 2_000, seed = "11")
    fun `no text throws, and what is refused is told with a place in it`(
        @ForAll("texts") text: String,
    ) {
        val read = RulesReader(listOf("rack")).read(text)
        val lines = text.split('\n')
        read.errors.forEach { f ->
            assertTrue(f.line in 1..lines.size && f.column in 1..lines[f.line - 1].length + 1, "$f in ${Printer.text(read.rules)}")
            assertTrue('\n' !in f.message, f.message)
        }
    }
}
