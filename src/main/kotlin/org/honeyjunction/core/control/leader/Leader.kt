package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.jobs.Explanation
import org.honeyjunction.core.control.jobs.StalledJob
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.lease.LeaseGuard
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.TerminalRecord
import org.honeyjunction.core.placement.Proposal
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.rules.Rule
import org.honeyjunction.core.rules.RuleSet

/**
 * The leader of one term, which controls all machines. It receives events with their times and produces effects ([drainEffects]);
 * it performs no input or output and reads no clock. It must be used from a single thread.
 *
 * Each public function handles one event or answers one query, and delegates to the component in charge. `now` is always in
 * monotonic milliseconds, `wallNow` in wall-clock milliseconds.
 */
class Leader(
    cluster: Cluster,
    tuning: Tuning,
    val term: Long,
    node: String,
    recovered: RecoveredState,
    private val startedAt: Long,
    wallNow: Long,
    listLagMs: Long,
    rules: RuleSet = RuleSet.NONE,
    /** The other controllers, any of which may win a later term. */
    otherControllers: Collection<String> = emptyList(),
) {
    private val components = LeaderComponents(cluster, tuning, term, startedAt, wallNow, listLagMs, rules)
    val state = components.state
    private val renewals = WorkerLeaseRenewals(state, otherControllers)
    private val heartbeatResponder = HeartbeatResponder(components, renewals)
    private val periodicWork = PeriodicWork(components, node, startedAt)
    private val diagnostics = LeaderDiagnostics(components)
    private val taskLimit = TaskLimit(state, tuning.maxTasks)
    private val rulesInForce = RulesInForce(state, rules)

    init {
        LeaderRecovery(components, startedAt, wallNow).recover(recovered)
    }

    // Time and effects

    /** Does the periodic work. To be called every 100 ms. */
    fun tick(now: Long) {
        advanceTo(now)
        renewals.timePassed(now)
        periodicWork.tick(now)
    }

    /** Called first for every event, so that a suspension of the process is noticed before anything is decided. */
    private fun advanceTo(now: Long) {
        state.now = now
        val pauseMs = state.leaseGuard.recordTick(now)
        if (pauseMs > 0) {
            val held = if (state.leaseGuard.state == LeaseGuard.State.HELD) "still" else "no longer sure to be"
            state.effects += Effect.LogEvent("process-paused", "for $pauseMs ms, the leader lease is $held held")
        }
    }

    /**
     * Removes and returns the effects that may be executed now, in order. After a suspension beyond the end of the leader lease,
     * the effects that need the lease are held back until it is renewed.
     */
    fun drainEffects(): List<Effect> {
        if (state.leaseGuard.state != LeaseGuard.State.RESUMED_EXPIRED) return ArrayList(state.effects).also { state.effects.clear() }
        val allowed = state.effects.filter(::needsNoLease)
        state.effects.removeAll(allowed.toSet())
        return allowed
    }

    private fun needsNoLease(effect: Effect): Boolean =
        when (effect) {
            is Effect.LogEvent, is Effect.StepDown, is Effect.CancellationConfirmed -> true
            is Effect.Send -> effect.startsNothing
            is Effect.Commit, is Effect.ScaleOut, is Effect.ScaleIn, is Effect.ReadJobRecord -> false
        }

    /**
     * Whether an effect that was decided earlier may still be executed; [needsLease]: whether the effect needs the leader lease.
     * Starting tasks, scaling out and scaling in need it; stopping tasks does not, since a stop is idempotent.
     */
    fun mayExecute(now: Long, needsLease: Boolean): Boolean {
        advanceTo(now)
        return !needsLease || state.leaseGuard.state == LeaseGuard.State.HELD
    }

    // The leader lease and its confirmation by peers

    /** The leader lease was renewed: this node holds it until [until]. */
    fun leaderLeaseRenewed(until: Long, now: Long) {
        state.leaseGuard.renewed(until, now)
        renewals.leaderLeaseRenewed(until, now)
    }

    /** Whether the leader lease is valid, so that workers' leases may be renewed without confirmations by peers. */
    fun holdsLeaderLease(now: Long): Boolean = renewals.timePassed(now) == RenewalBound.State.LEASED

    /** The controller [by] confirmed, on a request sent at [askedAt], that it knew of no later term and had been up for [upMs]. */
    fun peerConfirmed(by: String, askedAt: Long, upMs: Long, now: Long) = renewals.peerConfirmed(by, askedAt, upMs, now)

    // Workers

    /** Processes a worker's heartbeat. Returns null if this node has no right to answer it. */
    fun answerHeartbeat(heartbeat: Heartbeat, now: Long): HeartbeatResponse? {
        advanceTo(now)
        return heartbeatResponder.answer(heartbeat, now)
    }

    /** Whether there are machines whose heartbeats should have arrived by now. */
    fun expectsHeartbeats(now: Long): Boolean =
        now - startedAt > state.cluster.heartbeatIntervalMs * HEARTBEATS_EXPECTED_AFTER &&
            state.machines.any { it.phase in HEARTBEAT_PHASES }

    /** The worker has executed the commands of message [id]; [heartbeat] is its status after them. */
    fun commandExecuted(id: Long, heartbeat: Heartbeat, now: Long) {
        advanceTo(now)
        components.dispatcher.executed(id, heartbeat) { heartbeatResponder.processCommandAnswer(it, now) }
        components.flush(now)
    }

    /** The worker rejected message [id], because its fencing token or incarnation did not match. */
    fun commandRejected(id: Long, heartbeat: Heartbeat, now: Long) {
        advanceTo(now)
        components.dispatcher.rejected(id, heartbeat, now) { heartbeatResponder.processCommandAnswer(it, now) }
        components.flush(now)
    }

    /** Message [id] was not answered. Its commands may still be executed later. */
    fun commandUnanswered(id: Long, now: Long) = components.dispatcher.unanswered(id, now)

    // The key-value store

    /** Handles the outcome of [Effect.Commit]. */
    fun committed(id: Long, outcome: CommitOutcome, now: Long) {
        advanceTo(now)
        state.committed(id, outcome)
        components.flush(now)
    }

    /** Handles the result of [Effect.ReadJobRecord]. */
    fun jobRecordRead(job: String, found: JobRecord, now: Long) {
        advanceTo(now)
        components.heartbeats.jobRecordRead(job, found, now)
        state.job(job)?.let { components.lifecycle.recordRead(it, found, now) }
        components.flush(now)
    }

    // Jobs

    /** Adds a job that was found in the key-value store, unless it is known already. */
    fun jobObserved(stored: StoredJob, now: Long, wallNow: Long) {
        if (state.job(stored.spec.id) != null) return
        val job = state.addJob(stored, now, wallNow)
        if (job.stage != JobStage.ACTIVE) return
        components.autoscaler.recordArrival(job, now)
        periodicWork.jobAdded(now)
    }

    /** Cancels a job; returns its stage (active until [Effect.CancellationConfirmed]), or null for an unknown job. */
    fun cancel(id: String, now: Long): JobStage? {
        val job = state.job(id) ?: return null
        if (job.stage == JobStage.ACTIVE) components.lifecycle.cancel(job, now)
        return job.stage
    }

    /** The status of a job; null for an unknown job. */
    fun status(id: String): JobStatus? = state.job(id)?.let { JobStatus(it.stage, it.doneCount, it.running) }

    /**
     * Like [status], but also null while the terminal record is being written or its outcome is unknown. The record may be durable
     * already, so that others can read it; see [TerminalRecord].
     */
    fun confirmedStatus(id: String): JobStatus? = status(id)?.takeIf { state.job(id)!!.terminalRecord.answerableFromMemory }

    /** Explains the placement of each task of the job, for at most [limit] tasks from number [first] on; null for an unknown job. */
    fun explain(id: String, first: Int, limit: Int, now: Long): List<Explanation>? = diagnostics.explain(id, first, limit, now)

    // Admission

    /** Whether there are more unfinished tasks than memory is provisioned for, so that no further jobs may be admitted. */
    val taskLimitReached: Boolean get() = taskLimit.reached

    /** The teams with more unfinished tasks than their weighted fair share; empty while the limit is far from reached. */
    fun teamsOverTaskShare(weights: Map<String, Double>): Set<String> = taskLimit.teamsOverShare(weights)

    // Placement by peers

    /** The waiting tasks of the jobs that [peer] owns; the request shows that [peer] is alive. */
    fun summaryFor(peer: String, now: Long): Summary = periodicWork.summaryFor(peer, now)

    /** Accepts those of the proposed placements that are still possible. Returns for each proposal whether it was accepted. */
    fun acceptProposals(proposals: List<Proposal>, now: Long): List<Boolean> {
        advanceTo(now)
        if (state.leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) return proposals.map { false }
        val accepted = components.dispatcher.accept(proposals, now)
        components.flush(now)
        return accepted
    }

    // The cloud

    /** The cloud returned the list of rented machines. */
    fun machinesListed(machines: List<ListedMachine>, now: Long) = components.autoscaler.listed(machines, now)

    /** The cloud rented [machines] for [request], fewer than requested if it ran out of capacity. */
    fun scaleOutCompleted(request: String, machines: List<String>, now: Long) =
        components.autoscaler.rentalConfirmed(request, machines, now)

    /** The cloud refused [request]. */
    fun scaleOutRefused(request: String, now: Long) = components.autoscaler.rentalRefused(request, now)

    /** Notes that the outcome of [request] is unknown: the cloud did not answer, and may or may not have rented machines. */
    fun scaleOutOutcomeUnknown(request: String, now: Long) = components.autoscaler.rentalOutcomeUnknown(request, now)

    /** A request to release [machines] ended; if not [confirmed], its outcome is unknown and it will be repeated. */
    fun scaleInCompleted(machines: List<String>, confirmed: Boolean, now: Long) = components.autoscaler.released(machines, confirmed, now)

    // Rules

    /** The version of the operators' rules in force. */
    val rulesVersion: Long get() = state.ruleBook.set.version

    /** Puts the operators' [rules] in force for later starts, unless their version is not newer than the current one. */
    fun useRules(rules: RuleSet) = rulesInForce.useOperatorRules(rules)

    /** Replaces the rules that jobs bring along, as opposed to the operators' rules. */
    fun useJobRules(rules: List<Rule>) = rulesInForce.useJobRules(rules)

    // Statistics

    /** The state of the cluster as one line for the log. */
    fun statistics(): String = diagnostics.statistics()

    /** For each class and team: how many of the jobs that have had enough time to start were started. */
    fun servedCounts(now: Long): Map<FairnessGroup, ServedCount> = diagnostics.servedCounts(now)

    /** The classes and teams with less than half of their jobs started although machines had free capacity for a waiting one. */
    fun starvedGroups(now: Long): Map<FairnessGroup, ServedCount> = diagnostics.starvedGroups(now)

    /** The jobs that have waited for too long although there was free capacity that they may use. */
    fun stalledJobs(now: Long): List<StalledJob> = diagnostics.stalledJobs(now)

    private companion object {
        /** Heartbeats are expected after this many heartbeat intervals from the beginning of the term. */
        const val HEARTBEATS_EXPECTED_AFTER = 3

        /** The phases in which a worker should send heartbeats. */
        val HEARTBEAT_PHASES = setOf(MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED, MachinePhase.UNREACHABLE)
    }
}
