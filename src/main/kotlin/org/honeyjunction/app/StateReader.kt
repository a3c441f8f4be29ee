package org.honeyjunction.app

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.EntryPage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Reads many records of the state service, in few requests. A failed read is repeated while [mayRetry] returns true, since among many
 * reads it is likely that some fail; functions throw [IOException] if it returns false or if [MAX_ATTEMPTS] attempts in a row failed.
 */
internal class StateReader(private val store: KeyValueClient, private val mayRetry: () -> Boolean) {
    private val log = LoggerFactory.getLogger(StateReader::class.java)

    /** The entry at [key]; version 0 and no value when there is none. */
    suspend fun get(key: String): Entry = retrying { store.get(key) }

    /** Passes all entries whose keys begin with [prefix] to [onPage], page by page; returns the store's revision at the first page. */
    suspend fun scan(prefix: String, onPage: (List<Entry>) -> Unit): Long {
        var page = page(prefix, null, KeyValueClient.MAX_PAGE_ENTRIES)
        val revision = page.revision
        onPage(page.entries)
        while (page.more && page.entries.isNotEmpty()) {
            page = page(prefix, page.entries.last().key, KeyValueClient.MAX_PAGE_ENTRIES)
            onPage(page.entries)
        }
        return revision
    }

    private suspend fun page(prefix: String, after: String?, limit: Int): EntryPage = retrying { store.page(prefix, after, limit) }

    /**
     * Passes the entries at those of [keys] that exist to [onPage], page by page; all keys begin with [prefix]. Keys that lie close to
     * each other in the store are read together, so that the number of requests depends on how densely [keys] lie among the others.
     */
    suspend fun readAll(prefix: String, keys: Collection<String>, onPage: (List<Entry>) -> Unit) =
        coroutineScope {
            val sorted = keys.sorted()
            val lanes = sorted.chunked(maxOf(MIN_LANE_KEYS, (sorted.size + LANES - 1) / LANES))
            lanes.forEach { launch { readLane(prefix, it, onPage) } }
        }

    /** Reads the entries at the keys in [sorted], in order, by pages that begin at the next key to be read. */
    private suspend fun readLane(prefix: String, sorted: List<String>, onPage: (List<Entry>) -> Unit) {
        var next = 0
        var limit = MIN_PAGE_ENTRIES
        while (next < sorted.size) {
            val page = page(prefix, justBefore(sorted[next]), limit)
            val end = maxOf(next + 1, firstKeyBeyond(page, sorted))
            onPage(entriesAt(sorted.subList(next, end), page))
            limit = nextLimit(limit, page.entries.size, end - next)
            next = end
        }
    }

    /** The index of the first key in [sorted] that lies beyond [page]. */
    private fun firstKeyBeyond(page: EntryPage, sorted: List<String>): Int {
        val last = page.entries.lastOrNull()?.key
        if (last == null || !page.more) return sorted.size
        val index = sorted.binarySearch(last)
        return if (index >= 0) index + 1 else -(index + 1)
    }

    /** The entries at [keys]. A key that [page] lacks is read by itself, so that no entry is missed whatever the store's order of keys. */
    private suspend fun entriesAt(keys: List<String>, page: EntryPage): List<Entry> {
        val byKey = page.entries.associateBy { it.key }
        return keys.map { byKey[it] ?: get(it) }.filter { it.value != null }
    }

    /** Larger pages where most of the [read] entries were [wanted], smaller ones where few were. */
    private fun nextLimit(limit: Int, read: Int, wanted: Int): Int =
        when {
            wanted * DENSE >= read -> minOf(limit * 2, KeyValueClient.MAX_PAGE_ENTRIES)
            wanted * SPARSE < read -> maxOf(limit / 2, MIN_PAGE_ENTRIES)
            else -> limit
        }

    private suspend fun <T> retrying(read: suspend () -> T): T {
        repeat(MAX_ATTEMPTS - 1) {
            try {
                return read()
            } catch (e: IOException) {
                if (!mayRetry()) throw e
                log.debug("failed to read the stored state: {}", e.message)
                delay(RETRY_MS)
            }
        }
        return read()
    }

    private companion object {
        /** Pages that are read at the same time; leaves connections and request budget to other requests, such as lease renewals. */
        const val LANES = 4
        const val MIN_LANE_KEYS = 16

        /** So few entries cost little more than one. */
        const val MIN_PAGE_ENTRIES = 16

        /** Pages grow while at least one in so many entries is wanted. */
        const val DENSE = 2

        /** Pages shrink while fewer than one in so many entries is wanted. */
        const val SPARSE = 8
        const val MAX_ATTEMPTS = 10
        const val RETRY_MS = 300L

        /** Sorts after every character of a job id. */
        const val HIGHEST_CHARACTER = '~'

        /** A string that sorts before [key] with few other keys in between, whether or not it is a key itself. */
        fun justBefore(key: String): String = key.dropLast(1) + (key.last() - 1) + HIGHEST_CHARACTER
    }
}
