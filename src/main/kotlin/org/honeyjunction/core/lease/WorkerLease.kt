package org.honeyjunction.core.lease

/**
 * The leader's view of one worker's session (the incarnation of its agent) and of the lease of that session (PROTOCOL, "Tokens"
 * and "Leases"). An expired lease proves that the worker's tasks are gone; everything that this proof depends on is kept here,
 * and [on] is the only function that changes it.
 *
 * The lease of a session runs from the sending of the last heartbeat of the session that was answered, or else from the start of
 * the session. The leader observes neither. It counts from a time that cannot be earlier: the later of its last response to a
 * heartbeat of *this* session and the first message of the session, be it a heartbeat or the answer to a command. A response to a
 * heartbeat of an earlier session is dropped by the worker and proves nothing.
 *
 * Times are monotonic milliseconds of this node.
 */
class WorkerLease(private val leaseMs: Long, private val termToken: Long, session: Long = 0) {
    /** Whether elapsed time can prove that the session's tasks are gone. */
    enum class State {
        /** The worker has not acknowledged this term's fencing token: earlier leaders may renew its lease, so time proves nothing. */
        UNFENCED,

        /** Only this leader renews the lease, whose duration counts from [countedFrom]. */
        ACTIVE,

        /** The lease of [session] has expired: all tasks that were started in this or an earlier session are gone. */
        EXPIRED,
    }

    /** What may change the [state]; [now] is the time of the event. */
    sealed interface Event {
        val now: Long

        /** The worker sent a message with its session, the number within the session, and the highest fencing token it has seen. */
        data class MessageReceived(val session: Long, val sequence: Long, val token: Long, override val now: Long) : Event

        /** The leader answers a heartbeat of [session]. */
        data class HeartbeatAnswered(val session: Long, override val now: Long) : Event

        /** No message was exchanged, but the lease may have expired. */
        data class TimePassed(override val now: Long) : Event
    }

    /** What an event proves about the tasks on the machine. */
    enum class Finding {
        /** The event proves nothing. */
        NONE,

        /** The message is older than one that was received before, and is ignored. */
        STALE,

        /** The message is the latest one of the known session. */
        NEWER,

        /** The message is the first one of a later session: no task of earlier sessions is left. */
        NEW_SESSION,

        /** The lease has just expired: the tasks of the session are gone. */
        EXPIRED,
    }

    /** As of the latest event. */
    var state = State.UNFENCED
        private set

    /** The latest known session. Commands carry its number. */
    var session = session
        private set

    /** The highest fencing token that the worker has acknowledged. */
    var ackedToken = -1L
        private set

    /** In [State.ACTIVE]: the lease expires at most its duration after this time. */
    var countedFrom = Long.MIN_VALUE / 2
        private set
    private var sequence = -1L

    /** Whether the worker has acknowledged this term's fencing token, and so rejects the commands of every earlier leader. */
    val fenced get() = ackedToken >= termToken

    /** Applies [event] and returns what it proves. */
    fun on(event: Event): Finding =
        when (event) {
            is Event.MessageReceived -> receive(event)
            is Event.HeartbeatAnswered -> {
                if (state == State.ACTIVE && event.session == session) countedFrom = maxOf(countedFrom, event.now)
                Finding.NONE
            }
            is Event.TimePassed -> checkExpiry(event.now)
        }

    private fun checkExpiry(now: Long): Finding {
        if (state != State.ACTIVE || now <= countedFrom + leaseMs * DRIFT + MARGIN_MS) return Finding.NONE
        state = State.EXPIRED
        return Finding.EXPIRED
    }

    private fun receive(message: Event.MessageReceived): Finding {
        val laterSession = message.session > session
        // A message of an expired session that arrives late proves nothing about the current state of the machine.
        val outdated = message.session < session || state == State.EXPIRED || message.sequence <= sequence
        if (!laterSession && outdated) return Finding.STALE
        session = message.session
        sequence = message.sequence
        ackedToken = maxOf(ackedToken, message.token)
        if (fenced && (laterSession || state == State.UNFENCED)) {
            state = State.ACTIVE
            countedFrom = message.now
        }
        return if (laterSession) Finding.NEW_SESSION else Finding.NEWER
    }

    companion object {
        /** The factor by which a worker's clock may run slower than this node's. */
        const val DRIFT = 1.002

        /** How long the leader waits, beyond the duration of a lease and clock drift, before the lease counts as expired. */
        const val MARGIN_MS = 300L
    }
}
