package org.honeyjunction.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.google.re2j.Pattern
import com.google.re2j.PatternSyntaxException
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.Clause
import org.honeyjunction.core.rules.ComparisonOperator
import org.honeyjunction.core.rules.TaskSelector
import org.honeyjunction.core.rules.Test
import org.honeyjunction.core.rules.Value

/**
 * Constraints and affinities as clauses of rules. Operators that the rules do not have are worked out over the values that
 * there are: types, zones and the labels of the topology.
 */
internal class Constraints(
    private val site: Site?,
    private val report: (severity: Finding.Severity, path: String, message: String) -> Unit,
) {
    /** Null where it can't be expressed, which is then said. */
    fun must(c: JsonNode, path: String, jobClass: String): Clause? = test(c, path, jobClass)?.let { Clause(it, null) }

    fun prefer(c: JsonNode, path: String, jobClass: String): Clause? {
        val weight = c.path("Weight").doubleValue().takeIf { c.has("Weight") } ?: DEFAULT_WEIGHT
        if (weight == 0.0 ||
            Math.abs(weight) > MOST_WEIGHT
        ) {
            return refuse("$path.Weight", "an affinity's weight is from -100 to 100 and not 0")
        }
        if (c.path("Operand").asText().startsWith("distinct_")) return refuse(path, "an affinity can't be ${c.path("Operand").asText()}")
        val test = test(c, path, jobClass) ?: return null
        return Clause(if (weight < 0) Test.Not(test) else test, Math.abs(weight) / WEIGHT_PER_GB)
    }

    private fun test(c: JsonNode, path: String, jobClass: String): Test? {
        val operator = c.path("Operand").asText("").ifEmpty { "=" }
        val right = c.path("RTarget").asText("")
        val left = c.path("LTarget").asText("")
        if (operator == "distinct_hosts") return Test.Not(Test.Runs(TaskSelector.Named(TaskSelector.Field.CLASS, jobClass)))
        if (operator == "distinct_property") {
            val host = left in HOSTS && (right.isEmpty() || right == "1")
            return if (host) {
                Test.Not(
                    Test.Runs(TaskSelector.Named(TaskSelector.Field.CLASS, jobClass)),
                )
            } else {
                refuse(path, "distinct_property of $left can't be expressed by rules: only \${node.unique.name}, once each")
            }
        }
        if (right.startsWith("\${")) return refuse(path, "a constraint compares with a value, not with $right")
        val attribute = attribute(left, path) ?: return null
        return when (operator) {
            "=", "==", "is" -> compare(attribute, ComparisonOperator.EQ, right, path)
            "!=", "not" -> compare(attribute, ComparisonOperator.NE, right, path)
            "<", "<=", ">", ">=" ->
                if (attribute is Attribute.Amount) {
                    compare(
                        attribute,
                        ComparisonOperator.entries.first {
                            it.sign == operator
                        },
                        right,
                        path,
                    )
                } else {
                    refuse(path, "$operator of texts can't be expressed by rules: only of cpus, memory and gpus")
                }
            "regexp" -> {
                val pattern =
                    try {
                        Pattern.compile(right)
                    } catch (e: PatternSyntaxException) {
                        return refuse(path, "regexp: ${e.description}")
                    }
                among(attribute, operator, path) { pattern.matcher(it).find() }
            }
            "set_contains", "set_contains_all" -> among(attribute, operator, path) { have -> parts(have).containsAll(parts(right)) }
            "set_contains_any" -> among(attribute, operator, path) { have -> parts(have).any { it in parts(right) } }
            "version", "semver" -> {
                val wanted = Versions.constraint(right) ?: return refuse(path, "\"$right\" is no constraint of versions")
                among(attribute, operator, path, wanted)
            }
            "is_set" -> if (attribute is Attribute.Label) among(attribute, operator, path) { true } else refuse(path, "$left is always set")
            "is_not_set" ->
                if (attribute is Attribute.Label) {
                    among(attribute, operator, path) {
                        true
                    }?.let { Test.Not(it) }
                } else {
                    refuse(path, "$left is always set")
                }
            else -> refuse(path, "the operator \"${operator.take(MAX_SHOWN)}\" is not known")
        }
    }

    private fun attribute(target: String, path: String): Attribute? {
        val name = target.removeSurrounding("\${", "}")
        return when {
            name == target -> refuse(path, "the attribute must be like \${node.datacenter}, not \"${target.take(MAX_SHOWN)}\"")
            name == "node.datacenter" -> Attribute.Zone
            name == "node.class" || name == "node.pool" -> Attribute.Type
            name == "attr.cpu.numcores" || name == "attr.cpu.reservablecores" -> Attribute.Amount.CPUS
            name == "attr.memory.totalbytes" -> Attribute.Amount.MEMORY
            name == "device.count" -> Attribute.Amount.GPUS
            name.startsWith("meta.") -> label(name.removePrefix("meta."), path)
            else -> refuse(path, "nothing is known of machines by the name $target")
        }
    }

    private fun label(name: String, path: String): Attribute? =
        if (site != null &&
            name !in site.labels
        ) {
            refuse(path, "no topology gives machines the label \"${name.take(MAX_SHOWN)}\"")
        } else {
            Attribute.Label(name)
        }

    private fun compare(a: Attribute, op: ComparisonOperator, right: String, path: String): Test? {
        if (a !is Attribute.Amount) return Test.Compare(a, op, Value.Text(right))
        val number =
            right.toDoubleOrNull()?.takeIf { it.isFinite() }
                ?: return refuse(path, "${a.word} is a number; \"${right.take(MAX_SHOWN)}\" is none")
        return Test.Compare(a, op, Value.Number(if (a == Attribute.Amount.MEMORY) number / BYTES_PER_GB else number))
    }

    /** Those of the values there are now that meet [wanted]. */
    private fun among(a: Attribute, operator: String, path: String, wanted: (String) -> Boolean): Test? {
        if (a is Attribute.Amount) return refuse(path, "$operator of a number can't be expressed by rules")
        if (site == null) {
            report(
                Finding.Severity.WARNING,
                path,
                "which machines $operator means is known only with --settings or when the job is registered",
            )
            return null
        }
        val all =
            when (a) {
                Attribute.Zone -> site.zones
                Attribute.Type -> site.types
                is Attribute.Label -> site.labels[a.word].orEmpty().sorted()
                Attribute.Spot, is Attribute.Amount -> emptyList()
            }
        val met = all.filter(wanted)
        if (met.isEmpty()) {
            return refuse(
                path,
                "no machine there could be meets it: $operator of ${a.word} holds for none of ${all.take(MAX_LISTED).joinToString()}",
            )
        }
        return Test.OneOf(a, met.map { Value.Text(it) })
    }

    private fun parts(text: String) = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }

    private fun refuse(path: String, message: String): Nothing? {
        report(Finding.Severity.ERROR, path, message)
        return null
    }

    private companion object {
        val HOSTS = setOf("\${node.unique.name}", "\${node.unique.id}", "\${attr.unique.hostname}")
        const val DEFAULT_WEIGHT = 50.0
        const val MOST_WEIGHT = 100.0
        const val WEIGHT_PER_GB = 10.0
        const val BYTES_PER_GB = 1024.0 * 1024 * 1024
        const val MAX_SHOWN = 40
        const val MAX_LISTED = 8
    }
}

