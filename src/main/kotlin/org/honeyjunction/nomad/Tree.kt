package org.honeyjunction.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import org.honeyjunction.wire.Json

/** Where something stands in a file; lines and columns count from 1. */
data class Place(val line: Int, val column: Int) {
    fun at(file: String) = "$file:$line:$column"

    companion object {
        val START = Place(1, 1)
    }
}

/** What is wrong with a file, or worth a word. */
data class Finding(val severity: Severity, val place: Place, val message: String) {
    enum class Severity { ERROR, WARNING }

    fun at(file: String) = "${place.at(file)}: ${if (severity == Severity.WARNING) "warning: " else ""}$message"
}

/** A file can't be read any further. */
class FileFaultException(val finding: Finding) : Exception(finding.message) {
    constructor(place: Place, message: String) : this(Finding(Finding.Severity.ERROR, place, message))
}

/** A value of a job file with its place; what both forms, HCL and JSON, are read to. */
sealed interface Node {
    val place: Place

    /** Characters and parts, with all that is inside, however often the same is: what writing it out would take. */
    val size: Long get() = 1

    data class Text(val text: String, override val place: Place) : Node {
        override val size get() = 1L + text.length
    }

    data class Number(val number: Double, override val place: Place) : Node

    data class Flag(val on: Boolean, override val place: Place) : Node

    data class Null(override val place: Place) : Node

    data class Sequence(val items: List<Node>, override val place: Place) : Node {
        override val size = 1 + items.sumOf { it.size }
    }

    data class Mapping(val entries: List<Entry>, override val place: Place) : Node {
        override val size = 1 + entries.sumOf { it.key.length + it.value.size }

        operator fun get(key: String): Node? = entries.lastOrNull { it.key == key }?.value
    }

    data class Entry(val key: String, val place: Place, val value: Node)
}

/** The word for a kind of value in messages. */
val Node.kind: String
    get() =
        when (this) {
            is Node.Text -> "a text"
            is Node.Number -> "a number"
            is Node.Flag -> "true or false"
            is Node.Null -> "null"
            is Node.Sequence -> "a list"
            is Node.Mapping -> "a map"
        }

/** The number without a fraction that it does not have. */
fun Double.plain(): String = if (this % 1.0 == 0.0 && Math.abs(this) < 1e15) toLong().toString() else toString()

fun Node.json(): JsonNode =
    when (this) {
        is Node.Text -> Json.text(text)
        is Node.Number -> number(number)
        is Node.Flag -> JsonNodeFactory.instance.booleanNode(on)
        is Node.Null -> JsonNodeFactory.instance.nullNode()
        is Node.Sequence -> Json.newArray().also { list -> items.forEach { list.add(it.json()) } }
        is Node.Mapping -> Json.newObject().also { o -> entries.forEach { o.set<JsonNode>(it.key, it.value.json()) } }
    }

fun number(d: Double): JsonNode =
    if (d % 1.0 == 0.0 && Math.abs(d) < 1e18) JsonNodeFactory.instance.numberNode(d.toLong()) else JsonNodeFactory.instance.numberNode(d)

/** A block of a job file, or the whole file: attributes and blocks in their order. */
class Body(val attributes: List<Attribute>, val blocks: List<Block>, val place: Place)

/** An attribute `name = value` of a block. */
class Attribute(val name: String, val place: Place, val value: Node)

/** A block with its type and labels, such as `group "web" { ... }`. */
class Block(val type: String, val labels: List<Pair<String, Place>>, val body: Body, val place: Place)
