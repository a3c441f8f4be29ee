package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Node
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.nomad.Finding
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.NomadJob
import org.honeyjunction.nomad.registry.Head
import org.honeyjunction.nomad.registry.Piece
import org.honeyjunction.nomad.registry.Version
import org.honeyjunction.nomad.registry.VersionState
import org.honeyjunction.wire.Json

/** The registry and the leader's knowledge in the words of the interface. */
class Views(private val node: Node, private val registry: NomadRegistry, private val status: NativeStatus) {
    private fun shown(namespace: String) =
        registry.all.filter { !it.head.purge && (namespace == "*" || it.head.namespace == namespace) }.sortedBy { it.head.id }

    fun jobs(namespace: String, prefix: String): ArrayNode =
        Json.newArray().also { list ->
            shown(namespace).filter { it.head.id.startsWith(prefix) }.forEach { k ->
                list
                    .addObject()
                    .put(
                        "ID",
                        k.head.id,
                    ).put("Name", k.head.id)
                    .put("Namespace", k.head.namespace)
                    .put("ParentID", k.head.parent.orEmpty())
                    .put("Type", if (k.head.service) "service" else "batch")
                    .put("Status", word(k.head))
                    .put(
                        "Stop",
                        k.head.latest.state == VersionState.STOPPED,
                    ).put("Version", k.head.latest.number)
                    .put("ModifyIndex", k.version)
                    .put("JobModifyIndex", k.version)
                    .put(
                        "SubmitTime",
                        k.head.latest.atMs * NANOS,
                    )
            }
        }

    /** pending, running or dead. */
    private fun word(h: Head) =
        when {
            h.latest.state == VersionState.STOPPED -> if (h.settled) "dead" else "running"
            h.template -> "running"
            h.settled -> "dead"
            h.latest.state == VersionState.REGISTERED -> "pending"
            else -> "running"
        }

    suspend fun job(k: KeptHead): JsonNode = describe(registry.document(k.head, k.head.latest), k, k.head.latest)

    private fun describe(o: ObjectNode, k: KeptHead, v: Version): ObjectNode =
        o.apply {
            put("Namespace", k.head.namespace).put("Version", v.number).put("Stable", v.stable).put(
                "Status",
                if (v ===
                    k.head.latest
                ) {
                    word(k.head)
                } else {
                    "dead"
                },
            )
            put(
                "StatusDescription",
                v.state.name.lowercase(),
            ).put(
                "Stop",
                v.state == VersionState.STOPPED,
            ).put("SubmitTime", v.atMs * NANOS)
                .put("ModifyIndex", k.version)
                .put("JobModifyIndex", k.version)
            k.head.parent?.let { put("ParentID", it) }
        }

    suspend fun versions(k: KeptHead): JsonNode {
        val o = Json.newObject()
        val list = o.putArray("Versions")
        for (v in k.head.versions.reversed()) list.add(describe(registry.document(k.head, v), k, v))
        return o
    }

    private fun pieces(h: Head): List<Pair<Version, Piece>> =
        h.versions
            .filter { !it.settled || it.number == h.latest.number }
            .flatMap { v -> h.pieces(listOf(v)).map { v to it } }
            .distinctBy { it.second.id }

    /** Null: no leader answers. */
    suspend fun allocations(of: KeptHead?): ArrayNode? {
        val all = (of?.let { listOf(it) } ?: shown("*")).map { it to pieces(it.head) }
        val known = status.jobs(all.flatMap { (_, pieces) -> pieces.map { it.second.id } }) ?: return null
        return Json.newArray().also { list ->
            for ((k, pieces) in all) {
                for ((v, p) in pieces) {
                    known[p.id]?.let { n ->
                        n.tasks.forEach { t -> list.add(allocation(k, v, p, n, t)) }
                    }
                }
            }
        }
    }

