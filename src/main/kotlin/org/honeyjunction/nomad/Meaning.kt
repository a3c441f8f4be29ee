package org.honeyjunction.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.Clause
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.core.rules.TaskSelector
import org.honeyjunction.core.rules.Test
import org.honeyjunction.core.rules.Value
import org.honeyjunction.wire.Json

/** A file's meaning, or why it has none; [findings] are those of the reader and of the meaning, in the order of the file. */
class Meant(val job: NomadJob?, val findings: List<Finding>) {
    val errors get() = findings.filter { it.severity == Finding.Severity.ERROR }
    val warnings get() = findings.filter { it.severity == Finding.Severity.WARNING }
}

/** What a job of the JSON form becomes on this core. Without a [site] what depends on the cluster is taken as good. */
class Meaning(private val document: JobDocument, private val site: Site?) {
    private val findings = ArrayList<Finding>()
    private val options = site?.options ?: NomadOptions()
    private val job = document.json
    private val constraints = Constraints(site) { severity, path, message -> findings += Finding(severity, document.place(path), message) }

    fun read(): Meant {
        val read = if (document.errors.isEmpty()) job() else null
        val all = (document.findings + findings).distinct().sortedWith(compareBy({ it.place.line }, { it.place.column }))
        return Meant(read.takeIf { all.none { it.severity == Finding.Severity.ERROR } }, all)
    }

    /** As [read], but of what was accepted before: that it would be refused today does not matter. Null where nothing can be made of it. */
    fun accepted(): NomadJob? = if (document.errors.isEmpty()) job() else null

    private fun refuse(path: String, message: String) {
        findings += Finding(Finding.Severity.ERROR, document.place(path), message)
    }

    private fun warn(path: String, message: String) {
        findings += Finding(Finding.Severity.WARNING, document.place(path), message)
    }

    private fun job(): NomadJob {
        val id = job.path("ID").asText("")
        if (!name.matches(id)) refuse("ID", "a job's name has 1 to 128 letters, digits and signs without spaces")
        val namespace = job.path("Namespace").asText("default")
        if (!name.matches(namespace) ||
            '/' in namespace
        ) {
            refuse("Namespace", "a namespace has 1 to 128 letters, digits and signs without spaces or /")
        }
        val type = job.path("Type").asText("service")
        when (type) {
            "service", "batch" -> Unit
            "system", "sysbatch" ->
                refuse(
                    "Type",
                    "type $type would have a task on every machine; the number of a job's tasks is fixed when it is accepted " +
                        "(PROTOCOL, POST /v2/runs, Cells)",
                )
            else -> refuse("Type", "type \"${type.take(40)}\" is none of service and batch")
        }
        if (job.path("Region").asText("global") != "global") refuse("Region", "there is one region, \"global\"")
        if (job.path("NodePool").asText("default") !in
            setOf("default", "all")
        ) {
            refuse("NodePool", "there is one pool of machines; choose types with \${node.class}")
        }
        val groups = job.path("TaskGroups").toList()
        if (groups.isEmpty()) refuse("TaskGroups", "the job has no group")
        if (groups.size > MAX_GROUPS) refuse("TaskGroups", "the job has ${groups.size} groups; at most $MAX_GROUPS")
        val service = type == "service"
        val made = groups.take(MAX_GROUPS).mapIndexedNotNull { i, g -> group(g as ObjectNode, "TaskGroups[$i]", id, namespace, service) }
        val periodic = job.get("Periodic")?.let { periodic(it, service) }
        val parameterized = job.get("ParameterizedJob")?.let { parameterized(it, service) }
        if (periodic != null && parameterized != null) refuse("Periodic", "a job is periodic or parameterized, not both")
        return NomadJob(namespace, id, service, job.path("Stop").asBoolean(), made, periodic, parameterized)
    }

    private fun periodic(p: JsonNode, service: Boolean): Periodic? {
        if (service) return null.also { refuse("Periodic", "only a batch job can be periodic") }
        val crons = p.path("Specs").map { it.asText() } + listOfNotNull(p.get("Spec")?.asText())
        val made =
            Periodic(crons, p.path("TimeZone").asText("UTC"), p.path("ProhibitOverlap").asBoolean(), p.path("Enabled").asBoolean(true))
        if (p.path("SpecType").asText("cron") != "cron") refuse("Periodic", "periodic goes by cron only")
        try {
            Cron.of(made)
        } catch (e: IllegalArgumentException) {
            refuse("Periodic", e.message!!)
        }
        return made
    }

