package org.honeyjunction.io

import org.honeyjunction.wire.ChangeBatch
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.EntryPage
import org.honeyjunction.wire.KeyValueCodec
import org.honeyjunction.wire.Write

/** All entries of a scan; [revision] is the store's revision at its first page, from which [KeyValueClient.changes] can continue. */
data class KeyScan(val entries: List<Entry>, val revision: Long)

/**
 * Client of the consensus-backed key-value store ("state service"): stays within the store's limits, and joins
 * transactions that wait at the same time.
 *
 * Every suspending function throws [NoResponseException] when no response arrives and [StateUnavailableException] when the
 * store rejects the request or sends a malformed response, unless it says otherwise.
 */
class KeyValueClient(loop: EventLoop, address: String, limits: StateLimits, clock: Clock) {
    private val requests = KeyValueRequests(loop, address, limits, clock)
    private val writeBudget = RateLimiter(limits.writesPerS, limits.writesPerS * BURST_SHARE, clock)
    private val writer = TransactionWriter(loop, requests, writeBudget, maxJoinedWrites(limits), clock)

    /** Whether a write queued now would take longer than users are willing to wait. */
    val congested: Boolean get() = queuedWrites > writeRatePerS * CONGESTED_S

    /** Writes that have no outcome yet. */
    val queuedWrites: Int get() = writer.queue.writeCount

    /** Writes of new jobs that have no outcome yet. */
    val queuedJobWrites: Int get() = writer.queue.jobWriteCount

    /** Writes a second that this node may make. */
    val writeRatePerS: Double get() = writeBudget.ratePerS

    /** Writes a second that this node makes, or should be making, for running and ending work. */
    val schedulingWritesPerS: Double get() = writer.queue.schedulingWritesPerS

    /** Seconds that a write of [priority] queued now would wait for the writes ahead of it. */
    fun queueingDelayS(priority: WritePriority): Double = writer.queue.writesUpTo(priority) / writeRatePerS

    /** Sets the writes a second that this node may make; all nodes together must stay within the store's limit. */
    fun setWriteRate(perS: Double) = writeBudget.setRate(perS)

    /** The entry at [key]; version 0 and no value when there is none. */
    suspend fun get(key: String): Entry {
        val response = requests.send("GET", KeyValueCodec.entryPath(key))
        return when (response.status) {
            KeyValueRequests.OK -> parseResponse { KeyValueCodec.entry(response.body) }
            KeyValueRequests.NOT_FOUND -> Entry(key, null, 0, null)
            else -> throw StateUnavailableException("state service: ${response.status}")
        }
    }

    /** Returns which of [keys] exist, using transactions without writes, which consume no write budget. */
    suspend fun existing(keys: Collection<String>): Set<String> {
        val found = HashSet<String>()
        while (found.size < keys.size) {
            val absentConditions = keys.filter { it !in found }.map { Condition(it, 0) }
            val response = requests.send("POST", KeyValueRequests.COMMIT, KeyValueCodec.commit(absentConditions, emptyList()))
            if (response.status != KeyValueRequests.CONFLICT) {
                requireOk(response)
                break
            }
            // The store may name one failed condition or all of them: only success proves that the rest is absent.
            val failedKeys = parseResponse { KeyValueCodec.failedKeys(response.body) }
            if (!found.addAll(failedKeys)) throw StateUnavailableException("state service: a refusal that names no key")
        }
        return found
    }

    /** All entries whose keys begin with [prefix], read page by page. */
    suspend fun scan(prefix: String): KeyScan {
        val entries = ArrayList<Entry>()
        var firstRevision: Long? = null
        while (true) {
            val page = page(prefix, after = entries.lastOrNull()?.key, limit = MAX_PAGE_ENTRIES)
            val revision = firstRevision ?: page.revision.also { firstRevision = it }
            entries += page.entries
            if (!page.more || page.entries.isEmpty()) return KeyScan(entries, revision)
        }
    }

