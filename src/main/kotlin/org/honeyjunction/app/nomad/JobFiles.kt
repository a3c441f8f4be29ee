package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Files
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.rules.Printer
import org.honeyjunction.nomad.Finding
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.nomad.Meaning
import org.honeyjunction.nomad.Meant
import org.honeyjunction.nomad.NomadJob
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.nomad.Site
import org.honeyjunction.nomad.VariableValues
import org.honeyjunction.nomad.registry.Change
import org.honeyjunction.nomad.registry.Head
import org.honeyjunction.nomad.registry.Registry
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import java.nio.file.Path

/** A job file as the command line was given it. */
class JobFiles(val file: Path, val document: JobDocument, val meant: Meant) {
    fun lines(strict: Boolean): List<String> =
        meant.findings.map { (if (strict) it.copy(severity = Finding.Severity.ERROR) else it).at(file.toString()) }

    fun good(strict: Boolean) = meant.job != null && (!strict || meant.findings.isEmpty())

    /** The native jobs that [job] becomes, as the registry names them for a job with this file's name and content. */
    fun native(job: NomadJob): List<JobSpec> {
        val wanted = NomadRegistry.wanted(job, document.digest, 1)
        val head = (Registry.register(null, job.namespace, job.id, wanted, "file/${document.digest}", 0) as Change.To).head
        return native(head, job)
    }

    private fun native(head: Head, job: NomadJob) =
        head.pieces(head.latest).mapNotNull { (p, _) -> NomadRegistry.spec(job, p.group, p.id, p.size) }

    fun rules(job: NomadJob): String = Printer.text(job.groups.flatMap { it.rules })

    companion object {
        fun read(file: Path, vars: Map<String, String>, varFiles: List<Path>, settings: Path?, operator: NomadOptions?): JobFiles {
            val values = VariableValues(varFiles.map { it.toString() to Files.text(it) }, vars)
            val document = JobReader.read(Files.text(file), values)
            val site =
                settings?.let { s -> Files.json(s, "") { LocalSettings(it, null, 1).known() } }?.let { k ->
                    Site(k.zones.toList(), k.machines.map { it.type }.distinct(), k.teams.toList(), emptyMap(), operator ?: NomadOptions())
                }
            return JobFiles(file, document, Meaning(document, site).read())
        }

        /** As the users' interface takes them. */
        fun protocol(specs: List<JobSpec>): JsonNode = Json.newArray().also { list -> specs.forEach { list.add(JobCodec.write(it)) } }

        /** As the cluster on loopback takes them: tasks run for as long as they are estimated to. */
        fun loopback(specs: List<JobSpec>): ObjectNode =
            Json.newObject().apply {
                val jobs = putArray("jobs")
                for (s in specs) {
                    jobs.addObject().apply {
                        put(
                            "id",
                            s.id,
                        ).put(
                            "class",
                            s.jobClass,
                        ).put(
                            "team",
                            s.team,
                        ).put("kind", s.kind.name.lowercase())
                            .put("priority", s.priority.name.lowercase())
                            .put("tasks", s.tasks)
                        put(
                            "cpus",
                            s.need.cpus,
                        ).put("gpus", s.need.gpus).put("memory_gb", s.need.memoryGb).put("image", s.image).put("image_gb", s.imageGb)
                        s.types?.let { t -> putArray("types").also { a -> t.forEach(a::add) } }
                        s.zone?.let { put("zone", it) }
                        put(
                            "one_zone",
                            s.oneZone,
                        ).put("spread", s.spread).put("spot", s.spot).put("checkpoint_s", s.checkpointS).put("save_s", s.saveS)
                        if (s.kind != JobKind.SERVICE) put("estimate_s", s.estimateS).put("run_s", s.estimateS)
                        s.deadlineS?.let { put("deadline_s", it) }
                    }
                }
            }
    }
}
