package org.honeyjunction.wire

import java.nio.ByteBuffer

/**
 * A message as it was received.
 *
 * @property startLine the three parts of its first line: method, target and version, or version, status and reason
 * @property headers values by names in lower case
 */
class HttpMessage(val startLine: List<String>, val headers: Map<String, String>, val body: ByteArray) {
    /** Whether the sender closes the connection after this message. */
    val closesConnection: Boolean get() = headers["connection"].equals("close", ignoreCase = true)
}

/** Bounds of a message in bytes: [maxHeadBytes] for the first line and headers together, [maxBodyBytes] for the body. */
class HttpLimits(val maxHeadBytes: Int = 16 * 1024, val maxBodyBytes: Int = 64 * 1024)

/**
 * Incremental parser of one HTTP/1.1 message after the other on a connection. Framing that is ambiguous or exceeds [limits] is
 * [Failed], which the parser never recovers from: the connection has to be closed. Requests need a `Content-Length` for a body;
 * responses may be chunked, or end where the connection ends.
 */
class HttpParser(private val kind: Kind, private val limits: HttpLimits) {
    enum class Kind { REQUEST, RESPONSE }

    /** What became of the bytes so far. */
    sealed interface Outcome

    /** The message is incomplete and all bytes were consumed. */
    data object Incomplete : Outcome

    /** A message is complete; the bytes after it were left in the input. */
    class Complete(val message: HttpMessage) : Outcome

    /** The bytes are no valid message; [status] is the HTTP status to answer a request with. */
    data class Failed(val status: Int, val reason: String) : Outcome

    private enum class Stage { HEAD, BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, UNTIL_CLOSE, OVER }

    private var stage = Stage.HEAD
    private val line = Bytes()
    private var body = Bytes()
    private var headBytes = 0
    private var startLine: List<String>? = null
    private val headers = LinkedHashMap<String, String>()

    /** Size that the body will have when its present part is complete. */
    private var expected = 0

    /** Whether a message has begun and is not complete. */
    val isMidMessage: Boolean get() = headBytes > 0

    /** Consumes [input] up to the end of one message. */
    fun feed(input: ByteBuffer): Outcome {
        while (true) {
            val outcome =
                when (stage) {
                    Stage.HEAD -> onLine(input, ::head)
                    Stage.BODY -> data(input) { finish() }
                    Stage.CHUNK_SIZE -> onLine(input, ::chunkSize)
                    Stage.CHUNK_DATA -> data(input) { next(Stage.CHUNK_END) }
                    Stage.CHUNK_END -> onLine(input) { if (it.isEmpty()) next(Stage.CHUNK_SIZE) else fail(400, "bad chunk") }
                    Stage.TRAILER -> onLine(input) { if (it.isEmpty()) finish() else null }
                    Stage.UNTIL_CLOSE -> untilClose(input)
                    Stage.OVER -> Failed(400, "framing lost")
                }
            if (outcome != null) return outcome
        }
    }

    /** The peer closed the connection: this ends a message without a length, and cuts any other one short. */
    fun endOfStream(): Outcome = if (stage == Stage.UNTIL_CLOSE) finish() else fail(400, "closed midway")

    private fun enter(next: Stage) {
        stage = next
    }

    /** Enters [stage] with the bytes that are left; null, since there is no outcome yet. */
    private fun next(stage: Stage): Outcome? {
        enter(stage)
        return null
    }

    private fun fail(status: Int, reason: String): Outcome {
        enter(Stage.OVER)
        return Failed(status, reason)
    }

    private inline fun onLine(input: ByteBuffer, use: (String) -> Outcome?): Outcome? {
        while (input.hasRemaining()) {
            val byte = input.get()
            headBytes++
            // Lines between chunks count as head: the body read so far bounds them.
            if (headBytes > limits.maxHeadBytes + body.size) return fail(431, "head too long")
            if (byte == NEWLINE) return use(line.takeLine())
            line.add(byte)
        }
        return Incomplete
    }

    private fun head(text: String): Outcome? {
        val first = startLine
        return when {
            first == null -> firstLine(text)
            text.isEmpty() -> framing(first)
            else -> header(text)
        }
    }

