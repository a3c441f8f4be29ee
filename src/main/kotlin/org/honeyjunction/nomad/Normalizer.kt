package org.honeyjunction.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.wire.Json

/** Brings what was read, in either form, to the one JSON form, and says of each field what becomes of it. */
class Normalizer {
    private val places = HashMap<String, Place>()
    private val findings = ArrayList<Finding>()

    fun hcl(job: Block): JobDocument {
        if (job.labels.size != 1) error(job.place, "job must have one name: job \"NAME\" { }")
        val o = body(job.body, Fields.job, "")
        job.labels.firstOrNull()?.let { (name, place) ->
            o.put("ID", name)
            places["ID"] = place
            if (!o.has("Name")) o.put("Name", name)
        }
        places[""] = job.place
        return document(o)
    }

    fun json(job: Node.Mapping): JobDocument {
        places[""] = job.place
        val o = mapping(job, Fields.job, "")
        if (!o.has("Name") && o.has("ID")) o.set<JsonNode>("Name", o.get("ID"))
        return document(o)
    }

    private fun document(o: ObjectNode) = JobDocument(o, places, findings.sortedWith(compareBy({ it.place.line }, { it.place.column })))

    private fun error(place: Place, message: String) {
        if (findings.size < MAX_FINDINGS) findings += Finding(Finding.Severity.ERROR, place, message)
    }

    private fun warn(place: Place, message: String) {
        if (findings.size < MAX_FINDINGS) findings += Finding(Finding.Severity.WARNING, place, message)
    }

    /** What becomes of a field that says something. */
    private fun judge(f: Field, schema: Schema, place: Place) {
        val what = "${schema.title}: ${f.name.trim('(', ')')}"
        when (f.fate) {
            Fate.REPORTED -> warn(place, "$what is not supported: ${f.note}")
            Fate.REFUSED -> error(place, "$what is refused: ${f.note}")
            Fate.MAPPED, Fate.DIFFERS, Fate.CARRIED, Fate.SERVERS -> Unit
        }
    }

