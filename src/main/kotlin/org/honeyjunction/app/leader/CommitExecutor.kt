package org.honeyjunction.app.leader

import kotlinx.coroutines.delay
import org.honeyjunction.app.Keys
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.WritePriority
import org.honeyjunction.wire.JournalPageCodec
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Commits a leader's changes to the key-value store by compare-and-swap, fenced by its term, and reports their outcomes to it.
 *
 * [recordPlacement]: null where terminal records are always written to their own keys.
 */
internal class CommitExecutor(
    private val context: TermContext,
    private val state: KeyValueClient,
    private val recordPlacement: TerminalRecordPlacement?,
    private val demandExceedsCapacity: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(CommitExecutor::class.java)
    private val encoder = ChangeEncoder(context.leader, context.clock)

    suspend fun commit(effect: Effect.Commit) {
        val changes = effect.changes
        val inPlace = shouldWriteInPlace(changes)
        val outcome =
            when (val written = write(changes, inPlace)) {
                is CompareAndSwapOutcome.Applied -> CommitOutcome.Applied(written.revision)
                CompareAndSwapOutcome.Conflict -> explainRefusal(changes)
                CompareAndSwapOutcome.Unknown -> journalPageOutcome(changes) ?: CommitOutcome.Failed()
            }
        if (inPlace && outcome is CommitOutcome.Applied) recordPlacement!!.addInPlace((changes.single() as Change.JobFinished).job)
        // A job whose terminal record is in doubt is read before it is retried, so that needs no delay here.
        if (outcome is CommitOutcome.Failed && changes.none { it is Change.JobFinished }) delay(RETRY_MS)
        context.leader.committed(effect.id, outcome, context.clock.steady())
        context.executeEffects()
    }

    private fun shouldWriteInPlace(changes: List<Change>): Boolean =
        recordPlacement != null &&
            changes.singleOrNull() is Change.JobFinished &&
            recordPlacement.shouldWriteInPlace(state.queueingDelayS(WritePriority.OTHER), demandExceedsCapacity())

    /** Journal pages go before the rest: task starts wait for their page, and the pages are paced by the leader. */
    private suspend fun write(changes: List<Change>, inPlace: Boolean): CompareAndSwapOutcome {
        val conditions = listOf(context.fence) + changes.mapNotNull(encoder::condition)
        val writes = changes.flatMap { encoder.writes(it, inPlace) }
        val priority = if (changes.any { it is Change.JournalPage }) WritePriority.JOURNAL else WritePriority.OTHER
        return state.commit(conditions, writes, priority, fairnessLane(changes))
    }

    /** Terminal records of different teams take turns; everything else shares a lane. */
    private fun fairnessLane(changes: List<Change>): String {
        val job = changes.firstNotNullOfOrNull { (it as? Change.JobFinished)?.let { over -> context.leader.state.job(over.job) } }
        return job?.spec?.team.orEmpty()
    }

    /** A refusal means a lost term, or that an earlier attempt of the same write was applied after all. */
    private suspend fun explainRefusal(changes: List<Change>): CommitOutcome =
        try {
            when {
                state.get(Keys.LEADER_RECORD).version != context.term.leaderRecordVersion -> termLost("the term was taken")
                changes.any { it is Change.JournalPage } -> checkNotNull(journalPageOutcome(changes))
                // In doubt until its record is read.
                changes.any { it is Change.JobFinished } -> CommitOutcome.Failed()
                else -> termLost("a record differs from what this term wrote")
            }
        } catch (e: IOException) {
            log.debug("reading after a refusal: {}", e.message)
            journalPageOutcome(changes) ?: CommitOutcome.Failed()
        }

    private fun termLost(reason: String): CommitOutcome {
        context.onTermLost(reason)
        return CommitOutcome.Failed()
    }

    /**
     * Whether the journal page among [changes] was written; null where there is none. The next write of the page needs its
     * version, so this is retried until it is known.
     */
    private suspend fun journalPageOutcome(changes: List<Change>): CommitOutcome? {
        val page = changes.firstNotNullOfOrNull { it as? Change.JournalPage } ?: return null
        while (true) {
            try {
                val entry = state.get(Keys.journalPage(page.record.page))
                val applied = JournalPageCodec.writeNumber(entry.value) == page.writeId
                return if (applied) CommitOutcome.Applied(entry.version) else CommitOutcome.Failed(entry.version)
            } catch (e: IOException) {
                log.debug("reading a journal page: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private companion object {
        const val RETRY_MS = 300L
    }
}
