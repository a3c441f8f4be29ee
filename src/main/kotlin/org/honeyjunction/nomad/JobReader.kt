package org.honeyjunction.nomad

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonFactoryBuilder
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.nomad.hcl.Evaluator
import org.honeyjunction.nomad.hcl.Expr
import org.honeyjunction.nomad.hcl.HclReader
import org.honeyjunction.nomad.hcl.Item
import org.honeyjunction.wire.Json

/** Values for a file's variables: from files of them, then from the command line, the later over the earlier. */
class VariableValues(val files: List<Pair<String, String>> = emptyList(), val given: Map<String, String> = emptyMap())

/** Reads job files in both forms. What can't be read at all is a document of one error. */
object JobReader {
    private val factory: JsonFactory =
        JsonFactoryBuilder()
            .streamReadConstraints(
                StreamReadConstraints.builder().maxNestingDepth(HclReader.MAX_DEPTH * 2).maxStringLength(HclReader.MAX_CHARS).build(),
            ).build()

    /** The form is told by the first sign: a JSON job is an object. */
    fun read(text: String, values: VariableValues = VariableValues()): JobDocument =
        try {
            if (text.trimStart('\uFEFF', ' ', '\t', '\r', '\n').startsWith("{")) json(text) else hcl(text, values)
        } catch (e: FileFaultException) {
            JobDocument(Json.newObject(), emptyMap(), listOf(e.finding))
        }

    /** A job of the JSON form, without what it is wrapped in. */
    fun read(job: ObjectNode): JobDocument = read(String(Json.write(Json.newObject().set("Job", job))))

    private fun json(text: String): JobDocument {
        if (text.length >
            HclReader.MAX_CHARS
        ) {
            throw FileFaultException(Place.START, "the file has ${text.length} characters; at most ${HclReader.MAX_CHARS} are read")
        }
        val root =
            factory.createParser(text).use { p ->
                try {
                    p.nextToken()
                    value(p).also { if (p.nextToken() != null) throw FileFaultException(here(p), "more text after the end of the object") }
                } catch (e: JsonProcessingException) {
                    val at = Place(e.location?.lineNr?.coerceAtLeast(1) ?: 1, e.location?.columnNr?.coerceAtLeast(1) ?: 1)
                    throw FileFaultException(
                        at,
                        if ("nesting depth" in
                            e.message.orEmpty()
                        ) {
                            "nested more than ${HclReader.MAX_DEPTH * 2} deep"
                        } else {
                            "not JSON"
                        },
                    )
                }
            } as Node.Mapping
        val job =
            root.entries.firstOrNull { it.key == "Job" || it.key == "job" }?.value
                ?: root.takeIf { it["ID"] != null || it["TaskGroups"] != null }
                ?: throw FileFaultException(root.place, "no Job: the JSON form is { \"Job\": { ... } }")
        return Normalizer().json(job as? Node.Mapping ?: throw FileFaultException(job.place, "Job must be an object, not ${job.kind}"))
    }

    private fun here(p: JsonParser) = p.currentTokenLocation().let { Place(it.lineNr.coerceAtLeast(1), it.columnNr.coerceAtLeast(1)) }

    private fun value(p: JsonParser): Node {
        val at = here(p)
        return when (p.currentToken()) {
            JsonToken.START_OBJECT -> {
                val entries = ArrayList<Node.Entry>()
                while (p.nextToken() == JsonToken.FIELD_NAME) {
                    val name = p.currentName()
                    val place = here(p)
                    p.nextToken()
                    entries += Node.Entry(name, place, value(p))
                }
                Node.Mapping(entries, at)
            }
            JsonToken.START_ARRAY -> {
                val items = ArrayList<Node>()
                while (p.nextToken() != JsonToken.END_ARRAY) items += value(p)
                Node.Sequence(items, at)
            }
            JsonToken.VALUE_STRING -> Node.Text(p.text, at)
            JsonToken.VALUE_NUMBER_INT, JsonToken.VALUE_NUMBER_FLOAT ->
                Node.Number(
                    p.doubleValue.takeIf { it.isFinite() } ?: throw FileFaultException(at, "the number is too large"),
                    at,
                )
            JsonToken.VALUE_TRUE, JsonToken.VALUE_FALSE -> Node.Flag(p.booleanValue, at)
            else -> Node.Null(at)
        }
    }