    private fun firstLine(text: String): Outcome? {
        if (text.isEmpty()) {
            // Empty lines before a message are ignored.
            headBytes = 0
            return null
        }
        val parts = text.split(' ', limit = 3)
        val version = if (kind == Kind.REQUEST) parts.getOrNull(2) else parts.first()
        if (parts.size < 2 || version == null || !version.startsWith("HTTP/1.")) return fail(400, "bad first line")
        startLine = parts
        return null
    }

    private fun header(text: String): Outcome? {
        val colon = text.indexOf(':')
        if (colon <= 0 || text[0].isWhitespace() || text[colon - 1].isWhitespace()) return fail(400, "bad header")
        val name = text.substring(0, colon).lowercase()
        val value = text.substring(colon + 1).trim()
        // Two different framings of one message would let requests be smuggled past a proxy.
        if (name in UNIQUE_HEADERS && name in headers) return fail(400, "repeated $name")
        headers[name] = value
        return null
    }

    /** The head is complete: decides by its headers how long the body is. */
    private fun framing(first: List<String>): Outcome? {
        val coding = headers["transfer-encoding"]
        val length = headers["content-length"]
        if (coding != null) {
            if (kind == Kind.REQUEST) return fail(if (length != null) 400 else 411, "a length is needed")
            return next(Stage.CHUNK_SIZE)
        }
        if (length == null) {
            val bodiless = kind == Kind.REQUEST || first[1] == "204" || first[1] == "304"
            return if (bodiless) finish() else next(Stage.UNTIL_CLOSE)
        }
        if (length.isEmpty() || length.length > MAX_LENGTH_DIGITS || !length.all { it in '0'..'9' }) return fail(400, "bad length")
        if (length.toLong() > limits.maxBodyBytes) return fail(413, "body too long")
        expected = length.toInt()
        return next(Stage.BODY)
    }

    private fun chunkSize(text: String): Outcome? {
        val size = text.substringBefore(';').trim().toIntOrNull(16) ?: return fail(400, "bad chunk")
        if (size < 0 || size > limits.maxBodyBytes - body.size) return fail(413, "body too long")
        expected = body.size + size
        return next(if (size == 0) Stage.TRAILER else Stage.CHUNK_DATA)
    }

    private inline fun data(input: ByteBuffer, whenComplete: () -> Outcome?): Outcome? {
        body.addAll(input, minOf(expected - body.size, input.remaining()))
        return if (body.size == expected) whenComplete() else Incomplete
    }

    private fun untilClose(input: ByteBuffer): Outcome {
        if (input.remaining() > limits.maxBodyBytes - body.size) return fail(413, "body too long")
        body.addAll(input, input.remaining())
        return Incomplete
    }

    private fun finish(): Outcome {
        val message = HttpMessage(checkNotNull(startLine), HashMap(headers), body.take())
        startLine = null
        headers.clear()
        headBytes = 0
        enter(Stage.HEAD)
        return Complete(message)
    }

    /** A byte array that grows, and shrinks again after a large message. */
    private class Bytes {
        private var bytes = ByteArray(INITIAL_BYTES)
        var size = 0
            private set

        fun add(byte: Byte) {
            ensureRoom(1)
            bytes[size++] = byte
        }

        fun addAll(input: ByteBuffer, count: Int) {
            ensureRoom(count)
            input.get(bytes, size, count)
            size += count
        }

        private fun ensureRoom(more: Int) {
            if (size + more > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + more))
        }

        /** The bytes, which are removed. */
        fun take(): ByteArray =
            bytes.copyOf(size).also {
                size = 0
                if (bytes.size > MAX_KEPT_BYTES) bytes = ByteArray(INITIAL_BYTES)
            }

        /** The bytes as a line of text without its carriage return; they are removed. */
        fun takeLine(): String {
            val end = if (size > 0 && bytes[size - 1] == '\r'.code.toByte()) size - 1 else size
            return String(bytes, 0, end, Charsets.ISO_8859_1).also { size = 0 }
        }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val INITIAL_BYTES = 256

        /** A larger array is not kept for the next message. */
        const val MAX_KEPT_BYTES = 16 * 1024
        const val MAX_LENGTH_DIGITS = 12
        val UNIQUE_HEADERS = setOf("content-length", "transfer-encoding", "host")
    }
}
