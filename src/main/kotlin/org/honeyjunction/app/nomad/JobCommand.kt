package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.ExitStatus
import org.honeyjunction.app.OperatorClient
import org.honeyjunction.app.OperatorSettings
import org.honeyjunction.app.local.Outcome
import org.honeyjunction.app.printError
import org.honeyjunction.app.withErrorReporting
import org.honeyjunction.nomad.Fate
import org.honeyjunction.nomad.Fields
import org.honeyjunction.nomad.Group
import org.honeyjunction.nomad.Meaning
import org.honeyjunction.nomad.NomadJob
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Response
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.net.URLEncoder
import java.nio.file.Path

private const val AT = "127.0.0.1:4646"

/** What all commands that read a job file take. */
class FileOptions {
    @Parameters(paramLabel = "FILE", description = ["the job file, HCL or JSON"])
    lateinit var file: Path

    @Option(names = ["-var", "--var"], paramLabel = "NAME=VALUE", description = ["a variable's value; may be repeated"])
    var vars: Map<String, String> = emptyMap()

    @Option(names = ["-var-file", "--var-file"], paramLabel = "FILE", description = ["a file of variables' values; may be repeated"])
    var varFiles: List<Path> = emptyList()

    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["a cluster's file, as local takes it: zones, machine types and teams are checked as well"],
    )
    var settings: Path? = null

    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' settings, for --settings"])
    var operator: Path? = null

    @Option(names = ["--strict"], description = ["warnings count as errors"])
    var strict = false

    fun read(): JobFiles = JobFiles.read(file, vars, varFiles, settings, operator?.let { OperatorSettings.read(it).nomad })

    /** Tells what was found on standard error; whether the file is good. */
    fun good(f: JobFiles): Boolean {
        f.lines(strict).forEach(System.err::println)
        return f.good(strict)
    }
}

/** Options of the commands that ask a controller's listener for job files. */
class ServerOptions {
    @Option(
        names = ["--at"],
        paramLabel = "ADDRESS",
        defaultValue = AT,
        description = ["listeners for job files, as host:port,... (default: \${DEFAULT-VALUE})"],
    )
    lateinit var at: String

    @Option(names = ["--namespace"], paramLabel = "NAME", description = ["the namespace (default: default)"])
    var namespace = "default"

    fun ask(method: String, path: String, body: JsonNode? = null): Response =
        OperatorClient.at(at).ask(method, within(namespace, path), body?.let(Json::write) ?: Response.NO_BODY)

