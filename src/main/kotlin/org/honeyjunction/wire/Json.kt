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

/** A message that can't be read: a field is missing or out of its range, or the bytes have another form than they should. */
class MalformedException(message: String) : Exception(message)

/** Reads and writes JSON; anything after the one value is malformed. */
object Json {
    private val mapper = ObjectMapper()
    private val reader = mapper.readerFor(JsonNode::class.java).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)

    fun newObject(): ObjectNode = JsonNodeFactory.instance.objectNode()

    fun newArray(): ArrayNode = JsonNodeFactory.instance.arrayNode()

    fun text(text: String): JsonNode = JsonNodeFactory.instance.textNode(text)

    /** The body of an HTTP error response. */
    fun error(why: String): ByteArray = write(newObject().put("error", why))

    fun write(node: JsonNode): ByteArray = mapper.writeValueAsBytes(node)

    /** A parser of single tokens, for callers that need only the beginning. */
    fun parser(bytes: ByteArray): JsonParser = mapper.createParser(bytes)

    /** @throws MalformedException when [bytes] are not one JSON value */
    fun read(bytes: ByteArray): JsonNode =
        try {
            reader.readTree(bytes)
        } catch (e: JsonProcessingException) {
            // The parser's own message names its internal types.
            throw MalformedException("not JSON: line ${e.location?.lineNr ?: 1}, column ${e.location?.columnNr ?: 1}")
        } catch (e: IOException) {
            throw MalformedException("not JSON: not UTF-8 text")
        }

    /** @throws MalformedException when [bytes] are not one JSON object */
    fun readObject(bytes: ByteArray): ObjectNode = read(bytes) as? ObjectNode ?: throw MalformedException("not an object")
}

private fun invalid(field: String): Nothing = throw MalformedException("$field is missing or invalid")

/** Characters of a text field at most, unless the caller allows more. */
private const val MAX_TEXT = 200

/** Numbers of a field are below this. */
private const val AMOUNT_BOUND = 1e12

/** The field [name], or null where it is absent or null. The readers below throw [MalformedException] for any other form. */
fun JsonNode.fieldOrNull(name: String): JsonNode? = get(name)?.takeUnless { it.isNull }

/** A text of 1 to [most] characters. */
fun JsonNode.text(name: String, most: Int = MAX_TEXT): String =
    fieldOrNull(name)?.takeIf { it.isTextual && it.textValue().length in 1..most }?.textValue() ?: invalid(name)

/** A [text], or null where the field is absent. */
fun JsonNode.textOrNull(name: String, most: Int = MAX_TEXT): String? = if (fieldOrNull(name) == null) null else text(name, most)

/** A finite number from 0 on. */
fun JsonNode.amount(name: String): Double =
    fieldOrNull(name)?.takeIf { it.isNumber }?.doubleValue()?.takeIf { it.isFinite() && it >= 0 && it < AMOUNT_BOUND } ?: invalid(name)

/** An [amount], or null where the field is absent. */
fun JsonNode.amountOrNull(name: String): Double? = if (fieldOrNull(name) == null) null else amount(name)

/** A whole number from 0 on. */
fun JsonNode.count(name: String): Long =
    fieldOrNull(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()?.takeIf { it >= 0 } ?: invalid(name)

/** A boolean. */
fun JsonNode.flag(name: String): Boolean = fieldOrNull(name)?.takeIf { it.isBoolean }?.booleanValue() ?: invalid(name)

/** A [flag], or [otherwise] where the field is absent. */
fun JsonNode.flagOr(name: String, otherwise: Boolean): Boolean = if (fieldOrNull(name) == null) otherwise else flag(name)

/** The items of an array. */
fun JsonNode.list(name: String): List<JsonNode> = fieldOrNull(name)?.takeIf { it.isArray }?.toList() ?: invalid(name)

/** A [list], empty where the field is absent. */
fun JsonNode.listOrEmpty(name: String): List<JsonNode> = if (fieldOrNull(name) == null) emptyList() else list(name)
