package org.honeyjunction.timeline

/**
 * An entry of a node's log: a line with the lines that continue it (a stack trace).
 *
 * @property file the name of the log file
 * @property lineNumber the number of the entry's first line in [file], from 1
 * @property timestamp the timestamp of the first line
 * @property text the first line without its timestamp
 * @property continuation the lines that follow the first one and have no level of their own, without their timestamps
 */
class LogEntry(val file: String, val lineNumber: Int, val timestamp: HybridTimestamp, val text: String, val continuation: List<String>) {
    /**
     * The name of the event, `leader-elected` in `INFO Election - leader-elected: term 3`; names of earlier versions are replaced by
     * the current ones. Null for an entry that is not an event.
     */
    val event: String? get() = EVENT.find(text)?.groupValues?.get(1)?.let(EventNames::current)

    private companion object {
        val EVENT = Regex("^[A-Z]+ [A-Za-z0-9.]+ - ([a-z]+(?:-[a-z]+)+):")
    }
}
