package org.honeyjunction.core.control.messages

import org.honeyjunction.core.capacity.Offer

/** A request of the core to its environment; each result comes back as an event. */
sealed interface Effect {
    /** A compare-and-swap of all [changes]. */
    data class Commit(val id: Long, val changes: List<Change>) : Effect

    /** Commands to a worker, valid for one fencing token and one incarnation of its agent. */
    data class Send(
        val id: Long,
        val machine: String,
        val address: String,
        val token: Long,
        val session: Long,
        val commands: List<Command>,
    ) : Effect {
        /** Whether no command starts a task: such a message may be sent at any time, however late. */
        val startsNothing get() = commands.none { it is Command.Start }
    }

    /** [request] makes it idempotent: repeated, it rents nothing twice. */
    data class ScaleOut(val request: String, val offer: Offer, val type: String, val zone: String, val count: Int) : Effect

    data class ScaleIn(val machines: List<String>) : Effect

    /** Reads the record of [job] after a write of its terminal state that was refused or not answered. */
    data class ReadJobRecord(val job: String) : Effect

    /** A user's cancellation is durable; [done]: the job had already completed. */
    data class CancellationConfirmed(val job: String, val done: Boolean) : Effect

    /** A log line for operators under the stable name [event], which consists of lower-case words and hyphens. */
    data class LogEvent(val event: String, val message: String) : Effect

    /** This node can no longer be sure to be the only leader. */
    data class StepDown(val reason: String) : Effect
}
