package org.honeyjunction.rules

import org.antlr.v4.runtime.BaseErrorListener
import org.antlr.v4.runtime.CharStreams
import org.antlr.v4.runtime.CommonTokenStream
import org.antlr.v4.runtime.RecognitionException
import org.antlr.v4.runtime.Recognizer
import org.antlr.v4.runtime.Token
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.rules.grammar.RulesLexer
import org.honeyjunction.rules.grammar.RulesParser

/** Something wrong with a text, and where: lines and columns count from 1. */
data class Diagnostic(val line: Int, val column: Int, val message: String) {
    fun at(file: String) = "$file:$line:$column: $message"
}

/** The rules of a text, or what is wrong with it; [places] tells where each rule and its clauses begin, [uncertainties] what can't be known. */
class ParsedRules(
    val rules: List<Rule>,
    val errors: List<Diagnostic>,
    val positions: List<RulePosition>,
    val uncertainties: List<Diagnostic> = emptyList(),
)

/** Where a rule and each of its clauses begin in the text. */
class RulePosition(val rule: Diagnostic, val clauses: List<Diagnostic>)

/** Reads the language of docs/rules.md. [labels] are those that the topology gives to machines; null: no topology is at hand. */
class RulesReader(private val labels: Collection<String>? = emptyList()) {
    fun read(text: String): ParsedRules {
        if (text.length > MAX_CHARS) return failed(Diagnostic(1, 1, "the text is longer than $MAX_CHARS characters"))
        val errors = ArrayList<Diagnostic>()
        val listener =
            object : BaseErrorListener() {
                override fun syntaxError(
                    r: Recognizer<*, *>?,
                    symbol: Any?,
                    line: Int,
                    column: Int,
                    message: String,
                    e: RecognitionException?,
                ) {
                    if (errors.size < MAX_ERRORS) errors += Diagnostic(line, column + 1, clean(message, symbol as? Token))
                }
            }
        val lexer =
            RulesLexer(CharStreams.fromString(text)).apply {
                removeErrorListeners()
                addErrorListener(listener)
            }
        val tokens = CommonTokenStream(lexer).apply { fill() }
        tooDeep(tokens.tokens)?.let { return failed(it) }
        tooMany(tokens.tokens)?.let { return failed(it) }
        val parser =
            RulesParser(tokens).apply {
                removeErrorListeners()
                addErrorListener(listener)
            }
        val file = parser.file()
        if (errors.isNotEmpty()) return ParsedRules(emptyList(), errors.sortedWith(compareBy({ it.line }, { it.column })), emptyList())
        val uncertainties = ArrayList<Diagnostic>()
        val checker = Checker(labels.orEmpty(), errors, uncertainties.takeIf { labels == null })
        val rules = file.rule_().map(checker::rule)
        if (errors.isNotEmpty()) return ParsedRules(emptyList(), errors.take(MAX_ERRORS), emptyList())
        return ParsedRules(
            rules,
            emptyList(),
            file.rule_().map { r ->
                RulePosition(diagnostic(r.start, ""), r.clause().map { diagnostic(it.start, "") })
            },
            uncertainties.take(MAX_ERRORS),
        )
    }

    private fun failed(fault: Diagnostic) = ParsedRules(emptyList(), listOf(fault), emptyList())

    /** Parentheses and "not" nest calls of the parser; chains of "and" and "or" nest the tree. */
    private fun tooDeep(tokens: List<Token>): Diagnostic? {
        var depth = 0
        var chain = 0
        for (t in tokens) {
            when (t.text) {
                "(" -> depth++
                ")" -> depth--
                "and", "or", "not" -> chain++
                "must", "prefer", "rule", "{" -> {
                    chain = 0
                    depth = 0
                }
            }
            if (depth > MAX_DEPTH ||
                chain > MAX_CHAIN
            ) {
                return diagnostic(
                    t,
                    "nested too deeply: at most $MAX_DEPTH parentheses and $MAX_CHAIN of \"and\", \"or\" and \"not\" in one clause",
                )
            }
        }
        return null
    }

    private fun tooMany(tokens: List<Token>): Diagnostic? =
        tokens.filter { it.type == RulesLexer.RULE }.getOrNull(MAX_RULES)?.let { diagnostic(it, "more than $MAX_RULES rules") }

    /** The parser's words for what it met, without lists that go on for lines. */
    private fun clean(message: String, at: Token?): String {
        if (message.startsWith("token recognition error")) {
            val what = message.substringAfter("at: ").take(MAX_SHOWN)
            return if (what.startsWith("'\"")) "a text that is not closed on its line" else "unexpected character $what"
        }
        val found =
            when {
                at == null -> return message.take(MAX_SHOWN)
                at.type == Token.EOF -> "the end"
                else -> "'${at.text.take(MAX_SHOWN)}'"
            }
        val expected = message.substringAfter("expecting ", "").takeIf { it.isNotEmpty() && it.length <= MAX_EXPECTED }
        return if (expected ==
            null
        ) {
            "$found is not expected here"
        } else {
            "$found is not expected here, but ${expected.removeSurrounding("{", "}")}"
        }
    }

    companion object {
        /** What one request to a controller can carry. */
        const val MAX_CHARS = 60_000
        const val MAX_RULES = 1_000
        const val MAX_ERRORS = 20
        private const val MAX_DEPTH = 40
        private const val MAX_CHAIN = 120
        private const val MAX_SHOWN = 40
        private const val MAX_EXPECTED = 60

        internal fun diagnostic(t: Token, message: String) = Diagnostic(t.line, t.charPositionInLine + 1, message)
    }
}
