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

/** One version of the rules: the stored document and the rule set compiled from it. */
class StoredRules(val version: Long, val document: RulesDocument, val set: RuleSet) {
    companion object {
        /** The empty rules that are in force before an operator applies any. */
        val NONE = StoredRules(0, RulesDocument("", null), RuleSet.NONE)
    }
}

/**
 * The operators' rules in the state service. The chunks of a document are written first, under the document's hash. Then one
 * conditional write of the head puts the document in force; its conditions are the versions of the head and of the chunks. A crash
 * in between, or a concurrent change, leaves the previous version in force.
 *
 * @param onChange called with every later version that this node loads
 */
class RulesStore(private val node: Node, private val onChange: (StoredRules) -> Unit) {
    /** The outcome of [apply]. */
    sealed interface ApplyResult {
        /** The rules are in force as [version]. */
        class Applied(val version: Long, val warnings: List<String>) : ApplyResult

        /** The document has [errors]; nothing was changed. */
        class Invalid(val errors: List<String>) : ApplyResult

        /** Another version than expected, or a concurrent change, is in force: [version]. */
        class Conflict(val version: Long) : ApplyResult

        /** The state service did not confirm the write. The rules may be in force, now or soon; read them to find out. */
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

    /** Whether [current] is in force, as far as this node knows. False until this node has first read the rules from the state service. */
    var isUpToDate = false
        private set

    /** [current] for this node's validation of submitted jobs. Placements use the rules of the leader's scheduler state instead. */
    var book = RuleBook(node.settings.cluster, RuleSet.NONE)
        private set

    /** Watches the head for changes and loads each new version; never returns. */
    suspend fun follow() {
        var since = 0L
        while (true) {
            try {
                if (!isUpToDate) since = refresh()
                val changes = state.changes(Keys.RULES, since, WATCH_MS)
                if (changes == null || changes.changes.isNotEmpty()) isUpToDate = false else since = changes.revision
            } catch (e: IOException) {
                log.debug("failed to watch the rules: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** Reads the rules in force; returns the revision of their head. */
    suspend fun refresh(): Long {
        val entry = state.get(Keys.RULES)
        load(read(entry))
        isUpToDate = true
        return entry.version
    }

    /** Records that another controller has [version]. If that is later than this node's version, [follow] reads the rules again. */
    fun observeVersion(version: Long) {
        if (version > current.version) isUpToDate = false
    }

    private fun load(rules: StoredRules) {
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
        if (document.hash.hex() != head.hash) throw StateUnavailableException("the stored $name does not match its hash")
        val set = document.check(head.version).set ?: throw StateUnavailableException("$name is invalid for this program version")
        return StoredRules(head.version, document, set)
    }

    private fun head(entry: Entry): Head? =
        try {
            entry.value?.let { Head(it.count("version"), it.text("hash"), it.count("parts").toInt()) }
        } catch (e: MalformedException) {
            throw StateUnavailableException("malformed head of the rules: ${e.message}")
        }

    /** Puts [document] in force; if [expected] is given, only if that version is in force so far. */
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
                load(StoredRules(head.version, document, set))
                deleteChunksExcept(head.hash)
                ApplyResult.Applied(head.version, checked.warnings)
            }
            CompareAndSwapOutcome.Conflict -> resolveConflict(head, checked.warnings)
            CompareAndSwapOutcome.Unknown -> ApplyResult.OutcomeUnknown
        }
    }

    private fun tooLarge(document: RulesDocument): String {
        val most = "${chunkStore.maxBytes / 1024} KiB"
        return "rules: ${document.json.size} bytes are more than the state service can change at once ($most)"
    }

    /** Tells a concurrent change apart from an earlier attempt of the same write that was applied without being confirmed. */
    private suspend fun resolveConflict(written: Head, warnings: List<String>): ApplyResult {
        val storedHead = head(state.get(Keys.RULES))
        val applied = storedHead?.version == written.version && storedHead.hash == written.hash
        return if (applied) ApplyResult.Applied(written.version, warnings) else ApplyResult.Conflict(storedHead?.version ?: 0L)
    }

    /**
     * Deletes chunks that the head does not refer to. Another node may be writing such chunks concurrently. Its write of the head
     * is conditional on the versions of its chunks, so that write fails instead of referring to deleted chunks.
     */
    private suspend fun deleteChunksExcept(hash: String) {
        try {
            val unused = state.scan(Keys.RULE_PARTS).entries.filter { !it.key.startsWith("${Keys.RULE_PARTS}$hash/") }
            unused.forEach { state.commit(listOf(Condition(it.key, it.version)), listOf(Write(it.key, null))) }
        } catch (e: IOException) {
            // The next change of the rules deletes the remaining chunks.
            log.debug("failed to delete unused chunks of rules: {}", e.message)
        }
    }

    private companion object {
        const val WATCH_MS = 20_000L
        const val RETRY_MS = 300L
    }
}
