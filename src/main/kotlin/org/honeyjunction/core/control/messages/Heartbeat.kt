package org.honeyjunction.core.control.messages

/** Why an attempt of a task has ended, or was not started, as the worker reports it. */
enum class TerminationReason { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, BUSY, UNKNOWN_JOB }

/** The state of an attempt of a task, as the worker reports it. */
sealed interface TaskState {
    /** The worker is fetching the task's image. */
    data object Fetching : TaskState

    /** The task is waiting for the other tasks of its gang. */
    data object Gathering : TaskState

    /** The task is running. */
    data object Running : TaskState

    /** The task is saving a checkpoint. */
    data object Saving : TaskState

    /** The attempt has ended; [saved]: a checkpoint of the task was stored before. */
    data class Ended(val cause: TerminationReason, val saved: Boolean) : TaskState
}

/** Identifies one start of task [number] of [job]. A worker may list several attempts of the same task. */
data class AttemptId(val job: String, val number: Int, val attempt: Long)

/** One attempt of a task in a heartbeat; [attempt] distinguishes the starts of the same task. */
data class ReportedTask(val job: String, val number: Int, val attempt: Long, val state: TaskState) {
    val id get() = AttemptId(job, number, attempt)

    /** The identifier of the task, which consists of the identifier of its job and its number. */
    val task get() = "$job/$number"
}

/**
 * The status of a worker, which it sends periodically and as the answer to commands.
 *
 * [session] is the incarnation of the agent, and [sequence] orders the heartbeats within it. [token] is the highest fencing
 * token that the worker has seen. [spotNoticeS] is the time in seconds until the cloud reclaims the spot instance; null without
 * a notice.
 *
 * [tasks] lists every attempt on the machine, in any order, including the ended ones that the worker was not told to forget. So it may
 * list several attempts of one task, of which at most one has not ended.
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
