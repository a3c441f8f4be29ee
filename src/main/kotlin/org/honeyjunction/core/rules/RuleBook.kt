package org.honeyjunction.core.rules

import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.Feasibility
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.checkFeasibility
import org.honeyjunction.core.model.mayUse
import org.honeyjunction.core.model.zonesFor
import java.util.BitSet

/** The shape of a task: the attributes that rules can refer to. Every rule treats tasks of equal shapes alike. */
data class Shape(val jobClass: String, val team: String, val kind: JobKind, val priority: Priority, val image: String) {
    constructor(spec: JobSpec) : this(spec.jobClass, spec.team, spec.kind, spec.priority, spec.image)
}

/**
 * Compiles the rule set [set] for one cluster into a [RuleTable]. The table identifies shapes (tasks that every rule treats alike)
 * and places (machines with the same attributes) by dense indices; each is added when it is first seen.
 */
class RuleBook(private val cluster: Cluster, val set: RuleSet) {
    private data class Place(val type: Int, val zone: Int, val spot: Boolean, val labels: Map<String, String>, val size: MachineType?)

    /** A static test of the compiled rules, and the places that meet it. */
    private class StaticLeaf(val test: Test.Static, val matchingPlaces: BitSet)

    /** The selector of a `machine runs` test, and the shapes that it selects. */
    private class RunsLeaf(val selector: TaskSelector, val matchingShapes: BitSet)

    private val staticLeaves = ArrayList<StaticLeaf>()
    private val runsLeaves = ArrayList<RunsLeaf>()
    private val labelNames = NameTable()
    private val labelValues = NameTable()
    private val places = HashMap<Place, Int>()
    private val placeLabels = ArrayList<IntArray>()
    private val shapes = HashMap<Shape, Int>()
    private val clausesOf = ArrayList<IntArray>()

    /** For each compiled clause, by index: its rule and its source. */
    private val sources = ArrayList<Pair<Rule, Clause>>()
    private val mayRentCache = HashMap<Triple<Int, Int, Long>, Boolean>()

    /** Whether there are no rules. */
    val empty: Boolean get() = set.rules.isEmpty()

    /** The compiled rules; its lists and sets grow as shapes and places are added. */
    val table: RuleTable

    init {
        set.topology.labels.forEach(labelNames::index)
        val compiled = ArrayList<RuleTable.CompiledClause>()
        set.rules.forEachIndexed { ruleIndex, rule ->
            for (clause in rule.clauses) {
                sources += rule to clause
                compiled +=
                    RuleTable.CompiledClause(ruleIndex, clause.weight ?: Double.POSITIVE_INFINITY, clause.oneWay, compile(clause.test))
            }
        }
        table = RuleTable(set.version, compiled, clausesOf, placeLabels)
    }

    /** The rule that the compiled clause at index [clause] belongs to. */
    fun rule(clause: Int): Rule = sources[clause].first

    /** The source of the compiled clause at index [clause]. */
    fun clause(clause: Int): Clause = sources[clause].second

    private fun compile(test: Test): RuleTable.Expr =
        when (test) {
            is Test.Static -> StaticLeaf(test, BitSet()).also(staticLeaves::add).let { RuleTable.Expr.InPlaces(it.matchingPlaces) }
            is Test.Runs -> RunsLeaf(test.selector, BitSet()).also(runsLeaves::add).let { RuleTable.Expr.Runs(it.matchingShapes) }
            is Test.Caches -> RuleTable.Expr.Caches(cluster.images.index(test.image))
            is Test.Same -> RuleTable.Expr.Same(labelIndex(test.attribute))
            is Test.Not -> RuleTable.Expr.Not(compile(test.of))
            is Test.And -> RuleTable.Expr.And(compile(test.left), compile(test.right))
            is Test.Or -> RuleTable.Expr.Or(compile(test.left), compile(test.right))
        }

    /** The index of [attribute] among the labels of a place: zone and type come first, then the labels of the topology. */
    private fun labelIndex(attribute: Attribute): Int =
        when (attribute) {
            Attribute.Zone -> ZONE
            Attribute.Type -> TYPE
            else -> FIRST_LABEL + labelNames.index(attribute.word)
        }

    /** The index of the [Shape] of tasks that [spec] describes; [NO_SHAPE] if no rule selects such tasks or tests whether they run. */
    fun shape(spec: JobSpec): Int {
        if (empty) return NO_SHAPE
        val shape = Shape(spec)
        val index =
            shapes.getOrPut(shape) {
                val index = clausesOf.size
                clausesOf += sources.indices.filter { matches(sources[it].first.selector, shape) }.toIntArray()
                runsLeaves.forEach { if (matches(it.selector, shape)) it.matchingShapes.set(index) }
                index
            }
        return if (clausesOf[index].isEmpty() && runsLeaves.none { it.matchingShapes[index] }) NO_SHAPE else index
    }

