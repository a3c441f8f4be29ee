package org.honeyjunction.app

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.honeyjunction.app.leader.CommandSender
import org.honeyjunction.app.leader.CommitExecutor
import org.honeyjunction.app.leader.InstanceManager
import org.honeyjunction.app.leader.JobFollower
import org.honeyjunction.app.leader.JobRecordReader
import org.honeyjunction.app.leader.TermContext
import org.honeyjunction.app.leader.TerminalRecordMover
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.Clock
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.KeyValueClient
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Drives a [Leader] for one term: executes the leader's effects, reports their outcomes to it, and runs its periodic work. The
 * leader only decides; this class does all input and output for it, on one event loop. Times are monotonic, in milliseconds.
 *
 * @property term the term that this driver was started for
 * @property leader the scheduler state and its decisions
 * @param onTermLost called with a reason when another node leads, or may lead
 * @param onFailure called with a reason when an unexpected exception stopped a coroutine of the term; the term must then end
 * @param nodeStatistics the node's own part of the `leader-statistics` log line
 * @param recordPlacement null if terminal records are always written to their own keys
 * @param demandExceedsCapacity whether users submit more jobs than can be recorded
 */
class LeaderDriver(
    val term: Term,
    val leader: Leader,
    loop: EventLoop,
    private val clock: Clock,
    private val state: KeyValueClient,
    cloud: CloudClient,
    private val onTermLost: (String) -> Unit,
    private val onFailure: (String) -> Unit,
    private val nodeStatistics: () -> String,
    private val recordPlacement: TerminalRecordPlacement?,
    demandExceedsCapacity: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(LeaderDriver::class.java)
    private val scope = CoroutineScope(loop.scope.coroutineContext + SupervisorJob())
    private val context = TermContext(term, leader, clock, scope, ::executeEffects, onTermLost)
    private val commits = CommitExecutor(context, state, recordPlacement, demandExceedsCapacity)
    private val records = JobRecordReader(context, state, recordPlacement)
    private val commands = CommandSender(context, loop)
    private val instances = InstanceManager(context, cloud)
    private val pendingCancellations = HashMap<String, MutableList<CompletableDeferred<JobStage>>>()

    /** Whether this node certainly holds the leader lease. While it does, no other node can have a more recent state in memory. */
    val holdsLease: Boolean get() = scope.isActive && leader.mayExecute(clock.steady(), needsLease = true)

    /**
     * Starts the term's work. Changes of job records are followed from the revision [jobsFrom]. The leader lease is valid until
     * [leaseValidUntil].
     */
    fun start(jobsFrom: Long, leaseValidUntil: Long) {
        leader.leaderLeaseRenewed(leaseValidUntil, clock.steady())
        launchInTerm("the leader's tick") { tickPeriodically() }
        launchInTerm("following jobs") { JobFollower(context, state).followJobs(jobsFrom) }
        launchInTerm("listing machines") { instances.listMachines() }
        launchInTerm("logging statistics") { logStatistics() }
        if (recordPlacement != null) {
            launchInTerm("moving terminal records") { TerminalRecordMover(context, state, recordPlacement).moveAll() }
        }
    }

    /** Runs [work] until the term ends; an unexpected exception in it ends the term. */
    fun launchInTerm(name: String, work: suspend () -> Unit) {
        scope.launch {
            try {
                work()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.error("{} failed", name, e)
                onFailure("$name failed: $e")
            }
        }
    }

    /** Records that the leader lease was renewed and is valid until [until]. */
    fun leaseRenewed(until: Long) {
        leader.leaderLeaseRenewed(until, clock.steady())
        executeEffects()
    }

    /** Ends the term's work. Pending cancellations whose outcome is not known to be durable fail, so that their callers retry. */
    fun stop() {
        scope.cancel()
        pendingCancellations.values.flatten().forEach { it.completeExceptionally(IOException("the term is over")) }
        pendingCancellations.clear()
        commands.close()
    }

    /** Executes the effects that the leader has queued since the last call, in order. */
    fun executeEffects() {
        for (effect in leader.drainEffects()) execute(effect)
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Commit -> launchInTerm("writing to the state service") { commits.commit(effect) }
            is Effect.Send -> launchInTerm("sending commands to ${effect.machine}") { commands.sendCommands(effect) }
            is Effect.ScaleOut -> launchInTerm("scaling out") { instances.scaleOut(effect) }
            is Effect.ScaleIn -> launchInTerm("scaling in") { instances.scaleIn(effect) }
            is Effect.ReadJobRecord -> launchInTerm("reading the record of ${effect.job}") { records.read(effect.job) }
            is Effect.CancellationConfirmed -> completeCancellations(effect)
            is Effect.LogEvent -> log.info("{}: {}", effect.event, effect.message)
            is Effect.StepDown -> onTermLost(effect.reason)
        }
    }

    /**
     * Cancels the job [id]. The result completes with the job's terminal stage once that stage is durable; null if the leader
     * does not know the job.
     */
    fun cancel(id: String): CompletableDeferred<JobStage>? {
        val stage = leader.cancel(id, clock.steady()) ?: return null
        val result = CompletableDeferred<JobStage>()
        if (stage == JobStage.ACTIVE) pendingCancellations.getOrPut(id, ::ArrayList).add(result) else result.complete(stage)
        executeEffects()
        return result
    }

    private fun completeCancellations(effect: Effect.CancellationConfirmed) {
        val stage = if (effect.done) JobStage.DONE else JobStage.CANCELLED
        pendingCancellations.remove(effect.job)?.forEach { it.complete(stage) }
    }

    private suspend fun tickPeriodically() {
        while (true) {
            leader.tick(clock.steady())
            executeEffects()
            delay(TICK_MS)
        }
    }

    private suspend fun logStatistics() {
        while (log.isInfoEnabled) {
            delay(STATISTICS_MS)
            log.info(
                "leader-statistics: term {}: {}; {}; {}",
                term.number,
                leader.statistics(),
                state.statistics(),
                "${recordPlacement?.size ?: 0} terminal records in place; ${nodeStatistics()}",
            )
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val STATISTICS_MS = 10_000L
    }
}
