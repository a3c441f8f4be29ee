package org.honeyjunction.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.Random

class HungarianTest {
    @ParameterizedTest(name = "{0} rows, {1} columns, {2} barred in 10, {3} distinct costs")
    @CsvSource("1,1,0,9", "4,4,0,1000", "6,6,0,2", "3,7,0,20", "7,3,0,20", "5,5,3,20", "2,7,6,9", "7,4,5,3", "5,6,10,9", "1,6,2,1")
    fun `the assignment has the minimum cost found by exhaustive search`(rows: Int, columns: Int, barred: Int, costs: Int) {
        val random = Random(rows * 31L + columns * 7 + barred)
        repeat(60) {
            val cost =
                Array(rows) {
                    DoubleArray(columns) { if (random.nextInt(10) < barred) CostMatrix.FORBIDDEN else random.nextInt(costs).toDouble() }
                }
            val assigned = Hungarian.solve(cost)
            val used = assigned.filter { it >= 0 }
            assertEquals(minOf(rows, columns), used.size, "every entry of the shorter side is assigned")
            assertEquals(used.size, used.toSet().size, "no column is assigned twice")
            val total = assigned.withIndex().filter { it.value >= 0 }.sumOf { cost[it.index][it.value] }
            assertEquals(minimumCost(cost), total, 1e-6)
        }
    }

    /** The minimum cost over all assignments of the zero-padded square matrix, as the paper states the problem. */
    private fun minimumCost(cost: Array<DoubleArray>): Double {
        val size = maxOf(cost.size, cost[0].size)

        fun padded(row: Int, column: Int) = cost.getOrNull(row)?.getOrNull(column) ?: 0.0

        fun search(row: Int, used: Int): Double =
            if (row == size) {
                0.0
            } else {
                (0 until size).filter { used shr it and 1 == 0 }.minOf { padded(row, it) + search(row + 1, used or (1 shl it)) }
            }
        return search(0, 0)
    }
}
