package org.honeyjunction.io

import kotlinx.coroutines.CompletableDeferred
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Write

/**
 * The order in which queued transactions of one node are sent: a higher priority (declared earlier) is always served first.
 * Running work precedes new work, and new work beyond its quota comes last.
 */
enum class WritePriority {
    /** Journal pages of task starts and results: a task start waits until its page is written. */
    JOURNAL,

    /** New jobs within their team's quota; the quotas add up to less than the other priorities leave. */
    WITHIN_QUOTA,

    /** Terminal records of jobs, and everything else. */
    OTHER,

    /** New jobs beyond their quota, admitted because there is spare write capacity. */
    BEYOND_QUOTA,
}

/** A transaction in the [WriteQueue]; [result] completes when its outcome is known. */
internal class QueuedTransaction(val priority: WritePriority, val conditions: List<Condition>, val writes: List<Write>) {
    val result = CompletableDeferred<CompareAndSwapOutcome>()

    /** Upper estimate of the encoded size, in bytes. */
    val bytes = writes.sumOf { it.bytes } + (conditions.size + writes.size) * ITEM_OVERHEAD_BYTES

    private companion object {
        /** JSON around one condition or one write. */
        const val ITEM_OVERHEAD_BYTES = 60
    }
}

/**
 * Transactions that wait for write budget, ordered by [WritePriority] and, within one priority, round robin between lanes (teams).
 * Write counts include transactions that were sent and have no outcome yet.
 */
internal class WriteQueue(clock: Clock) {
    private val queues = WritePriority.entries.associateWith { FairPriorityQueue<QueuedTransaction>() }
    private val unfinishedWrites = IntArray(WritePriority.entries.size)
    private val recentSchedulingWrites = RecentRate(clock)

    /** Writes without an outcome, of all priorities. */
    val writeCount: Int get() = unfinishedWrites.sum()

    /** Writes of new jobs without an outcome. */
    val jobWriteCount: Int get() = unfinished(WritePriority.WITHIN_QUOTA) + unfinished(WritePriority.BEYOND_QUOTA)

    /** Writes a second for running and ending work: the recent rate, plus what is queued spread over [DRAIN_S]. */
    val schedulingWritesPerS: Double get() =
        recentSchedulingWrites.perS() + (unfinished(WritePriority.JOURNAL) + unfinished(WritePriority.OTHER)) / DRAIN_S

    /** Writes of [priority] and of all higher ones. */
    fun writesUpTo(priority: WritePriority): Int = unfinishedWrites.take(priority.ordinal + 1).sum()

    /** Appends [transaction] to [lane]; false when its priority's queue is full. */
    fun offer(lane: String, transaction: QueuedTransaction): Boolean {
        val priority = transaction.priority
        val queue = queues.getValue(priority)
        if (queue.size >= MAX_TRANSACTIONS) return false
        queue.addLast(lane, transaction)
        unfinishedWrites[priority.ordinal] += transaction.writes.size
        val isNewJob = priority == WritePriority.WITHIN_QUOTA || priority == WritePriority.BEYOND_QUOTA
        if (!isNewJob) recentSchedulingWrites.record(transaction.writes.size)
        return true
    }

    /** The transaction to send next, left in the queue; null when the queue is empty. */
    fun peek(): QueuedTransaction? = nextQueue()?.first()

    /** Removes and returns what [peek] returns; the queue must not be empty. */
    fun poll(): QueuedTransaction = checkNotNull(nextQueue()).removeFirst()

    /** Completes [transaction], which [poll] returned, with [outcome]. */
    fun complete(transaction: QueuedTransaction, outcome: CompareAndSwapOutcome) {
        unfinishedWrites[transaction.priority.ordinal] -= transaction.writes.size
        transaction.result.complete(outcome)
    }

    /** Number of queued transactions of each priority, for the log. */
    fun lengths(): String = queues.values.joinToString(" ") { "${it.size}" }

    private fun unfinished(priority: WritePriority) = unfinishedWrites[priority.ordinal]

    private fun nextQueue(): FairPriorityQueue<QueuedTransaction>? = queues.values.firstOrNull { !it.isEmpty() }

    private companion object {
        /** Maximum number of transactions queued for one priority. */
        const val MAX_TRANSACTIONS = 2_000

        /** Seconds within which the queued writes for running and ending work should be written. */
        const val DRAIN_S = 5.0
    }
}
