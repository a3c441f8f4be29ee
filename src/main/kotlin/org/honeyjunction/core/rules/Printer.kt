package org.honeyjunction.core.rules

/** Rules as text that reads as the same rules. */
object Printer {
    fun text(rules: List<Rule>): String = rules.joinToString("\n", transform = ::text)

    fun text(rule: Rule): String =
        buildString {
            append("rule ").append(quote(rule.name)).append(" for ").append(text(rule.selector)).append(" {\n")
            rule.clauses.forEach { append("  ").append(text(it)).append('\n') }
            append("}\n")
        }

    fun text(clause: Clause): String {
        val way = if (clause.oneWay) " one way" else ""
        val verb = if (clause.weight == null) "must" else "prefer"
        return "$verb ${text(clause.test)}$way" + clause.weight?.let { " weight ${number(it)}" }.orEmpty()
    }

    fun text(who: TaskSelector): String =
        when (who) {
            TaskSelector.All -> "all"
            is TaskSelector.Named -> "${who.field.name.lowercase()} ${quote(who.name)}"
            is TaskSelector.OfKind -> "kind ${who.kind.name.lowercase()}"
            is TaskSelector.OfPriority -> "priority ${who.priority.name.lowercase()}"
            is TaskSelector.Not -> "not ${nested(who.of)}"
            is TaskSelector.And -> "${nested(who.left)} and ${nested(who.right)}"
            is TaskSelector.Or -> "${nested(who.left)} or ${nested(who.right)}"
        }

    private fun nested(who: TaskSelector) = if (who is TaskSelector.And || who is TaskSelector.Or) "(${text(who)})" else text(who)

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

    fun text(value: Value): String =
        when (value) {
            is Value.Text -> quote(value.text)
            is Value.Number -> number(value.number)
            is Value.Flag -> value.on.toString()
        }

    private fun number(d: Double) = java.math.BigDecimal(d.toString()).stripTrailingZeros().toPlainString()

    private fun quote(s: String) = "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"") + "\""
}
