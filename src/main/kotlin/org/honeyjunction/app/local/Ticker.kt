package org.honeyjunction.app.local

/** How things stand, again and again: on a terminal one line in place, elsewhere a line when something has changed. */
class Ticker(private val terminal: Boolean, private val line: (String) -> Unit, private val stamped: (String) -> String) {
    private var last = ""
    private var open = false

    fun show(status: String) {
        if (terminal) {
            print(CLEAR + stamped(status))
            System.out.flush()
            open = true
        } else if (status != last) {
            line(status)
        }
        last = status
    }

    /** A line of its own, above the one that is kept in place. */
    fun say(text: String) {
        if (open) print(CLEAR)
        open = false
        line(text)
        if (terminal) show(last)
    }

    /** Leaves the last line as it is. */
    fun end() {
        if (open) println()
        open = false
    }

    private companion object {
        const val CLEAR = "\r\u001b[2K"
    }
}
