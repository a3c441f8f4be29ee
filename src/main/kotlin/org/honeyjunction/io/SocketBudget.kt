package org.honeyjunction.io

/**
 * Decides which connections a server keeps within its limit of [maxSockets] sockets. Thousands of workers, which may all reconnect
 * at once after a mass restart, have to leave sockets to users: idle worker connections are evicted first, and beyond half of
 * the limit workers connect anew for each heartbeat. A connection counts as a worker's once it has sent a worker's request.
 */
class SocketBudget<C : Any>(private val maxSockets: Int) {
    /** The state of an open connection. */
    enum class ConnectionState {
        /** Accepted, and without a request so far, so that its kind is unknown. */
        NEW,

        /** A request is being answered. */
        BUSY,
        IDLE_WORKER,
        IDLE_USER,
    }

    /** Whether a new connection may stay. */
    sealed interface Admission<out C> {
        data object Admitted : Admission<Nothing>

        /** Admitted; the idle worker connection [evicted] has to be closed for it. */
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

    /** A new connection was accepted. From three quarters of the limit on it replaces an idle worker connection. */
    fun admit(connection: C): Admission<C> {
        val evicted = if (open >= maxSockets - maxSockets / RESERVED_PART) idleWorkers.firstOrNull() else null
        if (evicted == null && open >= maxSockets) return Admission.Rejected
        evicted?.let(::closed)
        transition(connection, ConnectionState.NEW)
        peak = maxOf(peak, open)
        return if (evicted == null) Admission.Admitted else Admission.Evicting(evicted)
    }

    /** [connection] sent a request. */
    fun requestStarted(connection: C) = transition(connection, ConnectionState.BUSY)

    /** The request of [connection], a [worker]'s or a user's, was answered. Returns whether the connection may stay open. */
    fun requestFinished(connection: C, worker: Boolean): Boolean {
        if (connection !in states) return false
        transition(connection, if (worker) ConnectionState.IDLE_WORKER else ConnectionState.IDLE_USER)
        return !worker || open <= maxSockets / 2
    }

    /** [connection] was closed. */
    fun closed(connection: C) {
        states.remove(connection)
        idleWorkers -= connection
    }

    /** The only place that changes a standing. An evicted connection stays out, whatever its coroutine still reports. */
    private fun transition(connection: C, next: ConnectionState) {
        if (next != ConnectionState.NEW && connection !in states) return
        states[connection] = next
        if (next == ConnectionState.IDLE_WORKER) idleWorkers += connection else idleWorkers -= connection
    }

    private companion object {
        /** One part in so many of the limit is reserved from idle workers. */
        const val RESERVED_PART = 4
    }
}