    private fun parameterized(p: JsonNode, service: Boolean): Parameterized? {
        if (service) return null.also { refuse("ParameterizedJob", "only a batch job can be parameterized") }
        val payload = p.path("Payload").asText("optional").ifEmpty { "optional" }
        if (payload !in
            setOf("optional", "required", "forbidden")
        ) {
            refuse("ParameterizedJob.Payload", "payload is none of optional, required and forbidden")
        }
        return Parameterized(payload, p.path("MetaRequired").map { it.asText() }, p.path("MetaOptional").map { it.asText() })
    }

    /** meta of the job, the group and its tasks, the inner over the outer. */
    private fun meta(group: JsonNode, tasks: List<JsonNode>, path: String): Map<String, String> {
        val all = LinkedHashMap<String, String>()
        for (m in listOf(job.path("Meta"), group.path("Meta")) + tasks.map { it.path("Meta") }) {
            m.properties().forEach { (k, v) ->
                if (k.startsWith("hj_")) {
                    all[k] =
                        v.asText()
                }
            }
        }
        val asked = Json.newObject().also { o -> all.forEach { (k, v) -> o.put(k, v) } }
        schema.validate(asked).forEach { f ->
            val key = f.property ?: f.instanceLocation.toString().trimStart('$', '.', '/')
            val at =
                listOf("$path.Meta.$key", "Meta.$key").firstOrNull { document.place(it) != document.place(it.substringBeforeLast('.')) }
                    ?: "$path.Meta"
            refuse(at, "meta $key: ${f.message.substringAfter(": ")}")
        }
        return all
    }

    private fun group(g: ObjectNode, path: String, id: String, namespace: String, service: Boolean): Group? {
        val name = g.path("Name").asText()
        if (!groupName.matches(name)) refuse(path, "a group's name has 1 to 63 letters, digits and signs without spaces or /")
        val tasks = g.path("Tasks").toList()
        if (tasks.isEmpty()) return null.also { refuse(path, "group \"${name.take(40)}\" has no task") }
        val count = g.get("Count")?.doubleValue() ?: 1.0
        if (count % 1.0 != 0.0 ||
            count !in 0.0..MAX_TASKS
        ) {
            return null.also { refuse("$path.Count", "count is a whole number from 0 to ${MAX_TASKS.plain()}") }
        }
        val meta = meta(g, tasks, path)
        val kind =
            if (service) {
                JobKind.SERVICE
            } else if (meta["hj_kind"] == "gang") {
                JobKind.GANG
            } else {
                JobKind.ARRAY
            }
        if (service && meta["hj_kind"] == "gang") refuse("$path.Meta", "hj_kind = \"gang\" is for batch jobs")
        if (job.path("AllAtOnce").asBoolean() &&
            kind != JobKind.GANG
        ) {
            refuse(
                "AllAtOnce",
                "all_at_once needs meta hj_kind = \"gang\" (PROTOCOL, Cast: only an ensemble starts whole or not at all)",
            )
        }
        val team = team(meta, namespace, path)
        val jobClass = meta["hj_class"] ?: shorter("$namespace/$id.$name")
        val clauses = clauses(g, tasks, path, jobClass)
        val zones = zones()
        if (zones != null && zones.size > 1) clauses += Clause(Test.OneOf(Attribute.Zone, zones.map { Value.Text(it) }), null)
        if (clauses.isNotEmpty()) {
            if ("hj_class" in
                meta
            ) {
                refuse(
                    "$path.Meta",
                    "hj_class can't stand beside constraint, affinity or several datacenters: the rules they become speak of the class",
                )
            }
            if (site?.rulesOn ==
                false
            ) {
                refuse(path, "constraint, affinity and several datacenters become rules, and the operators have not switched rules on")
            }
        }
        val spread = spread(g, path)
        val spec =
            JobSpec(
                "j-0",
                jobClass,
                team,
                kind,
                priority(team),
                count.toInt().coerceAtLeast(1),
                need(tasks, path),
                image(tasks, meta, path),
                meta.amount("hj_image_gb") ?: 1.0,
                meta["hj_types"]?.split(',')?.map { it.trim() }?.filter { it.isNotEmpty() },
                zones?.singleOrNull(),
                meta["hj_one_zone"] == "true",
                spread,
                meta["hj_spot"] == "true",
                if (service) 0.0 else meta.amount("hj_estimate_s") ?: DEFAULT_ESTIMATE_S,
                meta.amount("hj_checkpoint_s") ?: 0.0,
                meta.amount("hj_save_s")
                    ?: tasks.maxOf { it.path("KillTimeout").doubleValue() / NANOS }.takeIf { "hj_checkpoint_s" in meta }
                    ?: 0.0,
                meta.amount("hj_deadline_s"),
            )
        val update = update(g, path, count.toInt(), service)
        val piece = piece(kind, count.toInt(), update, spread, path, g.has("Update") || job.has("Update"))
        if (spec.oneZone &&
            piece < count
        ) {
            refuse(
                "$path.Meta",
                "hj_one_zone is for what is one native job: a gang, or a group that is replaced all at once (max_parallel = 0)",
            )
        }
        val rules =
            if (clauses.isEmpty()) {
                emptyList()
            } else {
                listOf(
                    Rule(shorter("nomad $namespace/$id.$name"), TaskSelector.Named(TaskSelector.Field.CLASS, jobClass), clauses),
                )
            }
        return Group(name, count.toInt(), spec, rules, update, piece, definition(g, piece))
    }

