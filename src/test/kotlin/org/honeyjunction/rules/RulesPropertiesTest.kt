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

/** Properties of the parser and the printer for generated rules and texts. */
class RulesPropertiesTest {
    private val names = Arbitraries.of("a", "roast-match-serve", "quote \" and \\ slash", "ñandú", "#", "")

    private fun selectors(depth: Int): Arbitrary<TaskSelector> {
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
        val inner = selectors(depth - 1)
        return Arbitraries.oneOf(
            listOf(
                leaf,
                inner.map { TaskSelector.Not(it) },
                Combinators.combine(inner, inner).`as` {
                    left,
                    right,
                    ->
                    TaskSelector.And(left, right)
                },
                Combinators.combine(inner, inner).`as` { a, b -> TaskSelector.Or(a, b) },
            ),
        )
    }

    private fun tests(depth: Int): Arbitrary<Test> {
        val textAttributes = Arbitraries.of<Attribute>(Attribute.Zone, Attribute.Type, Attribute.Label("rack"))
        val numbers = Arbitraries.doubles().between(0.0, 1000.0).ofScale(2).map { Value.Number(it) }
        val leaf: Arbitrary<Test> =
            Arbitraries.oneOf(
                listOf(
                    Combinators.combine(textAttributes, Arbitraries.of(ComparisonOperator.EQ, ComparisonOperator.NE), names).`as` {
                        attribute,
                        comparison,
                        name,
                        ->
                        Test.Compare(attribute, comparison, Value.Text(name))
                    },
                    Combinators
                        .combine(
                            Arbitraries.of(Attribute.Amount.entries),
                            Arbitraries.of(ComparisonOperator.entries),
                            numbers,
                        ).`as` {
                            attribute,
                            comparison,
                            number,
                            ->
                            Test.Compare(attribute, comparison, number)
                        },
                    Arbitraries.of(true, false).map { Test.Compare(Attribute.Spot, ComparisonOperator.EQ, Value.Flag(it)) },
                    Combinators.combine(textAttributes, names.list().ofMinSize(1).ofMaxSize(3)).`as` {
                        attribute,
                        values,
                        ->
                        Test.OneOf(attribute, values.map { Value.Text(it) })
                    },
                    textAttributes.map { Test.Same(it) },
                    names.map { Test.Caches(it) },
                    selectors(1).map { Test.Runs(it) },
                ),
            )
        if (depth == 0) return leaf
        val inner = tests(depth - 1)
        return Arbitraries.oneOf(
            listOf(
                leaf,
                inner.map { Test.Not(it) },
                Combinators.combine(inner, inner).`as` {
                    left,
                    right,
                    ->
                    Test.And(left, right)
                },
                Combinators.combine(inner, inner).`as` { a, b -> Test.Or(a, b) },
            ),
        )
    }

    @Provide
    fun rules(): Arbitrary<List<Rule>> {
        val weight = Arbitraries.doubles().between(0.01, 1000.0).ofScale(2)
        val clause = Combinators.combine(tests(2), weight.injectNull(0.5)).`as` { t, w -> Clause(t, w) }
        return Combinators
            .combine(Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20), selectors(2), clause.list().ofMaxSize(4))
            .`as` { n, w, c -> Rule(n, w, c) }
            .list()
            .ofMaxSize(5)
    }

    @Property(tries = 400, seed = "7")
    fun `parsing printed rules gives equal rules`(
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
    fun `no text makes the parser throw, and each error has a position inside the text and a message of one line`(
        @ForAll("texts") text: String,
    ) {
        val read = RulesReader(listOf("rack")).read(text)
        val lines = text.split('\n')
        read.errors.forEach { error ->
            assertTrue(
                error.line in 1..lines.size && error.column in 1..lines[error.line - 1].length + 1,
                "$error in ${Printer.text(read.rules)}",
            )
            assertTrue('\n' !in error.message, error.message)
        }
    }
}
