package org.honeyjunction.app

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.core.batching.RequestCoalescer
import org.honeyjunction.io.Clock
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.io.IOException

/** The outcome of a coalesced query. */
sealed interface QueryOutcome<out A> {
    /** The query has this [answer]. */
    class Answered<A>(val answer: A) : QueryOutcome<A>

    /** Rejected because too many queries are queued; the caller may retry later. */
    data object Rejected : QueryOutcome<Nothing>

    /** The query failed, or the response has no answer for this key. */
    data object NoResponse : QueryOutcome<Nothing>
}

/**
 * Sends queries in batches, whose size and time a [RequestCoalescer] decides. [sendBatch] takes the keys of a batch and returns
 * the answers by key, or null if there is no response. Runs on the event loop of [scope] alone.
 */
class CoalescedQueries<A>(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val coalescer: RequestCoalescer<CompletableDeferred<QueryOutcome<A>>>,
    private val sendBatch: suspend (List<String>) -> Map<String, A>?,
) {
    private var draining = false

    /** Queries [key] in a batch with other keys; suspends until the outcome is known. */
    suspend fun query(key: String): QueryOutcome<A> {
        val waiter = CompletableDeferred<QueryOutcome<A>>()
        if (!coalescer.enqueue(key, waiter, clock.steady())) return QueryOutcome.Rejected
        sendAllWhenDue()
        return waiter.await()
    }

    /** The expected wait of a new query as a fraction of the longest allowed wait. */
    fun pressure() = coalescer.pressure(clock.steady())

    /** The number of queries rejected since the last call. */
    fun takeRejectedCount() = coalescer.takeRejectedCount()

    /** Sends the batch that is due now and, in the background, the other batches when they fall due. */
    private fun sendAllWhenDue() {
        if (draining) return
        sendDueBatch()
        if (coalescer.nextBatchAt(clock.steady()) == null) return
        draining = true
        scope.launch {
            while (true) {
                val dueAt = coalescer.nextBatchAt(clock.steady()) ?: break
                delay((dueAt - clock.steady()).coerceAtLeast(1))
                sendDueBatch()
            }
            draining = false
        }
    }

    private fun sendDueBatch() {
        val batch = coalescer.takeBatch(clock.steady())
        if (batch.isEmpty()) return
        scope.launch {
            var answers: Map<String, A>? = null
            try {
                answers = sendBatch(batch.keys.toList())
            } catch (e: IOException) {
                log.debug("failed to answer {} queries: {}", batch.size, e.message)
            } finally {
                // Runs after any other exception too, because a waiter must not be left suspended.
                batch.forEach { (key, waiters) -> complete(waiters, answers?.get(key)) }
            }
        }
    }

    private fun complete(waiters: List<CompletableDeferred<QueryOutcome<A>>>, answer: A?) {
        waiters.forEach { it.complete(if (answer == null) QueryOutcome.NoResponse else QueryOutcome.Answered(answer)) }
    }

    private companion object {
        val log: Logger = LoggerFactory.getLogger(CoalescedQueries::class.java)
    }
}
