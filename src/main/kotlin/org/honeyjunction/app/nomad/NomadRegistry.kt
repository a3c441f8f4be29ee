package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.honeyjunction.app.ChunkedTextStore
import org.honeyjunction.app.Keys
import org.honeyjunction.app.Node
import org.honeyjunction.core.model.Feasibility
import org.honeyjunction.core.rules.RuleBook
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.nomad.Finding
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.nomad.Meaning
import org.honeyjunction.nomad.NomadJob
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.nomad.Site
import org.honeyjunction.nomad.registry.Change
import org.honeyjunction.nomad.registry.Head
import org.honeyjunction.nomad.registry.HeadCodec
import org.honeyjunction.nomad.registry.Registry
import org.honeyjunction.nomad.registry.Version
import org.honeyjunction.nomad.registry.VersionState
import org.honeyjunction.nomad.registry.Wanted
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.KeyChange
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Write
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.UUID

/** A head with the revision of its last change, which is its modify index. */
class KeptHead(val head: Head, val version: Long) {
    val key get() = NomadRegistry.key(head.namespace, head.id)
}

/**
 * The registry of jobs that come as files: a follower of the heads on every controller, and what users may change. A
 * registration is one write of a head, on condition of the head's and its document's versions; the leader does the rest.
 */
class NomadRegistry(private val node: Node, val options: NomadOptions) {
    sealed interface Outcome {
        class Done(val kept: KeptHead, val warnings: List<Finding>) : Outcome

        class Refused(val status: Int, val why: List<String>) : Outcome

        class Later(val why: String) : Outcome
    }

    private val log = LoggerFactory.getLogger(NomadRegistry::class.java)
    private val state get() = node.state
    val parts = ChunkedTextStore(node.state, node.settings.stateLimits)
    private val heads = LinkedHashMap<String, KeptHead>()
    private val documents = HashMap<String, NomadJob>()
    private val refreshing = Mutex()
    private var known = false

    /** The state service's revision up to which [heads] are known, and that of the latest change among them. */
    var revision = 0L
        private set
    var changedAt = 0L
        private set
    private var changed = CompletableDeferred<Unit>()
    var waiting = 0
        private set

    val all: Collection<KeptHead> get() = heads.values

    fun find(namespace: String, id: String): KeptHead? = heads[key(namespace, id)]

