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
import org.honeyjunction.wire.MalformedException
import org.slf4j.LoggerFactory
import java.io.IOException

/** Reads, for the leader, the records of jobs whose terminal write has an unknown outcome, or that only a worker has named. */
internal class JobRecordReader(
    private val context: TermContext,
    private val store: KeyValueClient,
    private val recordPlacement: TerminalRecordPlacement?,
) {
    private val log = LoggerFactory.getLogger(JobRecordReader::class.java)

    /** Limits concurrent reads: the outcomes of many jobs can be unknown at once, and their reads must not delay other requests. */
    private val permits = Semaphore(MAX_CONCURRENT_READS)

    /** Reads the record of [job] for the leader. Unless the job has finished, the leader will read it again, so the report is delayed. */
    suspend fun read(job: String) {
        val record = permits.withPermit { readOrDelay(job) }
        if (record !is JobRecord.Finished) delay(RETRY_MS)
        context.leader.jobRecordRead(job, record, context.clock.steady())
        context.executeEffects()
    }

    private suspend fun readOrDelay(job: String): JobRecord =
        try {
            lookUp(job)
        } catch (e: IOException) {
            log.debug("failed to read the record of {}: {}", job, e.message)
            unreadAfterDelay()
        } catch (e: MalformedException) {
            log.error("malformed record of job {}: {}", job, e.message)
            unreadAfterDelay()
        }

    /** The permit is kept during the delay, because the next read would probably fail as well. */
    private suspend fun unreadAfterDelay(): JobRecord {
        delay(RETRY_MS)
        return JobRecord.Unread
    }

    /** A record moves from the key of the active job to that of the terminal record and never back, so the keys are read in this order. */
    private suspend fun lookUp(job: String): JobRecord {
        val active = store.get(Keys.job(job))
        val value = active.value ?: store.get(Keys.terminalRecord(job)).value ?: return JobRecord.Absent
        val record = JobCodec.stored(value, active.version)
        if (record.stage == JobStage.ACTIVE) return JobRecord.Active(active.version)
        if (active.value != null) recordPlacement?.addInPlace(job)
        return JobRecord.Finished(record)
    }

    private companion object {
        const val MAX_CONCURRENT_READS = 2
        const val RETRY_MS = 300L
    }
}
