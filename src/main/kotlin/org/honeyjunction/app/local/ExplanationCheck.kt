package org.honeyjunction.app.local

import com.fasterxml.jackson.databind.JsonNode
import org.honeyjunction.app.JobApi
import org.honeyjunction.app.OperatorClient
import org.honeyjunction.app.RulesApi
import org.honeyjunction.core.rules.Printer
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.ReferenceModel
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.flag
import org.honeyjunction.wire.list
import org.honeyjunction.wire.text
import org.honeyjunction.wire.textOrNull

/** How many placements were explained, for how many the explanation is gone, and where it differs from the fakes' judgement. */
class ExplanationComparison(val told: Int, val gone: Int, val differences: List<String>)

/** Asks the service at [nodes] to explain the placements in [starts], and compares that with the [reference] model. */
class ExplanationCheck(nodes: List<String>, private val reference: ReferenceModel, private val starts: Map<String, HistoryChecker.Start>) {
    private val client = OperatorClient(nodes)

    fun compare(): ExplanationComparison {
        val differences = ArrayList<String>()
        var explained = 0
        var gone = 0
        for ((id, start) in starts.toSortedMap()) {
            val task = explanationOf(id)
            // Placed by an earlier leader, which remembered why, or by an attempt that ended, as the fakes saw.
            if (task?.fieldOrNull("decided_s_ago") == null || task.textOrNull("machine") != start.worker.name) {
                gone++
                continue
            }
            explained++
            differences += differences(id, start, task)
        }
        return ExplanationComparison(explained, gone, differences)
    }

    /** Null: the service has no explanation any more. */
    private fun explanationOf(id: String): JsonNode? {
        val response = client.ask("GET", "${JobApi.JOBS_PATH}/$id${RulesApi.EXPLAIN_SUFFIX}")
        return if (response.status == 200) Json.readObject(response.body).list("tasks").firstOrNull() else null
    }

    private fun differences(id: String, start: HistoryChecker.Start, task: JsonNode): List<String> {
        val boxes = starts.values.filter { it.task.spec.id == start.task.spec.id }.map { it.worker.box }
        val explainedRules = task.list("rules")
        val certain = reference.judge(start.task.spec, start.worker.box, start.beside, boxes).filter { it.sure }
        return certain.mapNotNull { verdict ->
            val clause = Printer.text(verdict.test)
            val line = explainedRules.firstOrNull { it.text("rule") == verdict.rule && clause in it.text("clause", MAX_CLAUSE) }
            difference("$id: \"${verdict.rule}\" ($clause)", start, verdict, line)
        }
    }

    private fun difference(subject: String, start: HistoryChecker.Start, verdict: ReferenceModel.Verdict, line: JsonNode?): String? {
        if (line == null) return "$subject is not explained"
        if (line.flag("met") == verdict.met) return null
        return "$subject is said to be ${if (line.flag("met")) "met" else "broken"} on ${start.worker.name}"
    }

    private companion object {
        const val MAX_CLAUSE = 20_000
    }
}
