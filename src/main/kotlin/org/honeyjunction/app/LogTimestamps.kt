package org.honeyjunction.app

import org.honeyjunction.io.Clock
import org.honeyjunction.timeline.HybridTimestamp
import java.io.OutputStream
import java.io.PrintStream
import java.time.Instant
import kotlin.math.abs

/**
 * Prefixes each line that this process writes to standard error, log lines and stack traces alike, with a [HybridTimestamp]: the
 * wall-clock time with its error bound, the node and the term. A jump of the wall clock relative to the monotonic clock is logged
 * once, as a line of its own (event `clock-jump`).
 *
 * @param errorBoundMs the error bound of the wall clock in milliseconds (the platform's `skew_ms`)
 */
class LogTimestamps(private val node: String, private val errorBoundMs: Long, private val clock: Clock, private val out: OutputStream) :
    OutputStream() {
    /** Returns the latest term that the node knows; 0 until the node sets this function. */
    var term: () -> Long = { 0 }
    private var atLineStart = true

    /** Wall-clock time minus monotonic time when the class was created or after the latest jump, and the monotonic time of that. */
    private var wallOffset = clock.wall() - clock.steady()
    private var offsetSince = clock.steady()

    @Synchronized
    override fun write(b: Int) {
        if (atLineStart) beginLine()
        out.write(b)
        atLineStart = b == NEWLINE
    }

    @Synchronized
    override fun write(bytes: ByteArray, offset: Int, length: Int) {
        var position = offset
        while (position < offset + length) {
            if (atLineStart) beginLine()
            val end = (position until offset + length).firstOrNull { bytes[it].toInt() == NEWLINE }?.plus(1) ?: (offset + length)
            out.write(bytes, position, end - position)
            atLineStart = bytes[end - 1].toInt() == NEWLINE
            position = end
        }
    }

    override fun flush() = out.flush()

    private fun beginLine() {
        val jumpMs = clock.wall() - clock.steady() - wallOffset
        if (abs(jumpMs) > toleranceMs()) {
            wallOffset += jumpMs
            offsetSince = clock.steady()
            val jump = "${timestamp()} WARN clock - clock-jump: the wall clock moved by $jumpMs ms relative to the monotonic clock\n"
            out.write(jump.toByteArray())
        }
        out.write("${timestamp()} ".toByteArray())
    }

    /** The difference that the wall clock's error bound and the monotonic clock's drift can explain; a larger one means a clock was set. */
    private fun toleranceMs() = maxOf(2 * errorBoundMs, MIN_JUMP_MS) + (clock.steady() - offsetSince) / MS_PER_MS_OF_DRIFT

    private fun timestamp() = HybridTimestamp(Instant.ofEpochMilli(clock.wall()), errorBoundMs, node, term())

    companion object {
        private const val NEWLINE = '\n'.code
        private const val MIN_JUMP_MS = 50L

        /** The monotonic clock may drift by 1 ms in this many milliseconds. */
        private const val MS_PER_MS_OF_DRIFT = 1_000

        /** Replaces standard error by a stream that prefixes each line with a timestamp. */
        fun install(node: String, errorBoundMs: Long, clock: Clock = Clock): LogTimestamps =
            LogTimestamps(node, errorBoundMs, clock, System.err).also { System.setErr(PrintStream(it, true)) }
    }
}
