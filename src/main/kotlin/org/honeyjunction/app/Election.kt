package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.io.Clock
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Write
import org.honeyjunction.wire.count
import org.honeyjunction.wire.text
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * A term that this node won. [leadVersion] is the version of [Keys.LEAD] on which all writes of the term are conditional, so that
 * they fail once another term has begun; [lease] is the state service's number of the lease, and [validUntil] the end of the
 * lease as this node counts it, in steady milliseconds.
 */
class Term(val number: Long, val leadVersion: Long, val lease: Long, val validUntil: Long)

/**
 * Leader election: acquires the term by a compare-and-swap under a lease of the state service, and renews the lease. Functions
 * that reach the state service throw [IOException] where it does not answer. Used on the event loop only.
 */
class Election(private val node: String, private val state: KeyValueClient, private val clock: Clock, private val leaseMs: Long) {
    private val log = LoggerFactory.getLogger(Election::class.java)

    /** The leader as far as this node knows; null where none is known. */
    var leader: String? = null
        private set

    /** The latest term that this node knows of. */
    var term = 0L
        private set

    /** An attempt to acquire the term whose outcome is unknown: it may have been carried out, or be carried out later. */
    private class Attempt(val number: Long, val lease: Long, val sentAt: Long)

    private var attempt: Attempt? = null

    /** When the state service last answered the election, in steady milliseconds. */
    var lastResponseAt = clock.steady()
        private set

    /** The lease's own end is counted from when its renewal was sent, less drift and a margin. */
    private fun validUntil(sentAt: Long) = sentAt + leaseMs - leaseMs / 100 - MARGIN_MS

    /** Reads who leads; with [mayAcquire], acquires the term where nobody does. Returns the term if this node won it. */
    suspend fun observeOrAcquire(mayAcquire: Boolean): Term? {
        val lead = state.get(Keys.LEAD)
        lastResponseAt = clock.steady()
        val value = lead.value
        if (value == null) {
            leader = null
            return if (mayAcquire) acquire() else null
        }
        leader = value.text(Keys.LEADER)
        observeTerm(value.count("term"))
        return if (leader == node) reclaim(lead.lease, lead.version) else null
    }

    /**
     * This node is stored as the leader, though it leads no term. Under the lease of the last attempt, it is that attempt which
     * was carried out: while the lease holds nobody else can have won a term. Otherwise it is an earlier attempt, or this node
     * before its restart: nobody acts for it any more, and its lease is ended.
     */
    private suspend fun reclaim(lease: Long?, leadVersion: Long): Term? {
        val last = attempt
        if (last != null && last.lease == lease && clock.steady() < validUntil(last.sentAt)) return won(last, leadVersion)
        if (lease != null) state.endLease(lease)
        leader = null
        return null
    }

    private suspend fun acquire(): Term? {
        val last = state.get(Keys.TERM)
        val next = maxOf(last.value?.count("term") ?: 0, term) + 1
        val sentAt = clock.steady()
        val lease = state.grantLease(leaseMs)
        val current = Attempt(next, lease, sentAt).also { attempt = it }
        val version =
            state.commitNow(
                listOf(Condition(Keys.LEAD, 0), Condition(Keys.TERM, last.version)),
                listOf(
                    Write(Keys.LEAD, Json.newObject().put(Keys.LEADER, node).put("term", next), lease),
                    Write(Keys.TERM, Json.newObject().put("term", next)),
                ),
            )
        if (version == null) {
            attempt = null
            state.endLease(lease)
            return null
        }
        return won(current, version)
    }

    private fun won(won: Attempt, leadVersion: Long): Term {
        attempt = null
        leader = node
        term = won.number
        log.info("leader-elected: term {}", won.number)
        return Term(won.number, leadVersion, won.lease, validUntil(won.sentAt))
    }

    /** Renews the lease of [term] until [isLeading] is false or the lease has ended; [renewed] gets the new end, in steady milliseconds. */
    suspend fun keepRenewing(term: Term, isLeading: () -> Boolean, renewed: (Long) -> Unit) {
        while (isLeading()) {
            val sentAt = clock.steady()
            try {
                if (!state.extendLease(term.lease)) {
                    log.warn("leader-lease-expired: term {}", term.number)
                    return
                }
                lastResponseAt = clock.steady()
                renewed(validUntil(sentAt))
                delay(leaseMs / 4)
            } catch (e: IOException) {
                log.debug("renewal: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** Ends the lease of [term], so that another node can win the next one at once; where this fails the lease expires by itself. */
    suspend fun resign(term: Term) {
        leader = null
        try {
            state.endLease(term.lease)
        } catch (e: IOException) {
            log.debug("resigning: {}", e.message)
        }
    }

    /** Another controller knows of [observed], led by [by] ("" where it does not say by whom). */
    fun observeTerm(observed: Long, by: String) {
        if (observed > term) leader = by.ifEmpty { null }
        observeTerm(observed)
    }

    private fun observeTerm(observed: Long) {
        term = maxOf(term, observed)
    }

    private companion object {
        const val MARGIN_MS = 250L
        const val RETRY_MS = 250L
    }
}
