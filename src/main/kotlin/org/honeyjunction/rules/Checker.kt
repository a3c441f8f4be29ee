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

/**
 * Converts the parse tree into typed rules. Adds a diagnostic to [errors] for each unknown name and each wrong type. [uncertainties]
 * is null where the topology, and so the set of [labels], is known; otherwise each unknown label is added there as a warning.
 */
internal class Checker(
    private val labels: Collection<String>,
    private val errors: MutableList<Diagnostic>,
    private val uncertainties: MutableList<Diagnostic>? = null,
) {
    private val builtIn = listOf(Attribute.Type, Attribute.Zone, Attribute.Spot) + Attribute.Amount.entries

    /** Converts one rule. Parts with errors get placeholder values; the result is valid only if no error was added. */
    fun rule(context: RulesParser.Rule_Context): Rule {
        val name = unquote(context.name)
        if (name.isBlank() || name.length > MAX_NAME) addError(context.name, "a rule's name has 1 to $MAX_NAME characters")
        return Rule(name, selector(context.who()), context.clause().map(::clause))
    }

    private fun clause(context: RulesParser.ClauseContext): Clause =
        when (context) {
            is RulesParser.MustContext -> Clause(test(context.test()), null, oneWay(context.way(), context.test()))
            is RulesParser.PreferContext -> Clause(test(context.test()), weight(context.weight), oneWay(context.way(), context.test()))
            else -> error("unexpected kind of clause: ${context.text}")
        }

    private fun oneWay(way: RulesParser.WayContext?, test: RulesParser.TestContext): Boolean {
        if (way != null && !mentionsRuns(test)) addError(way.start, "\"one way\" is for \"machine runs\" only")
        return way != null
    }

    private fun mentionsRuns(test: ParserRuleContext): Boolean =
        test is RulesParser.RunsContext || test.children.orEmpty().any { it is ParserRuleContext && mentionsRuns(it) }

    private fun weight(token: Token): Double {
        val weight = token.text.toDouble()
        if (!weight.isFinite() ||
            weight <= 0 ||
            weight > MAX_WEIGHT
        ) {
            addError(token, "a weight is above 0 and at most $MAX_WEIGHT gigabytes, not ${shortened(token.text)}")
        }
        return weight.coerceIn(0.0, MAX_WEIGHT.toDouble())
    }

    private fun selector(context: RulesParser.WhoContext): TaskSelector =
        when (context) {
            is RulesParser.WhoAllContext -> TaskSelector.All
            is RulesParser.WhoNestedContext -> selector(context.who())
            is RulesParser.WhoNotContext -> TaskSelector.Not(selector(context.who()))
            is RulesParser.WhoAndContext -> TaskSelector.And(selector(context.who(0)), selector(context.who(1)))
            is RulesParser.WhoOrContext -> TaskSelector.Or(selector(context.who(0)), selector(context.who(1)))
            is RulesParser.WhoNamedContext ->
                TaskSelector.Named(TaskSelector.Field.valueOf(context.field.text.uppercase()), unquote(context.text))
            is RulesParser.WhoKindContext -> TaskSelector.OfKind(enumValue(context.text, JobKind.entries) ?: JobKind.ARRAY)
            is RulesParser.WhoPriorityContext -> TaskSelector.OfPriority(enumValue(context.text, Priority.entries) ?: Priority.LOW)
            else -> error("unexpected kind of task selector: ${context.text}")
        }

    /** The value of [all] whose name in lower case is the text of [token]; null, with an error, where there is none. */
    private fun <E : Enum<E>> enumValue(token: Token, all: List<E>): E? {
        val names = all.map { it.name.lowercase() }
        val found = all.getOrNull(names.indexOf(token.text))
        if (found == null) addError(token, "'${shortened(token.text)}' is none of ${names.joinToString()}")
        return found
    }

    private fun test(context: RulesParser.TestContext): Test =
        when (context) {
            is RulesParser.TestNestedContext -> test(context.test())
            is RulesParser.TestNotContext -> Test.Not(test(context.test()))
            is RulesParser.TestAndContext -> Test.And(test(context.test(0)), test(context.test(1)))
            is RulesParser.TestOrContext -> Test.Or(test(context.test(0)), test(context.test(1)))
            is RulesParser.RunsContext -> Test.Runs(selector(context.who()))
            is RulesParser.CachesContext -> Test.Caches(unquote(context.image))
            is RulesParser.SameContext -> Test.Same(comparedAttribute(context.label))
            is RulesParser.FlagContext -> {
                val attribute = attribute(context.attribute())
                if (attribute != null &&
                    attribute != Attribute.Spot
                ) {
                    addError(context.start, "machine.${attribute.word} is not true or false: compare it with something")
                }
                Test.Compare(attribute ?: Attribute.Spot, ComparisonOperator.EQ, Value.Flag(true))
            }
            is RulesParser.CompareContext -> {
                val attribute = attribute(context.attribute())
                val op = ComparisonOperator.entries.first { it.sign == context.op.text }
                val value = value(context.value(), attribute)
                if (attribute != null &&
                    attribute !is Attribute.Amount &&
                    op != ComparisonOperator.EQ &&
                    op != ComparisonOperator.NE
                ) {
                    addError(context.op, "machine.${attribute.word} can only be = or != something")
                }
                Test.Compare(attribute ?: Attribute.Type, op, value)
            }
            is RulesParser.OneOfContext -> {
                val attribute = attribute(context.attribute())
                Test.OneOf(attribute ?: Attribute.Type, context.value().map { value(it, attribute) })
            }
            else -> error("unexpected kind of test: ${context.text}")
        }

    /** The attribute that a "same" test compares: the zone, the type or a label. */
    private fun comparedAttribute(token: Token): Attribute {
        val names = listOf(Attribute.Zone.word, Attribute.Type.word) + labels
        if (token.text !in names) addUnknownLabel(token, "there is no label '${shortened(token.text)}'${suggestion(token.text, names)}")
        return listOf(Attribute.Zone, Attribute.Type).firstOrNull { it.word == token.text } ?: Attribute.Label(token.text)
    }

    private fun attribute(context: RulesParser.AttributeContext): Attribute? {
        val token = context.WORD().symbol
        val known =
            builtIn.firstOrNull { it.word == token.text }
                ?: token.text.takeIf { it in labels || uncertainties != null }?.let(Attribute::Label)
        if (known == null ||
            known is Attribute.Label &&
            token.text !in labels
        ) {
            addUnknownLabel(
                token,
                "there is no attribute machine.${shortened(token.text)}${suggestion(
                    token.text,
                    builtIn.map { it.word } + labels,
                )}",
            )
        }
        return known
    }

    private fun value(context: RulesParser.ValueContext, attribute: Attribute?): Value {
        val text = context.text
        val value =
            when {
                context.STRING() != null -> Value.Text(unquote(context.STRING().symbol))
                context.NUMBER() != null -> Value.Number(text.toDouble())
                else -> Value.Flag(text == "true")
            }
        val wanted =
            when (attribute) {
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
        if (wanted != null) addError(context.start, "machine.${attribute.word} is compared with $wanted, not ${shortened(text)}")
        return value
    }

    /** Adds [message] as an error; without a topology, adds a warning in its place, because every label could exist. */
    private fun addUnknownLabel(token: Token, message: String) {
        if (uncertainties ==
            null
        ) {
            addError(token, message)
        } else {
            uncertainties +=
                RulesReader.diagnostic(
                    token,
                    "no topology is given, so that it is not known whether a machine has the label '${shortened(token.text)}'",
                )
        }
    }

    private fun addError(token: Token, message: String) {
        if (errors.size < RulesReader.MAX_ERRORS) errors += RulesReader.diagnostic(token, message)
    }

    private fun shortened(text: String) = if (text.length > MAX_SHOWN) text.take(MAX_SHOWN) + "..." else text

    private fun unquote(token: Token): String = token.text.substring(1, token.text.length - 1).replace(ESCAPE) { it.groupValues[1] }

    internal companion object {
        /** The longest name of a rule, in characters. */
        const val MAX_NAME = 100

        /** The largest weight of a preference, in gigabytes. */
        const val MAX_WEIGHT = 1_000
        private const val MAX_AMOUNT = 1e9

        /** Longer input is shortened in messages, in characters. */
        private const val MAX_SHOWN = 40
        private val ESCAPE = Regex("\\\\([\"\\\\])")

        /** Suggests the entry of [known] that is most similar to [name]; empty where none is similar. */
        fun suggestion(name: String, known: Collection<String>): String {
            if (name.length > MAX_SHOWN) return ""
            val best = known.minByOrNull { distance(name, it) } ?: return ""
            return if (distance(name, best) <= maxOf(2, name.length / 2)) "; did you mean '$best'?" else ""
        }

        /** The Levenshtein distance. */
        private fun distance(first: String, second: String): Int {
            var row = IntArray(second.length + 1) { it }
            for (i in 1..first.length) {
                val next = IntArray(second.length + 1)
                next[0] = i
                for (j in 1..second.length) {
                    next[j] = minOf(row[j] + 1, next[j - 1] + 1, row[j - 1] + if (first[i - 1] == second[j - 1]) 0 else 1)
                }
                row = next
            }
            return row[second.length]
        }
    }
}
