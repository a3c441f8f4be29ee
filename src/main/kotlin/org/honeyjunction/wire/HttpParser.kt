package org.honeyjunction.wire

import java.nio.ByteBuffer

/**
 * A received HTTP message.
 *
 * @property startLine the parts of the first line: method, target and version, or version, status and reason
 * @property headers values, keyed by header names in lower case
 */
class HttpMessage(val startLine: List<String>, val headers: Map<String, String>, val body: ByteArray) {
    /** Whether the sender closes the connection after this message. */
    val closesConnection: Boolean get() = headers["connection"].equals("close", ignoreCase = true)
}

/** Maximum sizes of a message, in bytes: [maxHeadBytes] for the first line and headers together, [maxBodyBytes] for the body. */
class HttpLimits(val maxHeadBytes: Int = 16 * 1024, val maxBodyBytes: Int = 64 * 1024)

/**
 * Incremental parser of the HTTP/1.1 messages of a connection, one after the other. Ambiguous framing and messages that exceed
 * [limits] are [Failed]; the parser does not recover from this state, and the connection has to be closed. A request with a body
 * needs a `Content-Length`; a response may be chunked, or end when the connection is closed.
 */
class HttpParser(private val kind: Kind, private val limits: HttpLimits) {
    /** Whether the parser reads requests or responses. */
    enum class Kind { REQUEST, RESPONSE }

    /** The result of feeding bytes to the parser. */
    sealed interface Outcome

    /** The message is incomplete and all bytes were consumed. */
    data object Incomplete : Outcome

    /** A [message] is complete; the bytes after it were left in the input. */
    class Complete(val message: HttpMessage) : Outcome

    /** The bytes are not a valid message; [status] is the HTTP status with which a server responds to it. */
    data class Failed(val status: Int, val reason: String) : Outcome

    private enum class State { HEAD, BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, UNTIL_CLOSE, FAILED }

    private var state = State.HEAD
    private val line = GrowableBuffer()
    private var body = GrowableBuffer()
    private var headBytes = 0
    private var startLine: List<String>? = null
    private val headers = LinkedHashMap<String, String>()

    /** Size of the body, in bytes, at the end of the part that is being read (the whole body or one chunk). */
    private var expectedBodyBytes = 0

    /** Whether a message has begun and is not complete. */
    val isMidMessage: Boolean get() = headBytes > 0

    /** Consumes [input] up to the end of the current message. */
    fun feed(input: ByteBuffer): Outcome {
        while (true) {
            val outcome =
                when (state) {
                    State.HEAD -> onLine(input, ::headLine)
                    State.BODY -> data(input) { finish() }
                    State.CHUNK_SIZE -> onLine(input, ::chunkSize)
                    State.CHUNK_DATA -> data(input) { next(State.CHUNK_END) }
                    State.CHUNK_END -> onLine(input) { if (it.isEmpty()) next(State.CHUNK_SIZE) else fail(400, "bad chunk") }
                    State.TRAILER -> onLine(input) { if (it.isEmpty()) finish() else null }
                    State.UNTIL_CLOSE -> untilClose(input)
                    State.FAILED -> Failed(400, "framing lost")
                }
            if (outcome != null) return outcome
        }
    }

    /** Called when the peer closed the connection: completes a message without a declared length, and fails any other one. */
    fun endOfStream(): Outcome = if (state == State.UNTIL_CLOSE) finish() else fail(400, "closed midway")

    private fun enter(next: State) {
        state = next
    }

    /** Enters [state], in which the remaining input is parsed; null, because there is no outcome yet. */
    private fun next(state: State): Outcome? {
        enter(state)
        return null
    }

    private fun fail(status: Int, reason: String): Outcome {
        enter(State.FAILED)
        return Failed(status, reason)
    }

