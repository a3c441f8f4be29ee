package org.honeyjunction.core.rules

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority

/**
 * Selects tasks by the attributes of their job: the tasks that a rule applies to, or the running tasks that a `machine runs` test
 * looks for. docs/rules.md describes the language.
 */
sealed interface TaskSelector {
    /** Selects every task. */
    data object All : TaskSelector

    /** Selects the tasks whose class, team or image is exactly [name]. */
    data class Named(val field: Field, val name: String) : TaskSelector

    /** Selects the tasks of jobs of one kind, for example services. */
    data class OfKind(val kind: JobKind) : TaskSelector

    /** Selects the tasks of one priority. */
    data class OfPriority(val priority: Priority) : TaskSelector

    /** Selects the tasks that [of] does not select. */
    data class Not(val of: TaskSelector) : TaskSelector

    /** Selects the tasks that both sides select. */
    data class And(val left: TaskSelector, val right: TaskSelector) : TaskSelector

    /** Selects the tasks that at least one side selects. */
    data class Or(val left: TaskSelector, val right: TaskSelector) : TaskSelector

    /** The attribute of a job that [Named] compares; the value name in lower case is the keyword in a rule. */
    enum class Field { CLASS, TEAM, IMAGE }
}

/** A property of a machine that does not depend on the tasks running on it. */
sealed interface Attribute {
    /** The name after `machine.` in a rule. */
    val word: String

    /** The machine type, as the cloud names it. */
    data object Type : Attribute {
        override val word = "type"
    }

    /** The availability zone. */
    data object Zone : Attribute {
        override val word = "zone"
    }

    /** Whether the machine is a spot instance. */
    data object Spot : Attribute {
        override val word = "spot"
    }

    /** The total size of the machine, including what running tasks use: CPU cores, accelerators, and memory in gigabytes. */
    enum class Amount(override val word: String) : Attribute { CPUS("cpus"), GPUS("gpus"), MEMORY("memory") }

    /** A label that the operators' topology assigns to machines. A machine without this label has no value for it. */
    data class Label(override val word: String) : Attribute
}

/** A constant that an attribute is compared with. */
sealed interface Value {
    /** A string, for example a zone or the value of a label. */
    data class Text(val text: String) : Value

    /** A number, for example of CPU cores. */
    data class Number(val number: Double) : Value

    /** A boolean, for example for [Attribute.Spot]. */
    data class Flag(val on: Boolean) : Value
}

/** A comparison operator; [sign] is its spelling in a rule. */
enum class ComparisonOperator(val sign: String) { EQ("="), NE("!="), LT("<"), LE("<="), GT(">"), GE(">=") }

/** A condition on a machine, evaluated for a task that could start there. */
sealed interface Test {
    /** A test that depends only on the attributes of the machine, not on its tasks or its cached images. */
    sealed interface Static : Test

    /** Compares one attribute with a constant. */
    data class Compare(val attribute: Attribute, val op: ComparisonOperator, val value: Value) : Static

    /** The attribute equals one of [values]. */
    data class OneOf(val attribute: Attribute, val values: List<Value>) : Static

    /** The machine runs at least one task that [selector] selects, not counting the task that is to start. */
    data class Runs(val selector: TaskSelector) : Test

    /** The machine has [image] in its cache. */
    data class Caches(val image: String) : Test

    /** The machine has the same zone, type or label value as the machines of all other tasks of the job. */
    data class Same(val attribute: Attribute) : Test

    /** Holds where [of] does not. */
    data class Not(val of: Test) : Test

    /** Holds where both sides hold. */
    data class And(val left: Test, val right: Test) : Test

    /** Holds where at least one side holds. */
    data class Or(val left: Test, val right: Test) : Test
}

/**
 * One condition of a rule: a requirement ("must") where [weight] is null, otherwise a preference ("prefer"). [weight] is the
 * placement cost, in gigabytes, of a machine that does not meet the preference. A clause about the running tasks is also checked
 * when any other task starts beside a task that the rule selects; a [oneWay] clause is checked only when a selected task starts.
 */
data class Clause(val test: Test, val weight: Double?, val oneWay: Boolean = false)

/** A named rule: the [clauses] apply to the tasks that [selector] selects. */
data class Rule(val name: String, val selector: TaskSelector, val clauses: List<Clause>)

/** The rules and the topology that are in force together. Version 0 means that no rules were ever applied. */
class RuleSet(val version: Long, val rules: List<Rule>, val topology: Topology) {
    companion object {
        /** The rule set before any rules are applied. */
        val NONE = RuleSet(0, emptyList(), Topology.EMPTY)
    }
}

/** Calls [visit] for this test and for every test nested in it. */
inline fun Test.visitAll(visit: (Test) -> Unit) {
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

/** Calls [visit] for this selector and for every selector nested in it. */
inline fun TaskSelector.visitAll(visit: (TaskSelector) -> Unit) {
    val open = ArrayDeque(listOf(this))
    while (open.isNotEmpty()) {
        val selector = open.removeLast()
        visit(selector)
        when (selector) {
            is TaskSelector.Not -> open += selector.of
            is TaskSelector.And -> open += listOf(selector.left, selector.right)
            is TaskSelector.Or -> open += listOf(selector.left, selector.right)
            is TaskSelector.All, is TaskSelector.Named, is TaskSelector.OfKind, is TaskSelector.OfPriority -> Unit
        }
    }
}
