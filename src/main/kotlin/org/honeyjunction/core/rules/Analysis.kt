package org.honeyjunction.core.rules

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority

/** Finds probable mistakes in valid rules. The warnings are reported to the operators and do not prevent the rules from being applied. */
class Analysis(private val rules: List<Rule>, private val inventory: Inventory? = null) {
    /** The teams, zones and machine kinds of a cluster; a rule that names any other matches nothing there. */
    class Inventory(val teams: Set<String>, val zones: Set<String>, val machines: List<MachineKind>)

    /** One kind of machine that the cloud offers. */
    class MachineKind(val type: String, val zone: String, val spot: Boolean, val cpus: Double, val gpus: Double, val memoryGb: Double)

    /** A warning about the rule at index [rule]: about its clause at index [clause], or about the whole rule where [clause] is negative. */
    class Warning(val rule: Int, val clause: Int, val message: String)

    /** All warnings, grouped by check. */
    fun warnings(): List<Warning> = duplicateNames() + selectorWarnings() + unsatisfiableClauses() + contradictions()

    private fun duplicateNames(): List<Warning> {
        val first = HashMap<String, Int>()
        return rules.mapIndexedNotNull { index, rule ->
            first.putIfAbsent(rule.name, index)?.let { Warning(index, -1, "the name \"${rule.name}\" is that of an earlier rule as well") }
        }
    }

    private fun selectorWarnings(): List<Warning> =
        rules.mapIndexedNotNull { index, rule ->
            val unknownTeams = ArrayList<String>()
            rule.selector.visitAll { selector ->
                if (selector is TaskSelector.Named &&
                    selector.field == TaskSelector.Field.TEAM &&
                    inventory != null &&
                    selector.name !in inventory.teams
                ) {
                    unknownTeams += selector.name
                }
            }
            when {
                !canSelect(listOf(rule.selector)) -> Warning(index, -1, "rule \"${rule.name}\" selects nothing")
                unknownTeams.isNotEmpty() -> Warning(index, -1, "there is no team \"${unknownTeams.first()}\"")
                rule.clauses.isEmpty() -> Warning(index, -1, "rule \"${rule.name}\" asks for nothing")
                else -> null
            }
        }

    private fun unsatisfiableClauses(): List<Warning> =
        rules.flatMapIndexed { ruleIndex, rule ->
            rule.clauses.mapIndexedNotNull { clauseIndex, clause ->
                when {
                    !satisfiable(listOf(clause.test)) ->
                        Warning(ruleIndex, clauseIndex, "no machine can ever meet \"${Printer.text(clause)}\"")
                    inventory != null && inventory.machines.none { machine -> satisfiable(listOf(clause.test), machine) } ->
                        Warning(ruleIndex, clauseIndex, "no known machine type meets \"${Printer.text(clause)}\"")
                    else -> null
                }
            }
        }

