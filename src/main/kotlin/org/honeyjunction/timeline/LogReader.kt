package org.honeyjunction.timeline

/**
 * The entries of one log file.
 *
 * @property strayLines the number of lines before the first timestamp; they are not part of [entries]
 */
class NodeLog(val entries: List<LogEntry>, val strayLines: Int)

/** Reads a controller's log and groups the lines of a stack trace with the log line that they belong to. */
object LogReader {
    private val LEVEL = Regex("^(ERROR|WARN|INFO|DEBUG|TRACE) ")

    /** Groups [lines] into entries; [file] only identifies the log in the result. */
    fun read(file: String, lines: Sequence<String>): NodeLog {
        val started = ArrayList<StartedEntry>()
        var strayLines = 0
        lines.forEachIndexed { index, line ->
            val parsed = HybridTimestamp.parse(line)
            val text = parsed?.second ?: line
            // Lines of a stack trace have timestamps too, so the level marks the first line of an entry.
            val startsEntry = parsed != null && (started.isEmpty() || LEVEL.containsMatchIn(text))
            when {
                startsEntry -> started += StartedEntry(index + 1, parsed!!.first, text)
                started.isEmpty() -> strayLines++
                else -> started.last().continuation += text
            }
        }
        return NodeLog(started.map { it.toEntry(file) }, strayLines)
    }

    /** An entry whose continuation lines are still being collected. */
    private class StartedEntry(val lineNumber: Int, val timestamp: HybridTimestamp, val text: String) {
        val continuation = ArrayList<String>()

        fun toEntry(file: String) = LogEntry(file, lineNumber, timestamp, text, continuation)
    }
}
