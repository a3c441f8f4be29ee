package org.honeyjunction.core.model

import java.util.BitSet

/** How the tasks of a job relate: independent tasks, a gang that runs all at once, or replicas of a service. The names are stored. */
enum class JobKind { ARRAY, GANG, SERVICE }

/** The priority of a job, from the lowest to the highest. The names are stored, and the ordinals are sent. */
enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** The durable stage of a job. Whether an active job is pending or running follows from its placements. */
enum class JobStage { ACTIVE, DONE, CANCELLED }

/** The specification of a job, as it was submitted and accepted. Times are in seconds, sizes in gigabytes. */
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

/** The result of [checkFeasibility]. */
sealed interface Feasibility {
    /** The cluster can run the job once it has enough free resources. */
    data object Feasible : Feasibility

    /** The cluster can never run the job; [reason] is reported to the user. */
    data class Infeasible(val reason: String) : Feasibility

    /** The machine types are not known yet. */
    data object Unknown : Feasibility
}

/** Whether the cluster can ever run [spec], according to the limit of its team and to the machine types. */
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

/** The known machine types among those that [spec] allows, or the list in [spec] if none of them is known. */
private fun Cluster.candidateTypes(spec: JobSpec): List<String> =
    types.values
        .map { it.name }
        .filter { spec.types == null || it in spec.types }
        .ifEmpty { spec.types.orEmpty() }

private fun Double.orAny() = if (this <= 0) "any" else toString()

/** Whether a task of this job may run on a machine of [type] and fits into it. */
fun JobSpec.mayUse(type: MachineType): Boolean = (types == null || type.name in types) && need.fitsIn(type.size)

/** The zones in which [type] is offered and [spec] may run, as a bit mask. */
fun Cluster.zonesFor(spec: JobSpec, type: MachineType): Long =
    type.zones.filter { spec.zone == null || zones.name(it) == spec.zone }.fold(0L) { mask, zone -> mask or (1L shl zone) }

/**
 * The leader's view of a job. [index], [team] and [image] are dense indices; [owner] is the controller that
 * places its tasks while it is alive.
 */
class Job(val index: Int, val spec: JobSpec, val team: Int, val image: Int, val owner: String, val createdAt: Long) {
    /** The stage that is known to be durable. */
    var stage = JobStage.ACTIVE
        private set

    /** The revision of the job's durable record. */
    var version = 0L
    val tasks = Array(spec.tasks) { Task(this, it) }

    /** The number of tasks that are done. */
    var doneCount = 0
        private set

    /** The numbers of the pending tasks: those that are not done and have no placement. */
    val waiting = BitSet(spec.tasks).apply { set(0, spec.tasks) }

    /** The placements of all tasks of the job: the union of their [Task.placements]. */
    val placements = LinkedHashSet<Placement>()

    /** No task of the job is started before this time, in monotonic milliseconds. */
    var notBefore = 0L

    /** Whether a pending task of the job may run already, unrecorded and on a machine that has not reported. No task is started then. */
    var heldBack = false

    /** Whether a task of the job is known to have run. */
    var started = false

    /**
     * Whether the job fails on every machine. Its tasks are then tried one at a time, after all other jobs, and no machine is rented
     * for it.
     */
    var failing = false

    /**
     * The state of the job's terminal record. From the first attempt to write the record on, no task of the job may be started any
     * more, and its status may not be answered from memory until the record is known to be durable.
     */
    val terminalRecord = TerminalRecord()

    /** Whether the user has requested the cancellation of the job. Its tasks are useless from then on, even before a confirmation. */
    var cancelRequested = false

    /** The index of the job's tasks in the rules in force, see [org.honeyjunction.core.rules.RuleBook.shape]; below 0: no rule applies. */
    var shape = -1

    /** Whether the job and the team's earlier jobs together fit into the team's guaranteed quota; recomputed in each placement round. */
    var guaranteed = false

    /** The only function that changes the stage; a terminal stage never changes again. */
    fun enter(next: JobStage) {
        check(stage == JobStage.ACTIVE || stage == next) { "${spec.id}: $stage -> $next" }
        if (next != JobStage.ACTIVE) terminalRecord.recorded(next == JobStage.CANCELLED)
        stage = next
    }