    private fun inside(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"

    // HCL

    private fun body(body: Body, schema: Schema, path: String): ObjectNode {
        val o = Json.newObject()
        val seen = HashSet<String>()
        for (a in body.attributes) {
            val sugar = if (schema === Fields.constraint || schema === Fields.affinity) shorthand(a) else null
            if (sugar != null) {
                sugar.forEach { (k, v) -> o.put(k, v) }
                continue
            }
            val f = schema.named(a.name)
            when {
                f == null -> error(a.place, "${schema.title} has no attribute \"${a.name.take(40)}\"${nearest(a.name, schema)}")
                !seen.add(a.name) -> error(a.place, "${schema.title}: \"${a.name}\" is there twice")
                f.form is Form.One || f.form is Form.Many -> error(a.place, "${schema.title}: ${a.name} is a block: ${a.name} { }")
                else -> put(o, f, schema, a.value, a.place, path, hcl = true)
            }
        }
        for (b in body.blocks) block(o, b, schema, path, seen)
        return prune(o, schema)
    }

    private fun block(o: ObjectNode, b: Block, schema: Schema, path: String, seen: MutableSet<String>) {
        val f =
            schema.named(b.type)
                ?: return error(
                    b.place,
                    if (b.type ==
                        "dynamic"
                    ) {
                        "dynamic blocks are not supported"
                    } else {
                        "${schema.title} has no block \"${b.type.take(40)}\"${nearest(b.type, schema)}"
                    },
                )
        val labelled = (f.form as? Form.Many)?.labelled == true
        val wanted = if (labelled) 1 else 0
        if (f.form != Form.Free &&
            b.labels.size != wanted
        ) {
            return error(b.place, if (labelled) "${b.type} needs one name: ${b.type} \"NAME\" { }" else "${b.type} takes no name")
        }
        when (val form = f.form) {
            is Form.One -> {
                if (!seen.add(b.type)) return error(b.place, "${schema.title}: a second ${b.type} block")
                val at = inside(path, f.json)
                places[at] = b.place
                judgeBlock(f, schema, b.place, form.of)
                o.set<JsonNode>(f.json, body(b.body, form.of, at))
            }
            is Form.Many -> {
                val list = o.withArrayProperty(f.json)
                val at = "${inside(path, f.json)}[${list.size()}]"
                places[at] = b.place
                judgeBlock(f, schema, b.place, form.of)
                val made = body(b.body, form.of, at)
                if (labelled) {
                    val name = b.labels[0].first
                    if (list.any {
                            it
                                .path(
                                    "Name",
                                ).textValue() == name
                        }
                    ) {
                        error(b.place, "${schema.title}: a second ${b.type} \"${name.take(40)}\"")
                    }
                    made.put(if (form.of.title == "target") "Value" else "Name", name)
                }
                list.add(made)
            }
            Form.Map, Form.Free -> {
                if (form == Form.Map && !seen.add(b.type)) return error(b.place, "${schema.title}: a second ${b.type} block")
                val at = inside(path, f.json)
                places[at] = b.place
                b.body.attributes.forEach { places["$at.${it.name}"] = it.place }
                judge(f, schema, b.place)
                val made = free(b)
                if (form ==
                    Form.Map
                ) {
                    made.properties().forEach { (k, v) ->
                        if (v.isContainerNode ||
                            v.isNull
                        ) {
                            error(b.place, "${b.type}: ${k.take(40)} must be a text")
                        }
                    }
                }
                o.set<JsonNode>(f.json, if (form == Form.Map) texts(made) else made)
            }
            Form.Text, Form.Number, Form.Flag, Form.Duration, Form.Texts ->
                error(
                    b.place,
                    "${schema.title}: ${b.type} is an attribute: ${b.type} = ...",
                )
        }
    }

    /** Blocks whose parts are judged one by one are not named as a whole as well. */
    private fun judgeBlock(f: Field, schema: Schema, place: Place, inner: Schema) {
        if (f.fate == Fate.REFUSED || inner.fields.none { it.fate == f.fate }) judge(f, schema, place)
    }

    /** A block that is not looked into: blocks inside become lists of their kind. */
    private fun free(b: Block): ObjectNode {
        val o = Json.newObject()
        b.body.attributes.forEach { a ->
            if (o.has(a.name)) error(a.place, "${b.type}: \"${a.name.take(40)}\" is there twice")
            o.set<JsonNode>(a.name, a.value.json())
        }
        b.body.blocks.forEach { inner ->
            o.withArrayProperty(inner.type).add(
                free(inner).apply {
                    inner.labels.forEachIndexed {
                        i,
                        l,
                        ->
                        put("label${i + 1}", l.first)
                    }
                },
            )
        }
        return o
    }

    private fun texts(o: ObjectNode): ObjectNode =
        Json.newObject().also { t ->
            o.properties().forEach { (k, v) -> t.put(k, if (v.isNumber) v.doubleValue().plain() else v.asText()) }
        }

    /** constraint { distinct_hosts = true } and its like stand for an operator with a value. */
    private fun shorthand(a: Attribute): Map<String, String>? {
        val value = a.value
        return when (a.name) {
            "distinct_hosts" ->
                if (value is Node.Flag &&
                    !value.on
                ) {
                    emptyMap()
                } else {
                    mapOf("Operand" to "distinct_hosts", "RTarget" to "true")
                }
            "distinct_property" -> mapOf("Operand" to "distinct_property", "LTarget" to said(a))
            "regexp", "version", "semver", "set_contains", "set_contains_any", "set_contains_all" ->
                mapOf(
                    "Operand" to a.name,
                    "RTarget" to said(a),
                )
            else -> null
        }
    }

    private fun said(a: Attribute): String =
        (a.value as? Node.Text)?.text ?: "".also { error(a.place, "${a.name} must be a text, not ${a.value.kind}") }

    // JSON

    private fun mapping(m: Node.Mapping, schema: Schema, path: String): ObjectNode {
        val o = Json.newObject()
        val seen = HashSet<String>()
        for (e in m.entries) {
            val f = schema.inJson(e.key)
            when {
                f == null -> if (!says(e.value.json(), null)) Unit else warn(e.place, "${schema.title} has no field \"${e.key.take(40)}\"")
                !seen.add(f.json) -> error(e.place, "${schema.title}: \"${f.json}\" is there twice")
                says(e.value.json(), f) -> put(o, f, schema, e.value, e.place, path, hcl = false)
            }
        }
        return prune(o, schema)
    }

    /**
     * Whether a field is given at all. Null, "", [] and {} are what clients send for fields that nobody has set, and 0 and
     * false for those that this core does not have; for those that it has, 0 and false are values like others.
     */
    private fun says(n: JsonNode, f: Field?): Boolean =
        when {
            n.isNull -> false
            n.isTextual -> n.textValue().isNotEmpty()
            n.isNumber || n.isBoolean -> f?.fate?.known == true || n.asDouble() != 0.0 || n.asBoolean()
            f == null || !f.fate.known && f.form == Form.Free -> n.any { says(it, null) }
            else ->
                when (val form = f.form) {
                    is Form.One -> says(n, form.of)
                    is Form.Many -> n.any { says(it, form.of) }
                    Form.Text, Form.Number, Form.Flag, Form.Duration, Form.Texts, Form.Map, Form.Free -> !n.isEmpty
                }
        }

    private fun says(o: JsonNode, schema: Schema): Boolean =
        o.properties().any { (k, v) -> says(v, schema.inJson(k)) } || !o.isObject && says(o, null as Field?)

    /** What is left of a block when all in it has been judged: fields that say nothing are as if they were not there. */
    private fun prune(o: ObjectNode, schema: Schema): ObjectNode =
        o.apply { schema.fields.forEach { f -> get(f.json)?.let { if (!says(it, f)) remove(f.json) } } }

    // Both

    private fun put(o: ObjectNode, f: Field, schema: Schema, value: Node, place: Place, path: String, hcl: Boolean) {
        if (value is Node.Null || f.fate == Fate.SERVERS) return
        val at = inside(path, f.json)
        places[at] = place
        val wrong = { wanted: String ->
            error(value.place, "${schema.title}: ${if (hcl) f.name else f.json} must be $wanted, not ${value.kind}")
        }
        when (val form = f.form) {
            Form.Text ->
                when (value) {
                    is Node.Text -> o.put(f.json, value.text)
                    is Node.Number -> o.put(f.json, value.number.plain())
                    is Node.Flag -> if (schema === Fields.constraint) o.put(f.json, value.on.toString()) else return wrong("a text")
                    else -> return wrong("a text")
                }
            Form.Number ->
                o.set<JsonNode>(
                    f.json,
                    number(
                        (value as? Node.Number)?.number ?: (value as? Node.Text)?.text?.toDoubleOrNull()?.takeIf { hcl && it.isFinite() }
                            ?: return wrong("a number"),
                    ),
                )
            Form.Flag ->
                o.put(
                    f.json,
                    (value as? Node.Flag)?.on ?: (value as? Node.Text)?.text?.toBooleanStrictOrNull()?.takeIf { hcl }
                        ?: return wrong("true or false"),
                )
            Form.Duration -> o.put(f.json, duration(value) ?: return wrong("a duration like \"30s\""))
            Form.Texts -> {
                val items = (value as? Node.Sequence)?.items ?: return wrong("a list of texts")
                val list = o.putArray(f.json)
                items.forEach { list.add((it as? Node.Text)?.text ?: return wrong("a list of texts")) }
            }
            Form.Map -> {
                val entries = (value as? Node.Mapping)?.entries ?: return wrong("a map")
                val made = o.putObject(f.json)
                entries.forEach { e ->
                    places["$at.${e.key}"] = e.place
                    made.put(
                        e.key,
                        when (val v = e.value) {
                            is Node.Text -> v.text
                            is Node.Number -> v.number.plain()
                            is Node.Flag -> v.on.toString()
                            else -> return wrong("a map of texts")
                        },
                    )
                }
            }
            Form.Free -> o.set<JsonNode>(f.json, value.json())
            is Form.One -> o.set<JsonNode>(f.json, mapping(value as? Node.Mapping ?: return wrong("an object"), form.of, at))
            is Form.Many -> many(o, f, form, value, at, wrong)
        }
        val inner = (f.form as? Form.One)?.of ?: (f.form as? Form.Many)?.of
        if (inner != null) judgeBlock(f, schema, place, inner) else judge(f, schema, place)
    }

    /** Lists of objects; volumes are an object of objects by their names. */
    private fun many(o: ObjectNode, f: Field, form: Form.Many, value: Node, at: String, wrong: (String) -> Unit) {
        val items =
            when {
                value is Node.Sequence -> value.items
                value is Node.Mapping && form.labelled ->
                    value.entries.map { e ->
                        Node.Mapping(
                            (e.value as? Node.Mapping ?: return wrong("a list of objects")).entries.filter { it.key != "Name" } +
                                Node.Entry("Name", e.place, Node.Text(e.key, e.place)),
                            e.place,
                        )
                    }
                else -> return wrong("a list of objects")
            }
        val list = o.putArray(f.json)
        val names = HashSet<String>()
        items.forEachIndexed { i, item ->
            val m = item as? Node.Mapping ?: return wrong("a list of objects")
            val path = "$at[$i]"
            places[path] = m.place
            val name = m.entries.firstOrNull { it.key.equals("Name", ignoreCase = true) }
            val made =
                mapping(
                    if (form.labelled) Node.Mapping(m.entries.filter { it !== name || form.of.title == "target" }, m.place) else m,
                    form.of,
                    path,
                )
            if (form.labelled && form.of.title != "target") {
                val text = (name?.value as? Node.Text)?.text
                if (text.isNullOrEmpty()) {
                    error(m.place, "${form.of.title} has no Name")
                } else if (!names.add(text)) {
                    error(m.place, "a second ${form.of.title} \"${text.take(40)}\"")
                }
                made.put("Name", text)
            }
            list.add(made)
        }
    }

    private fun duration(n: Node): Long? =
        when (n) {
            is Node.Number -> n.number.takeIf { it in 0.0..Durations.MOST }?.toLong()
            is Node.Text -> Durations.nanos(n.text)
            else -> null
        }

    /** A word that differs by one letter, or whose letters are the same but for the underscores. */
    private fun nearest(name: String, schema: Schema): String {
        val near =
            schema.fields.map { it.name }.firstOrNull {
                it.replace("_", "") == name.replace("_", "").replace("-", "") ||
                    distance(it, name) == 1
            }
                ?: return ""
        return "; is it \"$near\"?"
    }

    private fun distance(a: String, b: String): Int {
        if (Math.abs(a.length - b.length) > 1 || b.length > MAX_NAME) return 2
        val start = a.commonPrefixWith(b).length
        val end = minOf(a.commonSuffixWith(b).length, minOf(a.length, b.length) - start)
        return maxOf(a.length, b.length) - start - end
    }

    private companion object {
        const val MAX_FINDINGS = 200
        const val MAX_NAME = 60
    }
}
