package org.honeyjunction.core.control.writes

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class WriteRateAllocatorTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // case, writes queued at n1, n2 and the leader, writes per second that the leader requires; then the shares of n1, n2
        // and the leader, of 100 writes per second
        "no queued writes: the fixed shares,        0,  0,  0,  0,  15,   15,  65",
        "writes are queued at one follower only,    50, 0,  0,  0,  62,   3,   30",
        "as many writes are queued at the leader,   50, 0,  50, 0,  32.5, 3,   59.5",
        "writes are queued at the leader only,      0,  0,  40, 0,  3,    3,   89",
        "required writes precede queued ones,       50, 0,  0,  60, 32,   3,   60",
        "queued writes always keep a share,         50, 0,  0, 500, 17,   3,   75",
    )
    fun `shares follow the queued writes`(
        case: String,
        queuedAtN1: Int,
        queuedAtN2: Int,
        leaderQueued: Int,
        leaderRequired: Double,
        share1: Double,
        share2: Double,
        leaderShare: Double,
    ) {
        val allocator = WriteRateAllocator(100.0, 3)
        allocator.followerShare("n1", queuedAtN1, leaderQueued, leaderRequired, 0)
        val second = allocator.followerShare("n2", queuedAtN2, leaderQueued, leaderRequired, 100)
        val first = allocator.followerShare("n1", queuedAtN1, leaderQueued, leaderRequired, 200)
        val shares = listOf(first, second, allocator.leaderShare(leaderQueued, leaderRequired, 200))
        assertEquals(listOf(share1, share2, leaderShare), shares.map { Math.round(it * 10) / 10.0 }, case)
    }

    @Property(tries = 400, seed = "4")
    fun `the shares together never exceed the allowed rate, and every node has a share`(
        @ForAll @Size(min = 5, max = 5) drawn: List<Int>,
    ) {
        val queued = drawn.map { Math.floorMod(it, 500) }
        val leaderRequired = queued[4] / 10.0
        val allocator = WriteRateAllocator(30.0, 4)
        repeat(2) { for (n in 1..3) allocator.followerShare("n$n", queued[n], queued[0], leaderRequired, 10) }
        val followers = (1..3).map { allocator.followerShare("n$it", queued[it], queued[0], leaderRequired, 20) }
        val all = followers + allocator.leaderShare(queued[0], leaderRequired, 20)
        assertTrue(all.sum() <= 30.0 * 0.95 + 1e-9, "$all")
        assertTrue(all.all { it >= 30.0 * 0.03 - 1e-9 }, "$all")
    }

    @ParameterizedTest
    @CsvSource("2999,62", "3001,65")
    fun `a follower's queued writes reduce the leader's share only for as long as a granted share is valid`(now: Long, expected: Double) {
        val allocator = WriteRateAllocator(100.0, 3)
        allocator.followerShare("n1", 50, 0, 0.0, 0)
        assertEquals(if (expected == 65.0) 65.0 else 30.0, allocator.leaderShare(0, 0.0, now), 1e-9)
    }
}
