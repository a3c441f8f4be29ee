package org.honeyjunction.core.lease

/**
 * What the leader knows of one worker's session (its agent incarnation) and of the lease that belongs to it (PROTOCOL, "Tokens"
 * and "Leases"). All that makes the expiry of a lease evidence is kept here, and [on] is the only function that changes it.
 *
 * The lease of a session runs from the sending of the last heartbeat that was answered in it, or else from the start of the
 * session. The leader sees neither, and counts from what cannot be earlier: the later of its last response to a heartbeat of
 * *this* session and its first message of it, be it a heartbeat or the answer to a command. A response to a heartbeat of an
 * earlier session is dropped by the worker and proves nothing.
 *
 * Times are monotonic milliseconds of this node.
 */
class WorkerLease(private val leaseMs: Long, private val termToken: Long, session: Long = 0) {
    enum class State {
        /** The worker has not acknowledged this term's fencing token: others may renew its lease, so elapsed time is no evidence. */
        UNFENCED,

        /** Only this leader renews the lease, and its duration counts from [countedFrom]. */
        ACTIVE,

        /** The lease of [session] has expired, and all tasks started in it or before are gone. The next session is not known. */
        EXPIRED,
    }

    sealed interface Event {
        val now: Long

        /** A message of the worker: its session, its number within it, and the highest fencing token that the worker has seen. */
        data class MessageReceived(val session: Long, val sequence: Long, val token: Long, override val now: Long) : Event

        /** A heartbeat of that session is being answered. */
        data class HeartbeatAnswered(val session: Long, override val now: Long) : Event

        data class TimePassed(override val now: Long) : Event
    }

    /** What an event shows of the tasks on the machine. */
    enum class Finding {
        /** Nothing. */
        NONE,

        /** The message is older than what is known already. */
        STALE,

        /** The message is the newest of the known session. */
        NEWER,

        /** The first message of a later session: no task of the earlier ones is left. */
        NEW_SESSION,

        /** The lease has just expired: its tasks are gone. */
        EXPIRED,
    }

    var state = State.UNFENCED
        private set

    /** The latest session that is known; commands carry it. */
    var session = session
        private set

    /** The highest fencing token that the worker has acknowledged. */
    var ackedToken = -1L
        private set

    /** In [State.ACTIVE]: the lease expires no later than its duration after this. */
    var countedFrom = Long.MIN_VALUE / 2
        private set
    private var sequence = -1L

    /** Whether the worker has acknowledged this term's fencing token, which voids the commands of every earlier leader. */
    val fenced get() = ackedToken >= termToken

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
        // Messages of an expired session that arrive late prove nothing about the present state.
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
        /** By how much a worker's clock may be slower than this node's. */
        const val DRIFT = 1.002

        /** How long the expiry of a lease is waited for beyond its duration and drift. */
        const val MARGIN_MS = 300L
    }
}
