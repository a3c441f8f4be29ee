package org.honeyjunction.nomad.hcl

import org.antlr.v4.runtime.BaseErrorListener
import org.antlr.v4.runtime.CharStreams
import org.antlr.v4.runtime.CommonTokenStream
import org.antlr.v4.runtime.Parser
import org.antlr.v4.runtime.ParserRuleContext
import org.antlr.v4.runtime.RecognitionException
import org.antlr.v4.runtime.Recognizer
import org.antlr.v4.runtime.Token
import org.honeyjunction.nomad.FileFaultException
import org.honeyjunction.nomad.Place
import org.honeyjunction.nomad.grammar.HclLexer
import org.honeyjunction.nomad.grammar.HclParser

/** Reads the text of an HCL file to items; the first thing that is wrong is thrown as [FileFaultException]. */
class HclReader {
    fun read(text: String): List<Item> {
        guard(text)
        return items(parser(text, Place.START).file().item())
    }

    /** An expression alone, as on a command line. */
    fun expression(text: String, at: Place): Expr {
        guard(text)
        return expr(parser(text, at).hole().expr())
    }

    private fun parser(text: String, at: Place): HclParser {
        val listener =
            object : BaseErrorListener() {
                override fun syntaxError(
                    r: Recognizer<*, *>?,
                    symbol: Any?,
                    line: Int,
                    column: Int,
                    message: String,
                    e: RecognitionException?,
                ) = throw FileFaultException(shift(at, line, column), said(message, symbol as? Token, (r as? Parser)))
            }
        val lexer =
            HclLexer(CharStreams.fromString(text)).apply {
                removeErrorListeners()
                addErrorListener(listener)
            }
        val tokens = CommonTokenStream(lexer).apply { fill() }
        tokens.tokens
            .firstOrNull {
                it.type == HclLexer.OPEN_HEREDOC
            }?.let { throw FileFaultException(shift(at, it.line, it.charPositionInLine), "this heredoc is not closed") }
        if (tokens.size() > MAX_TOKENS) throw FileFaultException(at, "more than $MAX_TOKENS words and signs")
        origin = at
        return HclParser(tokens).apply {
            removeErrorListeners()
            addErrorListener(listener)
        }
    }

    /** Where the text that is being read begins in its file. */
    private var origin = Place.START

    private fun shift(at: Place, line: Int, column: Int) =
        if (line ==
            1
        ) {
            Place(at.line, at.column + column)
        } else {
            Place(at.line + line - 1, column + 1)
        }

    private fun place(t: Token) = shift(origin, t.line, t.charPositionInLine)

    private fun items(all: List<HclParser.ItemContext>): List<Item> {
        all.zipWithNext().firstOrNull { (a, b) -> lastLine(a.stop) >= b.start.line }?.let { (_, b) ->
            throw FileFaultException(place(b.start), "'${b.start.text.take(MAX_SHOWN)}' must begin on a line of its own")
        }
        return all.map(::item)
    }

    private fun lastLine(t: Token) = t.line + (if (t.type == HclLexer.HEREDOC) t.text.count { it == '\n' } else 0)

    private fun item(c: HclParser.ItemContext): Item =
        when (c) {
            is HclParser.AttributeContext -> Item.Attribute(c.name.text, expr(c.expr()), place(c.start))
            is HclParser.BlockContext ->
                Item.Block(
                    c.name.text,
                    c.label().map { label(it) to place(it.start) },
                    items(c.item()),
                    place(c.start),
                )
            else -> error("an item that the grammar does not have: $c")
        }

    private fun label(c: HclParser.LabelContext): String {
        if (c.WORD() != null) return c.text
        val parts = template(c.text.drop(1).dropLast(1), Place(place(c.start).line, place(c.start).column + 1), escapes = true)
        if (parts.any { it !is Expr.Literal }) throw FileFaultException(place(c.start), "a label can't have \${ } in it")
        return parts.joinToString("") { (it as Expr.Literal).value as String }
    }

