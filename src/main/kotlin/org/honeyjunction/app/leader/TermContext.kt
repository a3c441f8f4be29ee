package org.honeyjunction.app.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.isActive
import org.honeyjunction.app.Keys
import org.honeyjunction.app.Term
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.io.Clock
import org.honeyjunction.wire.Condition

/** What the parts of the leader's driver share during one term. All of it runs on one event loop. */
internal class TermContext(
    val term: Term,
    val leader: Leader,
    val clock: Clock,
    /** Ends with the term. */
    val scope: CoroutineScope,
    /** Starts the effects that the leader has asked for since the last call. */
    val executeEffects: () -> Unit,
    /** Another node leads, or may lead, by the given reason. */
    val onTermLost: (String) -> Unit,
) {
    /** The fencing token of all writes of this term: no write is applied once a later leader has won. */
    val fence = Condition(Keys.LEADER_RECORD, term.leaderRecordVersion)

    /**
     * To be asked again at the last moment before a request is sent: this process may have been suspended since the decision.
     */
    fun mayStillAct(withinLease: Boolean): () -> Boolean = { scope.isActive && leader.mayExecute(clock.steady(), withinLease) }
}
