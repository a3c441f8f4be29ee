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
 * Peer lease confirmation: a leader announces its term to every other controller until each has answered. While its own lease
 * with the state service proves nothing, it goes on asking them to confirm that no later term is known, see
 * [org.honeyjunction.core.lease.RenewalBound]. [laterTermObserved] is called with a later term and its leader ("" where that
 * is not known).
 */
class PeerLeaseConfirmation(
    private val node: String,
    private val peers: Map<String, PeerClient>,
    private val clock: Clock,
    private val laterTermObserved: (Long, String) -> Unit,
) {
    private val log = LoggerFactory.getLogger(PeerLeaseConfirmation::class.java)
    private val startedAt = clock.steady()

    /** This node's answer to a leader that asks: the latest term and leader known here, and how long this process has been up. */
    fun answer(term: Long, leader: String?) = PeerMessage.TermConfirmation(term, leader.orEmpty(), clock.steady() - startedAt)

    /** Runs while this node leads the term of [driver]. */
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
                    log.debug("vouching: {}: {}", name, e.message)
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