    private inline fun onLine(input: ByteBuffer, use: (String) -> Outcome?): Outcome? {
        while (input.hasRemaining()) {
            val byte = input.get()
            headBytes++
            // Chunk size lines and trailers count towards the head, whose limit grows with the body that was read.
            if (headBytes > limits.maxHeadBytes + body.size) return fail(431, "head too long")
            if (byte == NEWLINE) return use(line.takeLine())
            line.add(byte)
        }
        return Incomplete
    }

    private fun headLine(text: String): Outcome? {
        val first = startLine
        return when {
            first == null -> firstLine(text)
            text.isEmpty() -> framing(first)
            else -> header(text)
        }
    }

    private fun firstLine(text: String): Outcome? {
        if (text.isEmpty()) {
            // Empty lines before the first line of a message are ignored.
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
        // Duplicate framing headers allow request smuggling: a proxy may use one value and this parser the other.
        if (name in UNIQUE_HEADERS && name in headers) return fail(400, "repeated $name")
        headers[name] = value
        return null
    }

    /** Called at the end of the headers: determines the framing of the body. */
    private fun framing(first: List<String>): Outcome? {
        val coding = headers["transfer-encoding"]
        val length = headers["content-length"]
        if (coding != null) {
            if (kind == Kind.REQUEST) return fail(if (length != null) 400 else 411, "a length is needed")
            return next(State.CHUNK_SIZE)
        }
        if (length == null) {
            val bodiless = kind == Kind.REQUEST || first[1] == "204" || first[1] == "304"
            return if (bodiless) finish() else next(State.UNTIL_CLOSE)
        }
        if (length.isEmpty() || length.length > MAX_LENGTH_DIGITS || !length.all { it in '0'..'9' }) return fail(400, "bad length")
        if (length.toLong() > limits.maxBodyBytes) return fail(413, "body too long")
        expectedBodyBytes = length.toInt()
        return next(State.BODY)
    }

    private fun chunkSize(text: String): Outcome? {
        val size = text.substringBefore(';').trim().toIntOrNull(16) ?: return fail(400, "bad chunk")
        if (size < 0 || size > limits.maxBodyBytes - body.size) return fail(413, "body too long")
        expectedBodyBytes = body.size + size
        return next(if (size == 0) State.TRAILER else State.CHUNK_DATA)
    }

    private inline fun data(input: ByteBuffer, whenComplete: () -> Outcome?): Outcome? {
        body.addAll(input, minOf(expectedBodyBytes - body.size, input.remaining()))
        return if (body.size == expectedBodyBytes) whenComplete() else Incomplete
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
        enter(State.HEAD)
        return Complete(message)
    }

    /** A growable byte buffer, which releases its memory after a large message. */
    private class GrowableBuffer {
        private var bytes = ByteArray(INITIAL_BYTES)
        var size = 0
            private set

        fun add(byte: Byte) {
            ensureCapacity(1)
            bytes[size++] = byte
        }

        fun addAll(input: ByteBuffer, count: Int) {
            ensureCapacity(count)
            input.get(bytes, size, count)
            size += count
        }

        private fun ensureCapacity(more: Int) {
            if (size + more > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + more))
        }

        /** Removes and returns the bytes. */
        fun take(): ByteArray =
            bytes.copyOf(size).also {
                size = 0
                if (bytes.size > MAX_REUSED_BYTES) bytes = ByteArray(INITIAL_BYTES)
            }

        /** Removes the bytes and returns them as a line of text, without a carriage return at the end. */
        fun takeLine(): String {
            val end = if (size > 0 && bytes[size - 1] == '\r'.code.toByte()) size - 1 else size
            return String(bytes, 0, end, Charsets.ISO_8859_1).also { size = 0 }
        }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val INITIAL_BYTES = 256

        /** A larger array is not reused for the next message. */
        const val MAX_REUSED_BYTES = 16 * 1024
        const val MAX_LENGTH_DIGITS = 12
        val UNIQUE_HEADERS = setOf("content-length", "transfer-encoding", "host")
    }
}
