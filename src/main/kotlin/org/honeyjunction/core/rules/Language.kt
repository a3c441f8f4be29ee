package org.honeyjunction.core.rules

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority

/** Which tasks: the selector of a rule, and of what "runs" looks for. docs/rules.md has the language. */
sealed interface TaskSelector {
    data object All : TaskSelector

    data class Named(val field: Field, val name: String) : TaskSelector

    data class OfKind(val kind: JobKind) : TaskSelector

    data class OfPriority(val priority: Priority) : TaskSelector

    data class Not(val of: TaskSelector) : TaskSelector

    data class And(val left: TaskSelector, val right: TaskSelector) : TaskSelector

    data class Or(val left: TaskSelector, val right: TaskSelector) : TaskSelector

    enum class Field { CLASS, TEAM, IMAGE }
}

/** What a machine has, whatever runs on it. Amounts are those of the whole machine: cores, accelerators, gigabytes. */
sealed interface Attribute {
    val word: String

    data object Type : Attribute {
        override val word = "type"
    }

    data object Zone : Attribute {
        override val word = "zone"
    }

    data object Spot : Attribute {
        override val word = "spot"
    }

    enum class Amount(override val word: String) : Attribute { CPUS("cpus"), GPUS("gpus"), MEMORY("memory") }

    /** A label of the operators' topology; unknown where the topology gives a machine none. */
    data class Label(override val word: String) : Attribute
}

/** A constant that an attribute is compared with. */
sealed interface Value {
    data class Text(val text: String) : Value

    data class Number(val number: Double) : Value

    data class Flag(val on: Boolean) : Value
}

/** A comparison; [sign] is how it is written in a rule. */
enum class ComparisonOperator(val sign: String) { EQ("="), NE("!="), LT("<"), LE("<="), GT(">"), GE(">=") }

/** A condition on a machine, given the task that is to start there. */
sealed interface Test {
    /** Decided by the machine's kind alone. */
    sealed interface Static : Test

    data class Compare(val attribute: Attribute, val op: ComparisonOperator, val value: Value) : Static

    data class OneOf(val attribute: Attribute, val values: List<Value>) : Static

    data class Runs(val selector: TaskSelector) : Test

    data class Caches(val image: String) : Test

    /** In the same zone, type or label as all other tasks of the job. */
    data class Same(val attribute: Attribute) : Test

    data class Not(val of: Test) : Test

    data class And(val left: Test, val right: Test) : Test

    data class Or(val left: Test, val right: Test) : Test
}

/**
 * "must" where [weight] is null; else "prefer", whose weight in gigabytes is the cost of a cell that does not meet it.
 * [oneWay]: binds the tasks that the rule is for, but not those that it keeps away.
 */
data class Clause(val test: Test, val weight: Double?, val oneWay: Boolean = false)

/** A named rule: the [clauses] bind the tasks that [who] selects. */
data class Rule(val name: String, val selector: TaskSelector, val clauses: List<Clause>)

/** All rules that are in force together. Version 0 stands for none having ever been applied. */
class RuleSet(val version: Long, val rules: List<Rule>, val topology: Topology) {
    companion object {
        val NONE = RuleSet(0, emptyList(), Topology.EMPTY)
    }
}

inline fun Test.each(visit: (Test) -> Unit) {
    val open = ArrayDeque(listOf(this))
    while (open.isNotEmpty()) {
        val test = open.removeLast()
        visit(test)
        when (test) {
            is Test.Not -> open += test.of
            is Test.And -> open += listOf(test.left, test.right)
            is Test.Or -> open += listOf(test.left, test.right)
            is Test.Static, is Test.Runs, is Test.Caches, is Test.Same -> Unit
        }
    }
}

inline fun TaskSelector.each(visit: (TaskSelector) -> Unit) {
    val open = ArrayDeque(listOf(this))
    while (open.isNotEmpty()) {
        val who = open.removeLast()
        visit(who)
        when (who) {
            is TaskSelector.Not -> open += who.of
            is TaskSelector.And -> open += listOf(who.left, who.right)
            is TaskSelector.Or -> open += listOf(who.left, who.right)
            is TaskSelector.All, is TaskSelector.Named, is TaskSelector.OfKind, is TaskSelector.OfPriority -> Unit
        }
    }
}