    /** Up to [limit] entries whose keys begin with [prefix], from the first key after [after] on (null: from the first of all). */
    suspend fun page(prefix: String, after: String?, limit: Int): EntryPage {
        val response = requests.send("GET", KeyValueCodec.scanPath(prefix, after, limit))
        return parseResponse { KeyValueCodec.entryPage(requireOk(response).body) }
    }

    /**
     * Watches keys that begin with [prefix]: waits up to [waitMs] for changes after revision [since]. Null when [since] is no
     * longer in the store's change log, so that a new [scan] is needed.
     */
    suspend fun changes(prefix: String, since: Long, waitMs: Long): ChangeBatch? {
        val path = KeyValueCodec.changesPath(prefix, since, waitMs)
        val response = requests.send("GET", path, timeoutMs = waitMs + WATCH_SLACK_MS)
        if (response.status == KeyValueRequests.GONE) return null
        return parseResponse { KeyValueCodec.changes(requireOk(response).body) }
    }

    /** Grants a lease of [ms] milliseconds and returns its id. */
    suspend fun grantLease(ms: Long): Long {
        val response = requests.send("POST", "/leases", KeyValueCodec.leaseRequest(ms), urgent = true)
        return parseResponse { KeyValueCodec.leaseId(requireOk(response).body) }
    }

    /** Renews lease [id]; false when it has expired. */
    suspend fun extendLease(id: Long): Boolean {
        val response = requests.send("POST", "/leases/$id/extend", urgent = true, timeoutMs = EXTEND_TIMEOUT_MS)
        if (response.status == KeyValueRequests.NOT_FOUND) return false
        requireOk(response)
        return true
    }

    /** Revokes lease [id], which deletes the keys bound to it; the response's status is ignored. */
    suspend fun endLease(id: Long) {
        requests.send("DELETE", "/leases/$id", urgent = true)
    }

    /** Sends a transaction on its own, ahead of the queue. Returns its revision, or null when a condition failed. */
    suspend fun commitNow(conditions: List<Condition>, writes: List<Write>): Long? {
        writeBudget.take(writes.size, urgent = true)
        val response = requests.send("POST", KeyValueRequests.COMMIT, KeyValueCodec.commit(conditions, writes), urgent = true)
        if (response.status == KeyValueRequests.CONFLICT) return null
        return parseResponse { KeyValueCodec.revision(requireOk(response).body) }
    }

    /**
     * Queues a transaction, which may be joined with other queued transactions unless their conditions conflict (all writes of
     * a leader share its lease condition). Within one [priority], lanes ([lane] is a team) are served round robin, so that many
     * jobs of one team that end together do not delay the users of other teams. Throws no [java.io.IOException]: a missing
     * response is reported as [CompareAndSwapOutcome.Unknown].
     */
    suspend fun commit(
        conditions: List<Condition>,
        writes: List<Write>,
        priority: WritePriority = WritePriority.OTHER,
        lane: String = "",
    ): CompareAndSwapOutcome = writer.submit(lane, QueuedTransaction(priority, conditions, writes))

    /** Queue lengths and write rate, for the log. */
    fun statistics() = "writes: ${writer.queue.lengths()} queued, $queuedWrites in all, $writeRatePerS a second"

    companion object {
        /** The largest number of entries that one request reads. */
        const val MAX_PAGE_ENTRIES = 500
        private const val EXTEND_TIMEOUT_MS = 1_000L

        /** Time that a watch may take beyond the time that the store is asked to wait. */
        private const val WATCH_SLACK_MS = 15_000L

        /** Queued writes that take more seconds than this count as congestion. */
        private const val CONGESTED_S = 2.0

        /** Burst, as a share of the writes per second; the rest is left for leader terms, leases and clock differences. */
        private const val BURST_SHARE = 0.4

        /** Maximum size of a joined transaction, as a share of the writes per second. */
        private const val JOINED_SHARE = 0.6

        /**
         * The store takes at most a second's worth of writes at once, and other nodes use part of it: a larger transaction
         * would never be applied.
         */
        private fun maxJoinedWrites(limits: StateLimits): Double =
            minOf(
                limits.transactionWrites.toDouble(),
                limits.writesPerS * JOINED_SHARE,
            )
    }
}
