package org.honeyjunction.timeline

import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * The timestamp at the beginning of each line of a controller's log: `2026-12-01T23:07:03.251Z±250 hive-1 t3 ...`. It combines
 * physical time with a logical clock, the term.
 *
 * @property time the node's wall-clock time
 * @property errorBoundMs the clock's error bound in milliseconds (the setting `skew_ms`): the true time differs from [time] by at most
 *   this much
 * @property node the name of the node
 * @property term the latest term that the node knew
 */
data class HybridTimestamp(val time: Instant, val errorBoundMs: Long, val node: String, val term: Long) {
    /** The earliest possible true time, in milliseconds since the epoch. */
    val earliest get() = time.toEpochMilli() - errorBoundMs

    /** The latest possible true time, in milliseconds since the epoch. */
    val latest get() = time.toEpochMilli() + errorBoundMs

    override fun toString() = "$time$BOUND_SIGN$errorBoundMs $node $TERM_SIGN$term"

    companion object {
        private const val BOUND_SIGN = '±'
        private const val TERM_SIGN = "t"

        /** Number of parts of a line: time with error bound, node, term, and text. */
        private const val PART_COUNT = 4

        /** Splits a line into its timestamp and its text; null for a line without a timestamp. */
        fun parse(line: String): Pair<HybridTimestamp, String>? {
            val parts = line.split(' ', limit = PART_COUNT)
            if (parts.size < PART_COUNT - 1) return null
            val (clock, node, termPart) = parts
            if (BOUND_SIGN !in clock || !termPart.startsWith(TERM_SIGN)) return null
            val time = instantOrNull(clock.substringBefore(BOUND_SIGN)) ?: return null
            val errorBoundMs = nonNegativeOrNull(clock.substringAfter(BOUND_SIGN)) ?: return null
            val term = nonNegativeOrNull(termPart.substring(TERM_SIGN.length)) ?: return null
            return HybridTimestamp(time, errorBoundMs, node, term) to parts.getOrElse(PART_COUNT - 1) { "" }
        }

        private fun nonNegativeOrNull(text: String): Long? = text.toLongOrNull()?.takeIf { it >= 0 }

        private fun instantOrNull(text: String): Instant? =
            try {
                Instant.parse(text)
            } catch (_: DateTimeParseException) {
                null
            }
    }
}
