package org.honeyjunction.nomad.hcl

import org.honeyjunction.nomad.FileFaultException
import org.honeyjunction.nomad.Node
import org.honeyjunction.nomad.Place
import org.honeyjunction.nomad.json

/** Operators between two values. */
internal object Operators {
    fun binary(op: String, left: Node, right: () -> Node, place: Place): Node =
        when (op) {
            "&&" -> Node.Flag(Evaluator.flag(left, "'&&'") && Evaluator.flag(right(), "'&&'"), place)
            "||" -> Node.Flag(Evaluator.flag(left, "'||'") || Evaluator.flag(right(), "'||'"), place)
            "==" -> Node.Flag(left.json() == right().json(), place)
            "!=" -> Node.Flag(left.json() != right().json(), place)
            "<", "<=", ">", ">=" -> {
                val order = Evaluator.number(left, "'$op'").compareTo(Evaluator.number(right(), "'$op'"))
                Node.Flag(
                    if (op == "<") {
                        order < 0
                    } else if (op == "<=") {
                        order <= 0
                    } else if (op == ">") {
                        order > 0
                    } else {
                        order >= 0
                    },
                    place,
                )
            }
            else -> Node.Number(arithmetic(op, Evaluator.number(left, "'$op'"), Evaluator.number(right(), "'$op'"), place), place)
        }

    private fun arithmetic(op: String, a: Double, b: Double, place: Place): Double {
        if (b == 0.0 && (op == "/" || op == "%")) throw FileFaultException(place, "division by 0")
        val n =
            when (op) {
                "+" -> a + b
                "-" -> a - b
                "*" -> a * b
                "/" -> a / b
                else -> a % b
            }
        return n.takeIf { it.isFinite() } ?: throw FileFaultException(place, "the result is too large")
    }
}
