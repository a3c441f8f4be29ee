package org.honeyjunction.core.rules

/**
 * Caches the costs of a [RuleTable] during one placement round. The cache stays small because a fleet has many machines but few
 * kinds of machines, with few combinations of running tasks, and because the tasks of a job are alike.
 */
class RuleCostCache(val table: RuleTable) {
    private data class ContextKey(val place: Int, val running: List<Int>, val images: List<Int>)

    private data class CostKey(val shape: Int, val contextIndex: Int, val peerPlaces: List<Int>)

    private val contextIndices = HashMap<ContextKey, Int>()
    private val costs = HashMap<CostKey, Double>()
    private val testsCaches = table.clauses.any { clause -> clause.test.has { it is RuleTable.Expr.Caches } }

    /** Whether there are no rules. */
    val empty get() = table.empty

    /** The dense index of the contexts that the rules treat like [context]. The order of the tasks does not matter. */
    fun contextIndex(context: RuleTable.MachineContext): Int {
        // At most two tasks of each shape are kept. Rules test only whether a task of a shape runs beside another task. With two tasks of
        // one shape, each runs beside one of its own shape, so a third changes no result.
        val running =
            context.running
                .filter { it >= 0 }
                .sorted()
                .let { all -> all.filterIndexed { i, shape -> i < 2 || all[i - 2] != shape } }
        return contextIndices.getOrPut(
            ContextKey(context.place, running, if (testsCaches) context.images.sorted() else emptyList()),
        ) { contextIndices.size }
    }

    /** The result of [RuleTable.cost]; [index] must be the [contextIndex] of [context]. */
    fun cost(shape: Int, context: RuleTable.MachineContext, index: Int, peerPlaces: List<Int>): Double {
        if (shape < 0) return 0.0
        val relevantPeers = if (table.hasSameClause(shape)) peerPlaces else emptyList()
        return costs.getOrPut(CostKey(shape, index, relevantPeers)) { table.cost(shape, context, relevantPeers) }
    }

    /** Whether a requirement forbids a task of [shape] to start; the parameters are those of [cost]. */
    fun forbids(shape: Int, context: RuleTable.MachineContext, index: Int, peerPlaces: List<Int>): Boolean =
        cost(shape, context, index, peerPlaces) == Double.POSITIVE_INFINITY
}