    companion object {
        /** [path] as it is asked for in a namespace. */
        fun within(namespace: String, path: String) = "$path${if ('?' in path) '&' else '?'}namespace=${code(namespace)}"

        fun code(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

        fun refused(r: Response): Int {
            String(r.body).lines().filter { it.isNotBlank() }.forEach { System.err.println("honeyjunction: $it") }
            return ExitStatus.FAILED
        }
    }
}

/** `honeyjunction job`: checks, plans, runs, shows and stops jobs described in job files. */
@Command(
    name = "job",
    mixinStandardHelpOptions = true,
    description = ["Job files in HCL and JSON: checks, runs and shows them; docs/nomad.md tells what they become."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = [
        "0:good, or done",
        "1:the job is refused or not there, with reasons",
        "2:wrong arguments",
        "3:a file is missing or can't be read",
        "5:no controller answers",
    ],
)
class JobCommand {
    @Command(
        name = "validate",
        mixinStandardHelpOptions = true,
        description = ["Reads a file without running it: errors and warnings with their places."],
    )
    fun validate(
        @Mixin o: FileOptions,
        @Option(names = ["--json"], description = ["findings as JSON"]) json: Boolean,
    ): Int =
        withErrorReporting {
            val f = o.read()
            val good = f.good(o.strict)
            if (json) {
                val out = Json.newObject().put("good", good)
                val list = out.putArray("findings")
                f.meant.findings.forEach {
                    list
                        .addObject()
                        .put(
                            "file",
                            f.file.toString(),
                        ).put(
                            "line",
                            it.place.line,
                        ).put("column", it.place.column)
                        .put("severity", it.severity.name.lowercase())
                        .put("message", it.message)
                }
                println(out.toPrettyString())
            } else {
                o.good(f)
                if (good) println("${f.file}: job \"${f.meant.job!!.id}\" is good; ${f.meant.warnings.size} warnings")
            }
            if (good) ExitStatus.OK else ExitStatus.FAILED
        }

    @Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = ["What a file becomes: native jobs, rules, and with --at what would change."],
    )
    fun plan(
        @Mixin o: FileOptions,
        @Option(
            names = ["--at"],
            paramLabel = "ADDRESS",
            description = ["listeners for job files; what would change there is told too"],
        ) at: String?,
    ): Int =
        withErrorReporting {
            val f = o.read()
            if (!o.good(f)) return ExitStatus.FAILED
            val job = f.meant.job!!
            if (job.template) println("starts jobs of its own: ${startedBy(job)}")
            println(Outcome.table(listOf(PLAN_COLUMNS) + job.groups.map { planRow(job, it) }))
            f.rules(job).takeIf { it.isNotEmpty() }?.let { print("\n$it") }
            if (at == null) ExitStatus.OK else printChanges(f, job, at)
        }

    private fun startedBy(job: NomadJob): String {
        val periodic = job.periodic ?: return "parameterized"
        return "periodic, ${periodic.crons.joinToString()} ${periodic.zone}"
    }

    private fun planRow(job: NomadJob, group: Group): List<String> =
        listOf(
            group.name,
            "${(group.count + group.piece - 1) / group.piece}",
            "${group.count}",
            group.spec.jobClass,
            group.spec.team,
            group.spec.kind.name.lowercase(),
            group.spec.priority.name.lowercase(),
            "${group.spec.need.cpus}",
            "${group.spec.need.gpus}",
            "%.2f GB".format(group.spec.need.memoryGb),
            "${group.spec.image} ${group.spec.imageGb} GB",
            if (job.service) "${group.piece}" else "-",
        )

    /** Asks the listener at [at] what registering the file would change there, and prints it. */
    private fun printChanges(file: JobFiles, job: NomadJob, at: String): Int {
        val server = ServerOptions()
        server.at = at
        server.namespace = job.namespace
        val response = server.ask("POST", "/v1/job/${ServerOptions.code(job.id)}/plan", Json.newObject().set("Job", file.document.json))
        if (response.status != 200) return ServerOptions.refused(response)
        val plan = Json.readObject(response.body)
        println("\n${plan.path("Diff").path("Type").asText()} at modify index ${plan.path("JobModifyIndex").asLong()}")
        plan.path("Annotations").path("DesiredTGUpdates").properties().forEach { (group, counts) -> println("$group: ${nonZero(counts)}") }
        return ExitStatus.OK
    }

    /** The counts that are above zero, such as `running 3, queued 1`; `nothing` where there are none. */
    private fun nonZero(counts: JsonNode): String {
        val present = counts.properties().filter { it.value.asInt() > 0 }
        return present.joinToString { "${it.key.lowercase()} ${it.value.asInt()}" }.ifEmpty { "nothing" }
    }

    @Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = ["Registers a file's job, or a change of it; with --wait until it is live or ended."],
    )
    fun run(
        @Mixin o: FileOptions,
        @Mixin server: ServerOptions,
        @Option(
            names = ["--check-index"],
            paramLabel = "N",
            description = ["only if the job's modify index is N; 0: if there is none"],
        ) index: Long?,
        @Option(names = ["--wait"], paramLabel = "S", description = ["wait so many seconds for it to be live or ended"]) waitS: Int?,
    ): Int =
        withErrorReporting {
            val f = o.read()
            if (!o.good(f)) return ExitStatus.FAILED
            val job = f.meant.job!!
            server.namespace = job.namespace
            val body = Json.newObject().apply { set<JsonNode>("Job", f.document.json) }
            index?.let { body.put("EnforceIndex", true).put("JobModifyIndex", it) }
            val r = server.ask("POST", "/v1/jobs", body)
            if (r.status != 200) return ServerOptions.refused(r)
            val answer = Json.readObject(r.body)
            println("${job.id}: modify index ${answer.path("JobModifyIndex").asLong()}, evaluation ${answer.path("EvalID").asText()}")
            if (waitS == null) ExitStatus.OK else await(server, job.id, waitS)
        }

