package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.lease.LeaseGuard
import org.honeyjunction.core.lease.WorkerLease
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.rules.RuleBook
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.core.rules.RuleTable

/**
 * The leader's view of the cluster: jobs, machines, and where each task is or may be. Every change of a placement passes
 * through this class, which keeps the totals of teams and machines consistent with the placements. Times are monotonic
 * milliseconds.
 */
class ClusterState(val cluster: Cluster, val tuning: Tuning, val term: Long, val startedAt: Long = 0) {
    private val jobs = JobIndex()
    private val machineIndex = MachineIndex()
    private val removals = RemovalQueue()
    private val teams = TeamUsage(cluster.teams.size)

    /** The active jobs by identifier. */
    val active: LinkedHashMap<String, Job> get() = jobs.active

    /** The number of tasks of the active jobs. */
    val activeTasks: Int get() = jobs.activeTasks

    /** Machines for which commands may have become due since the last flush. */
    val machinesToSendTo = LinkedHashSet<Machine>()

    /** The effects to be executed by the environment, in order; see [Leader.drainEffects]. */
    val effects = ArrayList<Effect>()

    /** Logs what may happen often. */
    val eventLog = EventLog(effects)
    val messageCounters = WorkerMessageCounters()
    private val commits = HashMap<Long, (CommitOutcome) -> Unit>()
    private var sequence = 0L

    /** The time of the latest event. */
    var now = Long.MIN_VALUE / 2

    /** Decides which effects may be executed. */
    val leaseGuard = LeaseGuard(startedAt)

    /** No other node can hold the leader lease before this time; unknown after a suspension beyond the end of the lease. */
    val leaseValidUntil get() = if (leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) Long.MIN_VALUE else leaseGuard.validUntil

    /** The rules in force. */
    var ruleBook = RuleBook(cluster, RuleSet.NONE)
        private set

    /** The lowest fencing token of this term. */
    val termToken = term shl SEQUENCE_BITS

    /** A number that is unique across terms. It identifies attempts, messages and scale-out requests. */
    fun nextSequence(): Long = (term shl SEQUENCE_BITS) or ++sequence

    /** All machines except those that are gone. */
    val machines: Collection<Machine> get() = machineIndex.present

    /** The job with the identifier [id]; null if it is not known. */
    fun job(id: String): Job? = jobs.find(id)

    /** The job with the dense index [index]; null if it is not known. */
    fun jobAt(index: Int): Job? = jobs.at(index)

    /** The machine called [name], even if it has been removed recently; null if it is not known. */
    fun machine(name: String): Machine? = machineIndex.find(name)

    /** The machine with the dense index [index]; null if it is not known. */
    fun machineAt(index: Int): Machine? = machineIndex.at(index)

    /** Returns the job of [stored], which is added if it is not known yet. */
    fun addJob(stored: StoredJob, now: Long, wallNow: Long): Job {
        job(stored.spec.id)?.let { return it }
        val age = (wallNow - stored.createdAtWall).coerceAtLeast(0)
        val job =
            Job(
                jobs.indexOf(stored.spec.id),
                stored.spec,
                cluster.team(stored.spec.team),
                cluster.images.index(stored.spec.image),
                stored.owner,
                now - age,
            )
        job.version = stored.version
        job.shape = ruleBook.shape(job.spec)
        job.enter(stored.stage)
        jobs.add(job)
        if (stored.stage == JobStage.ACTIVE) jobs.activate(job) else scheduleRemoval(job, now)
        return job
    }

    /** Takes [job], which has ended, off the active jobs. */
    fun finishJob(job: Job, now: Long) {
        if (jobs.deactivate(job)) scheduleRemoval(job, now)
    }

    /** Forgets a finished job once no machine can have a task of it. Its status is then read from its terminal record. */
    private fun scheduleRemoval(job: Job, now: Long) {
        removals.add(now) {
            if (job.placements.isEmpty()) jobs.forget(job)
            job.placements.isEmpty()
        }
    }

    /** Returns the machine called [name], which is added if it is not known yet. */
    fun addMachine(name: String, now: Long): Machine =
        machine(name) ?: Machine(machineIndex.indexOf(name), name, WorkerLease(cluster.leaseMs, termToken)).also {
            it.token = termToken
            it.knownSince = now
            machineIndex.add(it)
        }

    /** Raises the fencing token of [machine] if a start was sent with it, so that the worker rejects a copy of that start. */
    fun voidSentStarts(machine: Machine) {
        if (machine.startsValid) messageCounters.tokensRaised++
        machine.voidSentStarts()
    }

    /** Removes [machine] and its placements; the cloud has confirmed that the machine is gone. */
    fun removeMachine(machine: Machine, now: Long) {
        machine.placements.values.toList().forEach { remove(it, now) }
        machine.enter(MachinePhase.GONE)
        machine.images.clear()
        machineIndex.remove(machine)
        machinesToSendTo -= machine
        // The name is remembered for a while, so that delayed lists and heartbeats do not add the machine again.
        removals.add(now) {
            machineIndex.forget(machine)
            true
        }
    }

    /** Forgets finished jobs and removed machines whose retention period has ended. */
    fun purgeRemoved(now: Long) = removals.purge(now)

    /** Sets the attributes of [machine] that its worker or the cloud reports. A null [address] is unknown and changes nothing. */
    fun describe(machine: Machine, address: String?, type: String, zone: String, spot: Boolean) {
        if (address != null) machine.address = address
        machine.type = cluster.typeNames.indexWithin(type, Cluster.MAX_TYPES)
        // A zone that the settings do not define becomes ABSENT, and no task can be started there.
        machine.zone = cluster.zones.find(zone)
        machine.spot = spot
        machine.place = ruleBook.place(machine.name, machine.type, machine.zone, spot)
    }

