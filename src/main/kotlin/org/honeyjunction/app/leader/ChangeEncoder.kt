package org.honeyjunction.app.leader

import org.honeyjunction.app.Keys
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.Clock
import org.honeyjunction.wire.CheckpointCodec
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.Write

/** Encodes a leader's changes as conditions and writes of the key-value store. */
internal class ChangeEncoder(private val leader: Leader, private val clock: Clock) {
    /** The condition on the version of a record that only this term writes; null for checkpoints, which are overwritten in any version. */
    fun condition(change: Change): Condition? =
        when (change) {
            is Change.JournalPage -> Condition(Keys.journalPage(change.record.page), change.record.version)
            is Change.JobFinished -> Condition(Keys.job(change.job), change.version)
            is Change.MachineCheckpoints, is Change.Checkpoint -> null
        }

    /** The writes of [change]; [inPlace]: a terminal record is written over the record of the active job. */
    fun writes(change: Change, inPlace: Boolean): List<Write> =
        when (change) {
            is Change.JournalPage ->
                listOf(Write(Keys.journalPage(change.record.page), JournalPageCodec.write(change.record, change.writeId)))
            is Change.MachineCheckpoints ->
                listOf(Write(Keys.machineCheckpoints(change.page), CheckpointCodec.writeMachines(change.machines)))
            is Change.Checkpoint -> listOf(Write(Keys.LEADER_CHECKPOINT, CheckpointCodec.writeLeader(change.checkpoint)))
            is Change.JobFinished -> terminalRecord(change, inPlace)
        }

    private fun terminalRecord(change: Change.JobFinished, inPlace: Boolean): List<Write> {
        val job = checkNotNull(leader.state.job(change.job))
        val stage = if (change.cancelled) JobStage.CANCELLED else JobStage.DONE
        val createdAt = clock.wall() - (clock.steady() - job.createdAt)
        val record = JobCodec.record(job.spec, job.owner, createdAt.coerceAtLeast(0), stage)
        if (inPlace) return listOf(Write(Keys.job(change.job), record))
        return listOf(Write(Keys.terminalRecord(change.job), record), Write(Keys.job(change.job), null))
    }
}