    /** Preferences that no machine can meet together with a requirement for the same tasks. The requirement wins for these tasks. */
    private fun contradictions(): List<Warning> {
        val found = ArrayList<Warning>()
        rules.forEachIndexed { ruleIndex, preferring ->
            preferring.clauses.forEachIndexed { clauseIndex, prefer ->
                if (prefer.weight == null) return@forEachIndexed
                val contradicting =
                    rules.firstNotNullOfOrNull { rule ->
                        rule.clauses.firstOrNull { contradicts(preferring, prefer, rule, it) }?.let { rule to it }
                    }
                if (contradicting != null) {
                    val (rule, must) = contradicting
                    found +=
                        Warning(
                            ruleIndex,
                            clauseIndex,
                            "\"${Printer.text(
                                prefer,
                            )}\" contradicts \"${Printer.text(must)}\" of rule \"${rule.name}\": the constraint wins",
                        )
                }
            }
        }
        return found
    }

    private fun contradicts(preferring: Rule, prefer: Clause, rule: Rule, must: Clause): Boolean =
        must.weight == null &&
            canSelect(listOf(preferring.selector, rule.selector)) &&
            !satisfiable(listOf(prefer.test, must.test)) &&
            satisfiable(listOf(prefer.test)) &&
            satisfiable(listOf(must.test))

    /** Whether some task is selected by [all] at once; tries each name that the selectors mention and one that they do not. */
    private fun canSelect(all: List<TaskSelector>): Boolean {
        val names = TaskSelector.Field.entries.associateWith { field -> mentionedNames(all, field) + OTHER }
        return names.getValue(TaskSelector.Field.CLASS).any { jobClass ->
            names.getValue(TaskSelector.Field.TEAM).any { team ->
                names.getValue(TaskSelector.Field.IMAGE).any { image -> canSelect(all, jobClass, team, image) }
            }
        }
    }

    private fun mentionedNames(all: List<TaskSelector>, field: TaskSelector.Field): Set<String> {
        val mentioned = LinkedHashSet<String>()
        all.forEach { selector -> selector.visitAll { if (it is TaskSelector.Named && it.field == field) mentioned += it.name } }
        return mentioned
    }

    private fun canSelect(all: List<TaskSelector>, jobClass: String, team: String, image: String): Boolean =
        JobKind.entries.any { kind ->
            Priority.entries.any { priority ->
                val shape = Shape(jobClass, team, kind, priority, image)
                all.all { RuleBook.matches(it, shape) }
            }
        }

    /**
     * Whether some machine meets all of [tests]; [of], where given, fixes the kind of the machine. Enumerates the attribute values
     * that the tests distinguish. Tests of running tasks, cached images and "same" are independent variables that can be true or
     * false. Returns true without enumeration where there are more than [MAX_CASES] cases or more than [MAX_FREE] such variables.
     */
    private fun satisfiable(tests: List<Test>, of: MachineKind? = null): Boolean {
        val constants = LinkedHashMap<Attribute, LinkedHashSet<Value>>()
        val free = LinkedHashSet<Test>()
        tests.forEach { root ->
            root.visitAll { test ->
                when (test) {
                    is Test.Compare -> constants.getOrPut(test.attribute, ::LinkedHashSet) += test.value
                    is Test.OneOf -> constants.getOrPut(test.attribute, ::LinkedHashSet) += test.values
                    is Test.Runs, is Test.Caches, is Test.Same -> free += test
                    is Test.Not, is Test.And, is Test.Or -> Unit
                }
            }
        }
        val choices =
            constants.map { (attribute, values) -> knownValue(attribute, of)?.let(::listOf) ?: candidateValues(attribute, values) }
        val cases = choices.fold(1L shl minOf(free.size, MAX_FREE)) { count, choice -> minOf(count * choice.size, MAX_CASES + 1) }
        if (cases > MAX_CASES || free.size > MAX_FREE) return true
        val attributes = constants.keys.toList()
        val atoms = free.toList()
        for (case in 0 until cases) {
            var rest = case
            val values = HashMap<Attribute, Value>()
            attributes.forEachIndexed { i, attribute ->
                values[attribute] = choices[i][(rest % choices[i].size).toInt()]
                rest /= choices[i].size
            }
            if (tests.all { holds(it, values) { atom -> (rest shr atoms.indexOf(atom)) and 1L != 0L } }) return true
        }
        return false
    }

    /** The value that [machine] has for [attribute]; null where it is not known. */
    private fun knownValue(attribute: Attribute, machine: MachineKind?): Value? =
        when (attribute) {
            Attribute.Type -> machine?.let { Value.Text(it.type) }
            Attribute.Zone -> machine?.let { Value.Text(it.zone) }
            Attribute.Spot -> machine?.let { Value.Flag(it.spot) }
            Attribute.Amount.CPUS -> machine?.let { Value.Number(it.cpus) }
            Attribute.Amount.GPUS -> machine?.let { Value.Number(it.gpus) }
            Attribute.Amount.MEMORY -> machine?.let { Value.Number(it.memoryGb) }
            is Attribute.Label -> null
        }

    /** One value from each range of values that comparisons with the constants in [values] distinguish. */
    private fun candidateValues(attribute: Attribute, values: Set<Value>): List<Value> =
        when (attribute) {
            Attribute.Spot -> listOf(Value.Flag(false), Value.Flag(true))
            is Attribute.Amount ->
                values
                    .filterIsInstance<Value.Number>()
                    .map { it.number }
                    .flatMap { listOf(it - STEP, it, it + STEP) }
                    .filter { it >= 0 }
                    .distinct()
                    .map { Value.Number(it) }
            Attribute.Type, is Attribute.Label -> values + Value.Text(OTHER)
            Attribute.Zone -> values.filter { inventory == null || (it as? Value.Text)?.text in inventory.zones } + Value.Text(OTHER)
        }.toList().ifEmpty { listOf(Value.Number(0.0)) }

    private fun holds(test: Test, values: Map<Attribute, Value>, atom: (Test) -> Boolean): Boolean =
        when (test) {
            is Test.Compare -> compare(values.getValue(test.attribute), test.op, test.value)
            is Test.OneOf -> values.getValue(test.attribute) in test.values
            is Test.Runs, is Test.Caches, is Test.Same -> atom(test)
            is Test.Not -> !holds(test.of, values, atom)
            is Test.And -> holds(test.left, values, atom) && holds(test.right, values, atom)
            is Test.Or -> holds(test.left, values, atom) || holds(test.right, values, atom)
        }

    private fun compare(actual: Value, op: ComparisonOperator, expected: Value): Boolean {
        val order = if (actual is Value.Number && expected is Value.Number) actual.number.compareTo(expected.number) else null
        return when (op) {
            ComparisonOperator.EQ -> actual == expected
            ComparisonOperator.NE -> actual != expected
            ComparisonOperator.LT -> order != null && order < 0
            ComparisonOperator.LE -> order != null && order <= 0
            ComparisonOperator.GT -> order != null && order > 0
            ComparisonOperator.GE -> order != null && order >= 0
        }
    }

    private companion object {
        /** Stands for every name that the rules do not mention; a string of the rule language cannot contain a line break. */
        const val OTHER = "\n"

        /**
         * For each constant that a rule compares an amount with, the check tries the constant itself and the values this far below and
         * above it.
         */
        const val STEP = 0.5

        /** Bounds the time that one check takes. */
        const val MAX_CASES = 20_000L

        /** Bounds the number of tests whose outcome is enumerated; each one doubles the number of cases. */
        const val MAX_FREE = 10
    }
}
