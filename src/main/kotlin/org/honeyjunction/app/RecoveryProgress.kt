package org.honeyjunction.app

import org.honeyjunction.io.Clock

/** The number of records in each completed part of a recovery and the time that the part took, for the log. */
internal class RecoveryProgress(private val clock: Clock) {
    private val parts = ArrayList<String>()
    private var partStartedAt = clock.steady()

    /** Notes that a part of [count] records, called [name], has been read; the next part starts now. */
    fun completed(name: String, count: Int) {
        val now = clock.steady()
        parts += "$count $name in ${now - partStartedAt} ms"
        partStartedAt = now
    }

    override fun toString() = parts.joinToString()
}
