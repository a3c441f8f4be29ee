package org.honeyjunction.app

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.io.Clock
import org.honeyjunction.io.PeerClient
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Confirms a leader's term with the other controllers. A new leader announces its term to each of them until that controller has
 * answered. While the leader does not hold a valid lease from the state service, it keeps asking them to confirm that they know
 * of no later term, see [org.honeyjunction.core.lease.RenewalBound].
 *
 * @param laterTermObserved called with a later term that a controller reports, and that term's leader ("" if unknown)
 */
class PeerLeaseConfirmation(
    private val node: String,
    private val peers: Map<String, PeerClient>,
    private val clock: Clock,
    private val laterTermObserved: (Long, String) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLeaseConfirmation::class.java)
    private val startedAt = clock.steady()

    /** This node's response to a leader's confirmation request: the latest [term] and [leader] it knows, and its process's uptime. */
    fun answer(term: Long, leader: String?) = PeerMessage.TermConfirmation(term, leader.orEmpty(), clock.steady() - startedAt)

    /** Confirms the term of [driver] with all peers until the caller is cancelled at the end of the term. */
    suspend fun run(driver: LeaderDriver) =
        coroutineScope {
            for ((name, peer) in peers) launch { confirmWith(name, peer, driver) }
        }

    private suspend fun confirmWith(name: String, peer: PeerClient, driver: LeaderDriver) {
        var announced = false
        while (true) {
            val askedAt = clock.steady()
            if (!announced || !driver.leader.holdsLeaderLease(askedAt)) {
                try {
                    val confirmation = peer.ask(PeerMessage.TermConfirmationRequest(node, driver.term.number), RESPONSE_MS)
                    if (confirmation is PeerMessage.TermConfirmation) {
                        announced = true
                        accept(confirmation, name, askedAt, driver)
                    }
                } catch (e: IOException) {
                    log.debug("failed to get the term confirmed by {}: {}", name, e.message)
                }
            }
            delay(INTERVAL_MS)
        }
    }

    private fun accept(confirmation: PeerMessage.TermConfirmation, peer: String, askedAt: Long, driver: LeaderDriver) {
        if (confirmation.term > driver.term.number) {
            laterTermObserved(confirmation.term, confirmation.leader)
        } else {
            driver.leader.peerConfirmed(peer, askedAt, confirmation.uptimeMs, clock.steady())
        }
    }

    private companion object {
        const val RESPONSE_MS = 1_500L
        const val INTERVAL_MS = 500L
    }
}
