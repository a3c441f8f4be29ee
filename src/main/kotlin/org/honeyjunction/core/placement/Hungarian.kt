package org.honeyjunction.core.placement

/**
 * The Hungarian method (shortest augmenting paths with potentials) for a rectangular cost matrix.
 *
 * A rectangular problem has the same solution as the matrix padded to a square with zeros, since padding adds the same
 * constant to every assignment. Solving for the shorter side saves the time spent on the padding.
 */
object Hungarian {
    /** Returns the assigned column of each row, or -1 for a row without a column if there are more rows than columns. */
    fun solve(cost: Array<DoubleArray>): IntArray {
        val rows = cost.size
        if (rows == 0) return IntArray(0)
        val columns = cost[0].size
        if (columns == 0) return IntArray(rows) { -1 }
        if (rows <= columns) return assign(rows, columns) { row, column -> cost[row][column] }
        val rowOfColumn = assign(columns, rows) { column, row -> cost[row][column] }
        val result = IntArray(rows) { -1 }
        rowOfColumn.forEachIndexed { column, row -> result[row] = column }
        return result
    }

    /** Solves the assignment for [rows] <= [columns]. Inside, rows and columns are numbered from 1, and 0 means none. */
    private inline fun assign(rows: Int, columns: Int, cost: (Int, Int) -> Double): IntArray {
        val rowPotential = DoubleArray(rows + 1)
        val columnPotential = DoubleArray(columns + 1)
        val assignedRow = IntArray(columns + 1)
        val previousColumn = IntArray(columns + 1)
        for (row in 1..rows) {
            assignedRow[0] = row
            var column = 0
            val distance = DoubleArray(columns + 1) { Double.POSITIVE_INFINITY }
            val visited = BooleanArray(columns + 1)
            do {
                visited[column] = true
                val currentRow = assignedRow[column]
                var delta = Double.POSITIVE_INFINITY
                var nextColumn = 0
                for (c in 1..columns) {
                    if (visited[c]) continue
                    val reduced = cost(currentRow - 1, c - 1) - rowPotential[currentRow] - columnPotential[c]
                    if (reduced < distance[c]) {
                        distance[c] = reduced
                        previousColumn[c] = column
                    }
                    if (distance[c] < delta) {
                        delta = distance[c]
                        nextColumn = c
                    }
                }
                for (c in 0..columns) {
                    if (visited[c]) rowPotential[assignedRow[c]] += delta
                    if (visited[c]) columnPotential[c] -= delta else distance[c] -= delta
                }
                column = nextColumn
            } while (assignedRow[column] != 0)
            augment(assignedRow, previousColumn, column)
        }
        return columnOfRow(assignedRow, rows)
    }

    /** Moves each row on the shortest augmenting path, which ends at [freeColumn], to the next column of the path. */
    private fun augment(assignedRow: IntArray, previousColumn: IntArray, freeColumn: Int) {
        var column = freeColumn
        while (column != 0) {
            val previous = previousColumn[column]
            assignedRow[column] = assignedRow[previous]
            column = previous
        }
    }

    private fun columnOfRow(assignedRow: IntArray, rows: Int): IntArray {
        val result = IntArray(rows)
        for (column in 1 until assignedRow.size) if (assignedRow[column] != 0) result[assignedRow[column] - 1] = column - 1
        return result
    }
}
