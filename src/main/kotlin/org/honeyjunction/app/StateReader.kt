package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.EntryPage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Reads many records of the state service. A failed read is repeated while [mayRetry] returns true, since among many
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
        const val MAX_ATTEMPTS = 10
        const val RETRY_MS = 300L
    }
}