    private fun await(server: ServerOptions, id: String, waitS: Int): Int {
        val until = System.nanoTime() + waitS * 1_000_000_000L
        while (true) {
            val r = server.ask("GET", "/v1/job/${ServerOptions.code(id)}")
            if (r.status != 200) return ServerOptions.refused(r)
            val o = Json.readObject(r.body)
            val batch = o.path("Type").asText() == "batch" && !o.has("Periodic") && !o.has("ParameterizedJob")
            val state = o.path("StatusDescription").asText()
            if (state == "failed") return printError("$id: version ${o.path("Version").asLong()} failed", ExitStatus.FAILED)
            if (if (batch) o.path("Status").asText() == "dead" else state == "live") {
                return ExitStatus.OK.also {
                    println("$id: version ${o.path("Version").asLong()} is ${if (batch) "done" else "live"}")
                }
            }
            if (System.nanoTime() > until) return printError("$id: still $state after $waitS s", ExitStatus.FAILED)
            Thread.sleep(POLL_MS)
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = ["All jobs, or one with its groups and allocations."])
    fun status(
        @Parameters(paramLabel = "JOB", arity = "0..1", description = ["a job"]) id: String?,
        @Mixin server: ServerOptions,
    ): Int =
        withErrorReporting {
            if (id == null) printJobs(server) else printJob(server, id)
        }

    private fun printJobs(server: ServerOptions): Int {
        val response = server.ask("GET", "/v1/jobs")
        if (response.status != 200) return ServerOptions.refused(response)
        val rows =
            Json.read(response.body).map { job ->
                listOf(
                    job.path("ID").asText(),
                    job.path("Type").asText(),
                    job.path("Status").asText(),
                    "${job.path("Version").asLong()}",
                    "${job.path("ModifyIndex").asLong()}",
                )
            }
        println(Outcome.table(listOf(listOf("job", "type", "status", "version", "index")) + rows))
        return ExitStatus.OK
    }

    private fun printJob(server: ServerOptions, id: String): Int {
        val path = "/v1/job/${ServerOptions.code(id)}"
        val response = server.ask("GET", path)
        if (response.status != 200) return ServerOptions.refused(response)
        println("$id: ${jobLine(Json.readObject(response.body))}")
        val summary = server.ask("GET", "$path/summary")
        if (summary.status != 200) return ServerOptions.refused(summary)
        Json.readObject(summary.body).path("Summary").properties().forEach { (group, counts) -> println("$group: ${nonZero(counts)}") }
        val allocations = server.ask("GET", "$path/allocations")
        if (allocations.status != 200) return ServerOptions.refused(allocations)
        val rows = Json.read(allocations.body).map { allocation -> ALLOCATION_FIELDS.map { allocation.path(it).asText() } }
        if (rows.isNotEmpty()) println(Outcome.table(listOf(ALLOCATION_COLUMNS) + rows))
        return ExitStatus.OK
    }

    private fun jobLine(job: ObjectNode): String {
        val version = "version ${job.path("Version").asLong()} is ${job.path("StatusDescription").asText()}"
        val index = "modify index ${job.path("ModifyIndex").asLong()}"
        return "${job.path("Type").asText()}, ${job.path("Status").asText()}, $version, $index"
    }

    @Command(
        name = "stop",
        mixinStandardHelpOptions = true,
        description = ["Stops a job; with --purge it is forgotten when all of its tasks are gone."],
    )
    fun stop(
        @Parameters(paramLabel = "JOB", description = ["the job"]) id: String,
        @Mixin server: ServerOptions,
        @Option(names = ["--purge"], description = ["forget it"]) purge: Boolean,
    ): Int =
        withErrorReporting {
            val r = server.ask("DELETE", "/v1/job/${ServerOptions.code(id)}?purge=$purge")
            if (r.status != 200) return ServerOptions.refused(r)
            println("$id: stopped at modify index ${Json.readObject(r.body).path("JobModifyIndex").asLong()}")
            ExitStatus.OK
        }

    @Command(
        name = "convert",
        mixinStandardHelpOptions = true,
        description = ["Writes a file's job in another form: the JSON job form, native jobs, jobs for local, or the rules it becomes."],
    )
    fun convert(
        @Mixin o: FileOptions,
        @Option(
            names = ["--to"],
            paramLabel = "FORM",
            defaultValue = "json",
            description = ["json, native, local or rules (default: \${DEFAULT-VALUE})"],
        ) to: String,
    ): Int =
        withErrorReporting {
            if (to !in FORMS) return printError("--to is one of ${FORMS.joinToString()}", ExitStatus.USAGE)
            val f = o.read()
            if (!o.good(f)) return ExitStatus.FAILED
            val job = f.meant.job!!
            when (to) {
                "json" -> println(Json.newObject().set<ObjectNode>("Job", f.document.json).toPrettyString())
                "native" -> println(JobFiles.protocol(f.native(job)).toPrettyString())
                "local" -> println(JobFiles.loopback(f.native(job)).toPrettyString())
                else -> print(f.rules(job))
            }
            ExitStatus.OK
        }

    @Command(
        name = "fields",
        mixinStandardHelpOptions = true,
        description = ["Prints what becomes of each field, as docs/nomad.md has it."],
    )
    fun fields(): Int {
        print(table())
        return ExitStatus.OK
    }

    @Command(name = "schema", mixinStandardHelpOptions = true, description = ["Prints the schema of what meta may tell."])
    fun schema(): Int {
        println(Meaning.schemaText())
        return ExitStatus.OK
    }

    companion object {
        private val PLAN_COLUMNS =
            listOf(
                "group",
                "native jobs",
                "tasks",
                "class",
                "team",
                "kind",
                "priority",
                "cpus",
                "gpus",
                "memory",
                "image",
                "replaced at a time",
            )
        private val ALLOCATION_FIELDS = listOf("Name", "JobVersion", "DesiredStatus", "ClientStatus", "NodeName", "NativeJob")
        private val ALLOCATION_COLUMNS = listOf("allocation", "version", "wanted", "is", "machine", "native job")

        private val FORMS = listOf("json", "native", "local", "rules")
        private const val POLL_MS = 300L

        /** The table of all fields. */
        fun table(): String =
            buildString {
                append("| block | field | in JSON | becomes | note |\n| --- | --- | --- | --- | --- |\n")
                for (s in Fields.schemas) {
                    for (f in s.fields) {
                        if (f.fate == Fate.SERVERS) continue
                        val name = if (f.name.startsWith("(")) "" else "`${f.name}`"
                        append("| ${s.title} | $name | `${f.json}` | ${f.fate.words} | ${f.note.replace("|", "\\|")} |\n")
                    }
                }
            }
    }
}
