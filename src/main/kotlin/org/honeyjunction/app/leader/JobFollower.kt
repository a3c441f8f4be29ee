package org.honeyjunction.app.leader

import com.fasterxml.jackson.databind.JsonNode
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.honeyjunction.app.Keys
import org.honeyjunction.app.StateReader
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.MalformedException
import org.slf4j.LoggerFactory
import java.io.IOException

/** Watches the records of active jobs in the key-value store, so that the leader observes jobs that other nodes accepted. */
internal class JobFollower(private val context: TermContext, private val store: KeyValueClient) {
    private val log = LoggerFactory.getLogger(JobFollower::class.java)
    private val reader = StateReader(store) { context.scope.isActive }

    /** Watches all changes after the revision [from]; never returns. */
    suspend fun followJobs(from: Long) {
        var since = from
        while (true) {
            try {
                val changes = store.changes(Keys.JOBS, since, WATCH_TIMEOUT_MS)
                if (changes == null) {
                    // The store does not keep changes since this revision any more: all records are read again.
                    since = reader.scan(Keys.JOBS) { page -> page.forEach { entry -> entry.value?.let { observe(it, entry.version) } } }
                    continue
                }
                val (revision, changed) = changes
                changed.forEach { change -> change.value?.let { observe(it, change.version) } }
                since = revision
                context.executeEffects()
            } catch (e: IOException) {
                log.debug("failed to watch the records of jobs: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private fun observe(record: JsonNode, version: Long) {
        try {
            val job = JobCodec.stored(record, version)
            if (job.stage == JobStage.ACTIVE) context.leader.jobObserved(job, context.clock.steady(), context.clock.wall())
        } catch (e: MalformedException) {
            log.error("malformed record of a job: {}", e.message)
        }
    }

    private companion object {
        const val WATCH_TIMEOUT_MS = 20_000L
        const val RETRY_MS = 300L
    }
}