    /** Puts [rules] in force for later starts. Running tasks are not stopped. */
    fun useRules(rules: RuleSet) {
        ruleBook = RuleBook(cluster, rules)
        jobs.forEach { it.shape = ruleBook.shape(it.spec) }
        machines.forEach { it.place = ruleBook.place(it.name, it.type, it.zone, it.spot) }
    }

    /** The properties of [machine] that rules refer to, without the placements in [leaving]. */
    fun ruleContext(machine: Machine, leaving: Set<Placement> = emptySet()): RuleTable.MachineContext =
        if (ruleBook.empty) {
            RuleTable.MachineContext.EMPTY
        } else {
            RuleTable.MachineContext(machine.place, runningShapes(machine, leaving), machine.images.keys.toIntArray())
        }

    /** The rule shapes of the tasks that are or may be on [machine], without the placements in [leaving]. */
    fun runningShapes(machine: Machine, leaving: Set<Placement> = emptySet()): IntArray =
        if (ruleBook.empty) {
            RuleTable.MachineContext.EMPTY.running
        } else {
            machine.placements.values
                .filter { it !in leaving && it.task.job.shape >= 0 }
                .map { it.task.job.shape }
                .toIntArray()
        }

    /** The rule places of the machines that have tasks of [job] other than [task]; empty unless a rule needs them. */
    fun siblingPlaces(job: Job, task: Task?): List<Int> =
        if (!ruleBook.table.hasSameClause(job.shape)) emptyList() else job.placements.filter { it.task !== task }.map { it.machine.place }

    /** The mandatory rule that currently forbids starting [task] of [job] on [machine]; null if there is none. */
    fun violatedRule(job: Job, task: Task?, machine: Machine): RuleTable.Violation? =
        if (job.shape < 0) null else ruleBook.table.firstViolation(job.shape, ruleContext(machine), siblingPlaces(job, task))

    /** Records that [attempt] of [task] is or may be on [machine]. Replaces an earlier attempt on the same machine. */
    fun place(task: Task, machine: Machine, attempt: Long, phase: Phase, now: Long): Placement {
        val placement = Placement(task, machine, attempt, phase, now)
        machine.placements[task.id]?.let { unlink(it) }
        machine.placements[task.id] = placement
        task.job.add(placement)
        machine.recomputeUsage()
        teams.add(task.job.team, task.job.spec.need)
        // A task that is known only from the journal may have ended long ago, so it does not end the idle time of its machine.
        if (phase != Phase.UNCONFIRMED) machine.idleSince = Long.MIN_VALUE
        machinesToSendTo += machine
        cluster.types[machine.type]?.let { machine.recordImage(task.job.image, task.job.spec.imageGb, it.cacheGb) }
        return placement
    }

    /** Removes [placement]. The caller must have proof that the task is not on the machine any more or never was. */
    fun remove(placement: Placement, now: Long) {
        if (placement.removed) return
        val machine = placement.machine
        unlink(placement)
        // A worker cancels the fetch of an image that no task needs. But an attempt that an earlier leader started has most likely
        // fetched its image. If the image were forgotten, all tasks of a recovering zone would be placed where it must be fetched
        // again.
        if (placement.phase <= Phase.FETCHING &&
            placement.phase != Phase.UNCONFIRMED &&
            machine.placements.values.none { it.task.job.image == placement.task.job.image }
        ) {
            machine.images.remove(placement.task.job.image)
        }
        placement.task.waitingSince = now
        machinesToSendTo += machine
        val idleTimeKnown = placement.phase == Phase.UNCONFIRMED && machine.idleSince != Long.MIN_VALUE
        if (machine.placements.isEmpty() && !idleTimeKnown) machine.idleSince = now
    }

    private fun unlink(placement: Placement) {
        placement.removed = true
        placement.machine.placements.remove(placement.task.id, placement)
        placement.task.job.remove(placement)
        placement.machine.recomputeUsage()
        teams.remove(placement.task.job.team, placement.task.job.spec.need)
    }

    /** The resources used by the placements of [team]. */
    fun usage(team: Int): Resources = teams.usage(team)

    /** The number of placements of [team]. */
    fun placementCount(team: Int): Int = teams.placements(team)

    /** The free capacity of [machine]. */
    fun freeCapacity(machine: Machine): Resources = (cluster.types[machine.type]?.size ?: Resources.NONE) - machine.used

    /** The job that [machine] is reserved for; null if there is none, or if the job has no waiting tasks that may be started. */
    fun reservedFor(machine: Machine, now: Long): Job? = jobAt(machine.reservedForAt(now))?.takeIf { it.startable && !it.waiting.isEmpty }

    /** Requests a compare-and-swap of [changes]; [onOutcome] will be called with the outcome. */
    fun commit(changes: List<Change>, onOutcome: (CommitOutcome) -> Unit) {
        val id = nextSequence()
        commits[id] = onOutcome
        effects += Effect.Commit(id, changes)
    }

    /** Handles the outcome of the commit [id]. Repeated outcomes and those of unknown commits are ignored. */
    fun committed(id: Long, outcome: CommitOutcome) {
        commits.remove(id)?.invoke(outcome)
    }

    companion object {
        /** The number of low bits of tokens and attempts that hold a sequence number; the bits above hold the term. */
        const val SEQUENCE_BITS = 24
    }
}