    private fun hcl(text: String, values: VariableValues): JobDocument {
        val items = HclReader().read(text)
        items.firstOrNull { it !is Item.Block || it.name !in setOf("job", "variable", "locals") }?.let {
            throw FileFaultException(
                it.place,
                "a job file has the blocks job, variable and locals; \"${it.name.take(40)}\" is none of them",
            )
        }
        val blocks = items.map { it as Item.Block }
        val jobs = blocks.filter { it.name == "job" }
        if (jobs.isEmpty()) throw FileFaultException(Place.START, "there is no job block")
        if (jobs.size > 1) throw FileFaultException(jobs[1].place, "a second job block; a file has one")
        val evaluator = Evaluator(variables(blocks.filter { it.name == "variable" }, values), locals(blocks.filter { it.name == "locals" }))
        return Normalizer().hcl(block(jobs[0], evaluator))
    }

    private fun block(b: Item.Block, e: Evaluator): Block = Block(b.name, b.labels, body(b.items, b.place, e), b.place)

    private fun body(items: List<Item>, place: Place, e: Evaluator) =
        Body(
            items.filterIsInstance<Item.Attribute>().map { Attribute(it.name, it.place, e.value(it.value)) },
            items.filterIsInstance<Item.Block>().map { block(it, e) },
            place,
        )

    private fun locals(blocks: List<Item.Block>): Map<String, Expr> {
        val all = LinkedHashMap<String, Expr>()
        for (item in blocks.flatMap { it.items }) {
            if (item !is Item.Attribute) throw FileFaultException(item.place, "locals has attributes only")
            if (all.put(item.name, item.value) != null) throw FileFaultException(item.place, "the local \"${item.name}\" is there twice")
        }
        return all
    }

    private fun variables(blocks: List<Item.Block>, values: VariableValues): Map<String, Node> {
        val constants = Evaluator(emptyMap(), emptyMap())
        val given = LinkedHashMap<String, Node>()
        for ((file, text) in values.files) {
            HclReader().read(text).forEach { item ->
                if (item !is Item.Attribute) throw FileFaultException(item.place, "$file: a file of variables has attributes only")
                given[item.name] = constants.value(item.value)
            }
        }
        val declared = LinkedHashMap<String, Node>()
        for (b in blocks) {
            val name = b.labels.singleOrNull()?.first ?: throw FileFaultException(b.place, "variable must have one name")
            if (name in declared) throw FileFaultException(b.place, "the variable \"$name\" is there twice")
            b.items
                .firstOrNull {
                    it.name !in setOf("type", "default", "description", "sensitive")
                }?.let { throw FileFaultException(it.place, "variable: ${it.name} is not supported") }
            val type = b.items.firstOrNull { it.name == "type" } as? Item.Attribute
            val default = (b.items.firstOrNull { it.name == "default" } as? Item.Attribute)?.let { constants.value(it.value) }
            val typeName = type?.let { typeOf(it.value) }
            val value =
                values.given[name]?.let { fromCommandLine(it, typeName, b.place, constants) } ?: given[name] ?: default
                    ?: throw FileFaultException(b.place, "the variable \"$name\" has no value: give it with -var '$name=...'")
            declared[name] = typed(value, typeName, name)
        }
        (values.given.keys + given.keys)
            .firstOrNull {
                it !in declared
            }?.let { throw FileFaultException(Place.START, "the file has no variable \"$it\"") }
        return declared
    }

    /** string, number, bool, list(...), map(...) and so on: only the outer word counts. */
    private fun typeOf(e: Expr): String =
        when (e) {
            is Expr.Root -> e.name
            is Expr.Call -> e.function
            is Expr.Literal -> e.value.toString()
            else -> throw FileFaultException(e.place, "a type is a word like string or list(string)")
        }

    private fun fromCommandLine(text: String, type: String?, place: Place, constants: Evaluator): Node =
        if (type == null ||
            type == "string" ||
            type == "any"
        ) {
            Node.Text(text, place)
        } else {
            constants.value(HclReader().expression(text, place))
        }

    private fun typed(value: Node, type: String?, name: String): Node {
        val right =
            when (type) {
                "string" -> return Node.Text(Evaluator.text(value, "the variable \"$name\""), value.place)
                "number" -> return Node.Number(Evaluator.number(value, "the variable \"$name\""), value.place)
                "bool" -> return Node.Flag(Evaluator.flag(value, "the variable \"$name\""), value.place)
                "list", "set", "tuple" -> value is Node.Sequence
                "map", "object" -> value is Node.Mapping
                null, "any" -> true
                else -> throw FileFaultException(value.place, "the variable \"$name\" has the type $type, which is not known")
            }
        if (!right) throw FileFaultException(value.place, "the variable \"$name\" must be a $type, not ${value.kind}")
        return value
    }
}
