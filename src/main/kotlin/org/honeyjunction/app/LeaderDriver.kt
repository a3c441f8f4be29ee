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
 * Drives a [Leader] for one term: executes its effects, reports their outcomes to it, and runs its periodic work. The leader
 * decides and does no input or output; this class does all of it, on one event loop. Times are steady milliseconds.
 *
 * [onTermLost]: another node leads, or may lead. [onFailure]: an unexpected exception stopped a part of the driver, so the
 * term must not go on. [nodeStatistics]: the rest of the node's figures for the log. [recordPlacement]: null where terminal
 * records are always written to their own keys.
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

    /** This node is certain to be the only leader: what it has in memory can't be older than what any other node knows. */
    val holdsLease: Boolean get() = scope.isActive && leader.mayExecute(clock.steady(), needsLease = true)

    /** Starts the term's work; jobs are followed from the revision [jobsFrom]. */
    fun start(jobsFrom: Long) {
        leader.leaderLeaseRenewed(term.validUntil, clock.steady())
        launchInTerm("the leader's tick") { tickPeriodically() }
        launchInTerm("following jobs") { JobFollower(context, state).followJobs(jobsFrom) }
        launchInTerm("listing machines") { instances.listMachines() }
        launchInTerm("the statistics") { logStatistics() }
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

    /** The leader lease is valid until [until]. */
    fun leaseRenewed(until: Long) {
        leader.leaderLeaseRenewed(until, clock.steady())
        executeEffects()
    }

    /** Ends the term's work. Cancellations that are not known to be durable fail, so that their callers retry. */
    fun stop() {
        scope.cancel()
        pendingCancellations.values.flatten().forEach { it.completeExceptionally(IOException("the term is over")) }
        pendingCancellations.clear()
        commands.close()
    }

    /** Starts the effects that the leader has asked for since the last call, in their order. */
    fun executeEffects() {
        for (effect in leader.drainEffects()) execute(effect)
    }

    private fun execute(effect: Effect) {
        when (effect) {
            is Effect.Commit -> launchInTerm("a write") { commits.commit(effect) }
            is Effect.Send -> launchInTerm("commands to ${effect.machine}") { commands.sendCommands(effect) }
            is Effect.ScaleOut -> launchInTerm("scaling out") { instances.scaleOut(effect) }
            is Effect.ScaleIn -> launchInTerm("scaling in") { instances.scaleIn(effect) }
            is Effect.ReadJobRecord -> launchInTerm("reading the record of ${effect.job}") { records.read(effect.job) }
            is Effect.CancellationConfirmed -> completeCancellations(effect)
            is Effect.LogEvent -> log.info("{}: {}", effect.event, effect.message)
            is Effect.StepDown -> onTermLost(effect.reason)
        }
    }

    /** Cancels a job. The result completes with its terminal stage once that is durable; null for a job that the leader has not seen. */
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
