package org.honeyjunction.core.results

import java.util.Base64
import java.util.BitSet

/**
 * Encodes sets of task numbers as short text. Each window of [WINDOW] numbers is encoded as runs such as `3,17-90`, or as a
 * bitmap such as `@2048:w4A…` (the first number, then the bits in base64), whichever is shorter. A job of 20,000 tasks takes
 * about ten bytes per window while its tasks end in order, and at most [MAX_WINDOW_LENGTH] in any order.
 */
object TaskNumberSet {
    /** Numbers that are encoded together. */
    const val WINDOW = 1024

    /** Longest text of one window, in characters: its bitmap and its first number. */
    const val MAX_WINDOW_LENGTH = (WINDOW / 8 + 2) / 3 * 4 + 10

    /** More than any job has tasks. */
    private const val MAX_NUMBERS = 1 shl 20

    /** Encodes [set]; [read] decodes the text. */
    fun text(set: BitSet): String {
        val text = StringBuilder()
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val windowStart = from / WINDOW * WINDOW
            if (text.isNotEmpty()) text.append(',')
            text.append(windowText(set, windowStart))
            from = set.nextSetBit(windowStart + WINDOW)
        }
        return text.toString()
    }

    /** An upper bound of the length of [text] for the window of [set] that begins at [first]; does not build the text. */
    fun length(set: BitSet, first: Int): Int = minOf(appendRuns(set, first, null), MAX_WINDOW_LENGTH)

    private fun windowText(set: BitSet, first: Int): String {
        val runs = StringBuilder()
        val length = appendRuns(set, first, runs)
        val bytes = set.get(first, first + WINDOW).toByteArray()
        val bitmap = "@$first:" + Base64.getEncoder().withoutPadding().encodeToString(bytes)
        return if (length <= bitmap.length) runs.toString() else bitmap
    }

    /** Appends the runs of the window that begins at [first] to [out], unless it is null, and returns their length. */
    private fun appendRuns(set: BitSet, first: Int, out: StringBuilder?): Int {
        var length = 0
        var from = set.nextSetBit(first)
        while (from in first until first + WINDOW) {
            val end = minOf(set.nextClearBit(from), first + WINDOW)
            if (length > 0) {
                length++
                out?.append(',')
            }
            out?.append(from)
            length += digits(from)
            if (end - from > 1) {
                out?.append('-')?.append(end - 1)
                length += 1 + digits(end - 1)
            }
            from = set.nextSetBit(end)
        }
        return length
    }

    private fun digits(number: Int): Int = if (number < 10) 1 else 1 + digits(number / 10)

    /** Decodes [text]; null if it is malformed or has a number that is not below [limit]. */
    fun read(text: String, limit: Int = MAX_NUMBERS): BitSet? {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (part in text.split(',')) {
            val valid = if (part.startsWith('@')) readBitmap(part, set) else readRun(part, set, limit)
            if (!valid || set.length() > limit) return null
        }
        return set
    }

    /** Adds a run such as `17-90`, or a single number, to [into]; false if it is malformed. */
    private fun readRun(part: String, into: BitSet, limit: Int): Boolean {
        val from = part.substringBefore('-').toIntOrNull() ?: return false
        val to = if ('-' in part) part.substringAfter('-').toIntOrNull() ?: return false else from
        if (from < 0 || to < from || to >= limit) return false
        into.set(from, to + 1)
        return true
    }

    /** Adds a bitmap such as `@2048:w4A` to [into]; false if it is malformed. */
    private fun readBitmap(part: String, into: BitSet): Boolean {
        val first = part.substring(1).substringBefore(':', "").toIntOrNull() ?: return false
        if (first < 0 || first % WINDOW != 0 || first > MAX_NUMBERS) return false
        val bits =
            try {
                BitSet.valueOf(Base64.getDecoder().decode(part.substringAfter(':')))
            } catch (_: IllegalArgumentException) {
                return false
            }
        if (bits.length() > WINDOW) return false
        bits.stream().forEach { into.set(first + it) }
        return true
    }
}
