package org.honeyjunction.nomad.hcl

import org.honeyjunction.nomad.Place

/** An expression of HCL, before variables and locals have their values. */
sealed interface Expr {
    val place: Place

    data class Literal(val value: Any?, override val place: Place) : Expr

    /** Texts and holes in turn. */
    data class Template(val parts: List<Expr>, override val place: Place) : Expr

    data class Root(val name: String, override val place: Place) : Expr

    data class Member(val of: Expr, val name: String, override val place: Place) : Expr

    data class Index(val of: Expr, val index: Expr, override val place: Place) : Expr

    data class Unary(val op: String, val of: Expr, override val place: Place) : Expr

    data class Binary(val op: String, val left: Expr, val right: Expr, override val place: Place) : Expr

    data class Choice(val condition: Expr, val yes: Expr, val no: Expr, override val place: Place) : Expr

    data class Call(val function: String, val arguments: List<Expr>, override val place: Place) : Expr

    data class ListOf(val items: List<Expr>, override val place: Place) : Expr

    data class ObjectOf(val entries: List<Pair<Expr, Expr>>, override val place: Place) : Expr
}

/** An item of a body: an attribute, or a block with items of its own. */
sealed interface Item {
    val name: String
    val place: Place

    class Attribute(override val name: String, val value: Expr, override val place: Place) : Item

    class Block(override val name: String, val labels: List<Pair<String, Place>>, val items: List<Item>, override val place: Place) : Item
}
