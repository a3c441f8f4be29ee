package org.honeyjunction.nomad

/** Durations as job files write them, like "1h30m" or "250ms"; nanoseconds in the JSON form. */
object Durations {
    private val unit = mapOf("ns" to 1.0, "us" to 1e3, "µs" to 1e3, "ms" to 1e6, "s" to 1e9, "m" to 60e9, "h" to 3600e9)
    private val part = Regex("([0-9]+(?:\\.[0-9]+)?)(ns|us|µs|ms|s|m|h)")

    /** Nanoseconds; null where [text] is no duration or one of more than a hundred years. */
    fun nanos(text: String): Long? {
        if (text == "0") return 0
        var at = 0
        var sum = 0.0
        while (at < text.length) {
            val m = part.matchAt(text, at) ?: return null
            sum += m.groupValues[1].toDouble() * unit.getValue(m.groupValues[2])
            at = m.range.last + 1
        }
        return sum.takeIf { text.isNotEmpty() && it <= MOST }?.toLong()
    }

    const val MOST = 3.15e18
}
