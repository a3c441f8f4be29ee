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
 * The leader of one term, which controls all machines. Events and their time go in, effects come out ([drainEffects]); it
 * does no input or output and reads no clock. It is used from one thread.
 *
 * Each public function takes one event or answers one question and passes it to the component that is in charge. `now` is
 * always in steady milliseconds, `wallNow` in wall-clock milliseconds.
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
    others: Collection<String> = emptyList(),
) {
    private val parts = LeaderComponents(cluster, tuning, term, startedAt, wallNow, listLagMs, rules)
    val state = parts.state
    private val renewals = WorkerLeaseRenewals(state, others)
    private val heartbeatResponder = HeartbeatResponder(parts, renewals)
    private val periodicWork = PeriodicWork(parts, node, startedAt)
    private val diagnostics = LeaderDiagnostics(parts)
    private val taskLimit = TaskLimit(state, tuning.maxTasks)
    private val rulesInForce = RulesInForce(state, rules)

    init {
        LeaderRecovery(parts, startedAt, wallNow).recover(recovered)
    }

    // Time and effects

    /** To be called ten times a second. */
    fun tick(now: Long) {
        advanceTo(now)
        renewals.timePassed(now)
        periodicWork.tick(now)
    }

    /** Every event starts here: a pause of the process must be noticed before anything is decided. */
    private fun advanceTo(now: Long) {
        state.now = now
        val pauseMs = state.leaseGuard.recordTick(now)
        if (pauseMs > 0) {
            val held = if (state.leaseGuard.state == LeaseGuard.State.HELD) "still" else "no longer sure to be"
            state.effects += Effect.LogEvent("process-paused", "for $pauseMs ms, the leader lease is $held held")
        }
    }

    /**
     * Takes the effects that may be carried out now, in their order. After a pause past the end of the leader lease all others
     * wait until the lease is renewed.
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
     * Whether an effect that was decided earlier may still be carried out. Starting tasks, scaling out and scaling in need the
     * leader lease; stopping tasks does not, since it is safe to repeat.
     */
    fun isAllowedToAct(now: Long, withinLease: Boolean): Boolean {
        advanceTo(now)
        return !withinLease || state.leaseGuard.state == LeaseGuard.State.HELD
    }

    // The leader lease and its confirmation by peers

    /** This node holds the leader lease until then. */
    fun leaseRenewed(until: Long, now: Long) {
        state.leaseGuard.renewed(until, now)
        renewals.termLeaseRenewed(until, now)
    }

    /** Whether the leader lease alone allows renewing workers' leases, without the confirmation of peers. */
    fun holdsTermLease(now: Long): Boolean = renewals.timePassed(now) == RenewalBound.State.LEASED

    /** The controller [by] answered a request sent at [askedAt] that it knew of no later term, and that it had been up for [upMs]. */
    fun termConfirmed(by: String, askedAt: Long, upMs: Long, now: Long) = renewals.termConfirmed(by, askedAt, upMs, now)

    // Workers

    /** Processes a worker's heartbeat; null when this node has no right to answer it. */
    fun answerHeartbeat(heartbeat: Heartbeat, now: Long): HeartbeatResponse? {
        advanceTo(now)
        return heartbeatResponder.answer(heartbeat, now)
    }

    /** Whether there are machines that should have sent heartbeats by now, had these come through. */
    fun expectsHeartbeats(now: Long): Boolean =
        now - startedAt > state.cluster.reportMs * HEARTBEATS_EXPECTED_AFTER && state.machines.any { it.phase in REPORTING }

    /** The worker has executed the commands of message [id]; [heartbeat] is its status after them. */
    fun commandExecuted(id: Long, heartbeat: Heartbeat, now: Long) {
        advanceTo(now)
        parts.dispatcher.executed(id, heartbeat) { heartbeatResponder.processCommandAnswer(it, now) }
        parts.flush(now)
    }

    /** The worker refused message [id] since its fencing token or incarnation did not match. */
    fun commandRejected(id: Long, heartbeat: Heartbeat, now: Long) {
        advanceTo(now)
        parts.dispatcher.rejected(id, heartbeat, now) { heartbeatResponder.processCommandAnswer(it, now) }
        parts.flush(now)
    }

    /** Message [id] was not answered; it may still be executed late. */
    fun commandUnanswered(id: Long, now: Long) = parts.dispatcher.unanswered(id, now)

    // The key-value store

    /** The outcome of [Effect.Commit]. */
    fun committed(id: Long, outcome: CommitOutcome, now: Long) {
        advanceTo(now)
        state.committed(id, outcome)
        parts.flush(now)
    }

    /** The outcome of [Effect.ReadJobRecord]. */
    fun jobRecordRead(job: String, found: JobRecord, now: Long) {
        advanceTo(now)
        state.job(job)?.let { parts.lifecycle.recordRead(it, found, now) }
        parts.flush(now)
    }

    // Jobs

    /** A stored job was found; nothing happens if it is known. */
    fun jobObserved(stored: StoredJob, now: Long, wallNow: Long) {
        if (state.job(stored.spec.id) != null) return
        val job = state.addJob(stored, now, wallNow)
        if (job.stage != JobStage.ACTIVE) return
        parts.autoscaler.recordArrival(job, now)
        periodicWork.jobAdded(now)
    }

    /** Cancels a job; returns its stage (active until [Effect.CancellationConfirmed]), or null for an unknown job. */
    fun cancel(id: String, now: Long): JobStage? {
        val job = state.job(id) ?: return null
        if (job.stage == JobStage.ACTIVE) parts.lifecycle.cancel(job, now)
        return job.stage
    }

    /** Null for an unknown job. */
    fun status(id: String): JobStatus? = state.job(id)?.let { JobStatus(it.stage, it.doneCount, it.running) }

    /**
     * As [status], but null also while the terminal record is being written or its outcome is unknown: it may be durable
     * already and others may read it; see [TerminalRecord].
     */
    fun confirmedStatus(id: String): JobStatus? = status(id)?.takeIf { state.job(id)!!.terminalRecord.tellableFromMemory }

    /** Why each task of the job is where it is, [most] tasks at most from number [first] on; null for an unknown job. */
    fun explain(id: String, first: Int, most: Int, now: Long): List<Explanation>? = diagnostics.explain(id, first, most, now)

    // Admission

    /** Whether there are as many unfinished tasks as memory is provisioned for: more must wait outside. */
    val taskLimitReached: Boolean get() = taskLimit.reached

    /** The teams with more unfinished tasks than their fair share by [weights]; none while there is room enough. */
    fun teamsOverTaskShare(weights: Map<String, Double>): Set<String> = taskLimit.teamsOverShare(weights)

    // Placement by peers

    /** The waiting tasks of the jobs that [peer] owns; the request shows that [peer] is alive. */
    fun summaryFor(peer: String, now: Long): Summary = periodicWork.summaryFor(peer, now)

    /** Returns for each proposed placement whether it was accepted. */
    fun acceptProposals(proposals: List<Proposal>, now: Long): List<Boolean> {
        advanceTo(now)
        if (state.leaseGuard.state == LeaseGuard.State.RESUMED_EXPIRED) return proposals.map { false }
        val accepted = parts.dispatcher.accept(proposals, now)
        parts.flush(now)
        return accepted
    }

    // The cloud

    fun machinesListed(machines: List<ListedMachine>, now: Long) = parts.autoscaler.listed(machines, now)

    fun scaleOutCompleted(request: String, machines: List<String>, now: Long) = parts.autoscaler.rentalConfirmed(request, machines, now)

    fun scaleOutRefused(request: String, now: Long) = parts.autoscaler.rentalRefused(request, now)

    fun scaleOutOutcomeUnknown(request: String, now: Long) = parts.autoscaler.rentalOutcomeUnknown(request, now)

    fun scaleInCompleted(machines: List<String>, confirmed: Boolean, now: Long) = parts.autoscaler.released(machines, confirmed, now)

    // Rules

    val rulesVersion: Long get() = state.book.set.version

    /** From now on starts obey these rules of the operators; a version that is not newer than the present one changes nothing. */
    fun useRules(rules: RuleSet) = rulesInForce.useOperatorRules(rules)

    /** Replaces the rules that belong to jobs rather than to the operators. */
    fun useJobRules(rules: List<Rule>) = rulesInForce.useJobRules(rules)

    // Statistics

    fun statistics(): String = diagnostics.statistics()

    /** For each class and team: how many of the jobs that have had time to start were started. */
    fun servedCounts(now: Long): Map<FairnessGroup, ServedCount> = diagnostics.servedCounts(now)

    /** The classes and teams with less than half of their jobs started although machines have had room for a waiting one. */
    fun starvedGroups(now: Long): Map<FairnessGroup, ServedCount> = diagnostics.starvedGroups(now)

    /** The jobs that have waited beside free capacity that they may use for longer than they should. */
    fun stalledJobs(now: Long): List<StalledJob> = diagnostics.stalledJobs(now)

    private companion object {
        /** In heartbeat intervals, from the beginning of the term. */
        const val HEARTBEATS_EXPECTED_AFTER = 3
        val REPORTING = setOf(MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED, MachinePhase.UNREACHABLE)
    }
}
