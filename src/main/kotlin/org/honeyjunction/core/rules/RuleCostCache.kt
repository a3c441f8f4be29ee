package org.honeyjunction.core.rules

/**
 * What a [RuleTable] says during one round, each thing worked out once: a fleet has many machines but few kinds of them,
 * with few sets of tasks on them, and the tasks of a job are alike.
 */
class RuleCostCache(val table: RuleTable) {
    private data class Seen(val place: Int, val running: List<Int>, val images: List<Int>)

    private data class Asked(val shape: Int, val scene: Int, val mates: List<Int>)

    private val scenes = HashMap<Seen, Int>()
    private val costs = HashMap<Asked, Double>()
    private val caching = table.clauses.any { c -> c.test.has { it is RuleTable.Expr.Caches } }
    val empty get() = table.empty

    /** The dense index of scenes in which the rules see the same; tasks of one shape count once, which is all that rules tell. */
    fun contextIndex(s: RuleTable.MachineContext): Int {
        // Two of a kind matter to one of them: it is beside the other.
        val running = s.running.filter { it >= 0 }.sorted().let { all -> all.filterIndexed { i, shape -> i < 2 || all[i - 2] != shape } }
        return scenes.getOrPut(Seen(s.place, running, if (caching) s.images.sorted() else emptyList())) { scenes.size }
    }

    /** As [RuleTable.cost]; [index] is what [scene] gave for [scene]. */
    fun cost(shape: Int, scene: RuleTable.MachineContext, index: Int, mates: List<Int>): Double {
        if (shape < 0) return 0.0
        val company = if (table.hasSameClause(shape)) mates else emptyList()
        return costs.getOrPut(Asked(shape, index, company)) { table.cost(shape, scene, company) }
    }

    fun forbids(shape: Int, scene: RuleTable.MachineContext, index: Int, mates: List<Int>): Boolean =
        cost(shape, scene, index, mates) == Double.POSITIVE_INFINITY
}
