package org.honeyjunction.app.leader

import kotlinx.coroutines.delay
import org.honeyjunction.app.Keys
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Write
import org.slf4j.LoggerFactory
import java.io.IOException

/** Moves terminal records that were written in place to the keys of terminal records, while no write is queued. */
internal class TerminalRecordMover(
    private val context: TermContext,
    private val store: KeyValueClient,
    private val recordPlacement: TerminalRecordPlacement,
) {
    private val log = LoggerFactory.getLogger(TerminalRecordMover::class.java)

    /** Moves records one at a time; never returns. */
    suspend fun moveAll() {
        while (true) {
            delay(INTERVAL_MS)
            val job = recordPlacement.startNextMove(store.queuedWrites == 0, context.clock.steady()) ?: continue
            recordPlacement.finishMove(job, tryMove(job))
        }
    }

    private suspend fun tryMove(job: String): Boolean =
        try {
            move(job)
        } catch (e: IOException) {
            log.debug("failed to move the record of {}: {}", job, e.message)
            false
        }

    /** Moves the record of [job]. Returns true if the record has been moved, now or earlier, or if the job is active. */
    private suspend fun move(job: String): Boolean {
        val entry = store.get(Keys.job(job))
        val record = entry.value ?: return true
        if (JobCodec.stored(record, entry.version).stage == JobStage.ACTIVE) return true
        val conditions = listOf(context.fence, Condition(Keys.job(job), entry.version))
        val writes = listOf(Write(Keys.terminalRecord(job), record), Write(Keys.job(job), null))
        return store.commit(conditions, writes) is CompareAndSwapOutcome.Applied
    }

    private companion object {
        const val INTERVAL_MS = 100L
    }
}
