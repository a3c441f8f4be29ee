package org.honeyjunction.nomad.hcl

import org.honeyjunction.nomad.FileFaultException
import org.honeyjunction.nomad.Node
import org.honeyjunction.nomad.Place
import org.honeyjunction.nomad.json
import org.honeyjunction.wire.Json
import kotlin.math.ceil
import kotlin.math.floor

/** The functions that job files use; others are named in the error. */
object Functions {
    private class Function(val least: Int, val most: Int, val call: (List<Node>, Place) -> Node)

    private fun text(n: Node) = Evaluator.text(n, "an argument")

    private fun number(n: Node) = Evaluator.number(n, "an argument")

    private fun list(n: Node): List<Node> = (n as? Node.Sequence)?.items ?: throw FileFaultException(n.place, "an argument must be a list")

    private fun map(n: Node): Node.Mapping = n as? Node.Mapping ?: throw FileFaultException(n.place, "an argument must be a map")

    private fun onText(f: (String) -> String) = Function(1, 1) { a, p -> Node.Text(f(text(a[0])), p) }

    private fun onNumber(f: (Double) -> Double) = Function(1, 1) { a, p -> Node.Number(f(number(a[0])), p) }

    private val all: Map<String, Function> =
        mapOf(
            "abs" to onNumber(Math::abs),
            "ceil" to onNumber(::ceil),
            "coalesce" to
                Function(1, MANY) { a, p ->
                    a.firstOrNull { it !is Node.Null && !(it is Node.Text && it.text.isEmpty()) }
                        ?: throw FileFaultException(p, "no argument of coalesce has a value")
                },
            "concat" to Function(1, MANY) { a, p -> Node.Sequence(a.flatMap(::list), p) },
            "contains" to Function(2, 2) { a, p -> Node.Flag(list(a[0]).any { it.json() == a[1].json() }, p) },
            "floor" to onNumber(::floor),
            "format" to Function(1, MANY) { a, p -> Node.Text(format(text(a[0]), a.drop(1), p), p) },
            "join" to Function(2, 2) { a, p -> Node.Text(list(a[1]).joinToString(text(a[0]), transform = ::text), p) },
            "jsonencode" to Function(1, 1) { a, p -> Node.Text(String(Json.write(a[0].json())), p) },
            "keys" to Function(1, 1) { a, p -> Node.Sequence(map(a[0]).entries.map { it.key }.sorted().map { Node.Text(it, p) }, p) },
            "length" to Function(1, 1) { a, p -> Node.Number(length(a[0], p).toDouble(), p) },
            "lookup" to
                Function(2, 3) { a, p ->
                    map(a[0])[text(a[1])] ?: a.getOrNull(2)
                        ?: throw FileFaultException(p, "there is no key \"${text(a[1])}\"")
                },
            "lower" to onText(String::lowercase),
            "max" to Function(1, MANY) { a, p -> Node.Number(a.maxOf(::number), p) },
            "merge" to Function(1, MANY) { a, p -> Node.Mapping(a.flatMap { map(it).entries }.associateBy { it.key }.values.toList(), p) },
            "min" to Function(1, MANY) { a, p -> Node.Number(a.minOf(::number), p) },
            "range" to Function(1, 2) { a, p -> range(a, p) },
            "replace" to Function(3, 3) { a, p -> Node.Text(replace(text(a[0]), text(a[1]), text(a[2]), p), p) },
            "split" to Function(2, 2) { a, p -> Node.Sequence(split(text(a[0]), text(a[1])).map { Node.Text(it, p) }, p) },
            "substr" to Function(3, 3) { a, p -> Node.Text(substr(text(a[0]), number(a[1]).toInt(), number(a[2]).toInt()), p) },
            "tonumber" to onNumber { it },
            "tostring" to onText { it },
            "trimspace" to onText(String::trim),
            "trimprefix" to Function(2, 2) { a, p -> Node.Text(text(a[0]).removePrefix(text(a[1])), p) },
            "trimsuffix" to Function(2, 2) { a, p -> Node.Text(text(a[0]).removeSuffix(text(a[1])), p) },
            "upper" to onText(String::uppercase),
            "values" to Function(1, 1) { a, p -> Node.Sequence(map(a[0]).entries.sortedBy { it.key }.map { it.value }, p) },
        )

    val names: Collection<String> get() = all.keys

    fun call(name: String, arguments: List<Node>, place: Place): Node {
        val f = all[name] ?: throw FileFaultException(place, "the function $name is not supported; there are ${all.keys.joinToString()}")
        if (arguments.size !in f.least..f.most) {
            throw FileFaultException(
                place,
                "$name takes ${if (f.most == MANY) {
                    "${f.least} arguments or more"
                } else if (f.least == f.most) {
                    "${f.least} arguments"
                } else {
                    "${f.least} to ${f.most} arguments"
                }}, not ${arguments.size}",
            )
        }
        return f.call(arguments, place)
    }

    private fun length(n: Node, p: Place) =
        when (n) {
            is Node.Text -> n.text.codePointCount(0, n.text.length)
            is Node.Sequence -> n.items.size
            is Node.Mapping -> n.entries.size
            else -> throw FileFaultException(p, "length needs a text, a list or a map")
        }

    private fun range(a: List<Node>, p: Place): Node {
        val from = if (a.size == 1) 0.0 else number(a[0])
        val to = number(a.last())
        if (to - from > MAX_RANGE) throw FileFaultException(p, "range of more than $MAX_RANGE numbers")
        return Node.Sequence(generateSequence(from) { it + 1 }.takeWhile { it < to }.map { Node.Number(it, p) }.toList(), p)
    }

    private fun split(by: String, text: String) = if (by.isEmpty()) text.map { it.toString() } else text.split(by)

    private fun replace(text: String, old: String, new: String, p: Place): String {
        // Every character could become a text of any length.
        val times = if (old.isEmpty()) text.length + 1 else text.split(old).size - 1
        if (text.length + times.toLong() * new.length >
            MAX_TEXT
        ) {
            throw FileFaultException(p, "replace makes more than $MAX_TEXT characters")
        }
        return text.replace(old, new)
    }

    private fun substr(text: String, from: Int, count: Int): String {
        val start = from.coerceIn(0, text.length)
        return if (count <
            0
        ) {
            text.substring(start)
        } else {
            text.substring(start, (start.toLong() + count).coerceAtMost(text.length.toLong()).toInt())
        }
    }

    /** %s, %v, %d, %f, %q and %%, with a width or a number of digits where numbers are written. */
    private fun format(form: String, arguments: List<Node>, place: Place): String {
        var next = 0
        return verb
            .replace(form) { m ->
                val kind = m.groupValues[2]
                if (kind == "%") return@replace "%"
                val n = arguments.getOrNull(next++) ?: throw FileFaultException(place, "format: no argument for ${m.value}")
                val flags = m.groupValues[1]
                when (kind) {
                    "s", "v" -> if (n is Node.Sequence || n is Node.Mapping) String(Json.write(n.json())) else text(n)
                    "q" -> "\"${text(n)}\""
                    "d" -> "%${flags}d".format(number(n).toLong())
                    "f" -> "%${flags}f".format(number(n))
                    else -> throw FileFaultException(place, "format: %$kind is not supported")
                }
            }.also { if (next < arguments.size) throw FileFaultException(place, "format: ${arguments.size - next} arguments are not used") }
    }

    private val verb = Regex("%(0?[0-9]{0,2}(?:\\.[0-9])?)([a-zA-Z%])")
    private const val MANY = 100_000
    private const val MAX_RANGE = 10_000
    private const val MAX_TEXT = 1_000_000
}
