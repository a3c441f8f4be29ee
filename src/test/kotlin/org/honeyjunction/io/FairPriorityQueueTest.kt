package org.honeyjunction.io

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class FairPriorityQueueTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "one lane is first in - first out,           a1 a2 a3,          a1 a2 a3",
        "lanes of different lengths take turns,      a1 a2 a3 a4 b1,    a1 b1 a2 a3 a4",
        "three lanes,                                a1 a2 b1 c1 c2,    a1 b1 c1 a2 c2",
        "a new lane waits for one item of each other,a1 a2 a3 - b1 b2,  a1 a2 b1 a3 b2",
    )
    fun `lanes take turns, first in first out within each`(case: String, added: String, taken: String) {
        val queue = FairPriorityQueue<String>()
        val out = ArrayList<String>()
        for (item in added.split(' ')) if (item == "-") out += queue.removeFirst() else queue.addLast(item.take(1), item)
        while (!queue.isEmpty()) {
            val first = queue.first()
            out += queue.removeFirst().also { assertEquals(first, it) }
        }
        assertEquals(taken, out.joinToString(" "), case)
        assertTrue(queue.size == 0)
    }
}
