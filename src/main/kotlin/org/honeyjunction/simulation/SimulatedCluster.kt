package org.honeyjunction.simulation

import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.Gangs

/**
 * Simulates the core of leaders in virtual time against fakes of the state service, the cloud, the workers and the users. After
 * every step [ClusterChecks] checks the protocol's invariants; violations are collected in [broken]. The same seed always gives
 * the same run.
 */
class SimulatedCluster(seed: Long, capacity: Int = 12, private val setup: ClusterSetup = ClusterSetup(), rules: RuleSet = RuleSet.NONE) {
    private val context = SimulationContext(seed, setup)
    private val checks = ClusterChecks(context, rules)
    private val users = SimulatedUsers(context)
    private val workerNetwork = WorkerNetwork(context)
    private val timing = FakeWorker.Timing(setup.workerLeaseMs, gangWaitMs = 30_000, gangPeerMs = 5_000)
    private val gangs = Gangs(timing)
    private val checkpoints = HashMap<String, Double>()
    val cloud = SimulatedCloud(context, capacity) { FakeWorker(it, timing, now, users::workOf, checkpoints) }
    private val effects = EffectExecutor(context, workerNetwork, cloud)

    val random get() = context.random
    val workerLeaseMs get() = setup.workerLeaseMs
    val now get() = context.now
    val state get() = context.state
    val workers get() = context.workers
    val network get() = context.network
    val history get() = context.history
    val leader get() = context.leader

    /** Violations of the protocol's invariants so far. */
    val broken get() = history.broken

    /** Number of task starts so far. */
    val started get() = history.started

    /** Number of writes that were applied late. */
    val lateWrites get() = effects.lateWrites

    /** How often the first heartbeat that a leader got from a machine was a stale copy. */
    val staleFirstHeartbeats get() = workerNetwork.staleFirstHeartbeats

    /** Number of copies of executed messages that arrived at workers. */
    val commandCopies get() = workerNetwork.commandCopies

    /** Runs [action] after [delayMs] of virtual time. */
    fun after(delayMs: Long, action: () -> Unit) = context.after(delayMs, action)

    /** Runs the simulation for [forMs] of virtual time. */
    fun run(forMs: Long) {
        val end = now + forMs
        while (now < end) step()
    }

    private fun step() {
        context.events.advance(STEP_MS)
        cloud.finishBoots()
        workerNetwork.advanceWorkers()
        gangs.step(workers.values, now)
        if (now % LIST_MS == 0L) leader?.takeIf { it.alive && !cloud.down }?.let(cloud::list)
        checks.check()
    }

    /** Called after the last fault: from now on no job may wait for long although machines have room for it. */
    fun requireWorkConservation() = checks.requireWorkConservation()

    /** Applies new placement rules to the present leader and to all later ones. */
    fun apply(rules: RuleSet) {
        checks.rules = rules
        leader?.run { useRules(rules) }
    }

    /** Elects a leader for a new term. Writes of the previous leader are refused from now on, though it may not know yet. */
    fun elect() {
        state.term++
        val elected = SimulatedController(state.term, checks.rules, context, effects::execute)
        context.leader = elected
        workerNetwork.replayRecordedHeartbeats(elected)
        elected.tick()
    }

    /** The leader stops, and another is elected at once. */
    fun handOver() {
        leader?.alive = false
        elect()
    }

    /** The leader crashes, and another is elected when its lease has expired. */
    fun crash() {
        leader?.alive = false
        after(LEADER_LEASE_MS) { elect() }
    }

    /**
     * Isolates the leader from the state service, the cloud and the other controllers; another is elected when its lease has
     * expired. Workers stay with the isolated leader as long as it responds to them.
     */
    fun isolateLeader() {
        leader?.isolated = true
        after(LEADER_LEASE_MS) { elect() }
    }

    /** Suspends the leader's process for [forMs]; another leader is elected if its lease expires meanwhile. */
    fun freeze(forMs: Long) {
        val frozen = leader ?: return
        frozen.frozenUntil = now + forMs
        if (forMs > LEADER_LEASE_MS) after(LEADER_LEASE_MS + 400) { if (frozen === leader && !state.down) elect() }
    }

    /** Disconnects all machines of [zone] that are up from the network for [forMs]. */
    fun disconnectZone(zone: String, forMs: Long) = machinesUpIn(zone).forEach { it.cutUntil = now + forMs }

    /** The names of the machines of [zone] that are up. */
    fun machinesIn(zone: String): Set<String> = machinesUpIn(zone).mapTo(HashSet()) { it.name }

    private fun machinesUpIn(zone: String) = workers.values.filter { it.box.zone == zone && !it.dead }

    /** Number of running tasks of the job on machines whose lease is valid. */
    fun runningTaskCount(id: String): Int =
        workers.values.filter { it.holds(now) }.sumOf { worker ->
            worker.tasks.values.count { it.live && it.spec.id == id && it.state == TaskState.Running }
        }

    /** Submits job `j-`[id]; a task needs [gpus] accelerators and as many processors and GB, and runs for [seconds]. */
    fun submit(
        id: Int,
        kind: JobKind,
        tasks: Int,
        team: String = "a",
        spot: Boolean = false,
        spread: Boolean = false,
        oneZone: Boolean = false,
        gpus: Int = 1,
        seconds: Double = 8.0,
        checkpoint: Double = 0.0,
        jobClass: String = "c",
        priority: Priority = Priority.NORMAL,
    ): String {
        val need = Resources(gpus * 1.0, gpus.toDouble(), gpus * 1.0)
        val image = "i${id % 3}"
        return submit(
            JobSpec(
                "j-$id",
                jobClass,
                team,
                kind,
                priority,
                tasks,
                need,
                image,
                2.0,
                null,
                null,
                oneZone,
                spread,
                spot,
                seconds,
                checkpoint,
                1.0,
                null,
            ),
        )
    }

    /** Submits the job [spec] and returns its id. */
    fun submit(spec: JobSpec): String = users.submit(spec)

    /** Sends one cancellation of job [id] to the present leader. */
    fun cancel(id: String) = users.cancel(id)

    /** Repeats the user's cancellation until it is confirmed, by whichever leader. */
    fun cancelUntilConfirmed(id: String) = users.cancelUntilConfirmed(id)

    companion object {
        /** Duration of the leader's lease in the state service. */
        const val LEADER_LEASE_MS = 5_000L
        private const val STEP_MS = 20L
        private const val LIST_MS = 3_000L
    }
}
