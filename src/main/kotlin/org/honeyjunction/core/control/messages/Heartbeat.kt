package org.honeyjunction.core.control.messages

/** Why a task is not on its machine any more, as the worker reports it. */
enum class TerminationReason { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN_JOB }

/** What a worker reports of one task. */
sealed interface TaskState {
    data object Fetching : TaskState

    data object Gathering : TaskState

    data object Running : TaskState

    data object Saving : TaskState

    /** [saved]: a checkpoint of the task was stored before it ended. */
    data class Ended(val cause: TerminationReason, val saved: Boolean) : TaskState
}

/** One task in a heartbeat; [attempt] tells one start of the task from another. */
data class ReportedTask(val job: String, val number: Int, val attempt: Long, val state: TaskState) {
    /** The identifier of the task: that of its job and its number. */
    val task get() = "$job/$number"
}

/**
 * A worker's status, sent periodically and as the answer to commands.
 *
 * [session] is the incarnation of the agent and [sequence] orders the heartbeats within it. [token] is the highest fencing
 * token that the worker has seen. [spotNoticeS]: seconds until the cloud takes the instance back; null without such a notice.
 */
data class Heartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val sequence: Long,
    val token: Long,
    val spotNoticeS: Double?,
    val tasks: List<ReportedTask>,
)
