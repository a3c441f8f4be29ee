package org.honeyjunction.wire

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode
import java.io.IOException

/** A message that can't be decoded: a field is missing or out of range, or the bytes are not in the expected format. */
class MalformedException(message: String) : Exception(message)

/** Reads and writes JSON documents; input after the first value is malformed. */
object Json {
    private val mapper = ObjectMapper()
    private val reader = mapper.readerFor(JsonNode::class.java).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)

    /** An empty object. */
    fun newObject(): ObjectNode = JsonNodeFactory.instance.objectNode()

    /** An empty array. */
    fun newArray(): ArrayNode = JsonNodeFactory.instance.arrayNode()

    /** A string value. */
    fun text(text: String): JsonNode = JsonNodeFactory.instance.textNode(text)

    /** The body of an HTTP error response. */
    fun error(reason: String): ByteArray = write(newObject().put("error", reason))

    /** Encodes [node] as UTF-8 text. */
    fun write(node: JsonNode): ByteArray = mapper.writeValueAsBytes(node)

    /** A streaming parser, for callers that need only the beginning of a document. */
    fun parser(bytes: ByteArray): JsonParser = mapper.createParser(bytes)

    /**
     * Reads one value of any type.
     *
     * @throws MalformedException if [bytes] are not one JSON value
     */
    fun read(bytes: ByteArray): JsonNode =
        try {
            reader.readTree(bytes)
        } catch (e: JsonProcessingException) {
            // The message of the parser's exception is not passed on, because it names types of the parser.
            throw MalformedException("not JSON: line ${e.location?.lineNr ?: 1}, column ${e.location?.columnNr ?: 1}")
        } catch (e: IOException) {
            throw MalformedException("not JSON: not UTF-8 text")
        }

    /**
     * Reads one object.
     *
     * @throws MalformedException if [bytes] are not one JSON object
     */
    fun readObject(bytes: ByteArray): ObjectNode = read(bytes) as? ObjectNode ?: throw MalformedException("not an object")
}

private fun invalid(field: String): Nothing = throw MalformedException("$field is missing or invalid")

/** Default maximum length of a text field, in characters. */
private const val MAX_TEXT_LENGTH = 200

/** Exclusive upper bound of an [amount]. */
private const val AMOUNT_LIMIT = 1e12

/**
 * The field [name] of any type; null if it is absent or null. The functions below throw [MalformedException] for a field of another
 * type or out of range.
 */
fun JsonNode.fieldOrNull(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** A text of 1 to [maxLength] characters. */
fun JsonNode.text(name: String, maxLength: Int = MAX_TEXT_LENGTH): String =
    fieldOrNull(name)?.takeIf { it.isTextual && it.textValue().length in 1..maxLength }?.textValue() ?: invalid(name)

/** A [text]; null if the field is absent. */
fun JsonNode.textOrNull(name: String, maxLength: Int = MAX_TEXT_LENGTH): String? =
    if (fieldOrNull(name) == null) null else text(name, maxLength)

/** A finite number that is not negative. */
fun JsonNode.amount(name: String): Double =
    fieldOrNull(name)?.takeIf { it.isNumber }?.doubleValue()?.takeIf { it.isFinite() && it >= 0 && it < AMOUNT_LIMIT } ?: invalid(name)

/** An [amount]; null if the field is absent. */
fun JsonNode.amountOrNull(name: String): Double? = if (fieldOrNull(name) == null) null else amount(name)

/** An integer that is not negative. */
fun JsonNode.count(name: String): Long =
    fieldOrNull(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()?.takeIf { it >= 0 } ?: invalid(name)

/** A boolean. */
fun JsonNode.flag(name: String): Boolean = fieldOrNull(name)?.takeIf { it.isBoolean }?.booleanValue() ?: invalid(name)

/** A [flag]; [default] if the field is absent. */
fun JsonNode.flagOr(name: String, default: Boolean): Boolean = if (fieldOrNull(name) == null) default else flag(name)

/** The items of an array. */
fun JsonNode.list(name: String): List<JsonNode> = fieldOrNull(name)?.takeIf { it.isArray }?.toList() ?: invalid(name)

/** A [list]; empty if the field is absent. */
fun JsonNode.listOrEmpty(name: String): List<JsonNode> = if (fieldOrNull(name) == null) emptyList() else list(name)
