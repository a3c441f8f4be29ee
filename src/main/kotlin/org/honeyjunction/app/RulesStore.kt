package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.core.rules.RuleBook
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.StateUnavailableException
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Write
import org.honeyjunction.wire.count
import org.honeyjunction.wire.text
import org.slf4j.LoggerFactory
import java.io.IOException

/** A version of the rules as it is stored. */
class StoredRules(val version: Long, val document: RulesDocument, val set: RuleSet) {
    companion object {
        /** Before any rules were applied. */
        val NONE = StoredRules(0, RulesDocument("", null), RuleSet.NONE)
    }
}

/**
 * The operators' rules in the state service. The chunks of a document are written first, under its hash; then one write of the
 * head, on condition of the head's and the chunks' versions, puts all of it in force. A crash in between, or a concurrent
 * change, leaves the version before as it was. [onChange] is called with every later version that this node takes over.
 */
class RulesStore(private val node: Node, private val onChange: (StoredRules) -> Unit) {
    sealed interface ApplyResult {
        class Applied(val version: Long, val warnings: List<String>) : ApplyResult

        class Invalid(val errors: List<String>) : ApplyResult

        /** A concurrent change came first: [version] is in force now. */
        class Conflict(val version: Long) : ApplyResult

        /** The rules may be in force, or be so soon; reading them tells. */
        data object OutcomeUnknown : ApplyResult
    }

    private class Head(val version: Long, val hash: String, val chunks: Int) {
        fun json() = Json.newObject().put("version", version).put("hash", hash).put("parts", chunks)
    }

    private val log = LoggerFactory.getLogger(RulesStore::class.java)
    private val state: KeyValueClient get() = node.state
    private val chunkStore = ChunkedTextStore(node.state, node.settings.stateLimits)

    /** The latest version that this node has read. */
    var current = StoredRules.NONE
        private set

    /** Whether [current] is in force, as far as this node knows. False until the state service has been read for the first time. */
    var known = false
        private set

    /** For the validation of submissions; placements go by the leader's own. */
    var book = RuleBook(node.settings.cluster, RuleSet.NONE)
        private set

    /** Follows the changes of the head; never returns. */
    suspend fun follow() {
        var since = 0L
        while (true) {
            try {
                if (!known) since = refresh()
                val changes = state.changes(Keys.RULES, since, WATCH_MS)
                if (changes == null || changes.changes.isNotEmpty()) known = false else since = changes.revision
            } catch (e: IOException) {
                log.debug("following the rules: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** Reads the rules that are in force now; the revision of their head is returned. */
    suspend fun refresh(): Long {
        val entry = state.get(Keys.RULES)
        use(read(entry))
        known = true
        return entry.version
    }

    /** Another controller has [version]: if it is later than this node's, the rules are read again. */
    fun noteVersion(version: Long) {
        if (version > current.version) known = false
    }

    private fun use(rules: StoredRules) {
        if (rules.version <= current.version) return
        current = rules
        book = RuleBook(node.settings.cluster, rules.set)
        log.info("rules version {}: {} rules", rules.version, rules.set.rules.size)
        onChange(rules)
    }

    private suspend fun read(entry: Entry): StoredRules {
        val head = head(entry) ?: return StoredRules.NONE
        if (head.version == current.version) return current
        val name = "rules version ${head.version}"
        val bytes = chunkStore.read(head.chunks, name) { Keys.rulePart(head.hash, it) }
        val document =
            try {
                RulesDocument.parse(Json.read(bytes))
            } catch (e: MalformedException) {
                throw StateUnavailableException("$name: ${e.message}")
            }
        if (document.hash.hex() != head.hash) throw StateUnavailableException("$name are not as they were written")
        val set = document.check(head.version).set ?: throw StateUnavailableException("$name can't be understood by this program")
        return StoredRules(head.version, document, set)
    }

    private fun head(entry: Entry): Head? =
        try {
            entry.value?.let { Head(it.count("version"), it.text("hash"), it.count("parts").toInt()) }
        } catch (e: MalformedException) {
            throw StateUnavailableException("the head of the rules: ${e.message}")
        }

    /** Puts [document] in force; with [expected], only if that version is in force before. */
    suspend fun apply(document: RulesDocument, expected: Long?): ApplyResult {
        val entry = state.get(Keys.RULES)
        val version = head(entry)?.version ?: 0L
        if (expected != null && expected != version) return ApplyResult.Conflict(version)
        val checked = document.check(version + 1)
        val set = checked.set ?: return ApplyResult.Invalid(checked.errors)
        val chunks = chunkStore.split(String(document.json)) ?: return ApplyResult.Invalid(listOf(tooLarge(document)))
        val head = Head(version + 1, document.hash.hex(), chunks.size)
        val chunkConditions = chunkStore.writeMissing(chunks) { Keys.rulePart(head.hash, it) } ?: return ApplyResult.OutcomeUnknown
        val conditions = listOf(Condition(Keys.RULES, entry.version)) + chunkConditions
        return when (state.commit(conditions, listOf(Write(Keys.RULES, head.json())))) {
            is CompareAndSwapOutcome.Applied -> {
                use(StoredRules(head.version, document, set))
                deleteChunksExcept(head.hash)
                ApplyResult.Applied(head.version, checked.warnings)
            }
            CompareAndSwapOutcome.Conflict -> explainRefusal(head, checked.warnings)
            CompareAndSwapOutcome.Unknown -> ApplyResult.OutcomeUnknown
        }
    }

    private fun tooLarge(document: RulesDocument): String {
        val most = "${chunkStore.maxBytes / 1024} KiB"
        return "rules: ${document.json.size} bytes are more than the state service can change at once ($most)"
    }

    /** A refusal means a concurrent change, or that an earlier attempt of the same write was applied after all. */
    private suspend fun explainRefusal(written: Head, warnings: List<String>): ApplyResult {
        val present = head(state.get(Keys.RULES))
        val applied = present?.version == written.version && present.hash == written.hash
        return if (applied) ApplyResult.Applied(written.version, warnings) else ApplyResult.Conflict(present?.version ?: 0L)
    }

    /**
     * Deletes chunks that no head refers to. Another node may be writing chunks at this moment: its write of the head has
     * those as its conditions, so it fails instead of referring to what is deleted.
     */
    private suspend fun deleteChunksExcept(hash: String) {
        try {
            val unused = state.scan(Keys.RULE_PARTS).entries.filter { !it.key.startsWith("${Keys.RULE_PARTS}$hash/") }
            unused.forEach { state.commit(listOf(Condition(it.key, it.version)), listOf(Write(it.key, null))) }
        } catch (e: IOException) {
            // They are deleted with the next change.
            log.debug("deleting unused rules: {}", e.message)
        }
    }

    private companion object {
        const val WATCH_MS = 20_000L
        const val RETRY_MS = 300L
    }
}
