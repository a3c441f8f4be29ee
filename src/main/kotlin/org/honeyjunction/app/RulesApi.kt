package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.wire.ExplainCodec
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import java.io.IOException

/** The HTTP API for the operators' rules and for explanations of placements. Enabled in the operators' settings. */
class RulesApi(private val node: Node, private val store: RulesStore) {
    /** Whether requests for [path] belong to this API. */
    fun handles(path: String) = path == RULES_PATH || path == VERSION_PATH || path.endsWith(EXPLAIN_SUFFIX)

    /** Handles a request; if [forwarded], another controller sent it, so this node does not forward it again. */
    suspend fun handle(request: Request, forwarded: Boolean = false): Response =
        try {
            when {
                request.path == RULES_PATH && request.method == "GET" -> show()
                request.path == RULES_PATH && request.method == "POST" -> apply(request)
                request.path == VERSION_PATH && request.method == "GET" -> versionInForce()
                request.path.endsWith(EXPLAIN_SUFFIX) && request.method == "GET" -> explain(request, forwarded)
                else -> Response(405)
            }
        } catch (e: IOException) {
            node.log.debug("{} {}: {}", request.method, request.path, e.message)
            serviceUnavailable(JobApi.NO_STATE_SERVICE)
        }

    private suspend fun show(): Response {
        if (!store.isUpToDate) return serviceUnavailable("the rules are not known here yet")
        val rules = store.current
        val body = rules.document.write(Json.newObject().put("version", rules.version))
        leaderVersion()?.let { body.put("in_force", it) }
        return Response(200, Json.write(body))
    }

    /** The version of the rules that this node applies as the leader; -1 if this node does not certainly lead. */
    private fun versionInForce(): Response {
        val version = node.driverWithLease?.leader?.rulesVersion ?: NOT_LEADING
        return Response(200, Json.write(Json.newObject().put("version", version)))
    }

    /** The version of the rules that the leader applies; null if the leader does not answer. */
    private suspend fun leaderVersion(): Long? {
        node.driverWithLease?.let { return it.leader.rulesVersion }
        val response = node.jobApi.forward(Request("GET", VERSION_PATH, Response.NO_BODY)) ?: return null
        if (response.status != 200) return null
        return Json.readObject(response.body).fieldOrNull("version")?.longValue()?.takeIf { it >= 0 }
    }

    private suspend fun apply(request: Request): Response {
        val (document, expected) =
            try {
                val body = Json.readObject(request.body)
                RulesDocument.parse(body) to if (body.fieldOrNull("expect") == null) null else body.count("expect")
            } catch (e: MalformedException) {
                return Response(400, Json.error(e.message!!))
            }
        return when (val result = store.apply(document, expected)) {
            is RulesStore.ApplyResult.Applied ->
                Response(200, Json.write(Json.newObject().put("version", result.version).putTexts("warnings", result.warnings)))
            is RulesStore.ApplyResult.Invalid ->
                Response(422, Json.write(Json.newObject().put("error", result.errors.first()).putTexts("errors", result.errors)))
            is RulesStore.ApplyResult.Conflict -> {
                val error = "version ${result.version} is in force"
                Response(409, Json.write(Json.newObject().put("error", error).put("version", result.version)))
            }
            RulesStore.ApplyResult.OutcomeUnknown ->
                serviceUnavailable("not known to be in force: ask for the rules, then apply again")
        }
    }

    private fun ObjectNode.putTexts(name: String, texts: List<String>) = apply { putArray(name).apply { texts.forEach(::add) } }

    /**
     * Explains the placement of one task, or of up to [MAX_TASKS] tasks of a job. Only the leader that placed the tasks has the
     * explanations.
     */
    private suspend fun explain(request: Request, forwarded: Boolean): Response {
        val subject = request.path.removePrefix(JobApi.JOBS_PATH).removePrefix("/").removeSuffix(EXPLAIN_SUFFIX)
        val id = subject.substringBefore('/')
        val task = if ('/' in subject) taskNumber(subject) ?: return Response(404, Json.error("no such task")) else null
        if (!JobCodec.isId(id)) return Response(404, Json.error("no such job"))
        val driver = node.driverWithLease
        if (driver == null) {
            if (forwarded) return serviceUnavailable(JobApi.NO_LEADER)
            return node.jobApi.forward(request) ?: serviceUnavailable("the leader does not answer")
        }
        val now = node.clock.steady()
        val job = driver.leader.state.job(id)
        val taskCount = job?.tasks?.size ?: 0
        if (job != null && task != null && task >= taskCount) return Response(404, Json.error("job $id has $taskCount tasks"))
        val maxTasks = if (task == null) MAX_TASKS else 1
        val found = driver.leader.explain(id, task ?: 0, maxTasks, now).orEmpty()
        if (found.isNotEmpty()) return Response(200, ExplainCodec.write(id, found, now, task == null && taskCount > maxTasks))
        val accepted = job != null || node.jobApi.wasAccepted(id)
        return if (accepted) explanationExpired(subject) else Response(404, Json.error("no such job"))
    }

    private fun taskNumber(subject: String) = subject.substringAfter('/').toIntOrNull()?.takeIf { it >= 0 }

    private fun explanationExpired(subject: String): Response {
        val retention = "it is kept for ${node.tuning.explainMs / 1000} s, by the leader that placed the task"
        return Response(410, Json.error("the explanation of $subject is gone: $retention"))
    }

    companion object {
        /** The path of the rules: GET shows them, POST applies new ones. */
        const val RULES_PATH = "/v2/rules"

        /** The path at which a leader reports the version of the rules that it applies; used between controllers. */
        const val VERSION_PATH = "/v2/rules/version"

        /** The end of the paths of explanations, after the path of a job or task. */
        const val EXPLAIN_SUFFIX = "/explain"
        private const val MAX_TASKS = 200
        private const val NOT_LEADING = -1L

        /** The response to requests for this API if the operators' settings disable rules. */
        fun disabled(): Response = Response(404, Json.error("rules are switched off here: see deploy/rules.json"))
    }
}
