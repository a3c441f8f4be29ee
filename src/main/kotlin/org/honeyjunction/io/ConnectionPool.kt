package org.honeyjunction.io

/**
 * Pool of idle connections: at most [maxIdle] in all and [maxIdlePerAddress] to each address. Beyond [maxIdle] the least recently
 * used connection is closed.
 */
class ConnectionPool(private val loop: EventLoop, private val maxIdle: Int, private val maxIdlePerAddress: Int = maxIdle) {
    private class IdleConnection(val address: String, val connection: Connection)

    private val idle = LinkedHashSet<IdleConnection>()
    private val byAddress = HashMap<String, ArrayDeque<IdleConnection>>()

    /** Returns the most recently used idle connection to [address], or else a new one; the caller owns it until [release]. */
    suspend fun acquire(address: String): Connection {
        val pooled = byAddress[address]?.lastOrNull() ?: return loop.connect(address)
        remove(pooled)
        return pooled.connection
    }

    /**
     * Returns [connection], which must have no request in flight, to the pool; closes it if the pool already holds
     * [maxIdlePerAddress] connections to [address].
     */
    fun release(address: String, connection: Connection) {
        val idleAtAddress = byAddress.getOrPut(address, ::ArrayDeque)
        if (idleAtAddress.size >= maxIdlePerAddress) return connection.close()
        val entry = IdleConnection(address, connection)
        idleAtAddress.addLast(entry)
        idle += entry
        if (idle.size > maxIdle) close(idle.first())
    }

    /** Closes all idle connections. */
    fun closeAll() = idle.toList().forEach(::close)

    private fun close(entry: IdleConnection) {
        remove(entry)
        entry.connection.close()
    }

    private fun remove(entry: IdleConnection) {
        idle -= entry
        val idleAtAddress = byAddress.getValue(entry.address)
        idleAtAddress -= entry
        if (idleAtAddress.isEmpty()) byAddress -= entry.address
    }
}
