package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.util.RawValue

/**
 * Encodes requests to the key-value store and reads its responses. Readers throw [MalformedException] if a required field is missing
 * or invalid.
 */
object KeyValueCodec {
    /** Encodes a compare-and-swap transaction. */
    fun commit(conditions: Collection<Condition>, writes: List<Write>): ByteArray {
        val transaction = Json.newObject()
        transaction.putArray(ProtocolNames.CONDITIONS).apply {
            conditions.forEach { addObject().put(ProtocolNames.KEY, it.key).put(ProtocolNames.VERSION, it.version) }
        }
        transaction.putArray(ProtocolNames.WRITES).apply { writes.forEach { addWrite(it) } }
        return Json.write(transaction)
    }

    private fun ArrayNode.addWrite(write: Write) {
        val item = addObject()
        if (write.json == null) {
            item.put(ProtocolNames.DELETE, write.key)
            return
        }
        item.put(ProtocolNames.PUT, write.key)
        item.putRawValue(ProtocolNames.VALUE, RawValue(String(write.json)))
        write.lease?.let { item.put(ProtocolNames.LEASE, it) }
    }

    /** Reads the store's revision after a transaction. */
    fun revision(body: ByteArray): Long = Json.readObject(body).count(ProtocolNames.REVISION)

    /** Reads the keys whose conditions failed; the store may name only one of them. */
    fun failedKeys(body: ByteArray): List<String> = Json.readObject(body).listOrEmpty(ProtocolNames.FAILED).mapNotNull { it.textValue() }

    /** Reads the response to a read of one key. */
    fun entry(body: ByteArray): Entry = readEntry(Json.readObject(body))

    private fun readEntry(node: JsonNode) =
        Entry(
            node.text(ProtocolNames.KEY),
            node.fieldOrNull(ProtocolNames.VALUE),
            node.count(ProtocolNames.VERSION),
            node.fieldOrNull(ProtocolNames.LEASE)?.longValue(),
        )

    /** Reads a page of a scan. */
    fun entryPage(body: ByteArray): EntryPage {
        val page = Json.readObject(body)
        return EntryPage(
            page.list(ProtocolNames.ENTRIES).map(::readEntry),
            page.flagOr(ProtocolNames.MORE, false),
            page.count(ProtocolNames.REVISION),
        )
    }

    /** Reads the response to a watch. */
    fun changes(body: ByteArray): ChangeBatch {
        val response = Json.readObject(body)
        val revision = response.count(ProtocolNames.REVISION)
        return ChangeBatch(revision, response.listOrEmpty(ProtocolNames.CHANGES).map(::readChange))
    }

    private fun readChange(node: JsonNode): KeyChange {
        val put = node.textOrNull(ProtocolNames.PUT)
        val key = put ?: node.text(ProtocolNames.DELETE)
        val value = if (put == null) null else node.fieldOrNull(ProtocolNames.VALUE)
        return KeyChange(key, value, node.count(ProtocolNames.VERSION))
    }

    /** Encodes a request for a lease with a time to live of [ttlMs]. */
    fun leaseRequest(ttlMs: Long): ByteArray = Json.write(Json.newObject().put(ProtocolNames.TTL_MS, ttlMs))

    /** Reads the id of a lease that was granted. */
    fun leaseId(body: ByteArray): Long = Json.readObject(body).count(ProtocolNames.LEASE)

    /** The request target for a read of [key]. */
    fun entryPath(key: String): String = "/store/$key"

    /** The request target for a scan of up to [limit] keys that start with [prefix], from the one after key [after] (null: the first). */
    fun scanPath(prefix: String, after: String?, limit: Int): String {
        val start = if (after == null) "" else "&${ProtocolNames.AFTER}=$after"
        return "/store?${ProtocolNames.PREFIX}=$prefix$start&${ProtocolNames.LIMIT}=$limit"
    }

    /** The request target for a watch that waits up to [waitMs] for changes of keys that start with [prefix] after [revision]. */
    fun changesPath(prefix: String, revision: Long, waitMs: Long): String =
        "/changes?${ProtocolNames.PREFIX}=$prefix&${ProtocolNames.AFTER}=$revision&${ProtocolNames.WAIT_MS}=$waitMs"
}
