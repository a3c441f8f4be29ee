package org.honeyjunction.core.batching

/**
 * Coalesces requests into batches such that no response reflects a state older than its request: a request joins requests for the
 * same key that are *still queued*, but never requests in flight, whose response may reflect an earlier state. Batches are sent at
 * least [intervalMs] apart and have at most [maxBatch] keys. A request that would wait for longer than [maxWaitMs] is rejected at once,
 * unless its key is queued already, so that the request adds no load. [T] is the type of the waiters, each of which gets the response
 * for its key. Times are steady milliseconds.
 */
class RequestCoalescer<T>(private val intervalMs: Long, private val maxBatch: Int, private val maxWaitMs: Long) {
    /** Whether requests are queued, and whether the next request may be sent at once. */
    enum class State {
        /** Nothing is queued, and the next request may be sent at once. */
        IDLE,

        /** Nothing is queued, but the last batch was sent less than an interval ago. */
        PACED,

        /** Requests are queued for the next batch. */
        QUEUED,
    }

    private val queue = LinkedHashMap<String, ArrayList<T>>()
    private var nextBatchAt = Long.MIN_VALUE / 2
    private var rejected = 0

    /** The state at time [now]. */
    fun state(now: Long): State =
        when {
            queue.isNotEmpty() -> State.QUEUED
            now < nextBatchAt -> State.PACED
            else -> State.IDLE
        }

    /** The wait of a new request as a fraction of the longest allowed wait; above 1 the request would be rejected. */
    fun pressure(now: Long): Double = waitMs(now).toDouble() / maxWaitMs

    private fun waitMs(now: Long): Long = maxOf(0, nextBatchAt - now) + queue.size / maxBatch * intervalMs

    /** Queues a request of [waiter] for [key]; returns false if it is rejected, since it would wait for too long. */
    fun enqueue(key: String, waiter: T, now: Long): Boolean {
        val waiters = queue[key]
        if (waiters == null && waitMs(now) > maxWaitMs) {
            rejected++
            return false
        }
        (waiters ?: ArrayList<T>().also { queue[key] = it }) += waiter
        return true
    }

    /** The time when the next batch may be sent; null while nothing is queued. */
    fun nextBatchAt(now: Long): Long? = if (state(now) == State.QUEUED) maxOf(now, nextBatchAt) else null

    /** Removes and returns the batch to send now: its keys, oldest first, each with all its waiters. Empty if no batch is due yet. */
    fun takeBatch(now: Long): Map<String, List<T>> {
        val dueAt = nextBatchAt(now)
        if (dueAt == null || dueAt > now) return emptyMap()
        nextBatchAt = now + intervalMs
        val keys = queue.keys.take(maxBatch)
        return keys.associateWith { queue.remove(it)!! }
    }

    /** The number of requests rejected since the last call. */
    fun takeRejectedCount(): Int = rejected.also { rejected = 0 }
}
