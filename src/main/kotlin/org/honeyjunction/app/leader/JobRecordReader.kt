package org.honeyjunction.app.leader

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.honeyjunction.app.Keys
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.JobCodec
import org.slf4j.LoggerFactory
import java.io.IOException

/** Reads the records of jobs whose terminal write has an unknown outcome, and reports them to the leader. */
internal class JobRecordReader(
    private val context: TermContext,
    private val state: KeyValueClient,
    private val recordPlacement: TerminalRecordPlacement?,
) {
    private val log = LoggerFactory.getLogger(JobRecordReader::class.java)

    /** Many jobs can be in doubt at once, and reading their records must not delay other requests. */
    private val permits = Semaphore(MAX_CONCURRENT_READS)

    /** The leader asks again where the record settles nothing: that is delayed. */
    suspend fun read(job: String) {
        val found = permits.withPermit { readOrDelay(job) }
        if (found !is JobRecord.Finished) delay(RETRY_MS)
        context.leader.jobRecordRead(job, found, context.clock.steady())
        context.executeEffects()
    }

    private suspend fun readOrDelay(job: String): JobRecord =
        try {
            record(job)
        } catch (e: IOException) {
            log.debug("reading the record of {}: {}", job, e.message)
            // With the permit: the next read would fail as well.
            delay(RETRY_MS)
            JobRecord.Unread
        }

    /** A record moves from the active keys to the terminal ones and never back, so it is looked up in this order. */
    private suspend fun record(job: String): JobRecord {
        val active = state.get(Keys.job(job))
        val value = active.value ?: state.get(Keys.terminalRecord(job)).value ?: return JobRecord.Absent
        val stage = JobCodec.stored(value, active.version).stage
        if (stage == JobStage.ACTIVE) return JobRecord.Active(active.version)
        if (active.value != null) recordPlacement?.addInPlace(job)
        return JobRecord.Finished(stage == JobStage.CANCELLED)
    }

    private companion object {
        const val MAX_CONCURRENT_READS = 2
        const val RETRY_MS = 300L
    }
}
