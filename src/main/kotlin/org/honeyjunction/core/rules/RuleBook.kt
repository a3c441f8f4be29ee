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

/** What rules can tell of a task. */
data class Shape(val jobClass: String, val team: String, val kind: JobKind, val priority: Priority, val image: String) {
    constructor(spec: JobSpec) : this(spec.jobClass, spec.team, spec.kind, spec.priority, spec.image)
}

/** What a rule set means for this cluster; new shapes and places are compiled when they are first met. */
class RuleBook(private val cluster: Cluster, val set: RuleSet) {
    private data class Place(val type: Int, val zone: Int, val spot: Boolean, val labels: Map<String, String>, val size: MachineType?)

    private class StaticLeaf(val test: Test.Static, val yes: BitSet)

    private class RunsLeaf(val selector: TaskSelector, val yes: BitSet)

    private val statics = ArrayList<StaticLeaf>()
    private val runs = ArrayList<RunsLeaf>()
    private val labelNames = NameTable()
    private val labelValues = NameTable()
    private val places = HashMap<Place, Int>()
    private val placeLabels = ArrayList<IntArray>()
    private val shapes = HashMap<Shape, Int>()
    private val clausesOf = ArrayList<IntArray>()
    private val owners = ArrayList<Pair<Rule, Clause>>()
    private val offers = HashMap<Triple<Int, Int, Long>, Boolean>()
    val empty: Boolean get() = set.rules.isEmpty()
    val table: RuleTable

    init {
        set.topology.labels.forEach(labelNames::index)
        val compiled = ArrayList<RuleTable.CompiledClause>()
        set.rules.forEachIndexed { r, rule ->
            for (clause in rule.clauses) {
                owners += rule to clause
                compiled += RuleTable.CompiledClause(r, clause.weight ?: Double.POSITIVE_INFINITY, clause.oneWay, compile(clause.test))
            }
        }
        table = RuleTable(set.version, compiled, clausesOf, placeLabels)
    }

    fun rule(clause: Int): Rule = owners[clause].first

    fun clause(clause: Int): Clause = owners[clause].second

    private fun compile(test: Test): RuleTable.Expr =
        when (test) {
            is Test.Static -> StaticLeaf(test, BitSet()).also(statics::add).let { RuleTable.Expr.InPlaces(it.yes) }
            is Test.Runs -> RunsLeaf(test.selector, BitSet()).also(runs::add).let { RuleTable.Expr.Runs(it.yes) }
            is Test.Caches -> RuleTable.Expr.Caches(cluster.images.index(test.image))
            is Test.Same -> RuleTable.Expr.Same(labelIndex(test.attribute))
            is Test.Not -> RuleTable.Expr.Not(compile(test.of))
            is Test.And -> RuleTable.Expr.And(compile(test.left), compile(test.right))
            is Test.Or -> RuleTable.Expr.Or(compile(test.left), compile(test.right))
        }

    /** Zone and type come first among the labels of a place. */
    private fun labelIndex(a: Attribute): Int =
        when (a) {
            Attribute.Zone -> ZONE
            Attribute.Type -> TYPE
            else -> LABELS + labelNames.index(a.word)
        }

    /** The dense index of what all tasks like [spec]'s are to the rules; below 0 where no rule has to do with them. */
    fun shape(spec: JobSpec): Int {
        if (empty) return NO_SHAPE
        val shape = Shape(spec)
        val index =
            shapes.getOrPut(shape) {
                val index = clausesOf.size
                clausesOf += owners.indices.filter { matches(owners[it].first.selector, shape) }.toIntArray()
                runs.forEach { if (matches(it.selector, shape)) it.yes.set(index) }
                index
            }
        return if (clausesOf[index].isEmpty() && runs.none { it.yes[index] }) NO_SHAPE else index
    }

