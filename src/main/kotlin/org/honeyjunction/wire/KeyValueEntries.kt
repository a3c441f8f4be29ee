package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode

/** An entry of the key-value store at [version]; version 0 without a [value] represents a key that does not exist. */
class Entry(val key: String, val value: JsonNode?, val version: Long, val lease: Long?)

/** One page of a scan at [revision] of the store; [more] says whether another page follows. */
class EntryPage(val entries: List<Entry>, val more: Boolean, val revision: Long)

/** The latest state of a key that changed; without a [value], the key was deleted. */
class KeyChange(val key: String, val value: JsonNode?, val version: Long)

/** Changes that a watch returned, in order, up to and including [revision] of the store. */
data class ChangeBatch(val revision: Long, val changes: List<KeyChange>)

/** One write of a transaction: a put or, without a value, a delete. A put bound to [lease] is deleted when the lease expires. */
class Write(val key: String, value: JsonNode?, val lease: Long? = null) {
    /** The encoded value; null for a delete. */
    val json: ByteArray? = value?.let(Json::write)

    /** Combined size of key and encoded value; the key counts one byte for each character. */
    val bytes: Int get() = key.length + (json?.size ?: 0)
}

/** A condition of a compare-and-swap transaction: the version of [key] is [version]; 0 requires that the key does not exist. */
class Condition(val key: String, val version: Long)
