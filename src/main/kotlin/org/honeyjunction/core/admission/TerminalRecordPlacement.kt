package org.honeyjunction.core.admission

/**
 * Decides where the terminal records of jobs are written. Moving a record to the keys of terminal records takes two changes
 * of the state service. While changes are scarce, the terminal state is written in place, over the record of the active job,
 * which takes one change; the record is moved later, when no write is queued. The next leader reads the records in place
 * together with the active jobs, so there may be at most [maxInPlace] of them. Times are steady milliseconds.
 */
class TerminalRecordPlacement(changesPerS: Double, private val maxInPlace: Int = MAX_IN_PLACE) {
    private enum class State { IN_PLACE, MOVING }

    private val moveIntervalMs = (1_000 * CHANGES_PER_MOVE / (changesPerS * MOVE_SHARE)).toLong()
    private val records = LinkedHashMap<String, State>()
    private var nextMoveAt = Long.MIN_VALUE / 2

    /** The number of terminal records in place, including the records that are being moved. */
    val size: Int get() = records.size

    /**
     * Whether the next terminal state is to be written in place, because the queued writes take long ([queueDelayS] seconds) or
     * users submit more jobs than can be recorded ([demandExceedsCapacity]).
     */
    fun shouldWriteInPlace(queueDelayS: Double, demandExceedsCapacity: Boolean): Boolean =
        (demandExceedsCapacity || queueDelayS >= SCARCE_S) && records.size < maxInPlace

    /** Notes that the terminal record of [job] is in place, written by this leader or by an earlier one. */
    fun addInPlace(job: String) {
        records.putIfAbsent(job, State.IN_PLACE)
    }

    /**
     * Starts the next move and returns the job whose record is to be moved, or null. Records are moved only while no write is queued
     * ([idle]), and at a limited rate.
     */
    fun startNextMove(idle: Boolean, now: Long): String? {
        if (!idle || now < nextMoveAt) return null
        val job = records.entries.firstOrNull { it.value == State.IN_PLACE }?.key ?: return null
        nextMoveAt = now + moveIntervalMs
        records[job] = State.MOVING
        return job
    }

    /** Ends a move. [succeeded]: the record has been moved, now or earlier; otherwise the move is retried after all other records. */
    fun finishMove(job: String, succeeded: Boolean) {
        if (records.remove(job) != null && !succeeded) records[job] = State.IN_PLACE
    }

    companion object {
        /** At some 400 bytes a record, the next leader reads this many records with eight requests. */
        const val MAX_IN_PLACE = 4_000

        /** The queue delay, in seconds, from which changes count as scarce. */
        private const val SCARCE_S = 1.0
        private const val CHANGES_PER_MOVE = 2.0

        /** The share of all changes that moves may use while no other write is queued. */
        private const val MOVE_SHARE = 0.1
    }
}
