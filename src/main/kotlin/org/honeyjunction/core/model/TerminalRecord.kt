package org.honeyjunction.core.model

/**
 * How far the durable record of a job's final state is, as the leader knows it: the state machine of what may be told to
 * whom, and the only way from active to done or cancelled. The steps are driven by the leader's `JobLifecycle`.
 *
 * A write without an answer is neither done nor undone: it may have been carried out, and others may read it, or it may be
 * carried out later. Each write is a compare-and-swap on the leader's key `lead` and on the version of the active record. So
 * of all writes of a job one at most is ever carried out, and none once a later leader has won its term. All writes of a job
 * name the same final state, and what is durable in the end is taken over.
 *
 * | state | the leader tells | others tell | tasks |
 * | --- | --- | --- | --- |
 * | [State.OPEN] | active, from memory: no record can say more | active | started, unless the user has asked to cancel |
 * | [State.RECORDED] | done or cancelled, from memory, for ever | the same | none is started, all are stopped |
 * | all others: in doubt | nothing from memory, the record is read | what the record says | none started, a cancelled job's are stopped |
 *
 * | from | by | to | when |
 * | --- | --- | --- | --- |
 * | [State.OPEN], [State.PENDING] | [beginWrite] | [State.WRITING] | the end of the job may be confirmed |
 * | [State.WRITING] | [recorded] | [State.RECORDED] | the write was applied |
 * | [State.WRITING] | [writeUnanswered] | [State.OUTCOME_UNKNOWN] | no answer, or a condition did not hold |
 * | [State.OUTCOME_UNKNOWN], [State.PENDING] | [beginRead] | [State.READING] | the record is asked for |
 * | [State.READING] | [readFailed] | [State.OUTCOME_UNKNOWN] | no answer, or no record |
 * | [State.READING] | [readStillActive] | [State.PENDING] | the record is still active |
 * | [State.READING] | [recorded] | [State.RECORDED] | the record has a final state |
 */
class TerminalRecord {
    enum class State {
        /** No write was ever sent. */
        OPEN,

        /** A write is on its way. */
        WRITING,

        /** A write got no answer, and the record was not read since. */
        OUTCOME_UNKNOWN,

        /** The record is being read. */
        READING,

        /** The record was read and was still active. The write may be carried out yet, so the doubt remains. */
        PENDING,

        /** The final state is durable. */
        RECORDED,
    }

    var state = State.OPEN
        private set

    /** Whether the final state, written or durable, is `cancelled`; null: none yet. The first write decides for all later ones. */
    var cancelled: Boolean? = null
        private set

    /** Whether this leader may tell the job's state from memory: it is as new as anything that anybody can have read. */
    val answerableFromMemory get() = state == State.OPEN || state == State.RECORDED

    /** A write is sent. Returns whether it has to say `cancelled`: what the first write said, which is [wish] if this is it. */
    fun beginWrite(wish: Boolean): Boolean {
        enter(State.WRITING, State.OPEN, State.PENDING)
        return cancelled ?: wish.also { cancelled = it }
    }

    /** The write got no answer, or one of its conditions did not hold; reading the record shows which. */
    fun writeUnanswered() = enter(State.OUTCOME_UNKNOWN, State.WRITING)

    /** The record is asked for. */
    fun beginRead() = enter(State.READING, State.OUTCOME_UNKNOWN, State.PENDING)

    /** The record could not be read, or is not there. */
    fun readFailed() = enter(State.OUTCOME_UNKNOWN, State.READING)

    /** The record was read and is still active. */
    fun readStillActive() = enter(State.PENDING, State.READING)

    /** The final state is durable: written, read, or known from the beginning. It never changes again. */
    fun recorded(cancelled: Boolean) {
        check(state != State.RECORDED || this.cancelled == cancelled) { "a final state that changes" }
        state = State.RECORDED
        this.cancelled = cancelled
    }

    private fun enter(next: State, vararg from: State) {
        check(state in from) { "$state -> $next" }
        state = next
    }
}