    private fun expr(c: HclParser.ExprContext): Expr {
        val at = place(c.start)
        return when (c) {
            is HclParser.MemberContext -> Expr.Member(expr(c.expr()), c.WORD().text, at)
            is HclParser.IndexContext -> Expr.Index(expr(c.expr(0)), expr(c.expr(1)), at)
            is HclParser.SplatContext -> throw FileFaultException(at, "[*] and .* are not supported")
            is HclParser.UnaryContext -> Expr.Unary(c.op.text, expr(c.expr()), at)
            is HclParser.BinaryContext -> Expr.Binary(c.op.text, expr(c.expr(0)), expr(c.expr(1)), at)
            is HclParser.ChoiceContext -> Expr.Choice(expr(c.expr(0)), expr(c.expr(1)), expr(c.expr(2)), at)
            is HclParser.CallContext -> {
                c.ELLIPSIS()?.let { throw FileFaultException(place(it.symbol), "... after an argument is not supported") }
                Expr.Call(c.WORD().text, c.expr().map(::expr), at)
            }
            is HclParser.RootContext -> Expr.Root(c.WORD().text, at)
            is HclParser.QuotedContext -> {
                val body = c.text.substring(1, c.text.length - 1)
                whole(template(body, Place(at.line, at.column + 1), escapes = true), at)
            }
            is HclParser.HeredocContext -> heredoc(c.text, at)
            is HclParser.NumberContext -> Expr.Literal(number(c.text, at), at)
            is HclParser.ConstantContext -> Expr.Literal(if (c.value.type == HclParser.NULL) null else c.value.type == HclParser.TRUE, at)
            is HclParser.ListContext -> Expr.ListOf(c.expr().map(::expr), at)
            is HclParser.ObjectContext -> Expr.ObjectOf(c.entry().map { key(it.key) to expr(it.value) }, at)
            is HclParser.ComprehensionContext -> throw FileFaultException(at, "'for' in a list or map is not supported")
            is HclParser.NestedContext -> expr(c.expr())
            else -> error("an expression that the grammar does not have: $c")
        }
    }

    private fun number(text: String, at: Place): Double =
        text.toDouble().takeIf { it.isFinite() } ?: throw FileFaultException(at, "the number ${text.take(MAX_SHOWN)} is too large")

    /** A word as a key stands for itself; in parentheses it is a reference. */
    private fun key(c: HclParser.ExprContext): Expr = if (c is HclParser.RootContext) Expr.Literal(c.text, place(c.start)) else expr(c)

    private fun whole(parts: List<Expr>, at: Place): Expr =
        when {
            parts.isEmpty() -> Expr.Literal("", at)
            parts.size == 1 && parts[0] is Expr.Literal -> Expr.Literal((parts[0] as Expr.Literal).value, at)
            else -> Expr.Template(parts, at)
        }

    /** With "<<-" the least indentation of its lines is taken off all of them. */
    private fun heredoc(text: String, at: Place): Expr {
        val indented = text.startsWith("<<-")
        val lines = text.split('\n').map { it.removeSuffix("\r") }
        var body = lines.drop(1).dropLast(1)
        var cut = 0
        if (indented) {
            cut = body.filter { it.isNotBlank() }.minOfOrNull { l -> l.indexOfFirst { it != ' ' && it != '\t' } } ?: 0
            body = body.map { it.drop(minOf(cut, it.length)) }
        }
        return whole(template(body.joinToString("") { "$it\n" }, Place(at.line + 1, 1 + cut), escapes = false), at)
    }

    /** Texts and what stands in their holes; holes that are filled where the task runs stay as they are written. */
    private fun template(text: String, at: Place, escapes: Boolean): List<Expr> {
        val parts = ArrayList<Expr>()
        val plain = StringBuilder()
        var line = at.line
        var column = at.column
        var i = 0

        fun here() = Place(line, column)

        fun step(n: Int) =
            repeat(n) {
                if (text[i++] == '\n') {
                    line++
                    column = 1
                } else {
                    column++
                }
            }
        while (i < text.length) {
            val c = text[i]
            when {
                text.startsWith("$\${", i) || text.startsWith("%%{", i) -> {
                    plain.append(c).append('{')
                    step(3)
                }
                text.startsWith("%{", i) -> throw FileFaultException(here(), "%{ } in a text is not supported")
                text.startsWith("\${", i) -> {
                    val end = holeEnd(text, i + 2) ?: throw FileFaultException(here(), "this \${ is not closed")
                    val inner = text.substring(i + 2, end)
                    if (runtime(inner)) {
                        plain.append(text, i, end + 1)
                    } else {
                        if (plain.isNotEmpty()) parts += Expr.Literal(plain.toString(), here())
                        plain.setLength(0)
                        val before = origin
                        parts += expr(parser(inner, Place(line, column + 2)).hole().expr())
                        origin = before
                    }
                    step(end + 1 - i)
                }
                escapes && c == '\\' -> {
                    val width = escape(text, i, plain, here())
                    step(width)
                }
                else -> {
                    plain.append(c)
                    step(1)
                }
            }
        }
        if (plain.isNotEmpty()) parts += Expr.Literal(plain.toString(), at)
        return parts
    }

