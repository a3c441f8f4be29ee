package org.honeyjunction.fake

import com.fasterxml.jackson.databind.JsonNode
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.amount
import org.honeyjunction.wire.amountOrNull
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.flagOr
import org.honeyjunction.wire.list
import org.honeyjunction.wire.text
import org.honeyjunction.wire.textOrNull

/** A job of a file: when it is submitted and, perhaps, cancelled, in milliseconds from the start. */
class PlannedJob(val work: Work, val atMs: Long, val cancelAtMs: Long?)

/**
 * Jobs as a file of the cluster on loopback has them: a list "jobs" of objects with class, team, kind (array, gang,
 * service), tasks, cpus, gpus, memory_gb, image, image_gb, and what else differs from the defaults.
 */
object JobFile {
    private val known =
        setOf(
            "id",
            "at_s",
            "cancel_at_s",
            "class",
            "team",
            "kind",
            "priority",
            "tasks",
            "cpus",
            "gpus",
            "memory_gb",
            "image",
            "image_gb",
            "types",
            "zone",
            "one_zone",
            "spread",
            "spot",
            "estimate_s",
            "run_s",
            "checkpoint_s",
            "save_s",
            "deadline_s",
            "fails",
            "copies",
        )

    fun parse(o: JsonNode): List<PlannedJob> {
        val jobs = ArrayList<PlannedJob>()
        o.list("jobs").forEachIndexed { i, j ->
            try {
                (j.properties().firstOrNull { it.key !in known })?.let { throw MalformedException("there is no field ${it.key}") }
                val copies = if (j.fieldOrNull("copies") == null) 1 else j.count("copies").toInt()
                repeat(copies) { jobs += job(j, jobs.size + 1, if (copies > 1 || j.fieldOrNull("id") == null) null else j.text("id")) }
            } catch (e: MalformedException) {
                throw MalformedException("jobs[$i]: ${e.message}")
            }
        }
        jobs
            .groupBy {
                it.work.spec.id
            }.values
            .firstOrNull { it.size > 1 }
            ?.let { throw MalformedException("jobs: the id ${it[0].work.spec.id} is there twice") }
        return jobs
    }

    private fun job(j: JsonNode, number: Int, id: String?): PlannedJob {
        val kind = word(j, "kind", JobKind.entries, null)
        val runS = if (kind == JobKind.SERVICE) 0.0 else j.amount("run_s")
        val spec =
            JobSpec(
                id ?: "j-%06d".format(number),
                j.text("class"),
                j.text("team"),
                kind,
                word(j, "priority", Priority.entries, Priority.NORMAL),
                j.count("tasks").toInt(),
                Resources(j.amountOrNull("cpus") ?: 0.0, j.amountOrNull("gpus") ?: 0.0, j.amountOrNull("memory_gb") ?: 0.0),
                j.text("image"),
                j.amount("image_gb"),
                j.fieldOrNull("types")?.let { _ ->
                    j.list("types").map { it.textValue() }
                },
                j.textOrNull("zone"),
                j.flagOr("one_zone", false),
                j.flagOr("spread", false),
                j.flagOr("spot", false),
                j.amountOrNull("estimate_s") ?: runS,
                j.amountOrNull("checkpoint_s") ?: 0.0,
                j.amountOrNull("save_s") ?: 0.0,
                j.amountOrNull("deadline_s"),
            )
        return PlannedJob(
            Work(spec, runS, j.flagOr("fails", false)),
            ((j.amountOrNull("at_s") ?: 0.0) * 1000).toLong(),
            j.amountOrNull("cancel_at_s")?.let {
                (
                    it *
                        1000
                ).toLong()
            },
        )
    }

    private fun <E : Enum<E>> word(o: JsonNode, name: String, all: List<E>, otherwise: E?): E {
        if (otherwise != null && o.fieldOrNull(name) == null) return otherwise
        val text = o.text(name)
        return all.firstOrNull { it.name.lowercase() == text }
            ?: throw MalformedException("$name is none of ${all.joinToString { it.name.lowercase() }}")
    }
}
