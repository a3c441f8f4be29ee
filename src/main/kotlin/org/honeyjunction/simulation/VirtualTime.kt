package org.honeyjunction.simulation

import java.util.PriorityQueue

/**
 * Virtual time, which advances from one scheduled event to the next. Events that are due at the same moment run in the order in
 * which they were scheduled.
 */
class VirtualTime {
    private class Event(val at: Long, val order: Long, var run: (() -> Unit)?)

    private val queue = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L

    /** Milliseconds. */
    var now = 0L
        private set

    /** Number of events that have run so far. */
    var executedEvents = 0L
        private set

    /** Schedules [run] for [moment] (now if that is past). Returns a function that cancels the event. */
    fun schedule(moment: Long, run: () -> Unit): () -> Unit {
        val event = Event(maxOf(moment, now), order++, run)
        queue += event
        return { event.run = null }
    }

    /** Runs all events that are due by [end], and advances the time to [end]. */
    fun runUntil(end: Long) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val event = queue.poll()
            val run = event.run ?: continue
            now = event.at
            executedEvents++
            run()
        }
        now = maxOf(now, end)
    }
}
