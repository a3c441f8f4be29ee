package org.honeyjunction.core.results

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.util.BitSet

class TaskNumberSetTest {
    private fun setOfNumbers(vararg numbers: Int) = BitSet().apply { numbers.forEach(::set) }

    @ParameterizedTest(name = "<{0}>")
    @CsvSource("3, '3'", "0 1 2 3, '0-3'", "7 9 10 11 40, '7,9-11,40'", "1023 1024, '1023,1024'", "'', ''")
    fun `runs of numbers are encoded as ranges and decoded again`(numbers: String, text: String) {
        val set = setOfNumbers(*numbers.split(' ').filter { it.isNotEmpty() }.map { it.toInt() }.toIntArray())
        assertEquals(text, TaskNumberSet.text(set))
        assertEquals(set, TaskNumberSet.read(text))
    }

    @Property(tries = 300)
    fun `an encoded set is decoded unchanged, and no window is longer than its bound`(
        @ForAll @Size(max = 400) numbers: Set<Int>,
        @ForAll @IntRange(max = 3) every: Int,
    ) {
        val set = setOfNumbers(*numbers.map { Math.floorMod(it, 3_000) }.toIntArray())
        if (every > 0) (0 until 3_000 step every).forEach(set::set)
        val text = TaskNumberSet.text(set)
        assertEquals(set, TaskNumberSet.read(text))
        val windows = (0..3_000 step TaskNumberSet.WINDOW).filter { !set.get(it, it + TaskNumberSet.WINDOW).isEmpty }
        assertTrue(text.length <= windows.sumOf { TaskNumberSet.length(set, it) + 1 }, text)
        assertTrue(windows.all { TaskNumberSet.length(set, it) <= TaskNumberSet.MAX_WINDOW_LENGTH })
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["x", "3-", "-3", "9-3", "1,,2", "@1:AA", "@1024", "@1024:*", "@x:AA", "99999999", "5-2000000", "@2147482624:AA"],
    )
    fun `malformed text is not decoded`(text: String) = assertNull(TaskNumberSet.read(text))
}
