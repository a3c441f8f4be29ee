package org.honeyjunction.core.rules

import java.util.BitSet

/**
 * Rules compiled to dense indices: shapes (tasks that are alike to all rules), places (machines that are alike) and clauses.
 * It travels with a summary, so that every controller's round goes by the leader's version.
 */
class RuleTable(val version: Long, val clauses: List<CompiledClause>, val clausesOf: List<IntArray>, val places: List<IntArray>) {
    /** [weight] is infinite for a must. [rule] tells the rule that it belongs to. */
    class CompiledClause(val rule: Int, val weight: Double, val oneWay: Boolean, val test: Expr) {
        val must get() = weight == Double.POSITIVE_INFINITY
        val runs: Boolean = test.has { it is Expr.Runs }
        val same: Boolean = test.has { it is Expr.Same }
    }

    /** A compiled test; the sets grow in the leader as shapes and places become known. */
    sealed interface Expr {
        class InPlaces(val places: BitSet) : Expr

        class Runs(val shapes: BitSet) : Expr

        class Caches(val image: Int) : Expr

        class Same(val label: Int) : Expr

        class Not(val of: Expr) : Expr

        class And(val left: Expr, val right: Expr) : Expr

        class Or(val left: Expr, val right: Expr) : Expr

        fun has(what: (Expr) -> Boolean): Boolean =
            what(this) ||
                when (this) {
                    is Not -> of.has(what)
                    is And -> left.has(what) || right.has(what)
                    is Or -> left.has(what) || right.has(what)
                    is InPlaces, is Runs, is Caches, is Same -> false
                }
    }

    /** A machine as rules see it: its place, the shapes of the tasks that are or may be on it, and what it caches. */
    class MachineContext(val place: Int, val running: IntArray, val images: IntArray) {
        companion object {
            /** Where there are no rules to ask for one. */
            val EMPTY = MachineContext(-1, IntArray(0), IntArray(0))
        }

        fun plusTasks(shape: Int, count: Int = 1) =
            if (shape < 0 ||
                count == 0
            ) {
                this
            } else {
                MachineContext(place, running + IntArray(count) { shape }, images)
            }
    }

    val empty get() = clauses.isEmpty()

    /** A clause that a start does not meet; [of] is the shape whose rule it is. */
    class Violation(val clause: Int, val shape: Int)

    private fun holds(e: Expr, place: Int, running: IntArray, images: IntArray, mates: List<Int>): Boolean =
        when (e) {
            is Expr.InPlaces -> place >= 0 && e.places[place]
            is Expr.Runs -> running.any { it >= 0 && e.shapes[it] }
            is Expr.Caches -> e.image in images
            is Expr.Same -> mates.all { sameLabel(e.label, it, place) }
            is Expr.Not -> !holds(e.of, place, running, images, mates)
            is Expr.And -> holds(e.left, place, running, images, mates) && holds(e.right, place, running, images, mates)
            is Expr.Or -> holds(e.left, place, running, images, mates) || holds(e.right, place, running, images, mates)
        }

    /** What is not known to be the same is not the same. */
    private fun sameLabel(label: Int, a: Int, b: Int) = a >= 0 && b >= 0 && places[a][label].let { it >= 0 && it == places[b][label] }

    fun holds(clause: Int, scene: MachineContext, mates: List<Int>): Boolean =
        holds(clauses[clause].test, scene.place, scene.running, scene.images, mates)

    private inline fun own(
        shape: Int,
        scene: MachineContext,
        mates: List<Int>,
        wanted: (CompiledClause) -> Boolean,
        broken: (Int) -> Unit,
    ) {
        for (c in clausesOf[shape]) if (wanted(clauses[c]) && !holds(c, scene, mates)) broken(c)
    }

    /**
     * Clauses of tasks that are on the machine already and would be broken by a task of [shape] beside them. A rule that
     * keeps two apart binds whichever comes second, unless it is one way.
     */
    private inline fun others(shape: Int, scene: MachineContext, wanted: (CompiledClause) -> Boolean, broken: (Violation) -> Unit) {
        for ((position, there) in scene.running.withIndex()) {
            // What its own rules say of its like was asked already.
            if (there < 0 || there == shape || scene.running.indexOf(there) < position) continue
            for (c in clausesOf[there]) {
                val clause = clauses[c]
                if (!clause.runs || clause.oneWay || !wanted(clause)) continue
                val without = scene.running.filterIndexedTo(ArrayList()) { i, _ -> i != position }.toIntArray()
                val before = holds(clause.test, scene.place, without, scene.images, NO_PEERS)
                if (before && !holds(clause.test, scene.place, without + shape, scene.images, NO_PEERS)) broken(Violation(c, there))
            }
        }
    }

    /** The first must that forbids a task of [shape], whose job's other tasks are at [mates], to start; null: none. */
    fun firstViolation(shape: Int, scene: MachineContext, mates: List<Int> = NO_PEERS): Violation? {
        if (shape < 0) return null
        own(shape, scene, mates, { it.must }) { return Violation(it, shape) }
        others(shape, scene, { it.must }) { return it }
        return null
    }

    /** The preferences that are not met, each once. */
    fun unmetPreferences(shape: Int, scene: MachineContext, mates: List<Int> = NO_PEERS): List<Violation> {
        val all = ArrayList<Violation>()
        if (shape < 0) return all
        own(shape, scene, mates, { !it.must }) { all += Violation(it, shape) }
        others(shape, scene, { !it.must }) { all += it }
        return all
    }

    /** The cost, in gigabytes, of the preferences that are not met. */
    fun penalty(shape: Int, scene: MachineContext, mates: List<Int> = NO_PEERS): Double {
        var sum = 0.0
        if (shape < 0) return sum
        own(shape, scene, mates, { !it.must }) { sum += clauses[it].weight }
        others(shape, scene, { !it.must }) { sum += clauses[it.clause].weight }
        return sum
    }

    /** What the rules cost a task of [shape], in gigabytes; infinite where a must forbids it. */
    fun cost(shape: Int, scene: MachineContext, mates: List<Int> = NO_PEERS): Double =
        if (shape < 0) {
            0.0
        } else if (firstViolation(shape, scene, mates) != null) {
            Double.POSITIVE_INFINITY
        } else {
            penalty(shape, scene, mates)
        }

    fun hasSameClause(shape: Int): Boolean = shape >= 0 && clausesOf[shape].any { clauses[it].same }

    /** The labels that rules ask the tasks of [shape] to share. */
    fun sameLabels(shape: Int): List<Int> {
        val labels = sortedSetOf<Int>()
        clausesOf[shape].forEach { c ->
            clauses[c].test.has {
                if (it is Expr.Same) labels += it.label
                false
            }
        }
        return labels.toList()
    }

    /** Whether the verdict on a second task of [shape] on one machine may differ from that on the first. */
    fun dependsOnOwnShape(shape: Int): Boolean =
        shape >= 0 &&
            clausesOf[shape].any { c ->
                clauses[c].test.has { it is Expr.Runs && it.shapes[shape] }
            }

    companion object {
        val NO_PEERS = emptyList<Int>()
        val NONE = RuleTable(0, emptyList(), emptyList(), emptyList())
    }
}
