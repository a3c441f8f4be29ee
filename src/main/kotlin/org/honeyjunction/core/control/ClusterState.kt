package org.honeyjunction.core.control

import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Names
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Task

/** A job as the state service has it. */
data class StoredJob(
    val spec: JobSpec,
    val owner: String,
    val createdAtWall: Long,
    val version: Long,
    val stage: JobStage,
)

/** What the term holder knows: jobs, machines, and which task is, or might be, where. */
class ClusterState(val cluster: Cluster, val tuning: Tuning, val term: Long) {
    val jobs = ArrayList<Job>()
    private val jobIndex = Names()
    val active = LinkedHashMap<String, Job>()
    val machines = ArrayList<Machine>()
    private val machineIndex = Names()
    val effects = ArrayList<Effect>()
    private val commits = HashMap<Long, (CommitOutcome) -> Unit>()
    private var sequence = 0L

    /** Until then nobody else can hold the term. */
    var leaseValidUntil = Long.MIN_VALUE

    val termToken = term shl SEQUENCE_BITS

    /** Term and sequence together are never used twice: attempts, messages and rental names are made of them. */
    fun nextSequence(): Long = (term shl SEQUENCE_BITS) or ++sequence

    fun job(id: String): Job? = jobIndex.find(id).takeIf { it != Names.ABSENT }?.let(jobs::get)

    fun machine(name: String): Machine? = machineIndex.find(name).takeIf { it != Names.ABSENT }?.let(machines::get)

    val liveMachines: List<Machine> get() = machines.filter { it.phase != MachinePhase.GONE }

    fun addJob(stored: StoredJob, now: Long, wallNow: Long): Job {
        job(stored.spec.id)?.let { return it }
        val age = (wallNow - stored.createdAtWall).coerceAtLeast(0)
        val job = Job(
            jobIndex.index(stored.spec.id), stored.spec, cluster.team(stored.spec.team),
            cluster.images.index(stored.spec.image), stored.owner, now - age,
        )
        job.version = stored.version
        job.enter(stored.stage)
        jobs += job
        if (stored.stage == JobStage.ACTIVE) active[stored.spec.id] = job
        return job
    }

    fun addMachine(name: String, now: Long): Machine =
        machine(name) ?: Machine(machineIndex.index(name), name).also {
            it.token = termToken
            it.knownSince = now
            machines += it
        }

    fun describe(machine: Machine, address: String?, type: String, zone: String, spot: Boolean) {
        if (address != null) machine.address = address
        machine.type = cluster.typeNames.index(type)
        machine.zone = cluster.zones.index(zone)
        machine.spot = spot
    }

    fun place(task: Task, machine: Machine, attempt: Long, phase: Phase, now: Long): Placement {
        val placement = Placement(task, machine, attempt, phase, now)
        machine.placements.put(task.id, placement)?.let { task.placements.remove(it) }
        task.placements += placement
        machine.idleSince = Long.MIN_VALUE
        cluster.types[machine.type]?.let { machine.noteImage(task.job.image, task.job.spec.imageGb, it.cacheGb) }
        return placement
    }

    /** The task is not there any more (or never was); the caller has the evidence. */
    fun remove(placement: Placement, now: Long) {
        val machine = placement.machine
        if (machine.placements[placement.task.id] === placement) machine.placements.remove(placement.task.id)
        // A fetch that nobody waits for is given up.
        if (placement.phase <= Phase.FETCHING && machine.placements.values.none { it.task.job.image == placement.task.job.image }) {
            machine.images.remove(placement.task.job.image)
        }
        placement.task.placements.remove(placement)
        placement.task.waitingSince = now
        if (machine.placements.isEmpty()) machine.idleSince = now
    }

    fun usage(team: Int): Resources =
        liveMachines.fold(Resources.NONE) { sum, m ->
            m.placements.values.fold(sum) { s, p -> if (p.task.job.team == team) s + p.task.job.spec.need else s }
        }

    fun room(machine: Machine): Resources =
        (cluster.types[machine.type]?.size ?: Resources.NONE) - machine.used()

    fun commit(changes: List<Change>, then: (CommitOutcome) -> Unit) {
        val id = nextSequence()
        commits[id] = then
        effects += Effect.Commit(id, changes)
    }

    fun committed(id: Long, outcome: CommitOutcome) {
        commits.remove(id)?.invoke(outcome)
    }

    companion object {
        /** The low bits of tokens and attempts; the high ones are the term. */
        const val SEQUENCE_BITS = 24
    }
}
