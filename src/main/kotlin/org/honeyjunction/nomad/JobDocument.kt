package org.honeyjunction.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import okio.ByteString
import okio.ByteString.Companion.encodeUtf8
import org.honeyjunction.wire.Json

/**
 * A job in the JSON form with nothing in it that says nothing: what both readers come to, what is kept, and what decides
 * whether two files ask for the same. [places] tells where a part stood in its file, by its path like TaskGroups[0].Count.
 */
class JobDocument(val json: ObjectNode, private val places: Map<String, Place>, val findings: List<Finding>) {
    val errors: List<Finding> get() = findings.filter { it.severity == Finding.Severity.ERROR }
    val warnings: List<Finding> get() = findings.filter { it.severity == Finding.Severity.WARNING }

    /** The place of [path], or of the nearest part round it that has one. */
    fun place(path: String): Place {
        var at = path
        while (at.isNotEmpty()) {
            places[at]?.let { return it }
            at = at.substringBeforeLast(if (at.endsWith("]")) '[' else '.', "")
        }
        return places[""] ?: Place.START
    }

    val digest: String get() = digest(json)

    companion object {
        /** The same for whatever order fields were written in. */
        fun digest(json: JsonNode): String = StringBuilder().also { canonical(json, it) }.toString().encodeUtf8().sha256().hex()

        private fun canonical(n: JsonNode, to: StringBuilder) {
            when {
                n.isObject -> {
                    to.append('{')
                    n.properties().sortedBy { it.key }.forEach { (k, v) ->
                        to.append(String(Json.write(Json.text(k)))).append(':')
                        canonical(v, to)
                        to.append(',')
                    }
                    to.append('}')
                }
                n.isArray -> {
                    to.append('[')
                    n.forEach {
                        canonical(it, to)
                        to.append(',')
                    }
                    to.append(']')
                }
                else -> to.append(String(Json.write(n)))
            }
        }

        fun hash(text: String): ByteString = text.encodeUtf8().sha256()
    }
}
