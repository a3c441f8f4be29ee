package org.honeyjunction.app.local

import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import org.honeyjunction.app.Node
import org.honeyjunction.app.Settings
import org.honeyjunction.core.control.jobs.StalledJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.io.Clock
import org.honeyjunction.io.EventLoop
import org.honeyjunction.nomad.NomadOptions
import java.io.IOException

/** Real controllers, each on a thread of its own as in a process of its own; they can be killed, hung and started again. */
class Controllers(
    private val settings: List<Settings>,
    private val tuning: Tuning,
    private val place: ClusterEnvironment,
    private val clock: Clock? = null,
    private val nomad: List<NomadOptions?> = emptyList(),
) {
    private class Running(val loop: EventLoop, val node: Node)

    private val running = arrayOfNulls<Running>(settings.size)
    val size get() = settings.size

    fun start(number: Int) {
        repeat(BIND_TRIES) {
            val loop = place.loop(settings[number].node)
            val node = Node(settings[number], tuning, loop, clock ?: loop.clock, nomad.getOrNull(number))
            running[number] = Running(loop, node)
            try {
                return node.start()
            } catch (e: IOException) {
                // The address of one that was killed a moment ago may still be closing.
                kill(number)
                if (it == BIND_TRIES - 1) throw e
                Thread.sleep(BIND_MS)
            }
        }
    }

    /** Without a word to anyone, as a process that is killed. */
    fun kill(number: Int) {
        val it = running[number] ?: return
        running[number] = null
        it.loop.scope.cancel()
        it.loop.close()
    }

    fun up(number: Int) = running[number] != null

    /** Classes and teams of which less than half were served beside free machines. */
    suspend fun starved(): Map<FairnessGroup, ServedCount> =
        running
            .filterNotNull()
            .map { r ->
                withTimeoutOrNull(ASK_MS) { r.loop.scope.async { r.node.starvedGroups }.await() }.orEmpty()
            }.fold(emptyMap()) { all, some -> all + some }

    /** What the leader's watch on work conservation says now; nothing of those that do not answer at once. */
    suspend fun stalled(): List<StalledJob> =
        running.filterNotNull().flatMap { r ->
            withTimeoutOrNull(ASK_MS) { r.loop.scope.async { r.node.stalledJobs }.await() }.orEmpty()
        }

    /** What any of them could tell of its state service now: those that are up. */
    val nodes: List<Node> get() = running.mapNotNull { it?.node }

    /** Its only thread does nothing else for so long. */
    fun hang(number: Int, forMs: Long) {
        running[number]?.loop?.blockFor(forMs)
    }

    fun close() = settings.indices.forEach(::kill)

    private companion object {
        const val ASK_MS = 100L
        const val BIND_TRIES = 20
        const val BIND_MS = 50L
    }
}
