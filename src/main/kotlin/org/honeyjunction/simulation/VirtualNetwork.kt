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
 * Connections in virtual time between whoever has a name. A way from one name to another can be cut for a while, in either
 * of three forms.
 */
class VirtualNetwork(val time: VirtualTime, private val random: Random) {
    enum class PartitionMode {
        /** Packets are held back and delivered in order afterwards, whoever still waits for them. */
        DELAY,

        /** Connections are reset and new ones refused. */
        RESET,

        /** What is sent is lost, and with it all that the same connection would have carried later. */
        DROP,
    }

    private class PartitionRule(val from: (String) -> Boolean, val to: (String) -> Boolean, val mode: PartitionMode, val until: Long)

    private val rules = ArrayList<PartitionRule>()
    private val listeners = HashMap<String, VirtualListener>()
    private val open = LinkedHashSet<VirtualConnection>()
    private var nextPort = FIRST_PORT

    /** The one way from those whom [from] means to those whom [to] means. */
    fun partition(from: (String) -> Boolean, to: (String) -> Boolean, mode: PartitionMode, forMs: Long) {
        rules += PartitionRule(from, to, mode, time.now + forMs)
        if (mode == PartitionMode.RESET) {
            open.filter { from(it.localName) && to(it.remoteName) || from(it.remoteName) && to(it.localName) }.forEach { it.reset() }
        }
    }

    /** Both ways between [one] and [others]. */
    fun partitionBetween(one: String, others: (String) -> Boolean, mode: PartitionMode, forMs: Long) {
        partition({ it == one }, others, mode, forMs)
        partition(others, { it == one }, mode, forMs)
    }

    private fun ruleFor(from: String, to: String): PartitionRule? {
        rules.removeIf { it.until <= time.now }
        return rules.lastOrNull { it.from(from) && it.to(to) }
    }

    fun newAddress(): String = "127.0.0.1:${nextPort++}"

    fun listen(name: String, address: String): Listener {
        val at = if (address.endsWith(":0")) newAddress() else address
        if (listeners[at]?.isOpen == true) throw IOException("$at is taken")
        return VirtualListener(name, at).also { listeners[at] = it }
    }

    suspend fun connect(from: String, address: String): Connection {
        while (true) {
            delay(latency())
            val listener = listeners[address]?.takeIf { it.isOpen } ?: throw IOException("Connection refused")
            // The first packet and its answer must both get through; held or lost ones are sent again.
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

    /** All connections and listeners of [name] are gone. */
    fun closeAll(name: String) {
        listeners.values.filter { it.name == name }.forEach { it.close() }
        open.filter { it.localName == name }.forEach { it.close() }
    }

    private fun latency() = 1L + random.nextInt(3)

    inner class VirtualListener(val name: String, override val address: String) : Listener {
        private val pending = ArrayDeque<VirtualConnection>()
        private var waiting: CancellableContinuation<Connection>? = null
        override var isOpen = true
            private set

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

    inner class VirtualConnection(val localName: String, val remoteName: String) : Connection {
        lateinit var peer: VirtualConnection
        private val received = ArrayDeque<ByteArray>()
        private var readOffset = 0
        private var endOfStream = false
        private var wasReset = false
        private var closed = false
        private var reader: CancellableContinuation<Int>? = null
        private var readBuffer: ByteBuffer? = null

        /** On its way to the other end, in order; it moves on when the way is open. */
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