    /** The brace that closes a hole whose inside begins at [from]. */
    private fun holeEnd(text: String, from: Int): Int? {
        var depth = 0
        var quoted = false
        var i = from
        while (i < text.length) {
            val c = text[i]
            when {
                quoted && c == '\\' -> i++
                c == '"' -> quoted = !quoted
                !quoted && c == '{' -> depth++
                !quoted && c == '}' -> if (depth-- == 0) return i
            }
            i++
        }
        return null
    }

    private fun escape(text: String, at: Int, to: StringBuilder, place: Place): Int {
        val c = text.getOrNull(at + 1)
        val digits =
            if (c == 'u') {
                4
            } else if (c == 'U') {
                8
            } else {
                0
            }
        if (digits > 0) {
            val code = text.substring(at + 2, minOf(text.length, at + 2 + digits)).takeIf { it.length == digits }?.toIntOrNull(16)
            if (code == null ||
                !Character.isValidCodePoint(code)
            ) {
                throw FileFaultException(place, "\\$c needs $digits hexadecimal digits of a character")
            }
            to.appendCodePoint(code)
            return 2 + digits
        }
        to.append(
            when (c) {
                'n' -> '\n'
                'r' -> '\r'
                't' -> '\t'
                '"' -> '"'
                '\\' -> '\\'
                else -> throw FileFaultException(place, "unknown escape \\${c ?: ""}")
            },
        )
        return 2
    }

    /** Brackets nest calls of the parser, and texts in holes those of the lexer: bounded before either begins. */
    private fun guard(text: String) {
        if (text.length >
            MAX_CHARS
        ) {
            throw FileFaultException(Place.START, "the file has ${text.length} characters; at most $MAX_CHARS are read")
        }
        var depth = 0
        var run = 0
        var line = 1
        var column = 0
        for (c in text) {
            column++
            when (c) {
                '\n' -> {
                    line++
                    column = 0
                }
                '{', '[', '(' -> depth++
                '}', ']', ')' -> depth = maxOf(0, depth - 1)
                else -> Unit
            }
            run =
                if (c in OPERATORS) {
                    run + 1
                } else if (c == '\n' || c == ',') {
                    0
                } else {
                    run
                }
            if (depth > MAX_DEPTH) throw FileFaultException(Place(line, column), "nested more than $MAX_DEPTH deep")
            if (run > MAX_RUN) throw FileFaultException(Place(line, column), "more than $MAX_RUN operators in one line")
        }
    }

    private fun said(message: String, at: Token?, parser: Parser?): String {
        if (message.startsWith("token recognition error")) {
            val what = message.substringAfter("at: '").removeSuffix("'")
            return if (what.startsWith("\"")) "a text that is not closed on its line" else "unexpected character '${what.take(MAX_SHOWN)}'"
        }
        val found = if (at == null || at.type == Token.EOF) "the end" else "'${at.text.take(MAX_SHOWN).replace('\n', ' ')}'"
        val rule = (parser?.context as? ParserRuleContext)?.start
        val within =
            if (rule != null &&
                at != null &&
                rule !== at &&
                rule.type == HclLexer.WORD
            ) {
                " after '${rule.text.take(MAX_SHOWN)}'"
            } else {
                ""
            }
        return "$found is not expected here$within"
    }

    companion object {
        /** Larger than any job that the registry keeps. */
        const val MAX_CHARS = 1_000_000
        const val MAX_DEPTH = 40
        private const val MAX_TOKENS = 200_000
        private const val MAX_RUN = 250
        private const val MAX_SHOWN = 40
        private const val OPERATORS = "!-+*/%<>=&|?:."
        private val runtimeRoots = setOf("node", "attr", "meta", "env", "device", "unique")
        private val word = Regex("\\s*([A-Za-z_][A-Za-z0-9_]*)\\b.*", RegexOption.DOT_MATCHES_ALL)

        /** Whether a hole is filled on the machine, where the task starts. */
        fun runtime(inner: String): Boolean {
            val root = word.matchEntire(inner)?.groupValues?.get(1) ?: return false
            return root in runtimeRoots || root.startsWith("NOMAD_")
        }
    }
}
