package org.honeyjunction.fake

import com.fasterxml.jackson.databind.JsonNode
import java.util.TreeMap

/**
 * A fake of the state service, as PROTOCOL describes it: versions, compare-and-swap, leases, changes, rate limits. It does no
 * input or output; times are milliseconds. The simulation of the core has a simpler one, without keys: `FakeStateService`.
 */
class FakeKeyValueStore(private val limits: Limits, now: Long) {
    class Limits(val requestsPerS: Double, val writesPerS: Double, val transactionWrites: Int, val valueBytes: Int)

    class Kept(val value: JsonNode, val version: Long, val lease: Long?)

    class Change(val key: String, val value: JsonNode?, val version: Long)

    class Put(val key: String, val value: JsonNode?, val lease: Long?)

    sealed interface Commit {
        class Applied(val revision: Long) : Commit

        class Conflict(val failed: List<String>, val revision: Long) : Commit

        class Malformed(val why: String) : Commit

        data object OverLimit : Commit
    }

    private class Lease(val lifeMs: Long, var until: Long)

    private val keys = TreeMap<String, Kept>()
    private val leases = HashMap<Long, Lease>()
    private val log = ArrayDeque<Change>()
    private val requests = Bucket(limits.requestsPerS, limits.requestsPerS, now)
    private val writes = Bucket(limits.writesPerS, limits.writesPerS, now)
    private var leaseNames = 0L
    var revision = 0L
        private set
    var down = false
        private set

    /** False: the request exceeds the rate limit. */
    fun request(now: Long): Boolean = requests.take(1.0, now)

    operator fun get(key: String): Kept? = keys[key]

    fun range(prefix: String, since: String?, most: Int): Pair<List<Pair<String, Kept>>, Boolean> {
        val from = keys.tailMap(since ?: prefix, since == null).entries.asSequence().takeWhile { it.key.startsWith(prefix) }
        val rows = from.take(minOf(most, MAX_ROWS) + 1).map { it.key to it.value }.toList()
        return rows.take(minOf(most, MAX_ROWS)) to (rows.size > minOf(most, MAX_ROWS))
    }

    fun commit(conditions: Map<String, Long>, puts: List<Put>, now: Long): Commit {
        expire(now)
        val why =
            when {
                puts.size > limits.transactionWrites -> "more than ${limits.transactionWrites} writes"
                conditions.size > limits.transactionWrites * 4 -> "too many conditions"
                puts.any { it.key.length !in 1..200 || ' ' in it.key } -> "a key is invalid"
                puts.any { (it.value?.toString()?.length ?: 0) > limits.valueBytes } -> "a value is too large"
                puts.any { it.lease != null && it.lease !in leases } -> "no such lease"
                else -> null
            }
        if (why != null) return Commit.Malformed(why)
        if (!writes.take(puts.size.toDouble(), now)) return Commit.OverLimit
        val failed = conditions.filter { (key, version) -> (keys[key]?.version ?: 0L) != version }.keys.toList()
        if (failed.isNotEmpty()) return Commit.Conflict(failed, revision)
        if (puts.isNotEmpty()) revision++
        puts.forEach(::apply)
        return Commit.Applied(revision)
    }

    /** Stores [puts] in one revision, regardless of the limits: the state that a scenario begins with. */
    fun preload(puts: List<Put>) {
        revision++
        puts.forEach(::apply)
    }

    private fun apply(put: Put) {
        if (put.value == null) {
            if (keys.remove(put.key) == null) return
        } else {
            keys[put.key] = Kept(put.value, revision, put.lease)
        }
        log.addLast(Change(put.key, put.value, revision))
        if (log.size > MAX_LOG) log.removeFirst()
    }

    /** The changes after revision [since]; null: they are not kept any more. */
    fun changes(prefix: String, since: Long, now: Long): List<Change>? {
        expire(now)
        if (log.isNotEmpty() && log.size >= MAX_LOG && log.first().version > since + 1) return null
        return log.filter { it.version > since && it.key.startsWith(prefix) }
    }

    fun grant(lifeMs: Long, now: Long): Long = (++leaseNames).also { leases[it] = Lease(lifeMs, now + lifeMs) }

    fun extend(id: Long, now: Long): Boolean {
        expire(now)
        val lease = leases[id] ?: return false
        lease.until = now + lease.lifeMs
        return true
    }

    fun end(id: Long) {
        leases.remove(id) ?: return
        revision++
        keys.filterValues { it.lease == id }.keys.forEach { apply(Put(it, null, null)) }
    }

    fun expire(now: Long) {
        if (down) return
        leases.filterValues { now > it.until + LEASE_SLACK_MS }.keys.toList().forEach(::end)
    }

    /** Begins or ends an outage; after it every lease has its full time again. */
    fun outage(on: Boolean, now: Long) {
        down = on
        if (!on) leases.values.forEach { it.until = now + it.lifeMs }
    }

    /** A token bucket of [perS] tokens per second, [burst] at most. */
    class Bucket(private val perS: Double, private val burst: Double, private var at: Long) {
        private var tokens = burst

        fun take(count: Double, now: Long): Boolean {
            tokens = minOf(burst, tokens + (now - at) * perS / 1000)
            at = now
            if (tokens < count) return false
            tokens -= count
            return true
        }
    }

    private companion object {
        const val MAX_LOG = 10_000
        const val MAX_ROWS = 1_000
        const val LEASE_SLACK_MS = 20L
    }
}
