package org.honeyjunction.core.control.messages

import org.honeyjunction.core.control.journal.JournalPageRecord

/** One durable change; the codec of the key-value store defines how it is written. */
sealed interface Change {
    /** A page of the placement journal, written on condition of the version that it names; [write] identifies this write. */
    data class JournalPage(val record: JournalPageRecord, val writeId: Long) : Change

    /** Where machines are and what they cache: speeds up a new leader, and correctness does not depend on it. */
    data class MachineCheckpoints(val page: Int, val machines: List<MachineCheckpoint>) : Change

    /** What a later leader need not find out again. */
    data class Checkpoint(val checkpoint: LeaderCheckpoint) : Change

    /** Moves the record of the job, on condition of [version], to the terminal records. */
    data class JobFinished(val job: String, val version: Long, val cancelled: Boolean) : Change
}

/** The outcome of the compare-and-swap that an [Effect.Commit] asked for. */
sealed interface CommitOutcome {
    /** [version]: the revision at which the changes were applied. */
    data class Applied(val version: Long) : CommitOutcome

    /** Not applied so far; it may still be applied unless a condition prevents it. [version]: that of the page as it stands. */
    data class Failed(val version: Long? = null) : CommitOutcome
}

/** The stored record of a job that this term knows to be accepted. */
sealed interface JobRecord {
    data class Active(val version: Long) : JobRecord

    /** The terminal record, in place or among the terminal records. */
    data class Finished(val cancelled: Boolean) : JobRecord

    /** Neither an active nor a terminal record. */
    data object Absent : JobRecord

    /** The key-value store did not answer. */
    data object Unread : JobRecord
}