    private fun allocation(k: KeptHead, v: Version, p: Piece, n: NativeJob, t: NativeTask): ObjectNode {
        val client =
            when {
                t.phase == "done" -> "complete"
                n.stage == JobStage.CANCELLED || t.phase == "cancelled" -> "complete"
                t.phase == "running" -> "running"
                else -> "pending"
            }
        return Json
            .newObject()
            .put(
                "ID",
                uuid("alloc/${p.id}/${t.number}"),
            ).put("Name", "${k.head.id}.${p.group}[${p.from + t.number}]")
            .put("Namespace", k.head.namespace)
            .put("JobID", k.head.id)
            .put("JobVersion", v.number)
            .put("TaskGroup", p.group)
            .put("EvalID", evaluationId(k, v))
            .put("NodeID", t.machine?.let { uuid("node/$it") }.orEmpty())
            .put("NodeName", t.machine.orEmpty())
            .put(
                "DesiredStatus",
                if (n.stage ==
                    JobStage.CANCELLED
                ) {
                    "stop"
                } else {
                    "run"
                },
            ).put("ClientStatus", client)
            .put("ClientDescription", t.phase)
            .put("NativeJob", p.id)
            .put("ModifyIndex", k.version)
    }

    suspend fun allocation(id: String): JsonNode? = allocations(null)?.firstOrNull { it.path("ID").textValue() == id }

    suspend fun summary(k: KeptHead): JsonNode? {
        val all = pieces(k.head)
        val known = status.jobs(all.map { it.second.id }) ?: return null
        val o = Json.newObject().put("JobID", k.head.id).put("Namespace", k.head.namespace).put("ModifyIndex", k.version)
        val groups = o.putObject("Summary")
        for ((group, of) in all.map { it.second }.groupBy { it.group }) {
            val there = of.map { it to known[it.id] }
            val done = there.sumOf { it.second?.done ?: 0 }
            val running = there.sumOf { it.second?.running ?: 0 }
            val starting =
                there.sumOf { (_, n) ->
                    n?.takeIf { it.stage == JobStage.ACTIVE }?.tasks?.count {
                        it.machine != null &&
                            it.phase != "running" &&
                            it.phase != "done"
                    }
                        ?: 0
                }
            val open = there.sumOf { (p, n) -> if (n == null || n.stage == JobStage.ACTIVE) p.size - (n?.done ?: 0) else 0 }
            groups
                .putObject(
                    group,
                ).put(
                    "Queued",
                    maxOf(0, open - running - starting),
                ).put("Starting", starting)
                .put("Running", running)
                .put("Complete", done)
                .put("Failed", 0)
                .put("Lost", 0)
                .put("Unknown", 0)
        }
        val children =
            registry.all
                .filter {
                    it.head.parent == k.head.id && it.head.namespace == k.head.namespace && !it.head.purge
                }.groupingBy { word(it.head) }
                .eachCount()
        o.putObject("Children").put("Pending", children["pending"] ?: 0).put("Running", children["running"] ?: 0).put(
            "Dead",
            children["dead"] ?: 0,
        )
        return o
    }

    fun evaluations(of: KeptHead?): ArrayNode =
        Json.newArray().also { list ->
            (of?.let { listOf(it) } ?: shown("*")).forEach { k -> k.head.versions.reversed().forEach { list.add(evaluation(k, it)) } }
        }

    fun evaluation(id: String): JsonNode? =
        registry.all.firstNotNullOfOrNull { k ->
            k.head.versions
                .firstOrNull {
                    evaluationId(k, it) == id
                }?.let { evaluation(k, it) }
        }

    private fun evaluation(k: KeptHead, v: Version): ObjectNode {
        val state =
            when (v.state) {
                VersionState.REGISTERED, VersionState.ROLLING -> "pending"
                VersionState.FAILED -> "failed"
                VersionState.SUPERSEDED -> "canceled"
                VersionState.LIVE, VersionState.STOPPED, VersionState.PURGED -> "complete"
            }
        return Json
            .newObject()
            .put(
                "ID",
                evaluationId(k, v),
            ).put(
                "Namespace",
                k.head.namespace,
            ).put("JobID", k.head.id)
            .put("JobModifyIndex", k.version)
            .put("Type", if (k.head.service) "service" else "batch")
            .put(
                "TriggeredBy",
                if (v.state ==
                    VersionState.STOPPED
                ) {
                    "job-deregister"
                } else {
                    "job-register"
                },
            ).put("Status", state)
            .put("StatusDescription", v.state.name.lowercase())
            .put("ModifyIndex", k.version)
    }

