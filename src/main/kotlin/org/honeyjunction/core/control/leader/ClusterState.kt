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
 * through here, which keeps the totals of teams and machines consistent with the placements. Times are steady milliseconds.
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

    /** What the environment is to do, in this order; see [Leader.drainEffects]. */
    val effects = ArrayList<Effect>()
    private val commits = HashMap<Long, (CommitOutcome) -> Unit>()
    private var sequence = 0L

    /** The time of the latest event. */
    var now = Long.MIN_VALUE / 2

    /** Decides which effects may leave this process. */
    val leaseGuard = LeaseGuard(startedAt)

    /** Until then no other node can hold the leader lease; never, after a pause of the process past the end of its lease. */
    val leaseValidUntil get() = if (leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) Long.MIN_VALUE else leaseGuard.validUntil

    /** The rules in force. */
    var ruleBook = RuleBook(cluster, RuleSet.NONE)
        private set

    /** The lowest fencing token of this term. */
    val termToken = term shl SEQUENCE_BITS

    /** A number that no leader uses twice: attempts, messages and the names of scale-out requests are made of it. */
    fun nextSequence(): Long = (term shl SEQUENCE_BITS) or ++sequence

    /** All machines but those that are gone. */
    val machines: Collection<Machine> get() = machineIndex.present

    fun job(id: String): Job? = jobs.find(id)

    fun jobAt(index: Int): Job? = jobs.at(index)

    fun machine(name: String): Machine? = machineIndex.find(name)

    fun machineAt(index: Int): Machine? = machineIndex.at(index)

    /** Adds a job unless it is known; returns the known or the new one. */
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
        if (stored.stage == JobStage.ACTIVE) jobs.activate(job) else forgetLater(job, now)
        return job
    }

    /** [job] is not active any more. */
    fun finishJob(job: Job, now: Long) {
        if (jobs.deactivate(job)) forgetLater(job, now)
    }

    /** Once no machine can have a task of a finished job, the job is answered from its terminal record. */
    private fun forgetLater(job: Job, now: Long) {
        removals.add(now) {
            if (job.placements.isEmpty()) jobs.forget(job)
            job.placements.isEmpty()
        }
    }

    /** Adds a machine unless it is known; returns the known or the new one. */
    fun addMachine(name: String, now: Long): Machine =
        machine(name) ?: Machine(machineIndex.indexOf(name), name, WorkerLease(cluster.leaseMs, termToken)).also {
            it.token = termToken
            it.knownSince = now
            machineIndex.add(it)
        }

    /** The cloud has confirmed that [machine] is gone, with all that was on it. */
    fun removeMachine(machine: Machine, now: Long) {
        machine.placements.values.toList().forEach { remove(it, now) }
        machine.enter(MachinePhase.GONE)
        machine.images.clear()
        machineIndex.remove(machine)
        machinesToSendTo -= machine
        // The name is remembered for a while: delayed lists and heartbeats must not add the machine again.
        removals.add(now) {
            machineIndex.forget(machine)
            true
        }
    }

    /** Forgets finished jobs and removed machines whose retention is over. */
    fun purgeRemoved(now: Long) = removals.purge(now)

    /** Sets what the worker or the cloud reports of [machine]; a null [address] is not known and changes nothing. */
    fun describe(machine: Machine, address: String?, type: String, zone: String, spot: Boolean) {
        if (address != null) machine.address = address
        machine.type = cluster.typeNames.indexWithin(type, Cluster.MAX_TYPES)
        // No task can be started in a zone that the settings do not define.
        machine.zone = cluster.zones.find(zone)
        machine.spot = spot
        machine.place = ruleBook.place(machine.name, machine.type, machine.zone, spot)
    }

    /** From now on starts obey [rules]; running tasks are not stopped. */
    fun useRules(rules: RuleSet) {
        ruleBook = RuleBook(cluster, rules)
        jobs.forEach { it.shape = ruleBook.shape(it.spec) }
        machines.forEach { it.place = ruleBook.place(it.name, it.type, it.zone, it.spot) }
    }

    /** [machine] as the rules see it, without the placements in [leaving]. */
    fun ruleContext(machine: Machine, leaving: Set<Placement> = emptySet()): RuleTable.Scene =
        if (ruleBook.empty) {
            RuleTable.Scene.NOWHERE
        } else {
            RuleTable.Scene(machine.place, runningShapes(machine, leaving), machine.images.keys.toIntArray())
        }

    /** The shapes of the tasks that are or may be on [machine], without those in [leaving]. */
    fun runningShapes(machine: Machine, leaving: Set<Placement> = emptySet()): IntArray =
        if (ruleBook.empty) {
            RuleTable.Scene.NOWHERE.running
        } else {
            machine.placements.values
                .filter { it !in leaving && it.task.job.shape >= 0 }
                .map { it.task.job.shape }
                .toIntArray()
        }

    /** The places of the job's other tasks than [task]; empty unless a rule needs them. */
    fun siblingPlaces(job: Job, task: Task?): List<Int> =
        if (!ruleBook.table.asksSame(job.shape)) emptyList() else job.placements.filter { it.task !== task }.map { it.machine.place }

    /** The mandatory rule that forbids [task] of [job] to start on [machine] at this moment; null: none. */
    fun violatedRule(job: Job, task: Task?, machine: Machine): RuleTable.Breach? =
        if (job.shape < 0) null else ruleBook.table.barred(job.shape, ruleContext(machine), siblingPlaces(job, task))

    /** Records that [attempt] of [task] is or may be on [machine]; replaces an earlier attempt there. */
    fun place(task: Task, machine: Machine, attempt: Long, phase: Phase, now: Long): Placement {
        val placement = Placement(task, machine, attempt, phase, now)
        machine.placements[task.id]?.let { unlink(it) }
        machine.placements[task.id] = placement
        task.job.add(placement)
        machine.recomputeUsage()
        teams.add(task.job.team, task.job.spec.need)
        // A start known only from the journal may be long over: it does not end the idle time of its machine.
        if (phase != Phase.UNCONFIRMED) machine.idleSince = Long.MIN_VALUE
        machinesToSendTo += machine
        cluster.types[machine.type]?.let { machine.recordImage(task.job.image, task.job.spec.imageGb, it.cacheGb) }
        return placement
    }

    /** The task is not there any more, or never was: the caller has the evidence. */
    fun remove(placement: Placement, now: Long) {
        if (placement.removed) return
        val machine = placement.machine
        unlink(placement)
        // A worker cancels a fetch that no task needs. An attempt that an earlier leader started has most likely fetched its
        // image: if that were forgotten, all tasks of a zone that recovers would go where the image is fetched again.
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

    /** The resources that the placements of a team use. */
    fun usage(team: Int): Resources = teams.usage(team)

    /** The number of placements of a team. */
    fun placementCount(team: Int): Int = teams.placements(team)

    /** The free capacity of [machine]. */
    fun freeCapacity(machine: Machine): Resources = (cluster.types[machine.type]?.size ?: Resources.NONE) - machine.used

    /** The job that [machine] is reserved for, while that job has waiting tasks. */
    fun reservedFor(machine: Machine, now: Long): Job? = jobAt(machine.reservedForAt(now))?.takeIf { it.startable && !it.waiting.isEmpty }

    /** Requests a compare-and-swap of [changes]; [onOutcome] is called with its outcome. */
    fun commit(changes: List<Change>, onOutcome: (CommitOutcome) -> Unit) {
        val id = nextSequence()
        commits[id] = onOutcome
        effects += Effect.Commit(id, changes)
    }

    /** The outcome of the commit [id]; repeated or unknown ones are ignored. */
    fun committed(id: Long, outcome: CommitOutcome) {
        commits.remove(id)?.invoke(outcome)
    }

    companion object {
        /** The number of low bits of tokens and attempts that are a sequence number; the bits above are the term. */
        const val SEQUENCE_BITS = 24
    }
}
