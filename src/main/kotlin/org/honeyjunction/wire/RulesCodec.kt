package org.honeyjunction.wire

import okio.Buffer
import org.honeyjunction.core.rules.RuleTable
import org.honeyjunction.core.rules.RuleTable.CompiledClause
import org.honeyjunction.core.rules.RuleTable.Expr
import java.util.BitSet

/**
 * Encodes compiled placement rules in frames between controllers. They are part of each summary whose placement depends on rules;
 * see [SummaryCodec]. Kotlin evaluates arguments in the order in which they are written, so in each reader they must be in the order
 * of the bytes.
 */
internal object RulesCodec {
    private const val IN_PLACES = 1
    private const val RUNS = 2
    private const val CACHES = 3
    private const val SAME = 4
    private const val NOT = 5
    private const val AND = 6
    private const val OR = 7

    /** Maximum nesting of a test. The rule language allows less, so a frame beyond this limit is corrupt. */
    private const val MAX_DEPTH = 400

    /** Appends [table] to [buffer]. */
    fun write(buffer: Buffer, table: RuleTable) {
        buffer.writeLong(table.version)
        buffer.writeList(table.places) { labels -> writeInts(labels.asList()) }
        buffer.writeList(table.clausesOf) { clauses -> writeInts(clauses.asList()) }
        buffer.writeList(table.clauses) { writeClause(it) }
    }

    /**
     * Reads rules that [write] encoded.
     *
     * @throws MalformedException if a task shape refers to a clause, or a test to a label, that does not exist
     */
    fun read(buffer: Buffer): RuleTable {
        val version = buffer.readLong()
        val places = buffer.readList { readInts().toIntArray() }
        val clausesOf = buffer.readList { readInts().toIntArray() }
        val labelCount = places.minOfOrNull { it.size } ?: 0
        val clauses = buffer.readList { readClause(labelCount) }
        val valid = clausesOf.all { numbers -> numbers.all { it in clauses.indices } }
        if (!valid) throw MalformedException("clause of a shape")
        return RuleTable(version, clauses, clausesOf, places)
    }

    private fun Buffer.writeClause(clause: CompiledClause) {
        writeInt(clause.rule)
        writeDouble(clause.weight)
        writeBoolean(clause.oneWay)
        writeExpr(clause.test)
    }

    private fun Buffer.readClause(labelCount: Int) =
        CompiledClause(rule = readInt(), weight = readDouble(), oneWay = readBoolean(), test = readExpr(labelCount, 0))

    private fun Buffer.writeExpr(expr: Expr): Buffer =
        when (expr) {
            is Expr.InPlaces -> writeByte(IN_PLACES).writeBits(expr.places)
            is Expr.Runs -> writeByte(RUNS).writeBits(expr.shapes)
            is Expr.Caches -> writeByte(CACHES).writeInt(expr.image)
            is Expr.Same -> writeByte(SAME).writeInt(expr.label)
            is Expr.Not -> writeByte(NOT).writeExpr(expr.of)
            is Expr.And -> writeByte(AND).writeExpr(expr.left).writeExpr(expr.right)
            is Expr.Or -> writeByte(OR).writeExpr(expr.left).writeExpr(expr.right)
        }

    private fun Buffer.readExpr(labelCount: Int, depth: Int): Expr {
        if (depth > MAX_DEPTH) throw MalformedException("rules nested too deeply")
        return when (val kind = readByte().toInt()) {
            IN_PLACES -> Expr.InPlaces(readBits())
            RUNS -> Expr.Runs(readBits())
            CACHES -> Expr.Caches(readInt())
            SAME -> Expr.Same(readLabel(labelCount))
            NOT -> Expr.Not(readExpr(labelCount, depth + 1))
            AND -> Expr.And(readExpr(labelCount, depth + 1), readExpr(labelCount, depth + 1))
            OR -> Expr.Or(readExpr(labelCount, depth + 1), readExpr(labelCount, depth + 1))
            else -> throw MalformedException("test of kind $kind")
        }
    }

    /** Reads the number of a label. Without places [labelCount] is 0; then no test can use the label, and any number is accepted. */
    private fun Buffer.readLabel(labelCount: Int): Int {
        val label = readInt()
        val beyondEnd = labelCount > 0 && label >= labelCount
        if (label < 0 || beyondEnd) throw MalformedException("label $label")
        return label
    }

    private fun Buffer.writeBits(bits: BitSet): Buffer = writeList(bits.toLongArray().asList()) { writeLong(it) }

    private fun Buffer.readBits(): BitSet = BitSet.valueOf(readList { readLong() }.toLongArray())
}
