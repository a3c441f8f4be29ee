package org.honeyjunction.core.rules

import java.util.BitSet

/**
 * Rules compiled to dense indices of shapes (tasks that every rule treats alike), places (machines that every rule treats alike)
 * and clauses. [clausesOf] gives the clauses that apply to each shape, [places] the value index of each label of each place.
 * The leader sends the table with each summary, so that the placement rounds of all controllers use the leader's version.
 */
class RuleTable(val version: Long, val clauses: List<CompiledClause>, val clausesOf: List<IntArray>, val places: List<IntArray>) {
    /** A compiled clause of the rule at index [rule]. [weight] is infinite for a requirement. */
    class CompiledClause(val rule: Int, val weight: Double, val oneWay: Boolean, val test: Expr) {
        /** Whether the clause is a requirement, not a preference. */
        val must get() = weight == Double.POSITIVE_INFINITY

        /** Whether the clause tests for running tasks. */
        val runs: Boolean = test.has { it is Expr.Runs }

        /** Whether the clause compares the machine with those of the job's other tasks. */
        val same: Boolean = test.has { it is Expr.Same }
    }

    /** A compiled test. In the leader, its sets grow as shapes and places are added. */
    sealed interface Expr {
        /** The machine's place is one of [places]. */
        class InPlaces(val places: BitSet) : Expr

        /** The machine runs at least one task whose shape is in [shapes]. */
        class Runs(val shapes: BitSet) : Expr

        /** The machine has the image with index [image] in its cache. */
        class Caches(val image: Int) : Expr

        /** The machine has the same value of [label] as the machines of the job's other tasks. */
        class Same(val label: Int) : Expr

        /** Negation. */
        class Not(val of: Expr) : Expr

        /** Conjunction. */
        class And(val left: Expr, val right: Expr) : Expr

        /** Disjunction. */
        class Or(val left: Expr, val right: Expr) : Expr

        /** Whether this expression or one nested in it satisfies [predicate]. */
        fun has(predicate: (Expr) -> Boolean): Boolean =
            predicate(this) ||
                when (this) {
                    is Not -> of.has(predicate)
                    is And -> left.has(predicate) || right.has(predicate)
                    is Or -> left.has(predicate) || right.has(predicate)
                    is InPlaces, is Runs, is Caches, is Same -> false
                }
    }

    /** What rules can test of a machine: its [place], the shapes of the tasks that run or may run on it, and the images in its cache. */
    class MachineContext(val place: Int, val running: IntArray, val images: IntArray) {
        companion object {
            /** The context to use where there are no rules, so that its content is never read. */
            val EMPTY = MachineContext(-1, IntArray(0), IntArray(0))
        }

        /** This context with [count] more tasks of [shape]; unchanged where no rule concerns the shape. */
        fun plusTasks(shape: Int, count: Int = 1) =
            if (shape < 0 ||
                count == 0
            ) {
                this
            } else {
                MachineContext(place, running + IntArray(count) { shape }, images)
            }
    }

    /** Whether there are no clauses. */
    val empty get() = clauses.isEmpty()

    /** A clause that the start of a task would not meet; [shape] is the shape of the tasks that the clause applies to. */
    class Violation(val clause: Int, val shape: Int)

    private fun holds(test: Expr, place: Int, running: IntArray, images: IntArray, peerPlaces: List<Int>): Boolean =
        when (test) {
            is Expr.InPlaces -> place >= 0 && test.places[place]
            is Expr.Runs -> running.any { it >= 0 && test.shapes[it] }
            is Expr.Caches -> test.image in images
            is Expr.Same -> peerPlaces.all { sameLabel(test.label, it, place) }
            is Expr.Not -> !holds(test.of, place, running, images, peerPlaces)
            is Expr.And -> holds(test.left, place, running, images, peerPlaces) && holds(test.right, place, running, images, peerPlaces)
            is Expr.Or -> holds(test.left, place, running, images, peerPlaces) || holds(test.right, place, running, images, peerPlaces)
        }

    /** Whether both places have the same value of [label]; a place or value that is not known is not the same as any other. */
    private fun sameLabel(label: Int, first: Int, second: Int) =
        first >= 0 && second >= 0 && places[first][label].let { it >= 0 && it == places[second][label] }

    /** Whether the clause at index [clause] holds on a machine, for a task whose job's other tasks are at [peerPlaces]. */
    fun holds(clause: Int, context: MachineContext, peerPlaces: List<Int>): Boolean =
        holds(clauses[clause].test, context.place, context.running, context.images, peerPlaces)