    /** What a change of makes another native job: all but how many there are and how they are replaced. */
    private fun definition(g: ObjectNode, piece: Int): String {
        val o = Json.newObject()
        for (field in listOf(
            "Type",
            "Priority",
            "Datacenters",
            "Meta",
            "Constraints",
            "Affinities",
            "Spreads",
            "Namespace",
            "Payload",
        )) {
            job.get(field)?.let {
                o.set<JsonNode>(field, it)
            }
        }
        o.set<JsonNode>("group", (g.deepCopy() as ObjectNode).without<ObjectNode>(listOf("Count", "Update")))
        return JobDocument.digest(o.put("piece", piece)).take(DEFINITION_DIGITS)
    }

    private fun Map<String, String>.amount(key: String): Double? = get(key)?.toDoubleOrNull()

    /** Class and rule names keep within what the protocol takes, and apart from each other. */
    private fun shorter(text: String) =
        if (text.length <=
            MAX_NAME
        ) {
            text
        } else {
            text.take(MAX_NAME - 17) + "~" + JobDocument.hash(text).hex().take(16)
        }

    private fun team(meta: Map<String, String>, namespace: String, path: String): String {
        val given = meta["hj_team"]
        val team = given ?: if (site == null) options.team ?: namespace else namespace.takeIf { it in site.teams } ?: options.team
        if (team == null) {
            refuse(path, "no team: give meta hj_team, or a namespace that is a team (422: unknown team)")
        } else if (site != null &&
            team !in site.teams
        ) {
            refuse("$path.Meta.hj_team", "there is no team ${team.take(40)} (PROTOCOL, 422: unknown team)")
        }
        return team.orEmpty()
    }

