package org.honeyjunction.rules

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.rules.Analysis
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.Clause
import org.honeyjunction.core.rules.ComparisonOperator
import org.honeyjunction.core.rules.TaskSelector
import org.honeyjunction.core.rules.Value
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import org.honeyjunction.core.rules.Test as RuleTest

/** Tests the errors and warnings that operators get for rules and topologies, and the labels of machines. */
class RulesReaderTest {
    private fun read(text: String, vararg labels: String) = RulesReader(labels.asList()).read(text)

    private fun rule(clause: String, selector: String = "all") = "rule \"r\" for $selector {\n  $clause\n}\n"

    @Test
    fun `rules with requirements, preferences and comments are parsed into clauses`() {
        val read =
            read(
                """
            # who: class, team, kind
            rule "matching needs accelerators" for class "roast-match-serve" {
              must machine.gpus >= 1
            }
            rule "trainer on one rack" for class "blend-gang-train" and kind gang {
              prefer same rack weight 20
            }
            rule "quotes away from backtests" for class "quote-rate-serve" {
              must not machine runs class "spread-backtest-array"
              prefer machine.zone in ["rambla", "ciudad-vieja"] weight 5
              prefer not machine.spot weight 2.5
            }
            """,
                "rack",
            )
        assertEquals(emptyList<Diagnostic>(), read.errors)
        val (matching, trainer, quotes) = read.rules
        assertEquals(
            listOf(Clause(RuleTest.Compare(Attribute.Amount.GPUS, ComparisonOperator.GE, Value.Number(1.0)), null)),
            matching.clauses,
        )
        assertEquals(
            TaskSelector.And(TaskSelector.Named(TaskSelector.Field.CLASS, "blend-gang-train"), TaskSelector.OfKind(JobKind.GANG)),
            trainer.selector,
        )
        assertEquals(Clause(RuleTest.Same(Attribute.Label("rack")), 20.0), trainer.clauses.single())
        assertEquals(
            Clause(RuleTest.Not(RuleTest.Runs(TaskSelector.Named(TaskSelector.Field.CLASS, "spread-backtest-array"))), null),
            quotes.clauses[0],
        )
        assertEquals(2.5, quotes.clauses[2].weight)
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidTexts")
    fun `an invalid text gives an error with its line and column`(text: String, expected: String) {
        val errors = read(text, "rack").errors
        assertEquals(expected, errors.first().at("f"), errors.toString())
        assertTrue(errors.size <= RulesReader.MAX_ERRORS)
    }

    @Test
    fun `all errors of one text are reported`() {
        val errors = read(rule("must machine.gpu >= 1\n  prefer machine.zone = 3 weight -1\n  must same rock"), "rack").errors
        assertEquals(listOf(2, 3, 3, 4), errors.map { it.line })
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("rulesWithWarnings")
    fun `valid rules with probable mistakes give a warning`(text: String, expected: String?) {
        val read = read(text, "rack")
        assertEquals(emptyList<Diagnostic>(), read.errors)
        val known =
            Analysis.Inventory(
                setOf("desk"),
                setOf("a", "b"),
                listOf(Analysis.MachineKind("g4", "a", false, 16.0, 4.0, 64.0), Analysis.MachineKind("c8", "b", true, 8.0, 0.0, 32.0)),
            )
        val warnings = Analysis(read.rules, known).warnings().map { it.message }
        assertEquals(expected, warnings.firstOrNull(), warnings.toString())
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "{\"machines\":[{\"name\":\"vm-*\",\"labels\":{\"rack\":\"a\"}},{\"name\":\"*-1\",\"labels\":{\"rack\":\"b\"}}]}|machines[0] and machines[1] overlap",
            "{\"machines\":[{\"having\":{\"hall\":\"x\"},\"labels\":{\"rack\":\"a\"}},{\"having\":{\"rack\":\"a\"},\"labels\":{\"hall\":\"x\"}}]}|labels decide each other: rack -> hall -> rack",
            "{\"machines\":[{\"labels\":{\"zone\":\"a\"}}]}|zone",
            "{\"machines\":[{\"labels\":{}}]}|labels",
            "{\"machine\":[]}|machine",
            "{\"machines\":[{\"name\":7,\"labels\":{\"rack\":\"a\"}}]}|name",
        ],
    )
    fun `a topology that is contradictory, cyclic or does not match its schema is rejected`(text: String, expected: String) {
        val exception = assertThrows(MalformedException::class.java) { TopologyReader.parse(Json.read(text.toByteArray())) }
        assertTrue(expected in exception.message!!, exception.message)
    }

    @Test
    fun `labels follow from the name, the zone and other labels, and are unknown where a missing name would decide them`() {
        val topology =
            TopologyReader.parse(
                Json.read(
                    """{"machines":[{"name":"vm-0?","labels":{"rack":"r0"}},{"name":"vm-1*","labels":{"rack":"r1"}},
                {"having":{"rack":"r1"},"labels":{"hall":"north"}},{"zone":"b","labels":{"power":"p"}}]}""".toByteArray(),
                ),
            )
        assertEquals(mapOf("rack" to "r0"), topology.labels("vm-07", "g", "a"))
        assertEquals(mapOf("rack" to "r1", "hall" to "north", "power" to "p"), topology.labels("vm-123", "g", "b"))
        assertEquals(mapOf("rack" to "?", "hall" to "?", "power" to "p"), topology.labels(null, "g", "b"))
    }

    companion object {
        private fun ruleText(clause: String, selector: String = "all") = "rule \"r\" for $selector {\n  $clause\n}\n"

        @JvmStatic
        fun invalidTexts() =
            listOf(
                arrayOf(ruleText("must machine.gpu >= 1"), "f:2:16: there is no attribute machine.gpu; did you mean 'gpus'?"),
                arrayOf(ruleText("must machine.colour = \"red\""), "f:2:16: there is no attribute machine.colour"),
                arrayOf(ruleText("must machine.zone = 3"), "f:2:23: machine.zone is compared with a text in quotes, not 3"),
                arrayOf(ruleText("must machine.gpus = \"two\""), "f:2:23: machine.gpus is compared with a number, not \"two\""),
                arrayOf(ruleText("must machine.zone < \"a\""), "f:2:21: machine.zone can only be = or != something"),
                arrayOf(ruleText("must machine.gpus"), "f:2:8: machine.gpus is not true or false: compare it with something"),
                arrayOf(ruleText("must same rock"), "f:2:13: there is no label 'rock'; did you mean 'rack'?"),
                arrayOf(ruleText("prefer machine.spot weight -5"), "f:2:30: a weight is above 0 and at most 1000 gigabytes, not -5"),
                arrayOf(ruleText("prefer machine.spot weight 0"), "f:2:30: a weight is above 0 and at most 1000 gigabytes, not 0"),
                arrayOf(
                    ruleText("prefer machine.spot weight 1" + "0".repeat(400)),
                    "f:2:30: a weight is above 0 and at most 1000 gigabytes, not 1" + "0".repeat(39) + "...",
                ),
                arrayOf(ruleText("prefer machine.spot weight NaN"), "f:2:30: 'NaN' is not expected here, but NUMBER"),
                arrayOf(ruleText("prefer machine.spot"), "f:3:1: '}' is not expected here, but 'weight', 'one'"),
                arrayOf(ruleText("must machine.spot one way"), "f:2:21: \"one way\" is for \"machine runs\" only"),
                arrayOf(ruleText("must machine.spot", "kind cluster"), "f:1:19: 'cluster' is none of array, gang, service"),
                arrayOf("rule \"r\" for class \"x {\n}\n", "f:1:20: a text that is not closed on its line"),
                arrayOf("rule \"r\" for all {\n  must machine.spot", "f:2:20: the end is not expected here, but '}', 'must', 'prefer'"),
                arrayOf(
                    ruleText("must " + "(".repeat(5_000) + "machine.spot" + ")".repeat(5_000)),
                    "f:2:48: nested too deeply: at most 40 parentheses and 120 of \"and\", \"or\" and \"not\" in one clause",
                ),
                arrayOf(
                    ruleText("must " + "not ".repeat(5_000) + "machine.spot"),
                    "f:2:488: nested too deeply: at most 40 parentheses and 120 of \"and\", \"or\" and \"not\" in one clause",
                ),
                arrayOf("# " + "x".repeat(64 * 1024), "f:1:1: the text is longer than 60000 characters"),
                arrayOf("rule \"r\" for all { }\n".repeat(2_000), "f:1001:1: more than 1000 rules"),
            )

        @JvmStatic
        fun rulesWithWarnings() =
            listOf(
                arrayOf(ruleText("must machine.gpus >= 1"), null),
                arrayOf(
                    ruleText("must machine.gpus = 0\n  prefer machine.gpus >= 2 weight 3"),
                    "\"prefer machine.gpus >= 2 weight 3\" contradicts \"must machine.gpus = 0\" of rule \"r\": the constraint wins",
                ),
                arrayOf(
                    ruleText("must machine.spot and not machine.spot"),
                    "no machine can ever meet \"must machine.spot and not machine.spot\"",
                ),
                arrayOf(ruleText("must machine.gpus >= 8"), "no known machine type meets \"must machine.gpus >= 8\""),
                arrayOf(ruleText("must machine.spot", "class \"a\" and class \"b\""), "rule \"r\" selects nothing"),
                arrayOf(ruleText("must machine.spot", "team \"dsek\""), "there is no team \"dsek\""),
                arrayOf(ruleText("must machine.spot") + ruleText("must machine.spot"), "the name \"r\" is that of an earlier rule as well"),
                arrayOf("rule \"r\" for all { }", "rule \"r\" asks for nothing"),
                arrayOf(ruleText("must machine runs class \"x\" or machine.gpus > 0"), null),
            )
    }
}
