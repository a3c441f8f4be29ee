package org.honeyjunction.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import java.nio.ByteBuffer

class HttpParserTest {
    private fun describe(outcome: HttpParser.Outcome) =
        when (outcome) {
            is HttpParser.Complete -> "${outcome.message.startLine.take(2).joinToString(" ")} ${String(outcome.message.body)}".trim()
            is HttpParser.Failed -> "failed ${outcome.status}"
            is HttpParser.Incomplete -> "incomplete"
        }

    @ParameterizedTest
    @MethodSource("requests")
    fun `a request has the same outcome when it is fed whole and byte by byte`(text: String, expected: String) {
        val whole = HttpParser(HttpParser.Kind.REQUEST, HttpLimits(maxHeadBytes = 200, maxBodyBytes = 20))
        assertEquals(expected, describe(whole.feed(ByteBuffer.wrap(text.toByteArray()))))
        val byteByByte = HttpParser(HttpParser.Kind.REQUEST, HttpLimits(maxHeadBytes = 200, maxBodyBytes = 20))
        val outcomes = text.toByteArray().asSequence().map { byteByByte.feed(ByteBuffer.wrap(byteArrayOf(it))) }
        assertEquals(expected, describe(outcomes.firstOrNull { it !is HttpParser.Incomplete } ?: HttpParser.Incomplete), "byte by byte")
    }

    @ParameterizedTest
    @MethodSource("responses")
    fun `a response is parsed, also if its body ends with the connection`(text: String, connectionEnds: Boolean, expected: String) {
        val parser = HttpParser(HttpParser.Kind.RESPONSE, HttpLimits(maxHeadBytes = 200, maxBodyBytes = 20))
        val fed = parser.feed(ByteBuffer.wrap(text.toByteArray()))
        assertEquals(expected, describe(if (connectionEnds && fed is HttpParser.Incomplete) parser.endOfStream() else fed))
    }

    @Test
    fun `messages on one connection are parsed one after the other`() {
        val parser = HttpParser(HttpParser.Kind.REQUEST, HttpLimits())
        val input = ByteBuffer.wrap("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n".toByteArray())
        assertEquals("POST /a hi", describe(parser.feed(input)))
        assertEquals("GET /b", describe(parser.feed(input)))
        assertEquals("incomplete", describe(parser.feed(input)))
        assertEquals(false, parser.isMidMessage)
    }

    companion object {
        @JvmStatic
        fun requests(): List<Arguments> =
            listOf(
                arguments("GET /up HTTP/1.1\r\nHost: a\r\n\r\n", "GET /up"),
                arguments("GET /up HTTP/1.1\nHost: a\n\n", "GET /up"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "POST /x abc"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", "incomplete"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 21\r\n\r\n", "failed 413"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "failed 400"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", "failed 400"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "failed 400"),
                arguments("POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "failed 400"),
                arguments("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "failed 411"),
                arguments("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", "failed 400"),
                arguments("nonsense\r\n\r\n", "failed 400"),
                arguments("GET /x SPDY/3\r\n\r\n", "failed 400"),
                arguments("GET /x HTTP/1.1\r\nno colon\r\n\r\n", "failed 400"),
                arguments("GET /x HTTP/1.1\r\nContent-Length : 1\r\n\r\n", "failed 400"),
                arguments("GET /x HTTP/1.1\r\nA: ${"x".repeat(300)}", "failed 431"),
            )

        @JvmStatic
        fun responses(): List<Arguments> =
            listOf(
                arguments("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, "HTTP/1.1 200 ok"),
                arguments(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                    false,
                    "HTTP/1.1 200 abcde",
                ),
                arguments("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, "failed 400"),
                arguments("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n", false, "failed 413"),
                arguments("HTTP/1.1 200 OK\r\n\r\nto the end", true, "HTTP/1.1 200 to the end"),
                arguments("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", true, "failed 400"),
                arguments("HTTP/1.1 204 No Content\r\n\r\n", false, "HTTP/1.1 204"),
            )
    }
}
