package org.honeyjunction.core.rules

/** Formats rules as text of the rule language; parsing the text gives equal rules. */
object Printer {
    /** The text of all [rules], in order. */
    fun text(rules: List<Rule>): String = rules.joinToString("\n", transform = ::text)

    /** The text of one rule, with a line for each clause. */
    fun text(rule: Rule): String =
        buildString {
            append("rule ").append(quote(rule.name)).append(" for ").append(text(rule.selector)).append(" {\n")
            rule.clauses.forEach { append("  ").append(text(it)).append('\n') }
            append("}\n")
        }

    /** The text of one clause, without indentation. */
    fun text(clause: Clause): String {
        val suffix = if (clause.oneWay) " one way" else ""
        val verb = if (clause.weight == null) "must" else "prefer"
        return "$verb ${text(clause.test)}$suffix" + clause.weight?.let { " weight ${number(it)}" }.orEmpty()
    }

    /** The text of a task selector. */
    fun text(selector: TaskSelector): String =
        when (selector) {
            TaskSelector.All -> "all"
            is TaskSelector.Named -> "${selector.field.name.lowercase()} ${quote(selector.name)}"
            is TaskSelector.OfKind -> "kind ${selector.kind.name.lowercase()}"
            is TaskSelector.OfPriority -> "priority ${selector.priority.name.lowercase()}"
            is TaskSelector.Not -> "not ${nested(selector.of)}"
            is TaskSelector.And -> "${nested(selector.left)} and ${nested(selector.right)}"
            is TaskSelector.Or -> "${nested(selector.left)} or ${nested(selector.right)}"
        }

    private fun nested(selector: TaskSelector) =
        if (selector is TaskSelector.And || selector is TaskSelector.Or) "(${text(selector)})" else text(selector)

    /** The text of a test. */
    fun text(test: Test): String =
        when (test) {
            is Test.Compare -> {
                if (test.value is Value.Flag &&
                    test.op == ComparisonOperator.EQ
                ) {
                    "machine.${test.attribute.word}".let { if (test.value.on) it else "$it = false" }
                } else {
                    "machine.${test.attribute.word} ${test.op.sign} ${text(test.value)}"
                }
            }
            is Test.OneOf -> "machine.${test.attribute.word} in [${test.values.joinToString(transform = ::text)}]"
            is Test.Runs -> "machine runs ${nested(test.selector)}"
            is Test.Caches -> "machine caches image ${quote(test.image)}"
            is Test.Same -> "same ${test.attribute.word}"
            is Test.Not -> "not ${nested(test.of)}"
            is Test.And -> "${nested(test.left)} and ${nested(test.right)}"
            is Test.Or -> "${nested(test.left)} or ${nested(test.right)}"
        }

    private fun nested(test: Test) = if (test is Test.And || test is Test.Or) "(${text(test)})" else text(test)

    /** The text of a constant; strings are quoted. */
    fun text(value: Value): String =
        when (value) {
            is Value.Text -> quote(value.text)
            is Value.Number -> number(value.number)
            is Value.Flag -> value.on.toString()
        }

    private fun number(number: Double) = java.math.BigDecimal(number.toString()).stripTrailingZeros().toPlainString()

    private fun quote(text: String) = "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\""
}
