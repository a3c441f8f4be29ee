package org.honeyjunction.core.model

/**
 * The state of the durable record of a job's final state, as the leader knows it. This state machine determines which status of
 * the job may be reported, and it is the only way from active to done or cancelled. `JobLifecycle` drives the transitions.
 *
 * The outcome of an unanswered write is unknown: the write may have been applied, so that others can read the record, or it may
 * still be applied later. Each write is a compare-and-swap on the leader's key `lead` and on the version of the active record. So
 * at most one of all writes of a job is ever applied, and none once a later leader has won its term. All writes of a job carry
 * the same final state, and the leader adopts the final state that turns out to be durable.
 *
 * | state | status that the leader reports | status that others report | tasks |
 * | --- | --- | --- | --- |
 * | [State.OPEN] | active, from memory: no record can say more | active | started, unless the user has requested a cancellation |
 * | [State.RECORDED] | done or cancelled, from memory, for ever | the same | none is started, all are stopped |
 * | all others: unknown | none from memory, the record is read | that of the record | none started, a cancelled job's are stopped |
 *
 * | from | by | to | when |
 * | --- | --- | --- | --- |
 * | [State.OPEN], [State.PENDING] | [beginWrite] | [State.WRITING] | the final state may be written |
 * | [State.WRITING] | [recorded] | [State.RECORDED] | the write was applied |
 * | [State.WRITING] | [writeUnanswered] | [State.OUTCOME_UNKNOWN] | no answer, or a condition did not hold |
 * | [State.OUTCOME_UNKNOWN], [State.PENDING] | [beginRead] | [State.READING] | a read of the record is requested |
 * | [State.READING] | [readFailed] | [State.OUTCOME_UNKNOWN] | no answer, or no record |
 * | [State.READING] | [readStillActive] | [State.PENDING] | the record is still active |
 * | [State.READING] | [recorded] | [State.RECORDED] | the record has a final state |
 */
class TerminalRecord {
    /** What the leader knows of the durable record. */
    enum class State {
        /** No write was ever sent. */
        OPEN,

        /** A write was sent, and its answer is awaited. */
        WRITING,

        /** A write was not answered, or one of its conditions did not hold, and the record has not been read since. */
        OUTCOME_UNKNOWN,

        /** The record is being read. */
        READING,

        /** The record was read and was still active. The write may still be applied, so the outcome remains unknown. */
        PENDING,

        /** The final state is durable. */
        RECORDED,
    }

    /** As of the latest transition. */
    var state = State.OPEN
        private set

    /** Whether the final state, written or durable, is `cancelled`; null: no write yet. The first write determines all later ones. */
    var cancelled: Boolean? = null
        private set

    /** Whether this leader may report the job's status from memory, since nobody can have read a newer one from the store. */
    val answerableFromMemory get() = state == State.OPEN || state == State.RECORDED

    /** A write is sent. Returns whether its final state is `cancelled`: that of the first write, which takes it from [requested]. */
    fun beginWrite(requested: Boolean): Boolean {
        enter(State.WRITING, State.OPEN, State.PENDING)
        return cancelled ?: requested.also { cancelled = it }
    }

    /** The write was not answered, or one of its conditions did not hold. The record must be read to find out its state. */
    fun writeUnanswered() = enter(State.OUTCOME_UNKNOWN, State.WRITING)

    /** A read of the record is requested. */
    fun beginRead() = enter(State.READING, State.OUTCOME_UNKNOWN, State.PENDING)

    /** The record could not be read or does not exist. */
    fun readFailed() = enter(State.OUTCOME_UNKNOWN, State.READING)

    /** The record was read and is still active. */
    fun readStillActive() = enter(State.PENDING, State.READING)

    /** The final state is known to be durable, because it was written, read or recovered. It never changes again. */
    fun recorded(cancelled: Boolean) {
        check(state != State.RECORDED || this.cancelled == cancelled) { "a durable final state must not change" }
        state = State.RECORDED
        this.cancelled = cancelled
    }

    private fun enter(next: State, vararg from: State) {
        check(state in from) { "the transition from $state to $next is not allowed" }
        state = next
    }
}
