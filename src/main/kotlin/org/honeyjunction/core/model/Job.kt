package org.honeyjunction.core.model

import java.util.BitSet

/** How the tasks of a job belong together. The names are stored. */
enum class JobKind { ARRAY, GANG, SERVICE }

/** From the lowest to the highest. The names are stored, and the ordinals are sent. */
enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** The durable stages. Whether an active job is pending or running follows from its placements. */
enum class JobStage { ACTIVE, DONE, CANCELLED }

/** What a user asks for: the accepted form of a submission. Times are in seconds, sizes in gigabytes. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val need: Resources,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
)

/** Whether the cluster could ever run a job. */
sealed interface Feasibility {
    data object Feasible : Feasibility

    /** [reason] is reported to the user. */
    data class Infeasible(val reason: String) : Feasibility

    /** The machine types are not known yet. */
    data object Unknown : Feasibility
}

/** Whether the cluster could ever run [spec], by the limits of its team and by the machine types. */
fun Cluster.checkFeasibility(spec: JobSpec): Feasibility {
    val team = team(spec.team)
    if (team == NameTable.ABSENT) return Feasibility.Infeasible("there is no team ${spec.team}")
    val concurrentNeed = if (spec.kind == JobKind.ARRAY) spec.need else spec.need * spec.tasks
    val limit = teams[team].limit
    if (!teams[team].withinLimit(concurrentNeed)) return Feasibility.Infeasible(limitExceeded(spec, concurrentNeed, limit))
    if (types.isEmpty()) return Feasibility.Unknown
    val fitting = types.values.filter { spec.mayUse(it) }
    return when {
        fitting.isEmpty() -> Feasibility.Infeasible("a task fits none of the machine types ${candidateTypes(spec)}")
        fitting.none { zonesFor(spec, it) != 0L } -> Feasibility.Infeasible("there is no machine type for it in zone ${spec.zone}")
        else -> Feasibility.Feasible
    }
}

private fun limitExceeded(spec: JobSpec, need: Resources, limit: Resources): String {
    val subject = if (spec.kind == JobKind.ARRAY) "a task needs" else "all tasks together need"
    val allowed = "${limit.cpus.orAny()} CPUs and ${limit.gpus.orAny()} GPUs"
    return "$subject ${need.cpus} CPUs and ${need.gpus} GPUs; team ${spec.team} may use $allowed"
}

/** The known machine types that [spec] asks for, or its own list if none of them is known. */
private fun Cluster.candidateTypes(spec: JobSpec): List<String> =
    types.values
        .map { it.name }
        .filter { spec.types == null || it in spec.types }
        .ifEmpty { spec.types.orEmpty() }

private fun Double.orAny() = if (this <= 0) "any" else toString()

/** Whether a task of this job may run on, and fits into, a machine of [type]. */
fun JobSpec.mayUse(type: MachineType): Boolean = (types == null || type.name in types) && need.fitsIn(type.size)

/** The zones, as a bit mask, in which [type] is offered and [spec] may run. */
fun Cluster.zonesFor(spec: JobSpec, type: MachineType): Long =
    type.zones.filter { spec.zone == null || zones.name(it) == spec.zone }.fold(0L) { mask, zone -> mask or (1L shl zone) }

/** A job as the leader sees it; [index], [team] and [image] are dense indices. */
class Job(val index: Int, val spec: JobSpec, val team: Int, val image: Int, val owner: String, val createdAt: Long) {
    var stage = JobStage.ACTIVE
        private set

    /** The revision of its durable record. */
    var version = 0L
    val tasks = Array(spec.tasks) { Task(this, it) }
    var doneCount = 0
        private set

    /** The numbers of the pending tasks: neither done nor, as far as is known, on any machine. */
    val waiting = BitSet(spec.tasks).apply { set(0, spec.tasks) }

    /** Where the job's tasks are or might be, kept in step with [Task.placements]. */
    val placements = LinkedHashSet<Placement>()

    /** None of its tasks is started before, in monotonic milliseconds. */
    var notBefore = 0L

    /** Whether one of its tasks has ever run, as far as this term knows. */
    var started = false

