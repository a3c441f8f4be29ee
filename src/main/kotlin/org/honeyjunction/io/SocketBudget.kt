package org.honeyjunction.io

/**
 * Decides which connections a server keeps within its limit of [maxSockets]. Thousands of workers may all reconnect at once after
 * a mass restart, and must leave sockets for users: idle worker connections are evicted first, and while more than half of the
 * sockets are open, a worker's connection is closed after each heartbeat. A connection counts as a worker's once it has sent a
 * worker's request.
 */
class SocketBudget<C : Any>(private val maxSockets: Int) {
    /** The state of an open connection. */
    enum class ConnectionState {
        /** Accepted, but without a request so far, so that it is unknown whether a worker or a user opened it. */
        NEW,

        /** A request is being answered. */
        BUSY,
        IDLE_WORKER,
        IDLE_USER,
    }

    /** Whether a new connection may stay open. */
    sealed interface Admission<out C> {
        data object Admitted : Admission<Nothing>

        /** Admitted; the idle worker connection [evicted] must be closed to make room. */
        data class Evicting<C>(val evicted: C) : Admission<C>

        data object Rejected : Admission<Nothing>
    }

    private val states = HashMap<C, ConnectionState>()

    /** Idle connections of workers, the least recently used first. */
    private val idleWorkers = LinkedHashSet<C>()

    /** Connections that are open. */
    val open get() = states.size

    /** The most connections that were open at once since the start. */
    var peak = 0
        private set

    /** The state of [connection]; null where it is not open. */
    fun stateOf(connection: C): ConnectionState? = states[connection]

    /** Called when [connection] was accepted. From three quarters of the limit on, it replaces an idle worker connection, if any. */
    fun admit(connection: C): Admission<C> {
        val evicted = if (open >= maxSockets - maxSockets / RESERVED_PART) idleWorkers.firstOrNull() else null
        if (evicted == null && open >= maxSockets) return Admission.Rejected
        evicted?.let(::closed)
        transition(connection, ConnectionState.NEW)
        peak = maxOf(peak, open)
        return if (evicted == null) Admission.Admitted else Admission.Evicting(evicted)
    }

    /** Called when [connection] sent a request. */
    fun requestStarted(connection: C) = transition(connection, ConnectionState.BUSY)

    /**
     * Called when the request of [connection], which came from a [worker] or else from a user, was answered. Returns whether the
     * connection may stay open.
     */
    fun requestFinished(connection: C, worker: Boolean): Boolean {
        if (connection !in states) return false
        transition(connection, if (worker) ConnectionState.IDLE_WORKER else ConnectionState.IDLE_USER)
        return !worker || open <= maxSockets / 2
    }

    /** Called when [connection] was closed. */
    fun closed(connection: C) {
        states.remove(connection)
        idleWorkers -= connection
    }

    /** The only function that changes a state. An evicted connection stays removed, even if its coroutine reports events later. */
    private fun transition(connection: C, next: ConnectionState) {
        if (next != ConnectionState.NEW && connection !in states) return
        states[connection] = next
        if (next == ConnectionState.IDLE_WORKER) idleWorkers += connection else idleWorkers -= connection
    }

    private companion object {
        /** Idle worker connections are evicted once at most one in this many sockets is free. */
        const val RESERVED_PART = 4
    }
}
