package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Effect

/**
 * Logs events that may be frequent. Of each event at most [MAX_LINES] lines are logged in [WINDOW_MS] milliseconds; the first line after
 * that tells how many were omitted.
 */
class EventLog(private val effects: MutableList<Effect>) {
    private class Window(var startedAt: Long) {
        var lines = 0
        var omitted = 0
    }

    private val windows = HashMap<String, Window>()

    /** Logs [message], which is only composed if the line is logged, as [event]; [now] is in monotonic milliseconds. */
    fun log(event: String, now: Long, message: () -> String) {
        val window = windows.getOrPut(event) { Window(now) }
        if (now - window.startedAt >= WINDOW_MS) {
            window.startedAt = now
            window.lines = 0
        }
        if (window.lines >= MAX_LINES) {
            window.omitted++
            return
        }
        window.lines++
        val omitted = if (window.omitted == 0) "" else " (${window.omitted} earlier lines omitted)"
        window.omitted = 0
        effects += Effect.LogEvent(event, message() + omitted)
    }

    private companion object {
        const val MAX_LINES = 10
        const val WINDOW_MS = 10_000L
    }
}

private const val MAX_NAMED = 5

/** The size of this collection and its first elements, as a line of the log names them. */
fun <T> Collection<T>.summarized(name: (T) -> String): String = "$size [${joinToString(limit = MAX_NAMED, transform = name)}]"
