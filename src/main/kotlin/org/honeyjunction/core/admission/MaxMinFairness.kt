package org.honeyjunction.core.admission

/**
 * Weighted max-min fairness: no participant gets more than its demand, and no allocation can grow without shrinking another one that
 * is no larger in proportion to its weight. Computed in O(n log n) by progressive filling (Bertsekas and Gallager, Data Networks,
 * 6.5.2).
 */
object MaxMinFairness {
    /** Divides [total]; [demands] and [weights] must not be negative, and an entry of weight 0 gets nothing. */
    fun allocate(total: Double, demands: DoubleArray, weights: DoubleArray): DoubleArray {
        require(demands.size == weights.size) { "${demands.size} demands, ${weights.size} weights" }
        val allocations = DoubleArray(demands.size)
        var remaining = total.coerceAtLeast(0.0)
        var remainingWeight = weights.sum()
        // The smallest demand in proportion to its weight is satisfied first, and its unused share raises all other allocations.
        for (i in demands.indices.filter { weights[it] > 0 }.sortedBy { demands[it] / weights[it] }) {
            allocations[i] = minOf(demands[i], remaining * weights[i] / remainingWeight)
            remaining -= allocations[i]
            remainingWeight -= weights[i]
            if (remainingWeight <= 0) break
        }
        return allocations
    }
}