    /** The dense index of machines like this one. */
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
                set.topology.labels.map { l ->
                    place.labels[l]?.takeIf { it != Topology.UNKNOWN }?.let(labelValues::index)
                        ?: NameTable.ABSENT
                }
            // Labels that rules name but no topology gives are unknown everywhere.
            val rest = List(maxOf(0, labelNames.size - named.size)) { NameTable.ABSENT }
            placeLabels += (listOf(place.zone, place.type) + named + rest).toIntArray()
            statics.forEach { if (decide(it.test, place) == true) it.yes.set(index) }
            index
        }

    /** As of a machine that is yet to be rented, so that its name tells nothing of it. */
    fun offerPlace(type: Int, zone: Int, spot: Boolean): Int = if (empty) NO_PLACE else index(unnamed(type, zone, spot))

    /** Whether a machine of this kind, new and empty, certainly meets every must: only then may it be rented for the tasks of [shape]. */
    fun mayRent(shape: Int, type: Int, zone: Int, spot: Boolean): Boolean {
        if (shape < 0) return true
        return offers.getOrPut(Triple(shape, type, zone * 2L + if (spot) 1 else 0)) {
            val place = unnamed(type, zone, spot)
            table.clausesOf[shape].all { c -> clause(c).weight != null || foresee(clause(c).test, place, fresh = true) == true }
        }
    }

    /** Whether the tasks of [shape] must all be in one zone. */
    fun mustShareZone(shape: Int): Boolean =
        shape >= 0 && table.clausesOf[shape].any { clause(it).weight == null && clause(it).test == Test.Same(Attribute.Zone) }

    /**
     * The rules that keep [spec] from every machine that there could ever be: one that does so alone, or all that do it
     * together. Empty where some machine may do.
     */
    fun rulesForbidding(spec: JobSpec): List<Rule> {
        if (empty) return emptyList()
        val shape = Shape(spec)
        val musts = owners.filter { (rule, clause) -> clause.weight == null && matches(rule.selector, shape) }
        val against =
            offersFor(spec).map { place ->
                musts.filter { (_, clause) -> foresee(clause.test, place, fresh = false) == false }.map { it.first }.toSet()
            }
        if (against.any { it.isEmpty() }) return emptyList()
        val alone = against.reduceOrNull { a, b -> a intersect b }.orEmpty()
        val together = against.flatten().toSet()
        return set.rules.filter { it in alone }.take(1).ifEmpty { set.rules.filter { it in together } }
    }

    /** Whether the cluster could ever run [spec] by these rules. */
    fun checkFeasibility(spec: JobSpec): Feasibility {
        val verdict = cluster.checkFeasibility(spec)
        val forbidding = if (verdict == Feasibility.Feasible) rulesForbidding(spec) else emptyList()
        if (forbidding.isEmpty()) return verdict
        return Feasibility.Infeasible(
            "every machine that there could be for it is forbidden by ${forbidding.joinToString(" and ") { "rule \"${it.name}\"" }}",
        )
    }

    private fun offersFor(spec: JobSpec): List<Place> =
        cluster.types.filterValues(spec::mayUse).flatMap { (index, type) ->
            val zones = cluster.zonesFor(spec, type)
            type.zones.filter { (zones shr it) and 1L != 0L }.flatMap { zone ->
                listOf(false, true).filter { spec.spot || !it }.map { unnamed(index, zone, it) }
            }
        }

    private fun unnamed(type: Int, zone: Int, spot: Boolean) =
        Place(type, zone, spot, set.topology.labels(null, cluster.typeNames.name(type), cluster.zones.name(zone)), cluster.types[type])

    /** True, false, or null: not known of a machine that is not there yet. [fresh]: as it is when it comes up, with nothing on it. */
    private fun foresee(test: Test, place: Place, fresh: Boolean): Boolean? =
        when (test) {
            is Test.Static -> decide(test, place)
            is Test.Runs, is Test.Caches -> if (fresh) false else null
            // Where its job's other tasks will be is the round's matter.
            is Test.Same -> true
            is Test.Not -> foresee(test.of, place, fresh)?.not()
            is Test.And -> both(foresee(test.left, place, fresh), foresee(test.right, place, fresh), decisive = false)
            is Test.Or -> both(foresee(test.left, place, fresh), foresee(test.right, place, fresh), decisive = true)
        }

    private fun both(a: Boolean?, b: Boolean?, decisive: Boolean): Boolean? =
        if (a == decisive || b == decisive) {
            decisive
        } else if (a == null || b == null) {
            null
        } else {
            !decisive
        }

    private fun decide(test: Test.Static, place: Place): Boolean? =
        when (test) {
            is Test.Compare -> compare(value(test.attribute, place), test.op, test.value, place, test.attribute)
            is Test.OneOf ->
                test.values
                    .map { compare(value(test.attribute, place), ComparisonOperator.EQ, it, place, test.attribute) }
                    .reduce { a, b -> both(a, b, decisive = true) }
        }

    private fun value(a: Attribute, place: Place): Value? =
        when (a) {
            Attribute.Type -> Value.Text(cluster.typeNames.name(place.type))
            Attribute.Zone -> Value.Text(cluster.zones.name(place.zone))
            Attribute.Spot -> Value.Flag(place.spot)
            Attribute.Amount.CPUS -> place.size?.let { Value.Number(it.size.cpus) }
            Attribute.Amount.GPUS -> place.size?.let { Value.Number(it.size.gpus) }
            Attribute.Amount.MEMORY -> place.size?.let { Value.Number(it.size.memoryGb) }
            is Attribute.Label -> place.labels[a.word]?.let { Value.Text(it) }
        }

    /** A label that a machine does not have equals nothing. */
    private fun compare(have: Value?, op: ComparisonOperator, want: Value, place: Place, a: Attribute): Boolean? {
        if (a is Attribute.Label && place.labels[a.word] == Topology.UNKNOWN) return null
        if (have is Value.Number && want is Value.Number) return compared(have.number.compareTo(want.number), op)
        return when (op) {
            ComparisonOperator.EQ -> have == want
            ComparisonOperator.NE -> have != want
            ComparisonOperator.LT, ComparisonOperator.LE, ComparisonOperator.GT, ComparisonOperator.GE -> false
        }
    }

    private fun compared(order: Int, op: ComparisonOperator) =
        when (op) {
            ComparisonOperator.EQ -> order == 0
            ComparisonOperator.NE -> order != 0
            ComparisonOperator.LT -> order < 0
            ComparisonOperator.LE -> order <= 0
            ComparisonOperator.GT -> order > 0
            ComparisonOperator.GE -> order >= 0
        }

    companion object {
        const val NO_SHAPE = -1
        const val NO_PLACE = -1
        private const val ZONE = 0
        private const val TYPE = 1
        private const val LABELS = 2

        fun matches(who: TaskSelector, shape: Shape): Boolean =
            when (who) {
                TaskSelector.All -> true
                is TaskSelector.Named ->
                    when (who.field) {
                        TaskSelector.Field.CLASS -> shape.jobClass
                        TaskSelector.Field.TEAM -> shape.team
                        TaskSelector.Field.IMAGE -> shape.image
                    } == who.name
                is TaskSelector.OfKind -> shape.kind == who.kind
                is TaskSelector.OfPriority -> shape.priority == who.priority
                is TaskSelector.Not -> !matches(who.of, shape)
                is TaskSelector.And -> matches(who.left, shape) && matches(who.right, shape)
                is TaskSelector.Or -> matches(who.left, shape) || matches(who.right, shape)
            }
    }
}
