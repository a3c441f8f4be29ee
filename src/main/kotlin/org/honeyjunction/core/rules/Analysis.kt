package org.honeyjunction.core.rules

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Priority

/** What can be said against rules that read well: told to the operators, and no reason to refuse them. */
class Analysis(private val rules: List<Rule>, private val known: Inventory? = null) {
    /** What the cluster has, where that is known; a name that is in none of these lists selects or matches nothing. */
    class Inventory(val teams: Set<String>, val zones: Set<String>, val machines: List<MachineKind>)

    /** One kind of machine that the cloud rents. */
    class MachineKind(val type: String, val zone: String, val spot: Boolean, val cpus: Double, val gpus: Double, val memoryGb: Double)

    /** [rule] is the position of the rule, [clause] that of the clause within it; below 0 it is about the rule as a whole. */
    class Warning(val rule: Int, val clause: Int, val message: String)

    fun warnings(): List<Warning> = names() + selectors() + impossible() + contradictions()

    private fun names(): List<Warning> {
        val first = HashMap<String, Int>()
        return rules.mapIndexedNotNull { i, r ->
            first.putIfAbsent(r.name, i)?.let { Warning(i, -1, "the name \"${r.name}\" is that of an earlier rule as well") }
        }
    }

    private fun selectors(): List<Warning> =
        rules.mapIndexedNotNull { i, r ->
            val unknown = ArrayList<String>()
            r.selector.each { w ->
                if (w is TaskSelector.Named &&
                    w.field == TaskSelector.Field.TEAM &&
                    known != null &&
                    w.name !in known.teams
                ) {
                    unknown += w.name
                }
            }
            when {
                !canSelect(listOf(r.selector)) -> Warning(i, -1, "rule \"${r.name}\" selects nothing")
                unknown.isNotEmpty() -> Warning(i, -1, "there is no team \"${unknown.first()}\"")
                r.clauses.isEmpty() -> Warning(i, -1, "rule \"${r.name}\" asks for nothing")
                else -> null
            }
        }

    private fun impossible(): List<Warning> =
        rules.flatMapIndexed { i, r ->
            r.clauses.mapIndexedNotNull { j, c ->
                when {
                    !satisfiable(listOf(c.test)) -> Warning(i, j, "no machine can ever meet \"${Printer.text(c)}\"")
                    known != null && known.machines.none { m -> satisfiable(listOf(c.test), m) } ->
                        Warning(i, j, "no known machine type meets \"${Printer.text(c)}\"")
                    else -> null
                }
            }
        }

    /** A preference that no machine can meet which meets the constraints for the same tasks: the constraint wins. */
    private fun contradictions(): List<Warning> {
        val found = ArrayList<Warning>()
        rules.forEachIndexed { i, preferring ->
            preferring.clauses.forEachIndexed { j, prefer ->
                if (prefer.weight == null) return@forEachIndexed
                val against =
                    rules.firstNotNullOfOrNull { r ->
                        r.clauses.firstOrNull { contradicts(preferring, prefer, r, it) }?.let {
                            r to
                                it
                        }
                    }
                if (against != null) {
                    val (rule, must) = against
                    found +=
                        Warning(
                            i,
                            j,
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

    /** Whether some task is selected by [all] at once; each name takes the values that the selectors tell apart, and one other. */
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
        all.forEach { who -> who.each { if (it is TaskSelector.Named && it.field == field) mentioned += it.name } }
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
     * Whether some machine (of the kind of [of], if given) meets all of [tests]. Each attribute takes the values that the
     * tests tell apart; what runs and is cached is free. True also where there are too many cases to go through.
     */
    private fun satisfiable(tests: List<Test>, of: MachineKind? = null): Boolean {
        val constants = LinkedHashMap<Attribute, LinkedHashSet<Value>>()
        val free = LinkedHashSet<Test>()
        tests.forEach { root ->
            root.each { t ->
                when (t) {
                    is Test.Compare -> constants.getOrPut(t.attribute, ::LinkedHashSet) += t.value
                    is Test.OneOf -> constants.getOrPut(t.attribute, ::LinkedHashSet) += t.values
                    is Test.Runs, is Test.Caches, is Test.Same -> free += t
                    is Test.Not, is Test.And, is Test.Or -> Unit
                }
            }
        }
        val choices = constants.map { (a, values) -> fixed(a, of)?.let(::listOf) ?: candidates(a, values) }
        val cases = choices.fold(1L shl minOf(free.size, MAX_FREE)) { n, c -> minOf(n * c.size, MAX_CASES + 1) }
        if (cases > MAX_CASES || free.size > MAX_FREE) return true
        val attributes = constants.keys.toList()
        val atoms = free.toList()
        for (case in 0 until cases) {
            var rest = case
            val values = HashMap<Attribute, Value>()
            attributes.forEachIndexed { i, a ->
                values[a] = choices[i][(rest % choices[i].size).toInt()]
                rest /= choices[i].size
            }
            if (tests.all { holds(it, values) { atom -> (rest shr atoms.indexOf(atom)) and 1L != 0L } }) return true
        }
        return false
    }

    private fun fixed(a: Attribute, m: MachineKind?): Value? =
        when (a) {
            Attribute.Type -> m?.let { Value.Text(it.type) }
            Attribute.Zone -> m?.let { Value.Text(it.zone) }
            Attribute.Spot -> m?.let { Value.Flag(it.spot) }
            Attribute.Amount.CPUS -> m?.let { Value.Number(it.cpus) }
            Attribute.Amount.GPUS -> m?.let { Value.Number(it.gpus) }
            Attribute.Amount.MEMORY -> m?.let { Value.Number(it.memoryGb) }
            is Attribute.Label -> null
        }

    private fun candidates(a: Attribute, values: Set<Value>): List<Value> =
        when (a) {
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
            Attribute.Zone -> values.filter { known == null || (it as? Value.Text)?.text in known.zones } + Value.Text(OTHER)
        }.toList().ifEmpty { listOf(Value.Number(0.0)) }

    private fun holds(t: Test, values: Map<Attribute, Value>, atom: (Test) -> Boolean): Boolean =
        when (t) {
            is Test.Compare -> compare(values.getValue(t.attribute), t.op, t.value)
            is Test.OneOf -> values.getValue(t.attribute) in t.values
            is Test.Runs, is Test.Caches, is Test.Same -> atom(t)
            is Test.Not -> !holds(t.of, values, atom)
            is Test.And -> holds(t.left, values, atom) && holds(t.right, values, atom)
            is Test.Or -> holds(t.left, values, atom) || holds(t.right, values, atom)
        }

    private fun compare(have: Value, op: ComparisonOperator, want: Value): Boolean {
        val order = if (have is Value.Number && want is Value.Number) have.number.compareTo(want.number) else null
        return when (op) {
            ComparisonOperator.EQ -> have == want
            ComparisonOperator.NE -> have != want
            ComparisonOperator.LT -> order != null && order < 0
            ComparisonOperator.LE -> order != null && order <= 0
            ComparisonOperator.GT -> order != null && order > 0
            ComparisonOperator.GE -> order != null && order >= 0
        }
    }

    private companion object {
        /** Stands for every name that the rules do not mention; no string of the language can be it. */
        const val OTHER = "\n"
        const val STEP = 0.5
        const val MAX_CASES = 20_000L
        const val MAX_FREE = 10
    }
}