    suspend fun follow() {
        while (true) {
            try {
                if (!known) refresh()
                val answer = state.changes(Keys.NOMAD_HEADS, revision, WATCH_MS)
                if (answer == null) known = false else take(answer.revision, answer.changes)
            } catch (e: IOException) {
                log.debug("failed to follow registered jobs: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** Brings the view up to what the state service has now: no answer after this is older than one that anybody was given before. */
    suspend fun refresh() =
        refreshing.withLock {
            val answer = if (known) state.changes(Keys.NOMAD_HEADS, revision, 0) else null
            if (answer != null) return@withLock take(answer.revision, answer.changes)
            val (entries, at) = state.scan(Keys.NOMAD_HEADS)
            heads.clear()
            entries.forEach { e -> e.value?.let { put(e.key, it, e.version) } }
            known = true
            revision = maxOf(revision, at)
            note(at)
        }

    private fun take(at: Long, changes: List<KeyChange>) {
        // Of two answers that cross, the one that knows less changes nothing: what it tells may have been deleted since.
        for (c in changes.filter { it.version > revision }.sortedBy { it.version }) {
            val value = c.value
            if (value == null) heads -= c.key else put(c.key, value, c.version)
            note(c.version)
        }
        revision = maxOf(revision, at)
    }

    private fun put(key: String, value: JsonNode, version: Long) {
        try {
            heads[key] = KeptHead(HeadCodec.read(value), version)
        } catch (e: MalformedException) {
            log.error("the head {} can't be read: {}", key, e.message)
        }
    }

    private fun note(at: Long) {
        if (at <= changedAt) return
        changedAt = at
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    /** Until something changed after [index], or the time is over. False: too many wait already. */
    suspend fun await(index: Long, forMs: Long): Boolean {
        if (waiting >= options.maxWaiting) return false
        waiting++
        try {
            withTimeoutOrNull(forMs) {
                while (changedAt <= index) changed.await()
            }
        } finally {
            waiting--
        }
        return true
    }

    fun site(): Site {
        val cluster = node.settings.cluster
        val topology = node.rules?.current?.set?.topology
        val labels = topology?.entries.orEmpty().flatMap { it.set.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.toSet() }
        return Site(
            (0 until cluster.zones.size).map(cluster.zones::name),
            cluster.types.values.map { it.name },
            cluster.teams.map { it.name },
            labels,
            options,
            node.rules != null,
        )
    }

    suspend fun register(document: JobDocument, enforce: Long?, parent: String? = null): Outcome {
        if (node.settings.cluster.types.isEmpty()) return Outcome.Later("the machine types are not known yet")
        val meant = Meaning(document, site()).read()
        val job = meant.job ?: return Outcome.Refused(400, meant.errors.map { it.at("job") })
        never(job)?.let { return it }
        if (node.overloaded) return Outcome.Later("too much is waiting to be written or to run")
        val key = key(job.namespace, job.id)
        val entry = state.get(key)
        val old = entry.value?.let { HeadCodec.read(it) }
        if (enforce != null && enforce != entry.version) {
            return Outcome.Refused(
                409,
                listOf("Enforcing job modify index $enforce: job exists with conflicting job modify index: ${entry.version}"),
            )
        }
        val text = String(Json.write(document.json))
        val pieces =
            parts.split(text)
                ?: return Outcome.Refused(400, listOf("the job has ${text.length} characters; at most ${parts.maxBytes} can be kept"))
        val wanted = wanted(job, document.digest, pieces.size)
        val change =
            Registry.register(
                old,
                job.namespace,
                job.id,
                wanted,
                UUID.randomUUID().toString().take(BORN),
                node.clock.wall(),
                parent,
            )
        val head = (change as? Change.To)?.head ?: return unwritten(change, entry.version, meant.warnings)
        val json = HeadCodec.write(head)
        if (Json.write(json).size >
            node.settings.stateLimits.valueBytes
        ) {
            return Outcome.Refused(
                400,
                listOf("the job has too many groups for one record of ${node.settings.stateLimits.valueBytes} bytes"),
            )
        }
        val there =
            parts.writeMissing(pieces) { Keys.nomadPart(head.born, document.digest, it) } ?: return Outcome.Later("not known to be written")
        return written(head, state.commit(listOf(Condition(key, entry.version)) + there, listOf(Write(key, json))), meant.warnings)
    }

    /** What is told of a change for which nothing has to be written. */
    private fun unwritten(change: Change, version: Long, warnings: List<Finding>): Outcome =
        when (change) {
            is Change.Same -> Outcome.Done(KeptHead(change.head, version), warnings)
            is Change.Refused -> Outcome.Refused(400, listOf(change.why))
            is Change.Later -> Outcome.Later(change.why)
            is Change.To -> error("version ${change.head.latest.number} of ${change.head.id} is not written")
        }

    private suspend fun written(head: Head, outcome: CompareAndSwapOutcome, warnings: List<Finding>): Outcome =
        when (outcome) {
            is CompareAndSwapOutcome.Applied -> Outcome.Done(KeptHead(head, outcome.revision), warnings).also { refreshQuietly() }
            CompareAndSwapOutcome.Conflict -> Outcome.Later("the job was changed by somebody else at the same time")
            CompareAndSwapOutcome.Unknown -> Outcome.Later("not known to be written")
        }

    private suspend fun refreshQuietly() =
        try {
            refresh()
        } catch (e: IOException) {
            log.debug("failed to refresh the registered jobs after a change: {}", e.message)
        }

    /** What the rules and the protocol forbid for good. */
    private fun never(job: NomadJob): Outcome? {
        val cluster = node.settings.cluster
        val operators = node.rules?.current?.set ?: RuleSet.NONE
        for (g in job.groups.filter { it.count > 0 }) {
            val spec = g.spec.copy(tasks = g.count)
            val book = RuleBook(cluster, RuleSet(operators.version, operators.rules + g.rules, operators.topology))
            when (val verdict = book.checkFeasibility(spec)) {
                is Feasibility.Infeasible -> return Outcome.Refused(400, listOf("group \"${g.name}\": ${verdict.reason} (PROTOCOL, 422)"))
                Feasibility.Unknown -> return Outcome.Later("the machine types are not known yet")
                Feasibility.Feasible -> Unit
            }
        }
        return null
    }

    suspend fun stop(namespace: String, id: String, purge: Boolean): Outcome? {
        val key = key(namespace, id)
        val entry = state.get(key)
        val old = entry.value?.let { HeadCodec.read(it) } ?: return null
        val change = Registry.stop(old, purge)
        val head = (change as? Change.To)?.head ?: return unwritten(change, entry.version, emptyList())
        return written(head, state.commit(listOf(Condition(key, entry.version)), listOf(Write(key, HeadCodec.write(head)))), emptyList())
    }

    /** A child of a parameterized job; the same [token] starts the same child once, whoever asks how often. */
    suspend fun dispatch(parent: KeptHead, payload: String?, meta: Map<String, String>, token: String?): Outcome {
        val job = meaning(parent.head, parent.head.latest) ?: return Outcome.Later("the job's document can't be read")
        val p = job.parameterized ?: return Outcome.Refused(400, listOf("job \"${parent.head.id}\" is not parameterized"))
        val wrong =
            when {
                parent.head.latest.state == VersionState.STOPPED -> "job \"${parent.head.id}\" is stopped"
                p.payload == "required" && payload == null -> "a payload is required"
                p.payload == "forbidden" && payload != null -> "a payload is forbidden"
                (payload?.length ?: 0) > MAX_PAYLOAD -> "the payload has more than ${MAX_PAYLOAD * 3 / 4} bytes"
                else ->
                    (p.required - meta.keys).firstOrNull()?.let { "meta $it is required" }
                        ?: (meta.keys - p.required.toSet() - p.optional.toSet()).firstOrNull()?.let {
                            "meta $it is neither required nor optional"
                        }
            }
        if (wrong != null) return Outcome.Refused(400, listOf(wrong))
        val name =
            if (token ==
                null
            ) {
                "${node.clock.wall() / 1000}-${UUID.randomUUID().toString().take(8)}"
            } else {
                "t-${JobDocument.hash("${parent.head.born}/$token").hex().take(24)}"
            }
        val child = child(document(parent.head, parent.head.latest), "${parent.head.id}/dispatch-$name", meta)
        payload?.let { child.put("Payload", it) }
        find(parent.head.namespace, child.path("ID").asText())?.let { return Outcome.Done(it, emptyList()) }
        return register(JobReader.read(child), enforce = null, parent = parent.head.id)
    }

    /** What a job that starts others starts. */
    fun child(parent: ObjectNode, id: String, meta: Map<String, String>): ObjectNode =
        parent.deepCopy().apply {
            remove(listOf("Periodic", "ParameterizedJob", "Stop"))
            put("ID", id).put("Name", id)
            if (meta.isNotEmpty()) withObjectProperty("Meta").also { o -> meta.forEach { (k, v) -> o.put(k, v) } }
        }

    suspend fun document(head: Head, v: Version): ObjectNode =
        Json.readObject(parts.read(v.parts, "version ${v.number} of ${head.id}") { Keys.nomadPart(head.born, v.digest, it) })

    /** What a kept version means; it was accepted, so what would be refused today does not matter. Null: it can't be read. */
    suspend fun meaning(head: Head, v: Version): NomadJob? {
        documents["${head.born}/${v.digest}"]?.let { return it }
        return meant(head, v, document(head, v))
    }

    private fun meant(head: Head, v: Version, json: ObjectNode): NomadJob? {
        val document = JobReader.read(json)
        val job = Meaning(document, site()).accepted()
        if (job ==
            null
        ) {
            log.error("version {} of {} can't be understood: {}", v.number, head.id, document.findings.firstOrNull()?.message)
        } else {
            documents["${head.born}/${v.digest}"] =
                job
        }
        return job
    }

    /** The documents of all jobs at once, for a leader that begins: one by one they would take as many requests. */
    suspend fun readAll() {
        refresh()
        val open = heads.values.filter { !it.head.settled }
        if (open.isEmpty()) return
        val texts = state.scan(Keys.NOMAD_PARTS).entries.groupBy({ it.key.substringBeforeLast('/') }) { it.value?.textValue().orEmpty() }
        for (kept in open) {
            for (v in kept.head.versions.filter { !it.settled || it.number == kept.head.latest.number }) {
                val all = texts[Keys.nomadPart(kept.head.born, v.digest, 0).substringBeforeLast('/')] ?: continue
                if (all.size == v.parts &&
                    "${kept.head.born}/${v.digest}" !in documents
                ) {
                    meant(kept.head, v, Json.readObject(all.joinToString("").toByteArray()))
                }
            }
        }
    }

    fun forget(head: Head) {
        documents.keys.removeIf { it.startsWith("${head.born}/") }
    }

    companion object {
        private const val WATCH_MS = 20_000L
        private const val RETRY_MS = 300L
        private const val BORN = 18
        private const val MAX_PAYLOAD = 21_848

        fun key(namespace: String, id: String) = Keys.nomadHead(JobDocument.hash("$namespace\n$id").hex().take(32))

        fun wanted(job: NomadJob, digest: String, parts: Int) =
            Wanted(
                digest,
                parts,
                job.service,
                job.template,
                job.stopped,
                job.groups.map { Wanted.Slot(it.name, it.definition, it.count, it.piece) },
            )

        /** The native job that a piece of a group is. */
        fun spec(job: NomadJob, group: String, id: String, tasks: Int) =
            job.groups.firstOrNull { it.name == group }?.spec?.copy(id = id, tasks = tasks)
    }
}
