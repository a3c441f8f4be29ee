package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Resources
import org.honeyjunction.wire.ProtocolNames.nameOf

/** Encodes jobs as users submit them and as the key-value store holds them. Readers throw [MalformedException]. */
object JobCodec {
    private val idPattern = Regex("j-[0-9]{1,30}")
    private const val MAX_TASKS = 100_000L
    private const val MAX_TYPES = 32
    private const val MAX_TYPE_LENGTH = 100

    // Fields of a stored record; they are not part of the users' protocol.
    private const val JOB = "job"
    private const val OWNER = "owner"
    private const val CREATED = "created"
    private const val STAGE = "stage"

    /** Whether [id] has the form of a job id. */
    fun isId(id: String) = idPattern.matches(id)

    /** The job id in a submission, even if the submission is otherwise invalid; null if it has no valid id. */
    fun id(body: ByteArray): String? = JobHeadReader.id(body)

    /** The fields that admission control needs, read without parsing the whole submission; null if they can't be read this way. */
    fun head(body: ByteArray): JobHead? = JobHeadReader.head(body)

    /** Reads and validates a job that a user submitted. */
    fun spec(job: ObjectNode): JobSpec {
        val id = job.text(ProtocolNames.ID).takeIf(::isId) ?: throw MalformedException("${ProtocolNames.ID} is invalid")
        val tasks = job.count(ProtocolNames.TASKS)
        if (tasks !in 1..MAX_TASKS) throw MalformedException("${ProtocolNames.TASKS} is out of range")
        val need = need(job)
        return JobSpec(
            id,
            job.text(ProtocolNames.JOB_CLASS),
            job.text(ProtocolNames.TEAM),
            enumValue(job, ProtocolNames.JOB_KIND, ProtocolNames.JOB_KINDS),
            enumValue(job, ProtocolNames.PRIORITY, ProtocolNames.PRIORITIES),
            tasks.toInt(),
            need,
            job.text(ProtocolNames.IMAGE),
            job.amount(ProtocolNames.IMAGE_GB),
            types(job),
            job.textOrNull(ProtocolNames.ZONE),
            job.flag(ProtocolNames.ONE_ZONE),
            job.flag(ProtocolNames.SPREAD),
            job.flag(ProtocolNames.SPOT),
            job.amount(ProtocolNames.ESTIMATE_S),
            job.amount(ProtocolNames.CHECKPOINT_S),
            job.amount(ProtocolNames.SAVE_S),
            job.amountOrNull(ProtocolNames.DEADLINE_S),
        )
    }

    private fun need(job: ObjectNode): Resources {
        val need = Resources(job.amount(ProtocolNames.CPUS), job.amount(ProtocolNames.GPUS), job.amount(ProtocolNames.MEMORY_GB))
        if (need.cpus <= 0 && need.gpus <= 0 && need.memoryGb <= 0) throw MalformedException("the task takes nothing")
        return need
    }

    private fun types(job: ObjectNode): List<String>? {
        if (job.fieldOrNull(ProtocolNames.MACHINE_TYPES) == null) return null
        val types = job.list(ProtocolNames.MACHINE_TYPES)
        val valid = types.size <= MAX_TYPES && types.all { it.isTextual && it.textValue().length <= MAX_TYPE_LENGTH }
        if (!valid) throw MalformedException("${ProtocolNames.MACHINE_TYPES} is invalid")
        return types.map { it.textValue() }
    }

    private fun <T> enumValue(node: JsonNode, field: String, values: Map<String, T>): T =
        values[node.text(field)] ?: throw MalformedException("$field is unknown")

    /** Encodes [spec] in the form in which users submit jobs. */
    fun write(spec: JobSpec): ObjectNode =
        Json.newObject().apply {
            put(ProtocolNames.ID, spec.id)
            put(ProtocolNames.JOB_CLASS, spec.jobClass)
            put(ProtocolNames.TEAM, spec.team)
            put(ProtocolNames.JOB_KIND, ProtocolNames.JOB_KINDS.nameOf(spec.kind))
            put(ProtocolNames.PRIORITY, ProtocolNames.PRIORITIES.nameOf(spec.priority))
            put(ProtocolNames.TASKS, spec.tasks)
            put(ProtocolNames.CPUS, spec.need.cpus)
            put(ProtocolNames.GPUS, spec.need.gpus)
            put(ProtocolNames.MEMORY_GB, spec.need.memoryGb)
            put(ProtocolNames.IMAGE, spec.image)
            put(ProtocolNames.IMAGE_GB, spec.imageGb)
            spec.types?.let { types -> putArray(ProtocolNames.MACHINE_TYPES).apply { types.forEach(::add) } }
            spec.zone?.let { put(ProtocolNames.ZONE, it) }
            put(ProtocolNames.ONE_ZONE, spec.oneZone)
            put(ProtocolNames.SPREAD, spec.spread)
            put(ProtocolNames.SPOT, spec.spot)
            put(ProtocolNames.ESTIMATE_S, spec.estimateS)
            put(ProtocolNames.CHECKPOINT_S, spec.checkpointS)
            put(ProtocolNames.SAVE_S, spec.saveS)
            spec.deadlineS?.let { put(ProtocolNames.DEADLINE_S, it) }
        }

    /**
     * Encodes the stored record of a job.
     *
     * @param owner the node to whose shard the job belongs
     * @param createdAtWall wall-clock time of the submission, in milliseconds since the epoch
     */
    fun record(spec: JobSpec, owner: String, createdAtWall: Long, stage: JobStage): ObjectNode =
        Json.newObject().apply {
            set<JsonNode>(JOB, write(spec))
            put(OWNER, owner)
            put(CREATED, createdAtWall)
            put(STAGE, stage.name)
        }

    /** Reads a stored record; [version] is the version of its key. */
    fun stored(value: JsonNode, version: Long): StoredJob =
        StoredJob(
            spec(value.fieldOrNull(JOB) as? ObjectNode ?: throw MalformedException("$JOB is missing")),
            value.text(OWNER),
            value.count(CREATED),
            version,
            JobStage.valueOf(value.text(STAGE)),
        )

    /** The name that the users' protocol gives to the job's state. */
    fun stage(status: JobStatus): String =
        when (status.stage) {
            JobStage.DONE -> ProtocolNames.JOB_DONE
            JobStage.CANCELLED -> ProtocolNames.JOB_CANCELLED
            JobStage.ACTIVE -> if (status.running > 0) ProtocolNames.JOB_RUNNING else ProtocolNames.JOB_QUEUED
        }

    /** The body of the response to a status query for job [id]; with [counts], it has the numbers of finished and running tasks. */
    fun statusResponse(id: String, status: JobStatus, counts: Boolean): ByteArray {
        val body = Json.newObject().put(ProtocolNames.ID, id).put(ProtocolNames.STATE, stage(status))
        if (counts) body.put("done", status.done).put("running", status.running)
        return Json.write(body)
    }
}
