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
 * A term that this node won. All writes of the term are conditional on [leaderRecordVersion], the version of
 * [Keys.LEADER_RECORD], so that they fail once another term has begun. [leaseId] is the state service's id of the leader lease,
 * and [validUntil] the time until which this node may rely on the lease, in steady milliseconds.
 */
class Term(val number: Long, val leaderRecordVersion: Long, val leaseId: Long, val validUntil: Long)

/**
 * Leader election: acquires the term by a compare-and-swap under a lease of the state service, and renews the lease. Functions
 * that call the state service throw [IOException] if it does not respond. Used on the event loop only.
 */
class Election(private val nodeName: String, private val store: KeyValueClient, private val clock: Clock, private val leaseMs: Long) {
    private val log = LoggerFactory.getLogger(Election::class.java)

    /** The name of the leader as far as this node knows; null if none is known. */
    var leader: String? = null
        private set

    /** The latest term that this node knows of. */
    var term = 0L
        private set

    /** An attempt to acquire a term whose outcome is unknown: its write may have been applied, or may be applied later. */
    private class Attempt(val number: Long, val leaseId: Long, val sentAt: Long)

    private var pendingAttempt: Attempt? = null

    /** When the state service last responded to the election or to a renewal, in steady milliseconds. */
    var lastResponseAt = clock.steady()
        private set

    /**
     * The time until which this node may rely on a lease that was granted or renewed by a request sent at [sentAt]. It is counted
     * from the request, which precedes the grant, and shortened by 1 % for clock drift and by a margin.
     */
    private fun validUntil(sentAt: Long) = sentAt + leaseMs - leaseMs / 100 - VALIDITY_MARGIN_MS

    /** Reads the leader record. If no node leads and [mayAcquire], tries to acquire a term. Returns the term if this node won it. */
    suspend fun observeOrAcquire(mayAcquire: Boolean): Term? {
        val leaderRecord = store.get(Keys.LEADER_RECORD)
        lastResponseAt = clock.steady()
        val value = leaderRecord.value
        if (value == null) {
            leader = null
            return if (mayAcquire) acquire() else null
        }
        leader = value.text(Keys.LEADER_FIELD)
        observeTerm(value.count("term"))
        return if (leader == nodeName) resolveOwnRecord(leaderRecord.lease, leaderRecord.version) else null
    }

    /**
     * Handles a leader record that names this node, although this node leads no term. If the record is bound to the lease of the
     * pending attempt, that attempt was applied and this node leads: no other node can have won a term while the lease is valid.
     * Otherwise an earlier attempt, or this node before its restart, wrote the record. No process leads that term any more, so
     * its lease is ended.
     */
    private suspend fun resolveOwnRecord(leaseId: Long?, leaderRecordVersion: Long): Term? {
        val last = pendingAttempt
        if (last != null && last.leaseId == leaseId && clock.steady() < validUntil(last.sentAt)) return beginTerm(last, leaderRecordVersion)
        if (leaseId != null) store.endLease(leaseId)
        leader = null
        return null
    }

    private suspend fun acquire(): Term? {
        val termRecord = store.get(Keys.TERM)
        val nextTerm = maxOf(termRecord.value?.count("term") ?: 0, term) + 1
        val sentAt = clock.steady()
        val leaseId = store.grantLease(leaseMs)
        val attempt = Attempt(nextTerm, leaseId, sentAt).also { pendingAttempt = it }
        val version =
            store.commitNow(
                listOf(Condition(Keys.LEADER_RECORD, 0), Condition(Keys.TERM, termRecord.version)),
                listOf(
                    Write(Keys.LEADER_RECORD, Json.newObject().put(Keys.LEADER_FIELD, nodeName).put("term", nextTerm), leaseId),
                    Write(Keys.TERM, Json.newObject().put("term", nextTerm)),
                ),
            )
        if (version == null) {
            pendingAttempt = null
            store.endLease(leaseId)
            return null
        }
        return beginTerm(attempt, version)
    }

    private fun beginTerm(applied: Attempt, leaderRecordVersion: Long): Term {
        pendingAttempt = null
        leader = nodeName
        term = applied.number
        log.info("leader-elected: term {}", applied.number)
        return Term(applied.number, leaderRecordVersion, applied.leaseId, validUntil(applied.sentAt))
    }

    /**
     * Renews the lease of [term] until [isLeading] returns false or the lease has ended. Passes the time until which this node may
     * rely on the lease to [onRenewed], in steady milliseconds.
     */
    suspend fun keepRenewing(term: Term, isLeading: () -> Boolean, onRenewed: (Long) -> Unit) {
        while (isLeading()) {
            val sentAt = clock.steady()
            try {
                if (!store.extendLease(term.leaseId)) {
                    log.warn("leader-lease-expired: term {}", term.number)
                    return
                }
                lastResponseAt = clock.steady()
                onRenewed(validUntil(sentAt))
                delay(leaseMs / 4)
            } catch (e: IOException) {
                log.debug("failed to renew the leader lease: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** Ends the lease of [term], so that another node can win the next term at once. If the request fails, the lease expires by itself. */
    suspend fun resign(term: Term) {
        leader = null
        try {
            store.endLease(term.leaseId)
        } catch (e: IOException) {
            log.debug("failed to end the leader lease: {}", e.message)
        }
    }

    /** Notes that another controller knows of the term [observedTerm] and its leader ([leaderName] is "" if the controller names none). */
    fun observeTerm(observedTerm: Long, leaderName: String) {
        if (observedTerm > term) leader = leaderName.ifEmpty { null }
        observeTerm(observedTerm)
    }

    private fun observeTerm(observedTerm: Long) {
        term = maxOf(term, observedTerm)
    }

    private companion object {
        const val VALIDITY_MARGIN_MS = 250L
        const val RETRY_MS = 250L
    }
}
