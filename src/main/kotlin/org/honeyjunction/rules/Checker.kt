package org.honeyjunction.rules

import org.antlr.v4.runtime.ParserRuleContext
import org.antlr.v4.runtime.Token
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.Clause
import org.honeyjunction.core.rules.ComparisonOperator
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.core.rules.TaskSelector
import org.honeyjunction.core.rules.Test
import org.honeyjunction.core.rules.Value
import org.honeyjunction.rules.grammar.RulesParser

/** Turns what was parsed into the typed form; names and types that are wrong are noted in [errors], all of them. */
internal class Checker(
    private val labels: Collection<String>,
    private val errors: MutableList<Diagnostic>,
    private val uncertainties: MutableList<Diagnostic>? = null,
) {
    private val builtIn = listOf(Attribute.Type, Attribute.Zone, Attribute.Spot) + Attribute.Amount.entries

    fun rule(c: RulesParser.Rule_Context): Rule {
        val name = unquote(c.name)
        if (name.isBlank() || name.length > MAX_NAME) note(c.name, "a rule's name has 1 to $MAX_NAME characters")
        return Rule(name, who(c.who()), c.clause().map(::clause))
    }

    private fun clause(c: RulesParser.ClauseContext): Clause =
        when (c) {
            is RulesParser.MustContext -> Clause(test(c.test()), null, oneWay(c.way(), c.test()))
            is RulesParser.PreferContext -> Clause(test(c.test()), weight(c.weight), oneWay(c.way(), c.test()))
            else -> error("clause ${c.text}")
        }

    private fun oneWay(way: RulesParser.WayContext?, test: RulesParser.TestContext): Boolean {
        if (way != null && !mentionsRuns(test)) note(way.start, "\"one way\" is for \"machine runs\" only")
        return way != null
    }

    private fun mentionsRuns(test: ParserRuleContext): Boolean =
        test is RulesParser.RunsContext || test.children.orEmpty().any { it is ParserRuleContext && mentionsRuns(it) }

    private fun weight(t: Token): Double {
        val weight = t.text.toDouble()
        if (!weight.isFinite() ||
            weight <= 0 ||
            weight > MAX_WEIGHT
        ) {
            note(t, "a weight is above 0 and at most $MAX_WEIGHT gigabytes, not ${shown(t.text)}")
        }
        return weight.coerceIn(0.0, MAX_WEIGHT.toDouble())
    }

    private fun who(c: RulesParser.WhoContext): TaskSelector =
        when (c) {
            is RulesParser.WhoAllContext -> TaskSelector.All
            is RulesParser.WhoNestedContext -> who(c.who())
            is RulesParser.WhoNotContext -> TaskSelector.Not(who(c.who()))
            is RulesParser.WhoAndContext -> TaskSelector.And(who(c.who(0)), who(c.who(1)))
            is RulesParser.WhoOrContext -> TaskSelector.Or(who(c.who(0)), who(c.who(1)))
            is RulesParser.WhoNamedContext -> TaskSelector.Named(TaskSelector.Field.valueOf(c.field.text.uppercase()), unquote(c.text))
            is RulesParser.WhoKindContext -> TaskSelector.OfKind(word(c.text, JobKind.entries) ?: JobKind.ARRAY)
            is RulesParser.WhoPriorityContext -> TaskSelector.OfPriority(word(c.text, Priority.entries) ?: Priority.LOW)
            else -> error("who ${c.text}")
        }

    private fun <E : Enum<E>> word(t: Token, all: List<E>): E? {
        val names = all.map { it.name.lowercase() }
        val found = all.getOrNull(names.indexOf(t.text))
        if (found == null) note(t, "'${shown(t.text)}' is none of ${names.joinToString()}")
        return found
    }

    private fun test(c: RulesParser.TestContext): Test =
        when (c) {
            is RulesParser.TestNestedContext -> test(c.test())
            is RulesParser.TestNotContext -> Test.Not(test(c.test()))
            is RulesParser.TestAndContext -> Test.And(test(c.test(0)), test(c.test(1)))
            is RulesParser.TestOrContext -> Test.Or(test(c.test(0)), test(c.test(1)))
            is RulesParser.RunsContext -> Test.Runs(who(c.who()))
            is RulesParser.CachesContext -> Test.Caches(unquote(c.image))
            is RulesParser.SameContext -> Test.Same(same(c.label))
            is RulesParser.FlagContext -> {
                val attribute = attribute(c.attribute())
                if (attribute != null &&
                    attribute != Attribute.Spot
                ) {
                    note(c.start, "machine.${attribute.word} is not true or false: compare it with something")
                }
                Test.Compare(attribute ?: Attribute.Spot, ComparisonOperator.EQ, Value.Flag(true))
            }
            is RulesParser.CompareContext -> {
                val attribute = attribute(c.attribute())
                val op = ComparisonOperator.entries.first { it.sign == c.op.text }
                val value = value(c.value(), attribute)
                if (attribute != null &&
                    attribute !is Attribute.Amount &&
                    op != ComparisonOperator.EQ &&
                    op != ComparisonOperator.NE
                ) {
                    note(c.op, "machine.${attribute.word} can only be = or != something")
                }
                Test.Compare(attribute ?: Attribute.Type, op, value)
            }
            is RulesParser.OneOfContext -> {
                val attribute = attribute(c.attribute())
                Test.OneOf(attribute ?: Attribute.Type, c.value().map { value(it, attribute) })
            }
            else -> error("test ${c.text}")
        }

    private fun same(t: Token): Attribute {
        val names = listOf(Attribute.Zone.word, Attribute.Type.word) + labels
        if (t.text !in names) unknown(t, "there is no label '${shown(t.text)}'${nearest(t.text, names)}")
        return listOf(Attribute.Zone, Attribute.Type).firstOrNull { it.word == t.text } ?: Attribute.Label(t.text)
    }

    private fun attribute(c: RulesParser.AttributeContext): Attribute? {
        val t = c.WORD().symbol
        val known =
            builtIn.firstOrNull { it.word == t.text } ?: t.text.takeIf { it in labels || uncertainties != null }?.let(Attribute::Label)
        if (known == null ||
            known is Attribute.Label &&
            t.text !in labels
        ) {
            unknown(
                t,
                "there is no attribute machine.${shown(t.text)}${nearest(
                    t.text,
                    builtIn.map { it.word } + labels,
                )}",
            )
        }
        return known
    }

    private fun value(c: RulesParser.ValueContext, of: Attribute?): Value {
        val text = c.text
        val value =
            when {
                c.STRING() != null -> Value.Text(unquote(c.STRING().symbol))
                c.NUMBER() != null -> Value.Number(text.toDouble())
                else -> Value.Flag(text == "true")
            }
        val wanted =
            when (of) {
                null -> return value
                Attribute.Spot -> "true or false".takeUnless { value is Value.Flag }
                is Attribute.Amount ->
                    "a number".takeUnless {
                        value is Value.Number &&
                            value.number.isFinite() &&
                            value.number in 0.0..MAX_AMOUNT
                    }
                Attribute.Type, Attribute.Zone, is Attribute.Label -> "a text in quotes".takeUnless { value is Value.Text }
            }
        if (wanted != null) note(c.start, "machine.${of.word} is compared with $wanted, not ${shown(text)}")
        return value
    }

    /** Without a topology no label can be known: it is a doubt then. */
    private fun unknown(t: Token, message: String) {
        if (uncertainties ==
            null
        ) {
            note(t, message)
        } else {
            uncertainties +=
                RulesReader.diagnostic(
                    t,
                    "no topology is given, so that it is not known whether a machine has the label '${shown(t.text)}'",
                )
        }
    }

    private fun note(t: Token, message: String) {
        if (errors.size < RulesReader.MAX_ERRORS) errors += RulesReader.diagnostic(t, message)
    }

    private fun shown(text: String) = if (text.length > MAX_SHOWN) text.take(MAX_SHOWN) + "..." else text

    private fun unquote(t: Token): String = t.text.substring(1, t.text.length - 1).replace(ESCAPE) { it.groupValues[1] }

    internal companion object {
        const val MAX_NAME = 100
        const val MAX_WEIGHT = 1_000
        private const val MAX_AMOUNT = 1e9
        private const val MAX_SHOWN = 40
        private val ESCAPE = Regex("\\\\([\"\\\\])")

        fun nearest(name: String, known: Collection<String>): String {
            if (name.length > MAX_SHOWN) return ""
            val best = known.minByOrNull { distance(name, it) } ?: return ""
            return if (distance(name, best) <= maxOf(2, name.length / 2)) "; did you mean '$best'?" else ""
        }

        private fun distance(a: String, b: String): Int {
            var row = IntArray(b.length + 1) { it }
            for (i in 1..a.length) {
                val next = IntArray(b.length + 1)
                next[0] = i
                for (j in 1..b.length) {
                    next[j] = minOf(row[j] + 1, next[j - 1] + 1, row[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1)
                }
                row = next
            }
            return row[b.length]
        }
    }
}