    private fun priority(team: String): Priority {
        val p = job.get("Priority")?.doubleValue() ?: DEFAULT_PRIORITY
        if (p !in 1.0..100.0 || p % 1.0 != 0.0) refuse("Priority", "priority is a whole number from 1 to 100")
        if (p >= PRODUCTION && site != null && team !in options.production) {
            refuse(
                "Priority",
                "priority ${p.plain()} is production, which the operators do not allow team ${team.take(
                    40,
                )} (settings: nomad.production); at most 89",
            )
        }
        return if (p >=
            PRODUCTION
        ) {
            Priority.PRODUCTION
        } else if (p >= HIGH) {
            Priority.HIGH
        } else if (p >= NORMAL) {
            Priority.NORMAL
        } else {
            Priority.LOW
        }
    }

    /** The zones that the datacenters are; null: all. */
    private fun zones(): List<String>? {
        val asked = job.path("Datacenters").map { it.asText() }
        if (asked.isEmpty() || "*" in asked) return null
        if (site == null) return asked.takeIf { all -> all.none { '*' in it } }
        val chosen = LinkedHashSet<String>()
        for (a in asked) {
            val pattern = Regex(a.split('*').joinToString(".*") { Regex.escape(it) })
            val met = site.zones.filter(pattern::matches)
            if (met.isEmpty()) refuse("Datacenters", "there is no zone ${a.take(40)}; there are ${site.zones.joinToString()}")
            chosen += met
        }
        return chosen.toList().takeIf { it.size < site.zones.size }
    }

    private fun clauses(g: JsonNode, tasks: List<JsonNode>, path: String, jobClass: String): MutableList<Clause> {
        val all = ArrayList<Clause>()
        val owners = listOf(job to "", g to "$path.") + tasks.mapIndexed { i, t -> t to "$path.Tasks[$i]." }
        for ((o, prefix) in owners) {
            o.path("Constraints").forEachIndexed { i, c -> constraints.must(c, "${prefix}Constraints[$i]", jobClass)?.let { all += it } }
            o.path("Affinities").forEachIndexed { i, c -> constraints.prefer(c, "${prefix}Affinities[$i]", jobClass)?.let { all += it } }
        }
        return all.distinct().toMutableList()
    }

    private fun spread(g: JsonNode, path: String): Boolean {
        val all =
            job.path("Spreads").mapIndexed { i, s -> s to "Spreads[$i]" } +
                g.path("Spreads").mapIndexed { i, s -> s to "$path.Spreads[$i]" }
        for ((s, at) in all) {
            val attribute = s.path("Attribute").asText()
            if (attribute !=
                "\${node.datacenter}"
            ) {
                refuse(at, "spread over $attribute can't be expressed: only over \${node.datacenter} (PROTOCOL, Scatter)")
            }
            if (s.path("SpreadTarget").any {
                    it.path("Percent").doubleValue() > HALF
                }
            ) {
                refuse(at, "a zone with more than half of the tasks is against what spread means here (PROTOCOL, Scatter)")
            }
        }
        return all.isNotEmpty()
    }

    private fun need(tasks: List<JsonNode>, path: String): Resources {
        var together = Resources.NONE
        val apart = ArrayList<Resources>()
        tasks.forEachIndexed { i, t ->
            val need = need(t.path("Resources"), "$path.Tasks[$i].Resources")
            val hook = t.path("Lifecycle").path("Hook").asText("")
            if (hook.isEmpty() || t.path("Lifecycle").path("Sidecar").asBoolean()) together += need else apart += need
        }
        val needs = apart + together
        return Resources(needs.maxOf { it.cpus }, needs.maxOf { it.gpus }, needs.maxOf { it.memoryGb })
    }

    private fun need(r: JsonNode, path: String): Resources {
        val cores = r.path("Cores").doubleValue()
        val mhz = r.get("CPU")?.doubleValue() ?: DEFAULT_CPU
        val memory = r.get("MemoryMB")?.doubleValue() ?: DEFAULT_MEMORY
        var gpus = 0.0
        r.path("Devices").forEachIndexed { i, d ->
            val device = d.path("Name").asText()
            if (device == "gpu" || device.endsWith("/gpu") || "/gpu/" in device) {
                gpus += d.get("Count")?.doubleValue() ?: 1.0
            } else {
                refuse("$path.Devices[$i]", "device \"${device.take(40)}\": machines have accelerators (gpu) and no other devices")
            }
        }
        for ((field, v) in listOf("CPU" to mhz, "Cores" to cores, "MemoryMB" to memory, "Devices" to gpus)) {
            if (v < 0 ||
                v > MOST_AMOUNT
            ) {
                refuse("$path.$field", "$field is out of range")
            }
        }
        return Resources(if (cores > 0) cores else mhz / options.mhzPerCore, gpus, memory / MB_PER_GB)
    }

    private fun image(tasks: List<JsonNode>, meta: Map<String, String>, path: String): String {
        meta["hj_image"]?.let { return it }
        val images =
            tasks.mapIndexedNotNull { i, t ->
                val driver = t.path("Driver").asText("")
                val image = t.path("Config").path("image").asText("")
                when {
                    driver in setOf("docker", "podman", "containerd-driver") && image.isNotEmpty() -> image
                    driver in setOf("docker", "podman", "containerd-driver") ->
                        null.also {
                            refuse("$path.Tasks[$i]", "driver $driver needs config { image = \"...\" }")
                        }
                    driver in setOf("exec", "raw_exec", "java", "exec2") ->
                        null.also {
                            refuse(
                                "$path.Tasks[$i].Driver",
                                "driver $driver has no image; give meta hj_image the one that a machine must have (PROTOCOL, Brood)",
                            )
                        }
                    driver.isEmpty() -> null.also { refuse("$path.Tasks[$i]", "the task has no driver") }
                    else -> null.also { refuse("$path.Tasks[$i].Driver", "driver \"${driver.take(40)}\" is not supported") }
                }
            }
        val leader = tasks.firstOrNull { it.path("Leader").asBoolean() }?.path("Config")?.path("image")?.asText("")?.ifEmpty { null }
        if (images.distinct().size > 1 &&
            leader == null
        ) {
            refuse(
                path,
                "the tasks have ${images.distinct().size} images, and a machine must have one (PROTOCOL, Brood): mark one as leader " +
                    "or give meta hj_image",
            )
        }
        val image = leader ?: images.firstOrNull().orEmpty()
        if (image.length > MAX_NAME) refuse(path, "the image's name has more than $MAX_NAME characters")
        return image
    }

    private fun update(g: JsonNode, path: String, count: Int, service: Boolean): Update {
        val own = g.path("Update")
        val outer = job.path("Update")

        fun of(field: String) = own.get(field) ?: outer.get(field)
        val given = of("MaxParallel")?.doubleValue()
        if (given != null && (given < 0 || given % 1.0 != 0.0)) refuse("$path.Update.MaxParallel", "max_parallel is a whole number")
        val healthy = (of("MinHealthyTime")?.longValue() ?: DEFAULT_HEALTHY) / NANOS_PER_MS
        val deadline = (of("HealthyDeadline")?.longValue() ?: DEFAULT_DEADLINE) / NANOS_PER_MS
        if (healthy >= deadline) refuse("$path.Update", "min_healthy_time must be less than healthy_deadline")
        if (of("HealthCheck")?.asText() == "manual") refuse("$path.Update.HealthCheck", "health is told by running tasks, not by hand")
        val most = if (!service || given == 0.0) maxOf(count, 1) else maxOf(given?.toInt() ?: 1, 1)
        return Update(most, healthy, deadline, of("AutoRevert")?.booleanValue() ?: false)
    }

    /** Of how many tasks a native job is: what is replaced at a time. */
    private fun piece(kind: JobKind, count: Int, update: Update, spread: Boolean, path: String, given: Boolean): Int {
        val size =
            when (kind) {
                JobKind.GANG -> maxOf(count, 1)
                JobKind.ARRAY -> maxOf(BATCH_PIECE, (count + MAX_PIECES - 1) / MAX_PIECES)
                JobKind.SERVICE -> if (given) update.maxParallel else maxOf(update.maxParallel, (count + FEW_PIECES - 1) / FEW_PIECES)
            }
        // Halves of even pieces add up to the half of all.
        val even = if (spread && size < count && size % 2 == 1) maxOf(2, size - 1) else size
        if (even > size) warn(path, "with spread 2 tasks are replaced at a time, since the halves of single tasks do not add up")
        if ((count + even - 1) / even >
            MAX_PIECES
        ) {
            refuse(
                path,
                "count $count with max_parallel ${update.maxParallel} would be ${(count + even - 1) / even} native jobs; at most " +
                    "$MAX_PIECES, so max_parallel must be ${(count + MAX_PIECES - 1) / MAX_PIECES} or more",
            )
        }
        return even
    }

    companion object {
        private val name = Regex("[^\\s\\p{Cntrl}]{1,128}")
        private val groupName = Regex("[^\\s\\p{Cntrl}/]{1,63}")
        const val MAX_PIECES = 500
        private const val FEW_PIECES = 50
        private const val BATCH_PIECE = 64
        private const val MAX_GROUPS = 50
        private const val MAX_TASKS = 100_000.0
        private const val MAX_NAME = 200
        private const val DEFINITION_DIGITS = 24
        private const val DEFAULT_PRIORITY = 50.0
        private const val PRODUCTION = 90.0
        private const val HIGH = 70.0
        private const val NORMAL = 25.0
        private const val HALF = 50.0
        private const val DEFAULT_ESTIMATE_S = 60.0
        private const val DEFAULT_CPU = 100.0
        private const val DEFAULT_MEMORY = 300.0
        private const val MOST_AMOUNT = 1e9
        private const val MB_PER_GB = 1024.0
        private const val NANOS = 1e9
        private const val NANOS_PER_MS = 1_000_000L
        private const val DEFAULT_HEALTHY = 10_000_000_000L
        private const val DEFAULT_DEADLINE = 300_000_000_000L
        private const val SCHEMA = "nomad-meta.schema.json"

        fun schemaText(): String = checkNotNull(Meaning::class.java.classLoader.getResource(SCHEMA)).readText()

        private val schema by lazy { JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText()) }
    }
}
