package org.honeyjunction.wire

/**
 * An HTTP response, sent or received.
 *
 * @property retryAfterS value of the `Retry-After` header, in seconds; null without the header
 * @property close whether the server closes the connection after the response; set only on responses to send
 * @property headers additional headers; set only on responses to send
 */
class Response(
    val status: Int,
    val body: ByteArray = NO_BODY,
    val retryAfterS: Int? = null,
    val close: Boolean = false,
    val headers: Map<String, String> = emptyMap(),
) {
    companion object {
        /** Body of a message without content. */
        val NO_BODY = ByteArray(0)
    }
}

/** An HTTP request, sent or received; [target] is the path with its query. */
class Request(val method: String, val target: String, val body: ByteArray) {
    /** [target] without its query. */
    val path: String get() = target.substringBefore('?')
}

/** Encodes HTTP/1.1 messages. The length of each body is in the `Content-Length` header; chunked encoding is never used. */
object HttpWriter {
    private val defaultHeaders = mapOf("Content-Type" to "application/json")
    private val reasons =
        mapOf(
            200 to "OK",
            201 to "Created",
            400 to "Bad Request",
            404 to "Not Found",
            405 to "Method Not Allowed",
            408 to "Request Timeout",
            409 to "Conflict",
            411 to "Length Required",
            413 to "Content Too Large",
            421 to "Misdirected Request",
            422 to "Unprocessable Content",
            429 to "Too Many Requests",
            431 to "Request Header Fields Too Large",
            500 to "Internal Server Error",
            503 to "Service Unavailable",
        )

    /** Encodes [response]; a status without a known reason phrase gets a generic one. */
    fun response(response: Response): ByteArray {
        val head = StringBuilder("HTTP/1.1 ").append(response.status).append(' ')
        head.append(reasons[response.status] ?: "Status").append(LINE_END)
        head.header("Content-Length", response.body.size.toString())
        response.retryAfterS?.let { head.header("Retry-After", it.toString()) }
        (defaultHeaders + response.headers).forEach { (name, value) -> head.header(name, value) }
        if (response.close) head.header("Connection", "close")
        return message(head, response.body)
    }

    /** Encodes [request]; [host] is the value of the `Host` header. */
    fun request(host: String, request: Request): ByteArray {
        val head = StringBuilder(request.method).append(' ').append(request.target).append(" HTTP/1.1").append(LINE_END)
        head.header("Host", host)
        if (request.body.isNotEmpty() || request.method == "POST") {
            head.header("Content-Type", "application/json")
            head.header("Content-Length", request.body.size.toString())
        }
        return message(head, request.body)
    }

    private fun StringBuilder.header(name: String, value: String) {
        append(name).append(": ").append(value).append(LINE_END)
    }

    private fun message(head: StringBuilder, body: ByteArray): ByteArray =
        head.append(LINE_END).toString().toByteArray(Charsets.ISO_8859_1) + body

    private const val LINE_END = "\r\n"
}