    /** The number of tasks that a worker reported as running. */
    val running: Int get() = placements.count { it.phase == Phase.RUNNING }

    /** Whether tasks of the job may still be started. */
    val startable get() = terminalRecord.state == TerminalRecord.State.OPEN && !cancelRequested

    /** Whether every task of the job that is found on a machine must be stopped. */
    val mustStop get() = stage != JobStage.ACTIVE || cancelRequested

    /** The number of tasks that are not done. */
    val unfinished get() = tasks.size - doneCount

    /** Adds [placement] of one of the job's tasks. */
    fun add(placement: Placement) {
        placement.task.placements += placement
        placements += placement
        waiting.clear(placement.task.number)
    }

    /** Removes [placement]. Its task is pending again if it is not done and has no other placement. */
    fun remove(placement: Placement) {
        placement.task.placements -= placement
        placements -= placement
        if (!placement.task.done && placement.task.placements.isEmpty()) waiting.set(placement.task.number)
    }

    /** Marks [task] as done. Returns false if it was done already. */
    fun markDone(task: Task): Boolean {
        if (task.done) return false
        task.done = true
        doneCount++
        waiting.clear(task.number)
        return true
    }
}

/** The task of [job] with this [number], which counts from 0. */
class Task(val job: Job, val number: Int) {
    /** Every placement of the task that exists or may exist. The task may be started only if there is none. */
    val placements = ArrayList<Placement>(0)

    /** Whether a worker reported that the task is done; set by [Job.markDone]. */
    var done = false

    /** Whether the result is in the key-value store. Only then may the worker forget the attempt. */
    var doneDurable = false

    /** Since when the task has been pending; meaningful only while it is. */
    var waitingSince = job.createdAt

    /** The identifier of the task, which consists of the identifier of its job and its number. */
    val id get() = "${job.spec.id}/$number"
}

/** The phase of a placement. From [FETCHING] on, phases are those that the worker reported. */
enum class Phase {
    /** The resources are reserved and the durable record is being written. No command was sent. */
    RESERVED,

    /** The durable record of the start has been written. The start command may be sent. */
    RECORDED,

    /** The start command was sent, and its outcome is not known yet. */
    SENT,

    /** The start was recorded in an earlier term, and the machine has not confirmed it in this term. */
    UNCONFIRMED,

    /** The worker is fetching the image. */
    FETCHING,

    /** The task is waiting for the other tasks of its gang. */
    GATHERING,

    /** The task is running. */
    RUNNING,

    /** The task is saving a checkpoint. */
    SAVING,
    ;

    /** Whether the worker has reported the task in this phase. */
    val reported get() = this >= FETCHING

    /** Whether the start command may still be executed and no report has listed the task yet. */
    val outcomeUnknown get() = this == SENT || this == UNCONFIRMED
}

/** An [attempt] to run [task] on [machine]. */
class Placement(val task: Task, val machine: Machine, val attempt: Long, phase: Phase, now: Long) {
    var phase = phase
        private set

    /** When the placement entered its phase, in monotonic milliseconds. */
    var phaseSince = now
        private set

    /** In [Phase.SENT]: the lowest fencing token whose acknowledgement proves that the start can no longer be executed. */
    var voidFromToken = Long.MAX_VALUE

    /** The time in seconds that the task has to save a checkpoint when it is stopped. */
    var stopGraceS = 0.0

    /** Whether the task is to be stopped. */
    var stopping = false

    /** When the latest stop command was sent, in monotonic milliseconds; 0 if none was sent. */
    var stopSentAt = 0L

    /** Whether the placement was removed, on proof that the task is not on the machine any more or never was. */
    var removed = false

    /** The only function that changes the phase. A reported phase never falls back to an unreported one. */
    fun enter(next: Phase, now: Long) {
        check(next > phase || next.reported) { "${task.id}: $phase -> $next" }
        if (phase != next) phaseSince = now
        phase = next
    }
}
