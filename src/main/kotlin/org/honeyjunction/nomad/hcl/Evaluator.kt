package org.honeyjunction.nomad.hcl

import org.honeyjunction.nomad.FileFaultException
import org.honeyjunction.nomad.Node
import org.honeyjunction.nomad.Place
import org.honeyjunction.nomad.kind
import org.honeyjunction.nomad.plain

/** Gives expressions their values. Locals are worked out when they are first needed; one that needs itself is an error. */
class Evaluator(private val variables: Map<String, Node>, private val locals: Map<String, Expr>) {
    private val known = HashMap<String, Node>()
    private val open = LinkedHashSet<String>()
    private var made = 0L

    fun value(e: Expr): Node =
        when (e) {
            is Expr.Literal -> literal(e)
            is Expr.Template -> {
                val text = StringBuilder()
                e.parts.forEach { text.append(text(value(it), "a text's \${ }")) }
                made(Node.Text(text.toString(), e.place))
            }
            is Expr.Root -> throw FileFaultException(e.place, "'${e.name}' is not known; texts stand in double quotes")
            is Expr.Member -> member(e)
            is Expr.Index -> index(value(e.of), value(e.index), e.place)
            is Expr.Unary -> unary(e)
            is Expr.Binary -> Operators.binary(e.op, value(e.left), { value(e.right) }, e.place)
            is Expr.Choice -> if (flag(value(e.condition), "the condition")) value(e.yes) else value(e.no)
            is Expr.Call -> made(Functions.call(e.function, e.arguments.map(::value), e.place))
            is Expr.ListOf -> made(Node.Sequence(e.items.map(::value), e.place))
            is Expr.ObjectOf ->
                made(
                    Node.Mapping(
                        e.entries.map { (key, value) -> Node.Entry(text(value(key), "a key"), key.place, value(value)) }.also { all ->
                            val seen = HashSet<String>()
                            all
                                .firstOrNull {
                                    !seen.add(
                                        it.key,
                                    )
                                }?.let { throw FileFaultException(it.place, "the key \"${it.key}\" is there twice") }
                        },
                        e.place,
                    ),
                )
        }

    /** Locals that are made of locals can grow without end: what all values together may hold is bounded. */
    private fun made(n: Node): Node {
        made += n.size
        if (made > MAX_MADE) throw FileFaultException(n.place, "the values of this file grow beyond $MAX_MADE characters")
        return n
    }

    private fun literal(e: Expr.Literal): Node =
        when (val v = e.value) {
            is String -> Node.Text(v, e.place)
            is Double -> Node.Number(v, e.place)
            is Boolean -> Node.Flag(v, e.place)
            else -> Node.Null(e.place)
        }

    private fun member(e: Expr.Member): Node {
        val root = (e.of as? Expr.Root)?.name
        return when (root) {
            "var" -> variables[e.name]?.at(e.place) ?: throw FileFaultException(e.place, "there is no variable \"${e.name}\"")
            "local" -> local(e.name, e.place)
            else ->
                if (root !=
                    null
                ) {
                    throw FileFaultException(
                        e.place,
                        "'$root' is not known; in a text write \"\${$root.${e.name}}\" for what the machine fills in",
                    )
                } else {
                    index(value(e.of), Node.Text(e.name, e.place), e.place)
                }
        }
    }

    private fun local(name: String, at: Place): Node {
        known[name]?.let { return it.at(at) }
        val e = locals[name] ?: throw FileFaultException(at, "there is no local \"$name\"")
        if (!open.add(
                name,
            )
        ) {
            throw FileFaultException(at, "the locals ${open.dropWhile { it != name }.joinToString(" -> ")} -> $name need each other")
        }
        if (open.size > MAX_CHAIN) throw FileFaultException(at, "more than $MAX_CHAIN locals that need one another")
        val v = value(e)
        open -= name
        known[name] = v
        return v.at(at)
    }

    private fun Node.at(p: Place): Node =
        when (this) {
            is Node.Text -> copy(place = p)
            is Node.Number -> copy(place = p)
            is Node.Flag -> copy(place = p)
            is Node.Null -> copy(place = p)
            is Node.Sequence -> copy(place = p)
            is Node.Mapping -> copy(place = p)
        }

    private fun unary(e: Expr.Unary): Node {
        val v = value(e.of)
        return if (e.op == "!") Node.Flag(!flag(v, "'!'"), e.place) else Node.Number(-number(v, "'-'"), e.place)
    }

    companion object {
        private const val MAX_CHAIN = 100
        private const val MAX_MADE = 4_000_000L

        fun text(n: Node, what: String): String =
            when (n) {
                is Node.Text -> n.text
                is Node.Number -> n.number.plain()
                is Node.Flag -> n.on.toString()
                is Node.Null, is Node.Sequence, is Node.Mapping -> throw FileFaultException(n.place, "$what must be a text, not ${n.kind}")
            }

        fun number(n: Node, what: String): Double =
            when (n) {
                is Node.Number -> n.number
                is Node.Text ->
                    n.text.toDoubleOrNull()?.takeIf { it.isFinite() }
                        ?: throw FileFaultException(n.place, "$what needs a number, not \"${n.text.take(40)}\"")
                else -> throw FileFaultException(n.place, "$what needs a number, not ${n.kind}")
            }

        fun flag(n: Node, what: String): Boolean =
            when {
                n is Node.Flag -> n.on
                n is Node.Text && (n.text == "true" || n.text == "false") -> n.text == "true"
                else -> throw FileFaultException(n.place, "$what needs true or false, not ${n.kind}")
            }

        fun index(of: Node, at: Node, place: Place): Node =
            when (of) {
                is Node.Sequence -> {
                    val i = number(at, "the index of a list")
                    of.items.getOrNull(i.toInt().takeIf { i % 1.0 == 0.0 } ?: -1)
                        ?: throw FileFaultException(place, "the list has ${of.items.size} items, none at ${i.plain()}")
                }
                is Node.Mapping ->
                    of[text(at, "a key")]
                        ?: throw FileFaultException(place, "there is no key \"${text(at, "a key").take(40)}\"")
                else -> throw FileFaultException(place, "${of.kind} has no parts")
            }
    }
}
