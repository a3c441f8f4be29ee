package org.honeyjunction.app

import okio.Buffer
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.StateLimits
import org.honeyjunction.io.StateUnavailableException
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Write

/**
 * Stores texts that exceed the size of a value in the state service as chunks under separate keys. Chunks take effect only
 * through a later write that refers to them and is conditional on their versions.
 */
class ChunkedTextStore(private val store: KeyValueClient, limits: StateLimits) {
    private val chunkBytes = limits.valueBytes - CHUNK_OVERHEAD_BYTES

    /** Every chunk takes one condition of the write that refers to it; the write's own key and fencing need the reserved ones. */
    private val maxChunks = minOf(limits.transactionWrites * CONDITIONS_PER_WRITE - RESERVED_CONDITIONS, MAX_CHUNKS)

    /** The size of the largest text that can be stored, in bytes of JSON. */
    val maxBytes get() = maxChunks * chunkBytes

    /** Splits [text] into chunks; returns null if there are more than a write can refer to. */
    fun split(text: String): List<String>? = chunks(text).takeIf { it.size <= maxChunks }

    /**
     * Writes the chunks that are not stored yet. Returns the conditions for the write that will refer to the chunks, or null if
     * it is not known whether all chunks are stored.
     */
    suspend fun writeMissing(chunks: List<String>, key: (Int) -> String): List<Condition>? =
        chunks.mapIndexed { i, chunk -> Condition(key(i), ensureStored(key(i), chunk) ?: return null) }

    /** Stores [chunk] under [key] if it is not there. Returns the entry's version, or null if it is not certain that [chunk] is stored. */
    private suspend fun ensureStored(key: String, chunk: String): Long? {
        val existing = store.get(key)
        if (existing.value?.textValue() == chunk) return existing.version
        return when (val outcome = store.commit(listOf(Condition(key, existing.version)), listOf(Write(key, Json.text(chunk))))) {
            is CompareAndSwapOutcome.Applied -> outcome.revision
            CompareAndSwapOutcome.Conflict -> store.get(key).takeIf { it.value?.textValue() == chunk }?.version
            CompareAndSwapOutcome.Unknown -> null
        }
    }

    /** Joins [count] chunks to the bytes of the text; [description] names the text in the error if a chunk is missing. */
    suspend fun read(count: Int, description: String, key: (Int) -> String): ByteArray {
        val bytes = Buffer()
        for (i in 0 until count) {
            val chunk = store.get(key(i)).value ?: throw StateUnavailableException("part $i of $description is not there")
            bytes.writeUtf8(chunk.textValue().orEmpty())
        }
        return bytes.readByteArray()
    }

    /** Splits by the size of the chunk's JSON rather than of the text, since escapes can make the JSON six times as long. */
    private fun chunks(text: String): List<String> {
        val chunks = ArrayList<String>()
        var from = 0
        while (from < text.length) {
            val to = chunkEnd(text, from)
            chunks += text.substring(from, to)
            from = to
        }
        return chunks
    }

    /** The end of the longest chunk that starts at [from] and fits into [chunkBytes]. */
    private fun chunkEnd(text: String, from: Int): Int {
        var to = from
        var size = 0
        while (to < text.length) {
            val next = to + Character.charCount(text.codePointAt(to))
            size += Json.write(Json.text(text.substring(to, minOf(text.length, next)))).size - QUOTE_BYTES
            if (size > chunkBytes) break
            to = next
        }
        return to
    }

    private companion object {
        /** The part of a stored value that is left free. */
        const val CHUNK_OVERHEAD_BYTES = 64
        const val MAX_CHUNKS = 64

        /** The number of conditions that the state service accepts for each write that a transaction may hold. */
        const val CONDITIONS_PER_WRITE = 4
        const val RESERVED_CONDITIONS = 4

        /** The size of the quotes around a JSON string. */
        const val QUOTE_BYTES = 2
    }
}
