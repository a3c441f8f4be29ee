package org.honeyjunction.app.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import org.honeyjunction.app.Keys
import org.honeyjunction.app.Term
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.io.Clock
import org.honeyjunction.wire.Condition

/** The state that the components of the leader's driver share during one term. The components run on one event loop. */
internal class TermContext(
    val term: Term,
    val leader: Leader,
    val clock: Clock,
    /** Cancelled when the term ends. */
    val scope: CoroutineScope,
    /** Starts the effects that the leader has requested since the last call. */
    val executeEffects: () -> Unit,
    /** Called with the reason when another node leads or may lead. */
    val onTermLost: (String) -> Unit,
) {
    /** The condition of all writes of this term: no write is applied once another node has won a later term. */
    val fence = Condition(Keys.LEADER_RECORD, term.leaderRecordVersion)

    /**
     * A check to be called immediately before a request is sent: the process may have been suspended since the leader's decision.
     * [withinLease]: whether the request needs the leader lease.
     */
    fun mayStillAct(withinLease: Boolean): () -> Boolean = { scope.isActive && leader.mayExecute(clock.steady(), withinLease) }
}