/** Versions like 1.2.3-beta and what constraints like ">= 1.2, < 2" or "~> 1.4" ask of them. */
internal object Versions {
    private class Version(val numbers: List<Long>, val before: String)

    private val form = Regex("v?([0-9]{1,9}(?:\\.[0-9]{1,9})*)(?:-([0-9A-Za-z.-]+))?(?:\\+.*)?")
    private val clause = Regex("\\s*(=|!=|>=|<=|>|<|~>)?\\s*(\\S+)\\s*")

    /** Null where [text] is no constraint. */
    fun constraint(text: String): ((String) -> Boolean)? {
        val tests =
            text.split(',').map { part ->
                val m = clause.matchEntire(part) ?: return null
                val wanted = version(m.groupValues[2]) ?: return null
                val test: (Version) -> Boolean =
                    when (m.groupValues[1]) {
                        "", "=" -> { v -> order(v, wanted) == 0 }
                        "!=" -> { v -> order(v, wanted) != 0 }
                        ">" -> { v -> order(v, wanted) > 0 }
                        ">=" -> { v -> order(v, wanted) >= 0 }
                        "<" -> { v -> order(v, wanted) < 0 }
                        "<=" -> { v -> order(v, wanted) <= 0 }
                        // The last number given may rise, those before it not.
                        else -> { v -> order(v, wanted) >= 0 && v.numbers.take(wanted.numbers.size - 1) == wanted.numbers.dropLast(1) }
                    }
                test
            }
        return { have -> version(have)?.let { v -> tests.all { it(v) } } ?: false }
    }

    private fun version(text: String): Version? =
        form.matchEntire(text)?.let { m ->
            Version(
                m.groupValues[1].split('.').map {
                    it.toLong()
                },
                m.groupValues[2],
            )
        }

    private fun order(a: Version, b: Version): Int {
        for (i in 0 until maxOf(a.numbers.size, b.numbers.size)) {
            val c = (a.numbers.getOrElse(i) { 0 }).compareTo(b.numbers.getOrElse(i) { 0 })
            if (c != 0) return c
        }
        // What comes before a release comes before it.
        if (a.before.isEmpty() || b.before.isEmpty()) return b.before.isNotEmpty().compareTo(a.before.isNotEmpty())
        return a.before.compareTo(b.before)
    }
}