    /** The index of the place of a machine; [NO_PLACE] where there are no rules, or where its type or zone is not known. */
    fun place(name: String, type: Int, zone: Int, spot: Boolean): Int {
        if (empty || type < 0 || zone < 0) return NO_PLACE
        return index(
            Place(type, zone, spot, set.topology.labels(name, cluster.typeNames.name(type), cluster.zones.name(zone)), cluster.types[type]),
        )
    }

    private fun index(place: Place): Int =
        places.getOrPut(place) {
            val index = placeLabels.size
            val named =
                set.topology.labels.map { label ->
                    place.labels[label]?.takeIf { it != Topology.UNKNOWN }?.let(labelValues::index)
                        ?: NameTable.ABSENT
                }
            // A label that rules mention but the topology does not assign has no value on any machine.
            val rest = List(maxOf(0, labelNames.size - named.size)) { NameTable.ABSENT }
            placeLabels += (listOf(place.zone, place.type) + named + rest).toIntArray()
            staticLeaves.forEach { if (evaluate(it.test, place) == true) it.matchingPlaces.set(index) }
            index
        }

    /** The index of the place of a machine that is not rented yet; labels that depend on its name are unknown. */
    fun offerPlace(type: Int, zone: Int, spot: Boolean): Int = if (empty) NO_PLACE else index(offeredPlace(type, zone, spot))

    /**
     * Whether a machine of this kind may be rented for the tasks of [shape]: only if a new, empty machine certainly meets every
     * requirement. A requirement whose outcome is not known before the machine exists counts as not met.
     */
    fun mayRent(shape: Int, type: Int, zone: Int, spot: Boolean): Boolean {
        if (shape < 0) return true
        return mayRentCache.getOrPut(Triple(shape, type, zone * 2L + if (spot) 1 else 0)) {
            val place = offeredPlace(type, zone, spot)
            table.clausesOf[shape].all { c -> clause(c).weight != null || evaluateOffer(clause(c).test, place, fresh = true) == true }
        }
    }

    /** Whether a requirement asks all tasks of a job of [shape] to run in the same zone. */
    fun mustShareZone(shape: Int): Boolean =
        shape >= 0 && table.clausesOf[shape].any { clause(it).weight == null && clause(it).test == Test.Same(Attribute.Zone) }

    /**
     * The rules that forbid the tasks of [spec] on every machine that the cluster could ever have: the first rule that alone
     * forbids all of them, otherwise every rule that forbids some. Empty where at least one kind of machine is not forbidden.
     */
    fun rulesForbidding(spec: JobSpec): List<Rule> {
        if (empty) return emptyList()
        val shape = Shape(spec)
        val requirements = sources.filter { (rule, clause) -> clause.weight == null && matches(rule.selector, shape) }
        val forbiddingByPlace =
            offersFor(spec).map { place ->
                requirements.filter { (_, clause) -> evaluateOffer(clause.test, place, fresh = false) == false }.map { it.first }.toSet()
            }
        if (forbiddingByPlace.any { it.isEmpty() }) return emptyList()
        val alone = forbiddingByPlace.reduceOrNull { a, b -> a intersect b }.orEmpty()
        val together = forbiddingByPlace.flatten().toSet()
        return set.rules.filter { it in alone }.take(1).ifEmpty { set.rules.filter { it in together } }
    }

