package org.honeyjunction.app

/** Counts the events of the last [windowMs] milliseconds, up to [MAX]. */
class RecentEventCounter(private val windowMs: Long) {
    private val times = ArrayDeque<Long>()

    /** Records an event at [now], in steady milliseconds. */
    fun record(now: Long) {
        times.addLast(now)
        if (times.size > MAX) times.removeFirst()
    }

    /** The number of events within the window that ends at [now]. */
    fun count(now: Long): Int {
        while (times.isNotEmpty() && times.first() < now - windowMs) times.removeFirst()
        return times.size
    }

    private companion object {
        const val MAX = 1_000
    }
}
