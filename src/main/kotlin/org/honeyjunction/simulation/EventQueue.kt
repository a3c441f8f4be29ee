package org.honeyjunction.simulation

import java.util.PriorityQueue

/**
 * Virtual time in fixed steps, for simulations of the core without coroutines ([VirtualTime] serves whole controllers).
 * Events that are due at the same moment run in the order in which they were scheduled, so that a run is repeatable.
 */
class EventQueue {
    private class Event(val at: Long, val order: Long, val run: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L

    /** Milliseconds since the simulation began. */
    var now = 0L
        private set

    /** Schedules [run] for [delayMs] from now; a negative delay runs it in the next step. */
    fun after(delayMs: Long, run: () -> Unit) {
        events.add(Event(now + delayMs, order++, run))
    }

    /** Moves the time on by [stepMs] and runs all that is due, including what these events schedule for the same moment. */
    fun advance(stepMs: Long) {
        now += stepMs
        while (events.isNotEmpty() && events.peek().at <= now) events.poll().run()
    }
}