    /** Reports each clause of the tasks of [shape] that [filter] accepts and that a task would not meet. */
    private inline fun forEachUnmetOwn(
        shape: Int,
        context: MachineContext,
        peerPlaces: List<Int>,
        filter: (CompiledClause) -> Boolean,
        report: (Int) -> Unit,
    ) {
        for (clause in clausesOf[shape]) if (filter(clauses[clause]) && !holds(clause, context, peerPlaces)) report(clause)
    }

    /**
     * Reports each clause that [filter] accepts and that a running task meets now but would no longer meet beside a task of [shape].
     * Without this check, a rule that keeps two tasks apart could be evaded by starting them in the other order. One-way clauses
     * allow that order.
     */
    private inline fun forEachUnmetNeighbour(
        shape: Int,
        context: MachineContext,
        filter: (CompiledClause) -> Boolean,
        report: (Violation) -> Unit,
    ) {
        for ((position, neighbour) in context.running.withIndex()) {
            // Each other shape is checked once. The clauses of tasks of the same shape are already checked as the new task's own.
            if (neighbour < 0 || neighbour == shape || context.running.indexOf(neighbour) < position) continue
            for (index in clausesOf[neighbour]) {
                val clause = clauses[index]
                if (!clause.runs || clause.oneWay || !filter(clause)) continue
                val others = context.running.filterIndexedTo(ArrayList()) { i, _ -> i != position }.toIntArray()
                val met = holds(clause.test, context.place, others, context.images, NO_PEERS)
                if (met && !holds(clause.test, context.place, others + shape, context.images, NO_PEERS)) report(Violation(index, neighbour))
            }
        }
    }

    /** The first requirement that forbids a task of [shape], whose job's other tasks are at [peerPlaces], to start; null: none. */
    fun firstViolation(shape: Int, context: MachineContext, peerPlaces: List<Int> = NO_PEERS): Violation? {
        if (shape < 0) return null
        forEachUnmetOwn(shape, context, peerPlaces, { it.must }) { return Violation(it, shape) }
        forEachUnmetNeighbour(shape, context, { it.must }) { return it }
        return null
    }

    /** The preferences that a task of [shape] would not meet or would break for the tasks beside it; each clause once for each shape. */
    fun unmetPreferences(shape: Int, context: MachineContext, peerPlaces: List<Int> = NO_PEERS): List<Violation> {
        val unmet = ArrayList<Violation>()
        if (shape < 0) return unmet
        forEachUnmetOwn(shape, context, peerPlaces, { !it.must }) { unmet += Violation(it, shape) }
        forEachUnmetNeighbour(shape, context, { !it.must }) { unmet += it }
        return unmet
    }

    /** The sum of the weights, in gigabytes, of the preferences that [unmetPreferences] returns. */
    fun penalty(shape: Int, context: MachineContext, peerPlaces: List<Int> = NO_PEERS): Double {
        var sum = 0.0
        if (shape < 0) return sum
        forEachUnmetOwn(shape, context, peerPlaces, { !it.must }) { sum += clauses[it].weight }
        forEachUnmetNeighbour(shape, context, { !it.must }) { sum += clauses[it.clause].weight }
        return sum
    }

    /** The placement cost, in gigabytes, that the rules add for a task of [shape]; infinite where a requirement forbids it. */
    fun cost(shape: Int, context: MachineContext, peerPlaces: List<Int> = NO_PEERS): Double =
        if (shape < 0) {
            0.0
        } else if (firstViolation(shape, context, peerPlaces) != null) {
            Double.POSITIVE_INFINITY
        } else {
            penalty(shape, context, peerPlaces)
        }

    /** Whether a rule for tasks of [shape] has a clause that compares the places of the tasks of one job. */
    fun hasSameClause(shape: Int): Boolean = shape >= 0 && clausesOf[shape].any { clauses[it].same }

    /** The indices of the labels that "same" tests of the tasks of [shape] compare, in ascending order. */
    fun sameLabels(shape: Int): List<Int> {
        val labels = sortedSetOf<Int>()
        clausesOf[shape].forEach { clause ->
            clauses[clause].test.has {
                if (it is Expr.Same) labels += it.label
                false
            }
        }
        return labels.toList()
    }

    /** Whether a clause of the tasks of [shape] tests for running tasks of the same shape, so that its result can change once one runs. */
    fun dependsOnOwnShape(shape: Int): Boolean =
        shape >= 0 &&
            clausesOf[shape].any { clause ->
                clauses[clause].test.has { it is Expr.Runs && it.shapes[shape] }
            }

    companion object {
        /** The peer places of a task whose job has no other task with a place. */
        val NO_PEERS = emptyList<Int>()

        /** The table before any rules are applied. */
        val NONE = RuleTable(0, emptyList(), emptyList(), emptyList())
    }
}
