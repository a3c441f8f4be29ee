package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Node
import org.honeyjunction.nomad.Durations
import org.honeyjunction.nomad.Finding
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.nomad.Meaning
import org.honeyjunction.nomad.VariableValues
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.fieldOrNull
import java.io.IOException
import java.net.URLDecoder

/** The HTTP interface that clients of job files know, as far as docs/nomad.md lists it; on a listener of its own. */
class NomadApi(private val node: Node, private val registry: NomadRegistry, private val status: NativeStatus) {
    private val views = Views(node, registry, status)

    /** A request taken apart: the path's segments, decoded, and what follows the question mark. */
    private class Call(r: Request) {
        val method = r.method
        val body = r.body
        val query: Map<String, String> =
            r.target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }.associate {
                decode(it.substringBefore('=')) to
                    decode(it.substringAfter('=', ""))
            }
        val segments: List<String> = r.path.split('/').filter { it.isNotEmpty() }.map(::decode)
        val namespace = query["namespace"]?.ifEmpty { null } ?: "default"
        val reads get() = method == "GET"
        val writes get() = method == "POST" || method == "PUT"

        private fun decode(s: String) = URLDecoder.decode(s, Charsets.UTF_8)
    }

    /** Something that is not as the caller thinks; told as text, as its clients expect. */
    private class Told(val status: Int, message: String) : Exception(message)

    suspend fun handle(r: Request): Response =
        try {
            val call = Call(r)
            if (call.segments.firstOrNull() != "v1") throw Told(404, "not found")
            route(call, call.segments.drop(1))
        } catch (e: Told) {
            text(e.status, e.message!!)
        } catch (e: MalformedException) {
            text(400, e.message!!)
        } catch (e: IllegalArgumentException) {
            text(400, "the path or query can't be decoded")
        } catch (e: IOException) {
            node.log.debug("{} {}: {}", r.method, r.path, e.message)
            later("the state service does not answer this node")
        }

    private suspend fun route(c: Call, path: List<String>): Response {
        val first = path.firstOrNull() ?: throw Told(404, "not found")
        return when (first) {
            "jobs" ->
                when {
                    path.size == 2 && path[1] == "parse" && c.writes -> parse(c)
                    path.size > 1 -> throw Told(404, "not found")
                    c.reads -> blocking(c) { views.jobs(c.namespace, c.query["prefix"].orEmpty()) }
                    c.writes -> register(c)
                    else -> throw Told(405, "method not allowed")
                }
            "validate" -> validate(c)
            "job" -> job(c, path.drop(1))
            "allocations" -> if (c.reads) live(c) { views.allocations(null) } else throw Told(405, "method not allowed")
            "allocation" -> live(c) { views.allocation(path.getOrElse(1) { "" }) ?: throw Told(404, "alloc not found") }
            "evaluations" -> blocking(c) { views.evaluations(null) }
            "evaluation" ->
                blocking(c) {
                    val id = path.getOrElse(1) { "" }
                    views.evaluation(id) ?: throw Told(404, "eval not found")
                }
            "nodes" -> live(c) { views.nodes() }
            "node" ->
                live(c) {
                    views.nodes()?.firstOrNull { it.path("ID").textValue() == path.getOrNull(1) }
                        ?: throw Told(404, "node not found")
                }
            "agent" -> if (path.getOrNull(1) == "self") json(views.self()) else throw Told(404, "not found")
            "status" ->
                when (path.getOrNull(1)) {
                    "leader" -> json(Json.text(node.leaderName?.let { "$it:4647" }.orEmpty()))
                    "peers" ->
                        json(
                            Json.newArray().also { a ->
                                (node.settings.peers.map { it.name } + node.settings.node).sorted().forEach { n -> a.add("$n:4647") }
                            },
                        )
                    else -> throw Told(404, "not found")
                }
            "regions" -> json(Json.newArray().add("global"))
            "namespaces" ->
                json(
                    Json.newArray().also { a ->
                        (registry.all.map { it.head.namespace } + "default").distinct().sorted().forEach { n ->
                            a.addObject().put("Name", n)
                        }
                    },
                )
            else -> throw Told(404, "not found")
        }
    }

    private suspend fun job(c: Call, path: List<String>): Response {
        val verbs = setOf("allocations", "evaluations", "summary", "versions", "plan", "dispatch", "deployments")
        // Names may have slashes that a client did not encode.
        val verb = path.lastOrNull()?.takeIf { path.size > 1 && it in verbs }
        val id = (if (verb != null) path.dropLast(1) else path).joinToString("/")
        if (id.isEmpty()) throw Told(404, "job not found")
        return when (verb) {
            null ->
                when {
                    c.reads -> blocking(c, { find(c, id).version }) { views.job(find(c, id)) }
                    c.writes -> register(c, id)
                    c.method == "DELETE" -> stop(c, id)
                    else -> throw Told(405, "method not allowed")
                }
            "plan" -> plan(c, id)
            "dispatch" -> dispatch(c, id)
            "allocations" -> live(c) { views.allocations(find(c, id)) }
            "summary" -> live(c) { views.summary(find(c, id)) }
            "evaluations" -> blocking(c, { find(c, id).version }) { views.evaluations(find(c, id)) }
            "versions" -> blocking(c, { find(c, id).version }) { views.versions(find(c, id)) }
            else -> json(Json.newArray())
        }
    }

    private fun find(c: Call, id: String): KeptHead =
        registry.find(c.namespace, id)?.takeUnless { it.head.purge } ?: throw Told(404, "job not found")

    /** Answers from the registry, whose every change has an index; [at] is that of what is asked for. */
    private suspend fun blocking(c: Call, at: () -> Long = { registry.changedAt }, answer: suspend () -> JsonNode): Response {
        registry.refresh()
        val index = c.query["index"]?.toLongOrNull() ?: 0
        if (index > 0) {
            val until = node.clock.steady() + waitMs(c)
            while (at() <= index && node.clock.steady() < until) {
                if (!registry.await(maxOf(index, registry.changedAt), until - node.clock.steady())) return busy()
            }
            // What was waited for may be older than what others were told meanwhile.
            registry.refresh()
        }
        return json(answer(), at())
    }

    /** Answers from what the leader sees, whose changes have no index of their own: the state service's revision stands for it. */
    private suspend fun live(c: Call, answer: suspend () -> JsonNode?): Response {
        registry.refresh()
        val index = c.query["index"]?.toLongOrNull() ?: 0
        var now = answer() ?: return later(NO_LEADER)
        if (index > 0 && registry.revision <= index) {
            val first = now
            val until = node.clock.steady() + waitMs(c)
            while (now == first && node.clock.steady() < until) {
                if (!registry.await(registry.changedAt, minOf(LIVE_STEP_MS, until - node.clock.steady()))) return busy()
                registry.refresh()
                now = answer() ?: return later(NO_LEADER)
            }
        }
        return json(now, maxOf(registry.revision, index))
    }

    private fun waitMs(c: Call): Long {
        val asked = c.query["wait"]?.let { Durations.nanos(it) ?: throw Told(400, "Invalid wait time") }?.div(1_000_000) ?: DEFAULT_WAIT_MS
        return asked.coerceIn(1, MOST_WAIT_MS)
    }

    private fun read(c: Call, id: String?): Pair<ObjectNode, JobDocument> {
        val o = Json.readObject(c.body)
        val job = o.fieldOrNull("Job") as? ObjectNode ?: throw Told(400, "Job must be specified")
        // The name is what the file says; the path must not say otherwise.
        val document = JobReader.read(job)
        val own = document.json.path("ID").textValue()
        if (id != null && own != null && own != id) throw Told(400, "Job ID does not match name: $own and $id")
        return o to document
    }

    private suspend fun register(c: Call, id: String? = null): Response {
        val (o, document) = read(c, id)
        val enforce = if (o.path("EnforceIndex").asBoolean()) o.path("JobModifyIndex").asLong() else null
        return answer(registry.register(document, enforce)) { kept, warnings ->
            Json
                .newObject()
                .put(
                    "EvalID",
                    Views.evaluationId(kept, kept.head.latest),
                ).put("EvalCreateIndex", kept.version)
                .put("JobModifyIndex", kept.version)
                .put("Warnings", warnings.joinToString("\n") { it.at("job") })
                .put("Index", kept.version)
                .put("LastContact", 0)
                .put(
                    "KnownLeader",
                    node.leaderName != null,
                )
        }
    }

    private suspend fun stop(c: Call, id: String): Response {
        val purge = c.query["purge"] == "true"
        val outcome = registry.stop(c.namespace, id, purge) ?: throw Told(404, "job not found")
        return answer(
            outcome,
        ) { kept, _ ->
            Json
                .newObject()
                .put(
                    "EvalID",
                    Views.evaluationId(kept, kept.head.latest),
                ).put("EvalCreateIndex", kept.version)
                .put("JobModifyIndex", kept.version)
                .put("Index", kept.version)
        }
    }

    private suspend fun dispatch(c: Call, id: String): Response {
        registry.refresh()
        val o = Json.readObject(c.body)
        val meta = o.fieldOrNull("Meta")?.properties().orEmpty().associate { (k, v) -> k to v.asText() }
        val outcome =
            registry.dispatch(
                find(c, id),
                o.fieldOrNull("Payload")?.textValue()?.ifEmpty {
                    null
                },
                meta,
                c.query["idempotency_token"]?.ifEmpty { null },
            )
        return answer(outcome) { kept, _ ->
            Json
                .newObject()
                .put(
                    "DispatchedJobID",
                    kept.head.id,
                ).put(
                    "EvalID",
                    Views.evaluationId(kept, kept.head.latest),
                ).put("EvalCreateIndex", kept.version)
                .put("JobCreateIndex", kept.version)
                .put("Index", kept.version)
        }
    }

    private fun answer(outcome: NomadRegistry.Outcome, body: (KeptHead, List<Finding>) -> ObjectNode): Response =
        when (outcome) {
            is NomadRegistry.Outcome.Done -> json(body(outcome.kept, outcome.warnings), outcome.kept.version)
            is NomadRegistry.Outcome.Refused -> text(outcome.status, outcome.why.joinToString("\n"))
            is NomadRegistry.Outcome.Later -> later(outcome.why)
        }

    private fun parse(c: Call): Response {
        val o = Json.readObject(c.body)
        val text = o.fieldOrNull("JobHCL")?.textValue() ?: throw Told(400, "Job spec is empty")
        val values =
            VariableValues(
                listOfNotNull(
                    o.fieldOrNull("Variables")?.textValue()?.takeIf { it.isNotBlank() }?.let {
                        "Variables" to
                            it
                    },
                ),
            )
        val document = JobReader.read(text, values)
        if (document.errors.isNotEmpty()) return text(400, document.errors.joinToString("\n") { it.at("job") })
        return json(document.json)
    }

    private fun validate(c: Call): Response {
        val meant = Meaning(read(c, null).second, registry.site()).read()
        val o =
            Json
                .newObject()
                .put("DriverConfigValidated", true)
                .put(
                    "Error",
                    meant.errors.joinToString("\n") {
                        it.at("job")
                    },
                ).put("Warnings", meant.warnings.joinToString("\n") { it.at("job") })
        o.putArray("ValidationErrors").also { a -> meant.errors.forEach { a.add(it.at("job")) } }
        return json(o)
    }

    private suspend fun plan(c: Call, id: String): Response {
        if (!c.writes) throw Told(405, "method not allowed")
        val (_, document) = read(c, id)
        registry.refresh()
        val meant = Meaning(document, registry.site()).read()
        val job = meant.job ?: throw Told(400, meant.errors.joinToString("\n") { it.at("job") })
        val old = registry.find(job.namespace, job.id)
        return json(views.plan(job, document.digest, old?.takeUnless { it.head.purge }, meant.warnings))
    }

    private fun json(n: JsonNode, index: Long? = null): Response =
        Response(
            200,
            Json.write(n),
            headers =
                index
                    ?.let {
                        mapOf(
                            "X-Nomad-Index" to "${maxOf(it, 1)}",
                            "X-Nomad-LastContact" to "0",
                            "X-Nomad-KnownLeader" to "${node.leaderName != null}",
                        )
                    }.orEmpty(),
        )

    private fun text(status: Int, message: String) = Response(status, message.toByteArray(), headers = TEXT)

    private fun later(why: String) = Response(503, why.toByteArray(), retryAfterS = 1, headers = TEXT)

    private fun busy() = Response(429, "too many queries wait at this controller".toByteArray(), retryAfterS = 2, headers = TEXT)

    private companion object {
        val TEXT = mapOf("Content-Type" to "text/plain; charset=utf-8")
        const val NO_LEADER = "no node is sure to hold the term"
        const val DEFAULT_WAIT_MS = 60_000L
        const val MOST_WAIT_MS = 300_000L
        const val LIVE_STEP_MS = 500L
    }
}
