package org.honeyjunction.io

/**
 * Pool of idle connections: at most [maxIdle] in all and [maxIdlePerAddress] to each address; beyond that the least recently used one is
 * closed.
 */
class ConnectionPool(private val loop: EventLoop, private val maxIdle: Int, private val maxIdlePerAddress: Int = maxIdle) {
    private class IdleConnection(val address: String, val connection: Connection)

    private val idle = LinkedHashSet<IdleConnection>()
    private val byAddress = HashMap<String, ArrayDeque<IdleConnection>>()

    /** An idle connection to [address], the latest used one, or else a new one. The caller owns it. */
    suspend fun acquire(address: String): Connection {
        val pooled = byAddress[address]?.lastOrNull() ?: return loop.connect(address)
        remove(pooled)
        return pooled.connection
    }

    /** Puts a connection that nothing is in flight on into the pool, or closes it where the pool has enough to [address]. */
    fun release(address: String, connection: Connection) {
        val idleAtAddress = byAddress.getOrPut(address, ::ArrayDeque)
        if (idleAtAddress.size >= maxIdlePerAddress) return connection.close()
        val entry = IdleConnection(address, connection)
        idleAtAddress.addLast(entry)
        idle += entry
        if (idle.size > maxIdle) close(idle.first())
    }

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