    /** It fails on every machine: its tasks are tried one at a time, after all other jobs, and no instance is rented for it. */
    var failing = false

    /**
     * The state of its terminal record. From the first attempt to write it, no task of the job may be started any more, and its
     * status may not be answered from memory.
     */
    val terminalRecord = TerminalRecord()

    /** Its user has requested its cancellation: its tasks are of no use from then on, whether that is confirmed yet or not. */
    var cancelRequested = false

    /** The index of the shape that its tasks have to the rules in force; below 0: none. */
    var shape = -1

    /** Whether it fits into its team's guaranteed quota together with the team's earlier jobs; recomputed every round. */
    var guaranteed = false

    /** The only function that changes the stage; a terminal stage never changes again. */
    fun enter(next: JobStage) {
        check(stage == JobStage.ACTIVE || stage == next) { "${spec.id}: $stage -> $next" }
        if (next != JobStage.ACTIVE) terminalRecord.recorded(next == JobStage.CANCELLED)
        stage = next
    }

    /** The number of tasks that a worker reported as running. */
    val running: Int get() = placements.count { it.phase == Phase.RUNNING }

    /** Whether its tasks may still be started. */
    val startable get() = terminalRecord.state == TerminalRecord.State.OPEN && !cancelRequested

    /** Whether any of its tasks that is found on a machine is to be stopped. */
    val mustStop get() = stage != JobStage.ACTIVE || cancelRequested

    val unfinished get() = tasks.size - doneCount

    fun add(placement: Placement) {
        placement.task.placements += placement
        placements += placement
        waiting.clear(placement.task.number)
    }

    fun remove(placement: Placement) {
        placement.task.placements -= placement
        placements -= placement
        if (!placement.task.done && placement.task.placements.isEmpty()) waiting.set(placement.task.number)
    }

    /** Returns false for a task that was done already. */
    fun markDone(task: Task): Boolean {
        if (task.done) return false
        task.done = true
        doneCount++
        waiting.clear(task.number)
        return true
    }
}

/** One task of [job]. */
class Task(val job: Job, val number: Int) {
    /** Every placement of the task that exists or might exist. It may be started only if there is none. */
    val placements = ArrayList<Placement>(0)

    /** A worker reported that it has finished; set by [Job.markDone]. */
    var done = false

    /** The result is in the key-value store. Only then may the worker reap the attempt. */
    var doneDurable = false
    var waitingSince = job.createdAt

    val id get() = "${job.spec.id}/$number"
}

/** The phases of a placement; from [FETCHING] on, as reported by the worker. */
enum class Phase {
    /** Its resources are reserved and the durable record is being written; nothing was sent. */
    RESERVED,

    /** The machine's durable record lists it; the start command may be sent. */
    RECORDED,

    /** A start command was sent, and its outcome is unknown. */
    SENT,

    /** The record of an earlier term lists it, and the machine has not confirmed it under this term. */
    UNCONFIRMED,
    FETCHING,
    GATHERING,
    RUNNING,
    SAVING,
    ;

    val reported get() = this >= FETCHING

    /** Its start command may still be executed, and no report has shown the task yet. */
    val outcomeUnknown get() = this == SENT || this == UNCONFIRMED
}

/** One [attempt] to run [task] on [machine]. */
class Placement(val task: Task, val machine: Machine, val attempt: Long, phase: Phase, now: Long) {
    var phase = phase
        private set
    var phaseSince = now
        private set

    /** In [Phase.SENT]: the lowest fencing token whose acknowledgement proves that the start can no longer be executed. */
    var voidFromToken = Long.MAX_VALUE
    var stopGraceS = 0.0
    var stopping = false
    var stopSentAt = 0L

    /** Removed on evidence that the task is not on the machine any more, or never was. */
    var removed = false

    /** The only function that changes the phase. A reported phase never falls back to an unreported one. */
    fun enter(next: Phase, now: Long) {
        check(next > phase || next.reported) { "${task.id}: $phase -> $next" }
        if (phase != next) phaseSince = now
        phase = next
    }
}
