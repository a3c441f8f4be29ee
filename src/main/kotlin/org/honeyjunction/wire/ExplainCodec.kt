package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.jobs.Alternative
import org.honeyjunction.core.control.jobs.Explanation
import org.honeyjunction.core.control.jobs.RuleLine

/** Encodes explanations of task placements: controllers write them as JSON, the operator's command renders them as lines of text. */
object ExplainCodec {
    /** Maximum length of a clause, in characters. */
    private const val MAX_CLAUSE_LENGTH = 20_000
    private const val MS_PER_S = 1000.0

    /**
     * Encodes [explanations] of tasks of [job] at the monotonic time [now], in milliseconds; [more] says whether tasks were left out.
     */
    fun write(job: String, explanations: List<Explanation>, now: Long, more: Boolean): ByteArray {
        val body = Json.newObject().put("job", job).put("more", more)
        body.putArray("tasks").apply { explanations.forEach { addObject().putExplanation(it, now) } }
        return Json.write(body)
    }

    private fun ObjectNode.putExplanation(explanation: Explanation, now: Long) {
        put("task", explanation.task)
        if (explanation.machine == null) {
            putArray("waits").apply { explanation.pendingReasons.forEach(::add) }
        } else {
            put("machine", explanation.machine)
        }
        explanation.decidedAt?.let { put("decided_s_ago", (now - it) / MS_PER_S) }
        put("rules_version", explanation.version)
        put("fairness", explanation.fairness)
        put("locality_gb", explanation.localityGb)
        putArray("rules").apply { explanation.rules.forEach { addRule(it) } }
        explanation.bestForbidden?.let { putObject("best_barred").putAlternative(it) }
    }

    private fun ArrayNode.addRule(line: RuleLine) {
        val rule = addObject()
        rule.put("rule", line.rule)
        rule.put("clause", line.clause)
        rule.put("must", line.must)
        rule.put("met", line.met)
        line.costGb?.let { rule.put("cost_gb", it) }
    }

    private fun ObjectNode.putAlternative(alternative: Alternative) {
        put("machine", alternative.machine)
        put("cost_gb", alternative.costGb)
        put("rule", alternative.rule)
        put("clause", alternative.clause)
    }

    /** Renders a document that [write] encoded as lines of text. */
    fun lines(document: JsonNode): List<String> {
        val lines = document.list("tasks").flatMap(::taskLines)
        return if (document.flag("more")) lines + "(more tasks: ask for one as JOB/TASK)" else lines
    }

    private fun taskLines(task: JsonNode): List<String> {
        val lines = ArrayList<String>()
        val machine = task.textOrNull("machine")
        lines += "${task.text("task")}  ${placementText(task, machine)}"
        task.listOrEmpty("waits").forEach { lines += "    ${it.textValue()}" }
        task.listOrEmpty("rules").forEach { lines += "    ${ruleText(it)}" }
        if (machine != null) {
            lines += "    locality ${task.amount("locality_gb")} GB, fairness ${"%.1f".format(task.amount("fairness"))}"
        }
        task.fieldOrNull("best_barred")?.let { lines += "    ${alternativeText(it)}" }
        return lines
    }

    private fun placementText(task: JsonNode, machine: String?): String {
        val version = task.count("rules_version")
        return when {
            machine == null -> "waits (rules version $version)"
            task.fieldOrNull("decided_s_ago") == null ->
                "is on $machine; another leader placed it, so the rules are told as they hold now (version $version)"
            else -> "was placed on $machine ${task.amount("decided_s_ago")} s ago by rules version $version"
        }
    }

    private fun ruleText(rule: JsonNode): String {
        val verdict = if (rule.flag("met")) "met   " else "BROKEN"
        val cost = rule.amountOrNull("cost_gb")?.let { ": costs $it GB" }.orEmpty()
        return "$verdict  \"${rule.text("rule")}\"  ${rule.text("clause", MAX_CLAUSE_LENGTH)}$cost"
    }

    private fun alternativeText(alternative: JsonNode): String {
        val machine = alternative.text("machine")
        val cost = alternative.amount("cost_gb")
        val rule = alternative.text("rule")
        return "$machine would have cost $cost GB, but rule \"$rule\" forbids it: ${alternative.text("clause", MAX_CLAUSE_LENGTH)}"
    }
}
