package org.honeyjunction.core.control.messages

import org.honeyjunction.core.capacity.Offer

/** A request of the leader to its environment. The leader receives each result as an event. */
sealed interface Effect {
    /** Applies all [changes] in one compare-and-swap. */
    data class Commit(val id: Long, val changes: List<Change>) : Effect

    /** Sends commands to a worker. They are valid for one fencing [token] and one incarnation of its agent, the [session]. */
    data class Send(
        val id: Long,
        val machine: String,
        val address: String,
        val token: Long,
        val session: Long,
        val commands: List<Command>,
    ) : Effect {
        /** Whether no command starts a task. Such a message may be sent at any time, even after the leader lease has expired. */
        val startsNothing get() = commands.none { it is Command.Start }
    }

    /** Rents [count] machines. The identifier [request] makes this idempotent: a repeated request rents no further machines. */
    data class ScaleOut(val request: String, val offer: Offer, val type: String, val zone: String, val count: Int) : Effect

    /** Releases [machines]. */
    data class ScaleIn(val machines: List<String>) : Effect

    /**
     * Reads the record of [job]: a write of its terminal state was rejected or not answered, or a worker reports a task of it and the leader
     * does not know it.
     */
    data class ReadJobRecord(val job: String) : Effect

    /** Reports that a user's cancellation is durable; [done]: the job had already completed. */
    data class CancellationConfirmed(val job: String, val done: Boolean) : Effect

    /** Logs [message] for operators under the stable name [event], which consists of lower-case words and hyphens. */
    data class LogEvent(val event: String, val message: String) : Effect

    /** Ends this leader's term, since this node can no longer be sure to be the only leader. */
    data class StepDown(val reason: String) : Effect
}
