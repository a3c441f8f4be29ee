package org.honeyjunction.io

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.honeyjunction.wire.KeyValueCodec
import org.honeyjunction.wire.Response
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Queues transactions, joins those that wait at the same time, and sends them as fast as [writeBudget] allows.
 *
 * @param maxWrites maximum number of writes in a joined transaction
 */
internal class TransactionWriter(
    private val loop: EventLoop,
    private val requests: KeyValueRequests,
    private val writeBudget: RateLimiter,
    private val maxWrites: Double,
    clock: Clock,
) {
    private val log = LoggerFactory.getLogger(KeyValueClient::class.java)
    private val transactionQueued = Channel<Unit>(Channel.CONFLATED)

    val queue = WriteQueue(clock)

    init {
        loop.scope.launch { sendAll() }
    }

    /** Queues [transaction] and waits for its outcome; [CompareAndSwapOutcome.Unknown] at once when the queue is full. */
    suspend fun submit(lane: String, transaction: QueuedTransaction): CompareAndSwapOutcome {
        if (!queue.offer(lane, transaction)) return CompareAndSwapOutcome.Unknown
        transactionQueued.trySend(Unit)
        return transaction.result.await()
    }

    private suspend fun sendAll() {
        while (true) {
            val next = queue.peek()
            if (next == null) {
                transactionQueued.receive()
                continue
            }
            writeBudget.take(next.writes.size)
            val batch = nextBatch()
            val additionalWrites = batch.writeCount - batch.transactions[0].writes.size
            if (additionalWrites > 0) writeBudget.take(additionalWrites)
            // Several transactions may be in flight at once; a key in two of them is protected by its conditions.
            loop.scope.launch { send(batch.transactions) }
        }
    }

    /** Starts with whatever is first now: transactions queued during the wait for budget may have a higher priority. */
    private fun nextBatch(): TransactionBatch {
        val batch = TransactionBatch(queue.poll(), maxWrites)
        while (true) {
            val next = queue.peek() ?: return batch
            if (!batch.tryAdd(next)) return batch
            queue.poll()
        }
    }

    private suspend fun send(batch: List<QueuedTransaction>) {
        var remaining = batch
        try {
            while (remaining.isNotEmpty()) {
                val response = commit(remaining)
                if (response.status != KeyValueRequests.CONFLICT) {
                    completeApplied(remaining, response)
                    return
                }
                remaining = completeConflicting(remaining, response)
                if (remaining.isNotEmpty()) writeBudget.take(remaining.sumOf { it.writes.size })
            }
        } catch (e: IOException) {
            logUnknown(remaining, e)
            remaining.forEach { queue.complete(it, CompareAndSwapOutcome.Unknown) }
        }
    }

    private suspend fun commit(transactions: List<QueuedTransaction>): Response {
        val conditions = transactions.flatMap { it.conditions }.associateBy { it.key }.values
        val writes = transactions.flatMap { it.writes }
        return requests.send("POST", KeyValueRequests.COMMIT, KeyValueCodec.commit(conditions, writes))
    }

    private fun completeApplied(transactions: List<QueuedTransaction>, response: Response) {
        val revision = parseResponse { KeyValueCodec.revision(requireOk(response).body) }
        transactions.forEach { queue.complete(it, CompareAndSwapOutcome.Applied(revision)) }
    }

    /**
     * One failed condition fails the whole transaction: completes the transactions that have a failed condition
     * named in [response] (all of them if it names none), and returns the others, which were not applied and must be sent again.
     */
    private fun completeConflicting(transactions: List<QueuedTransaction>, response: Response): List<QueuedTransaction> {
        val failedKeys = parseResponse { KeyValueCodec.failedKeys(response.body) }.toSet()
        val (conflicting, others) =
            transactions.partition { transaction ->
                failedKeys.isEmpty() || transaction.conditions.any { it.key in failedKeys }
            }
        conflicting.forEach { queue.complete(it, CompareAndSwapOutcome.Conflict) }
        return others
    }

    private fun logUnknown(transactions: List<QueuedTransaction>, error: IOException) {
        val writes = transactions.flatMap { it.writes }
        log.info("outcome unknown for {} writes ({}): {}", writes.size, writes.joinToString { "${it.key} ${it.bytes}" }, error.message)
    }
}
