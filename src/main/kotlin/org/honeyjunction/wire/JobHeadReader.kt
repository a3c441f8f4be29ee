package org.honeyjunction.wire

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import org.honeyjunction.core.model.Priority
import java.io.IOException

/** The fields of a job on which admission control bases its decision. */
class JobHead(val id: String, val team: String, val jobClass: String, val priority: Priority)

/**
 * Reads the beginning of a submitted job token by token. Parsing the whole job costs several times as much, and an overloaded node
 * has to reject jobs cheaply.
 */
internal object JobHeadReader {
    private val HEAD_FIELDS = setOf(ProtocolNames.ID, ProtocolNames.TEAM, ProtocolNames.JOB_CLASS, ProtocolNames.PRIORITY)

    /** The job id in [body], even if the job is otherwise invalid; null if it has no valid id. */
    fun id(body: ByteArray): String? =
        parse(body) { parser ->
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                val name = parser.currentName()
                val isText = parser.nextToken() == JsonToken.VALUE_STRING
                if (isText && name == ProtocolNames.ID) return parser.text.takeIf(JobCodec::isId)
                parser.skipChildren()
            }
            null
        }

    /** The head of the job in [body]; null if a field is missing or invalid, or [body] is not a JSON object. */
    fun head(body: ByteArray): JobHead? {
        val fields = parse(body, ::headFields) ?: return null
        return JobHead(
            fields[ProtocolNames.ID]?.takeIf(JobCodec::isId) ?: return null,
            fields[ProtocolNames.TEAM] ?: return null,
            fields[ProtocolNames.JOB_CLASS] ?: return null,
            ProtocolNames.PRIORITIES[fields[ProtocolNames.PRIORITY]] ?: return null,
        )
    }

    private fun headFields(parser: JsonParser): Map<String, String> {
        val fields = HashMap<String, String>()
        while (fields.size < HEAD_FIELDS.size && parser.nextToken() == JsonToken.FIELD_NAME) {
            val name = parser.currentName()
            val isText = parser.nextToken() == JsonToken.VALUE_STRING
            if (isText && name in HEAD_FIELDS) fields[name] = parser.text else parser.skipChildren()
        }
        return fields
    }

    /** Calls [read] with a parser at the fields of the object in [body]; null if [body] is not a JSON object. */
    private inline fun <T> parse(body: ByteArray, read: (JsonParser) -> T?): T? =
        try {
            Json.parser(body).use { parser -> if (parser.nextToken() == JsonToken.START_OBJECT) read(parser) else null }
        } catch (_: IOException) {
            null
        }
}
