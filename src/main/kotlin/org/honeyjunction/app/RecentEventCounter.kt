package org.honeyjunction.app

/** Counts events within a sliding window of [windowMs] milliseconds; the count is capped at [MAX_EVENTS]. */
class RecentEventCounter(private val windowMs: Long) {
    private val times = ArrayDeque<Long>()

    /** Records an event at [now], in monotonic milliseconds. */
    fun record(now: Long) {
        times.addLast(now)
        if (times.size > MAX_EVENTS) times.removeFirst()
    }

    /** The number of events within the window that ends at [now]. */
    fun count(now: Long): Int {
        while (times.isNotEmpty() && times.first() < now - windowMs) times.removeFirst()
        return times.size
    }

    private companion object {
        const val MAX_EVENTS = 1_000
    }
}
