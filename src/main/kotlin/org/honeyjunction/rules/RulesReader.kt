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

/** A message about a position in a text; [line] and [column] count from 1. */
data class Diagnostic(val line: Int, val column: Int, val message: String) {
    /** The message in the form `file:line:column: message`. */
    fun at(file: String) = "$file:$line:$column: $message"
}

/**
 * The result of parsing a text: its rules, or its [errors]. [positions] has an entry for each rule. [uncertainties] are warnings
 * about labels that could not be checked because no topology was given.
 */
class ParsedRules(
    val rules: List<Rule>,
    val errors: List<Diagnostic>,
    val positions: List<RulePosition>,
    val uncertainties: List<Diagnostic> = emptyList(),
)

/** The positions where a rule and each of its clauses begin in the text; the messages are empty. */
class RulePosition(val rule: Diagnostic, val clauses: List<Diagnostic>)

/** Parses the rule language of docs/rules.md. [labels] are the labels that the topology assigns; null where no topology is given. */
class RulesReader(private val labels: Collection<String>? = emptyList()) {
    /** Parses and checks [text]; never throws for an invalid text, but returns errors. */
    fun read(text: String): ParsedRules {
        if (text.length > MAX_CHARS) return failed(Diagnostic(1, 1, "the text is longer than $MAX_CHARS characters"))
        val errors = ArrayList<Diagnostic>()
        val listener =
            object : BaseErrorListener() {
                override fun syntaxError(
                    recognizer: Recognizer<*, *>?,
                    symbol: Any?,
                    line: Int,
                    column: Int,
                    message: String,
                    exception: RecognitionException?,
                ) {
                    if (errors.size < MAX_ERRORS) errors += Diagnostic(line, column + 1, simplified(message, symbol as? Token))
                }
            }
        val lexer =
            RulesLexer(CharStreams.fromString(text)).apply {
                removeErrorListeners()
                addErrorListener(listener)
            }
        val tokens = CommonTokenStream(lexer).apply { fill() }
        nestingError(tokens.tokens)?.let { return failed(it) }
        ruleCountError(tokens.tokens)?.let { return failed(it) }
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

    private fun failed(error: Diagnostic) = ParsedRules(emptyList(), listOf(error), emptyList())

    /**
     * Limits the nesting before parsing, so that a text cannot overflow the stack: parentheses and "not" cause recursive calls of
     * the parser, and chains of "and" and "or" produce a deep tree.
     */
    private fun nestingError(tokens: List<Token>): Diagnostic? {
        var depth = 0
        var chain = 0
        for (token in tokens) {
            when (token.text) {
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
                    token,
                    "nested too deeply: at most $MAX_DEPTH parentheses and $MAX_CHAIN of \"and\", \"or\" and \"not\" in one clause",
                )
            }
        }
        return null
    }

    private fun ruleCountError(tokens: List<Token>): Diagnostic? =
        tokens.filter { it.type == RulesLexer.RULE }.getOrNull(MAX_RULES)?.let { diagnostic(it, "more than $MAX_RULES rules") }

    /** The parser's message in plainer words, and without a list of expected tokens that is longer than [MAX_EXPECTED]. */
    private fun simplified(message: String, token: Token?): String {
        if (message.startsWith("token recognition error")) {
            val unexpected = message.substringAfter("at: ").take(MAX_SHOWN)
            return if (unexpected.startsWith("'\"")) "a text that is not closed on its line" else "unexpected character $unexpected"
        }
        val found =
            when {
                token == null -> return message.take(MAX_SHOWN)
                token.type == Token.EOF -> "the end"
                else -> "'${token.text.take(MAX_SHOWN)}'"
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
        /** The longest text, in characters; a longer one does not fit into one request to a controller. */
        const val MAX_CHARS = 60_000

        /** The largest number of rules in one text. */
        const val MAX_RULES = 1_000

        /** The largest number of errors that are reported for one text. */
        const val MAX_ERRORS = 20
        private const val MAX_DEPTH = 40
        private const val MAX_CHAIN = 120
        private const val MAX_SHOWN = 40
        private const val MAX_EXPECTED = 60

        /** A diagnostic at the position of [token]. */
        internal fun diagnostic(token: Token, message: String) = Diagnostic(token.line, token.charPositionInLine + 1, message)
    }
}
