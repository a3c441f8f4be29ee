package org.honeyjunction.simulation

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.delay
import kotlinx.coroutines.suspendCancellableCoroutine
import org.honeyjunction.io.Connection
import org.honeyjunction.io.Listener
import java.io.IOException
import java.nio.ByteBuffer
import java.util.Random
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * A network in virtual time between hosts that are identified by name. Each direction between two hosts can be partitioned for
 * some time, in one of three ways.
 */
class VirtualNetwork(val time: VirtualTime, private val random: Random) {
    /** What happens to messages and connections across a partition. */
    enum class PartitionMode {
        /** Packets are held back and delivered in order afterwards, even if the receiver no longer waits for them. */
        DELAY,

        /** Connections are reset and new ones refused. */
        RESET,

        /** Packets are lost, together with everything that the same connection would have carried later. */
        DROP,
    }

    private class PartitionRule(val from: (String) -> Boolean, val to: (String) -> Boolean, val mode: PartitionMode, val until: Long)

    private val rules = ArrayList<PartitionRule>()
    private val listeners = HashMap<String, VirtualListener>()
    private val open = LinkedHashSet<VirtualConnection>()
    private var nextPort = FIRST_PORT

    /** Partitions, for [forMs], the direction from the hosts that match [from] to the hosts that match [to]. */
    fun partition(from: (String) -> Boolean, to: (String) -> Boolean, mode: PartitionMode, forMs: Long) {
        rules += PartitionRule(from, to, mode, time.now + forMs)
        if (mode == PartitionMode.RESET) {
            open.filter { from(it.localName) && to(it.remoteName) || from(it.remoteName) && to(it.localName) }.forEach { it.reset() }
        }
    }

    /** Partitions both directions between [one] and the hosts that match [others]. */
    fun partitionBetween(one: String, others: (String) -> Boolean, mode: PartitionMode, forMs: Long) {
        partition({ it == one }, others, mode, forMs)
        partition(others, { it == one }, mode, forMs)
    }

    private fun ruleFor(from: String, to: String): PartitionRule? {
        rules.removeIf { it.until <= time.now }
        return rules.lastOrNull { it.from(from) && it.to(to) }
    }

    /** An unused loopback address. */
    fun newAddress(): String = "127.0.0.1:${nextPort++}"

    /** Listens for connections to host [name] at [address]; port 0 chooses an unused one. */
    fun listen(name: String, address: String): Listener {
        val at = if (address.endsWith(":0")) newAddress() else address
        if (listeners[at]?.isOpen == true) throw IOException("address $at is already in use")
        return VirtualListener(name, at).also { listeners[at] = it }
    }

    /** Connects from host [from] to the listener at [address]; waits while a partition delays or drops packets. */
    suspend fun connect(from: String, address: String): Connection {
        while (true) {
            delay(latency())
            val listener = listeners[address]?.takeIf { it.isOpen } ?: throw IOException("Connection refused")
            // The first packet and its response must both be delivered; delayed or lost ones are sent again.
            val rule = ruleFor(from, listener.name) ?: ruleFor(listener.name, from)
            if (rule?.mode == PartitionMode.RESET) throw IOException("Connection refused")
            if (rule != null) {
                delay(RETRY_MS)
                continue
            }
            val local = VirtualConnection(from, listener.name)
            val remote = VirtualConnection(listener.name, from)
            local.peer = remote
            remote.peer = local
            open += local
            open += remote
            listener.offer(remote)
            return local
        }
    }

    /** Closes all connections and listeners of host [name]. */
    fun closeAll(name: String) {
        listeners.values.filter { it.name == name }.forEach { it.close() }
        open.filter { it.localName == name }.forEach { it.close() }
    }

    private fun latency() = 1L + random.nextInt(3)

    /** A listening socket of host [name]. */
    inner class VirtualListener(val name: String, override val address: String) : Listener {
        private val pending = ArrayDeque<VirtualConnection>()
        private var waiting: CancellableContinuation<Connection>? = null
        override var isOpen = true
            private set

        /** Hands [connection] to a waiting [accept], or queues it. */
        fun offer(connection: VirtualConnection) {
            val next = waiting
            waiting = null
            if (next == null || !next.isActive) pending += connection else next.resume(connection)
        }

        override suspend fun accept(): Connection = pending.removeFirstOrNull() ?: suspendCancellableCoroutine { waiting = it }

        override fun close() {
            isOpen = false
            pending.forEach { it.close() }
            pending.clear()
        }
    }

    /** The end at host [localName] of a connection to host [remoteName]. */
    inner class VirtualConnection(val localName: String, val remoteName: String) : Connection {
        lateinit var peer: VirtualConnection
        private val received = ArrayDeque<ByteArray>()
        private var readOffset = 0
        private var endOfStream = false
        private var wasReset = false
        private var closed = false
        private var reader: CancellableContinuation<Int>? = null
        private var readBuffer: ByteBuffer? = null

        /** Data on the way to the peer, in order; null is the end of the stream. Delivery waits while a partition delays packets. */
        private val outgoing = ArrayDeque<ByteArray?>()
        private var dropping = false
        private var deliveryScheduled = false

        override suspend fun read(buffer: ByteBuffer): Int {
            if (closed || wasReset) throw IOException("closed")
            readReceived(buffer)?.let { return it }
            return suspendCancellableCoroutine { continuation ->
                reader = continuation
                readBuffer = buffer
                continuation.invokeOnCancellation { close() }
            }
        }

        private fun readReceived(buffer: ByteBuffer): Int? {
            val bytes = received.firstOrNull() ?: return if (endOfStream) -1 else null
            val count = minOf(buffer.remaining(), bytes.size - readOffset)
            buffer.put(bytes, readOffset, count)
            readOffset += count
            if (readOffset == bytes.size) {
                received.removeFirst()
                readOffset = 0
            }
            return count
        }

        private fun resumeReader() {
            val waiting = reader ?: return
            val buffer = readBuffer ?: return
            if (wasReset) {
                reader = null
                if (waiting.isActive) waiting.resumeWithException(IOException("Connection reset"))
                return
            }
            if (!waiting.isActive) return
            val count = readReceived(buffer) ?: return
            reader = null
            waiting.resume(count)
        }

        override suspend fun write(bytes: ByteArray) {
            if (closed || wasReset) throw IOException("closed")
            if (bytes.isNotEmpty()) send(bytes)
        }

        private fun send(bytes: ByteArray?) {
            outgoing += bytes
            if (deliveryScheduled) return
            deliveryScheduled = true
            time.schedule(time.now + latency(), ::deliver)
        }

        private fun deliver() {
            val rule = ruleFor(localName, remoteName)
            if (rule?.mode == PartitionMode.DELAY) {
                time.schedule(minOf(rule.until, time.now + RETRY_MS), ::deliver)
                return
            }
            if (rule != null) dropping = true
            while (outgoing.isNotEmpty()) {
                val bytes = outgoing.removeFirst()
                if (dropping) continue
                if (bytes == null) peer.endOfStream = true else peer.received += bytes
            }
            deliveryScheduled = false
            if (!dropping) peer.resumeReader()
        }

        override fun close() {
            if (closed) return
            closed = true
            open -= this
            send(null)
        }

        /** Breaks this end, as when the network resets the connection. */
        fun reset() {
            wasReset = true
            open -= this
            resumeReader()
        }
    }

    private companion object {
        const val FIRST_PORT = 20_000
        const val RETRY_MS = 200L
    }
}
