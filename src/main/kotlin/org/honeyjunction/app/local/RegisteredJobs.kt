package org.honeyjunction.app.local

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Files
import org.honeyjunction.app.OperatorClient
import org.honeyjunction.app.nomad.ServerOptions
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import java.nio.file.Path

/** Job files on the cluster on loopback: registered as their users would, followed to their end, and then stopped. */
class RegisteredJobs(private val cluster: LocalCluster, private val documents: List<JobDocument>, private val say: (String) -> Unit) {
    private val client by lazy { OperatorClient(cluster.nomad) }

    /** Names and namespaces of those that were taken. */
    private val taken = ArrayList<Pair<String, String>>()

    fun register() = documents.forEach { register(it) }

    fun register(document: JobDocument): Response {
        val r = client.ask("POST", "/v1/jobs", Json.write(Json.newObject().set<ObjectNode>("Job", document.json)))
        val id = document.json.path("ID").asText()
        if (r.status == 200) taken += id to document.json.path("Namespace").asText("default")
        say(
            if (r.status == 200) {
                "$id registered at index ${Json.readObject(r.body).path("JobModifyIndex").asLong()}"
            } else {
                "$id refused: ${String(r.body)}"
            },
        )
        return r
    }

    private fun path(id: String, namespace: String, rest: String = "") =
        ServerOptions.within(namespace, "/v1/job/${ServerOptions.code(id)}$rest")

    fun get(id: String, namespace: String = "default", rest: String = ""): JsonNode? =
        client
            .ask("GET", path(id, namespace, rest))
            .takeIf {
                it.status ==
                    200
            }?.let { Json.read(it.body) }

    /** Until [ready] holds of what is told of the job; the last that was told otherwise. */
    fun until(id: String, withinS: Int, namespace: String = "default", ready: (JsonNode) -> Boolean): Boolean {
        val end = System.nanoTime() + withinS * 1_000_000_000L
        while (System.nanoTime() < end) {
            if (get(id, namespace)?.let(ready) == true) return true
            Thread.sleep(POLL_MS)
        }
        return false
    }

    /** Batch jobs until they are done, services until they are live and, with [stop], gone again. */
    fun await(withinS: Int, stop: Boolean): Boolean {
        var good = true
        for ((id, namespace) in taken) {
            val ready =
                until(id, withinS, namespace) { o ->
                    o.path("Status").asText() == "dead" ||
                        o.path("StatusDescription").asText().let {
                            it == "failed" ||
                                it == "live" &&
                                (o.path("Type").asText() == "service" || o.has("Periodic") || o.has("ParameterizedJob"))
                        }
                }
            val o = get(id, namespace)
            say("$id: ${o?.path("Status")?.asText()}, version ${o?.path("Version")?.asLong()} ${o?.path("StatusDescription")?.asText()}")
            good = good && ready && o?.path("StatusDescription")?.asText() != "failed"
        }
        if (stop) {
            for ((id, namespace) in taken) {
                client.ask("DELETE", path(id, namespace))
                good = until(id, withinS, namespace) { it.path("Status").asText() == "dead" } && good
            }
        }
        return good
    }

    companion object {
        private const val POLL_MS = 100L

        fun read(file: Path): JobDocument {
            val document = JobReader.read(Files.text(file))
            document.errors.firstOrNull()?.let { throw MalformedException(it.at(file.toString())) }
            return document
        }
    }
}
