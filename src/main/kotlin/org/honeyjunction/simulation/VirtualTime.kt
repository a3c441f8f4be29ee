package org.honeyjunction.simulation

import java.util.PriorityQueue

/** Time that passes only from one thing that is due to the next; what is due at one moment comes in the order in which it was asked for. */
class VirtualTime {
    private class Event(val at: Long, val order: Long, var run: (() -> Unit)?)

    private val queue = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L

    /** Milliseconds. */
    var now = 0L
        private set

    /** How much was done so far. */
    var executedEvents = 0L
        private set

    /** Does [run] at a moment, unless what is returned is called before. */
    fun schedule(moment: Long, run: () -> Unit): () -> Unit {
        val event = Event(maxOf(moment, now), order++, run)
        queue += event
        return { event.run = null }
    }

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
