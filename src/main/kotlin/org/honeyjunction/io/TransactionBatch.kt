package org.honeyjunction.io

/**
 * Queued transactions that are sent as one transaction of the key-value store.
 *
 * @param first the transaction that the batch begins with, whatever its size
 * @param maxWrites maximum number of writes in the joined transaction
 */
internal class TransactionBatch(first: QueuedTransaction, private val maxWrites: Double) {
    private val members = arrayListOf(first)
    private val writtenKeys = first.writes.mapTo(HashSet()) { it.key }
    private val conditionVersions = first.conditions.associateTo(HashMap()) { it.key to it.version }
    private var bytes = first.bytes

    /** The members, in the order in which they were added. */
    val transactions: List<QueuedTransaction> get() = members

    /** Writes of all members. */
    var writeCount = first.writes.size
        private set

    /** Adds [transaction] if it [fits]; returns whether it was added. */
    fun tryAdd(transaction: QueuedTransaction): Boolean {
        if (!fits(transaction)) return false
        members += transaction
        writeCount += transaction.writes.size
        bytes += transaction.bytes
        transaction.writes.mapTo(writtenKeys) { it.key }
        transaction.conditions.forEach { conditionVersions[it.key] = it.version }
        return true
    }

    private fun fits(transaction: QueuedTransaction): Boolean =
        writeCount + transaction.writes.size <= maxWrites &&
            bytes + transaction.bytes <= MAX_BYTES &&
            members.size < MAX_MEMBERS &&
            transaction.writes.none { it.key in writtenKeys } &&
            !contradicts(transaction)

    /** One transaction can compare a key with one version only: a transaction that expects another one has to fail on its own. */
    private fun contradicts(transaction: QueuedTransaction): Boolean =
        transaction.conditions.any { condition ->
            val version = conditionVersions[condition.key]
            version != null && version != condition.version
        }

    private companion object {
        const val MAX_MEMBERS = 32

        /** The store accepts transactions of up to 64 KiB; the rest is for the JSON around the keys and values. */
        const val MAX_BYTES = 56 * 1024
    }
}
