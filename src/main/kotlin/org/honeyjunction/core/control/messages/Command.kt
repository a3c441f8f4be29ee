package org.honeyjunction.core.control.messages

/** A command to a worker about one [attempt] of a [task]. Every command is idempotent. */
sealed interface Command {
    val task: String
    val attempt: Long

    /** Starts the attempt. */
    data class Start(override val task: String, override val attempt: Long) : Command

    /** Stops the attempt; the task has [graceS] seconds to save a checkpoint. */
    data class Stop(override val task: String, override val attempt: Long, val graceS: Double) : Command

    /** Tells the worker that the result is durable or not needed, and that it need not report the attempt any longer. */
    data class Forget(override val task: String, override val attempt: Long) : Command
}