    suspend fun nodes(): ArrayNode? =
        status.machines()?.let { all ->
            Json.newArray().also { list ->
                all.sortedBy { it.name }.forEach { m ->
                    list
                        .addObject()
                        .put(
                            "ID",
                            uuid("node/${m.name}"),
                        ).put(
                            "Name",
                            m.name,
                        ).put(
                            "Address",
                            m.address.substringBeforeLast(':'),
                        ).put("Datacenter", m.zone)
                        .put("NodeClass", m.type)
                        .put("NodePool", "default")
                        .put(
                            "Status",
                            if (m.phase == "up" ||
                                m.phase == "draining"
                            ) {
                                "ready"
                            } else if (m.phase ==
                                "booting"
                            ) {
                                "initializing"
                            } else {
                                "down"
                            },
                        ).put("StatusDescription", m.phase)
                        .put("Drain", m.phase == "draining")
                        .put("SchedulingEligibility", if (m.phase == "up") "eligible" else "ineligible")
                }
            }
        }

    fun self(): JsonNode =
        Json.newObject().apply {
            putObject(
                "config",
            ).put("Datacenter", node.settings.cluster.zones.name(0)).put("Region", "global").put("NodeName", node.settings.node)
            putObject("member").put("Name", node.settings.node).put("Status", "alive")
            putObject("stats").putObject("nomad").put("leader", node.isLeader.toString()).put("server", "true")
        }

    /** What a registration would change, group by group. */
    suspend fun plan(job: NomadJob, digest: String, old: KeptHead?, warnings: List<Finding>): JsonNode {
        val o = Json.newObject().put("JobModifyIndex", old?.version ?: 0).put("Warnings", warnings.joinToString("\n") { it.at("job") })
        val latest = old?.head?.latest?.takeIf { it.state != VersionState.STOPPED }
        o
            .putObject("Diff")
            .put(
                "Type",
                if (old == null) {
                    "Added"
                } else if (latest?.digest == digest) {
                    "None"
                } else {
                    "Edited"
                },
            ).put("ID", job.id)
        val updates = o.putObject("Annotations").putObject("DesiredTGUpdates")
        val before = latest?.groups.orEmpty().associateBy { it.name }
        for (g in job.groups) {
            val b = before[g.name]
            val kept = if (b == null) 0 else minOf(b.count, g.count)
            val same = b?.definition == g.definition
            updates
                .putObject(
                    g.name,
                ).put(
                    "Place",
                    g.count - kept,
                ).put(
                    "Stop",
                    maxOf(0, (b?.count ?: 0) - g.count),
                ).put("DestructiveUpdate", if (same) 0 else kept)
                .put("Ignore", if (same) kept else 0)
                .put("InPlaceUpdate", 0)
                .put("Canary", 0)
                .put("Migrate", 0)
                .put("Preemptions", 0)
        }
        before.values.filter { b -> job.groups.none { it.name == b.name } }.forEach { updates.putObject(it.name).put("Stop", it.count) }
        val free = status.machines()?.count { it.phase == "up" } ?: 0
        val native = o.putArray("Native")
        job.groups.forEach { g ->
            native
                .addObject()
                .put(
                    "Group",
                    g.name,
                ).put(
                    "Class",
                    g.spec.jobClass,
                ).put("Team", g.spec.team)
                .put("Kind", g.spec.kind.name.lowercase())
                .put("Priority", g.spec.priority.name.lowercase())
                .put(
                    "Jobs",
                    if (job.template) {
                        0
                    } else {
                        (
                            g.count +
                                g.piece -
                                1
                        ) /
                            g.piece
                    },
                ).put("Free", free)
        }
        return o
    }

    companion object {
        private const val NANOS = 1_000_000L

        fun uuid(name: String): String =
            JobDocument.hash(name).hex().let {
                "${it.substring(0, 8)}-${it.substring(8, 12)}-${it.substring(12, 16)}-${it.substring(16, 20)}-${it.substring(20, 32)}"
            }

        fun evaluationId(k: KeptHead, v: Version) = uuid("eval/${k.head.born}/${v.number}")
    }
}