    /** Whether the cluster could ever run [spec] under these rules. */
    fun checkFeasibility(spec: JobSpec): Feasibility {
        val verdict = cluster.checkFeasibility(spec)
        val forbidding = if (verdict == Feasibility.Feasible) rulesForbidding(spec) else emptyList()
        if (forbidding.isEmpty()) return verdict
        return Feasibility.Infeasible(
            "every machine that there could be for it is forbidden by ${forbidding.joinToString(" and ") { "rule \"${it.name}\"" }}",
        )
    }

    /** The places of all kinds of machines that the cluster could rent and that the tasks of [spec] may use. */
    private fun offersFor(spec: JobSpec): List<Place> =
        cluster.types.filterValues(spec::mayUse).flatMap { (index, type) ->
            val zones = cluster.zonesFor(spec, type)
            type.zones.filter { (zones shr it) and 1L != 0L }.flatMap { zone ->
                listOf(false, true).filter { spec.spot || !it }.map { offeredPlace(index, zone, it) }
            }
        }

    private fun offeredPlace(type: Int, zone: Int, spot: Boolean) =
        Place(type, zone, spot, set.topology.labels(null, cluster.typeNames.name(type), cluster.zones.name(zone)), cluster.types[type])

    /**
     * Evaluates [test] for a machine that does not exist yet; null where the outcome cannot be known in advance. [fresh]: assumes
     * that the machine runs and caches nothing.
     */
    private fun evaluateOffer(test: Test, place: Place, fresh: Boolean): Boolean? =
        when (test) {
            is Test.Static -> evaluate(test, place)
            is Test.Runs, is Test.Caches -> if (fresh) false else null
            // The places of the job's other tasks are decided in the placement round, so the test counts as met here.
            is Test.Same -> true
            is Test.Not -> evaluateOffer(test.of, place, fresh)?.not()
            is Test.And -> combine(evaluateOffer(test.left, place, fresh), evaluateOffer(test.right, place, fresh), decisive = false)
            is Test.Or -> combine(evaluateOffer(test.left, place, fresh), evaluateOffer(test.right, place, fresh), decisive = true)
        }

    /** "And" ([decisive] is false) or "or" ([decisive] is true) in three-valued logic, where null means unknown. */
    private fun combine(left: Boolean?, right: Boolean?, decisive: Boolean): Boolean? =
        if (left == decisive || right == decisive) {
            decisive
        } else if (left == null || right == null) {
            null
        } else {
            !decisive
        }

    /** Evaluates a static test; null where it depends on a label that is unknown before the machine has a name. */
    private fun evaluate(test: Test.Static, place: Place): Boolean? =
        when (test) {
            is Test.Compare -> compare(value(test.attribute, place), test.op, test.value, place, test.attribute)
            is Test.OneOf ->
                test.values
                    .map { compare(value(test.attribute, place), ComparisonOperator.EQ, it, place, test.attribute) }
                    .reduce { a, b -> combine(a, b, decisive = true) }
        }

    private fun value(attribute: Attribute, place: Place): Value? =
        when (attribute) {
            Attribute.Type -> Value.Text(cluster.typeNames.name(place.type))
            Attribute.Zone -> Value.Text(cluster.zones.name(place.zone))
            Attribute.Spot -> Value.Flag(place.spot)
            Attribute.Amount.CPUS -> place.size?.let { Value.Number(it.size.cpus) }
            Attribute.Amount.GPUS -> place.size?.let { Value.Number(it.size.gpus) }
            Attribute.Amount.MEMORY -> place.size?.let { Value.Number(it.size.memoryGb) }
            is Attribute.Label -> place.labels[attribute.word]?.let { Value.Text(it) }
        }

    /** Compares the value of [attribute]; null where the label is unknown. A label that the machine does not have equals no value. */
    private fun compare(actual: Value?, op: ComparisonOperator, expected: Value, place: Place, attribute: Attribute): Boolean? {
        if (attribute is Attribute.Label && place.labels[attribute.word] == Topology.UNKNOWN) return null
        if (actual is Value.Number && expected is Value.Number) return orderMatches(actual.number.compareTo(expected.number), op)
        return when (op) {
            ComparisonOperator.EQ -> actual == expected
            ComparisonOperator.NE -> actual != expected
            ComparisonOperator.LT, ComparisonOperator.LE, ComparisonOperator.GT, ComparisonOperator.GE -> false
        }
    }

    private fun orderMatches(order: Int, op: ComparisonOperator) =
        when (op) {
            ComparisonOperator.EQ -> order == 0
            ComparisonOperator.NE -> order != 0
            ComparisonOperator.LT -> order < 0
            ComparisonOperator.LE -> order <= 0
            ComparisonOperator.GT -> order > 0
            ComparisonOperator.GE -> order >= 0
        }

    companion object {
        /** The shape of tasks that no rule concerns. */
        const val NO_SHAPE = -1

        /** The place of machines about which the rules cannot say anything. */
        const val NO_PLACE = -1

        private const val ZONE = 0
        private const val TYPE = 1
        private const val FIRST_LABEL = 2

        /** Whether [selector] selects the tasks of [shape]. */
        fun matches(selector: TaskSelector, shape: Shape): Boolean =
            when (selector) {
                TaskSelector.All -> true
                is TaskSelector.Named ->
                    when (selector.field) {
                        TaskSelector.Field.CLASS -> shape.jobClass
                        TaskSelector.Field.TEAM -> shape.team
                        TaskSelector.Field.IMAGE -> shape.image
                    } == selector.name
                is TaskSelector.OfKind -> shape.kind == selector.kind
                is TaskSelector.OfPriority -> shape.priority == selector.priority
                is TaskSelector.Not -> !matches(selector.of, shape)
                is TaskSelector.And -> matches(selector.left, shape) && matches(selector.right, shape)
                is TaskSelector.Or -> matches(selector.left, shape) || matches(selector.right, shape)
            }
    }
}
