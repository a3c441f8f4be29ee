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
class VirtualNet(val time: VirtualTime, private val random: Random) {
    enum class Cut {
        /** Packets are held back and delivered in order afterwards, whoever still waits for them. */
        HOLD,

        /** Connections are reset and new ones refused. */
        REFUSE,

        /** What is sent is lost, and with it all that the same connection would have carried later. */
        LOSE,
    }

    private class Rule(val from: (String) -> Boolean, val to: (String) -> Boolean, val cut: Cut, val until: Long)

    private val rules = ArrayList<Rule>()
    private val listeners = HashMap<String, VirtualListener>()
    private val open = LinkedHashSet<VirtualConnection>()
    private var ports = FIRST_PORT

    /** The one way from those whom [from] means to those whom [to] means. */
    fun cut(from: (String) -> Boolean, to: (String) -> Boolean, cut: Cut, forMs: Long) {
        rules += Rule(from, to, cut, time.now + forMs)
        if (cut == Cut.REFUSE) open.filter { from(it.here) && to(it.there) || from(it.there) && to(it.here) }.forEach { it.reset() }
    }

    /** Both ways between [one] and [others]. */
    fun cutBetween(one: String, others: (String) -> Boolean, cut: Cut, forMs: Long) {
        cut({ it == one }, others, cut, forMs)
        cut(others, { it == one }, cut, forMs)
    }

    private fun rule(from: String, to: String): Rule? {
        rules.removeIf { it.until <= time.now }
        return rules.lastOrNull { it.from(from) && it.to(to) }
    }

    fun address(): String = "127.0.0.1:${ports++}"

    fun listen(name: String, address: String): Listener {
        val at = if (address.endsWith(":0")) address() else address
        if (listeners[at]?.isOpen == true) throw IOException("$at is taken")
        return VirtualListener(name, at).also { listeners[at] = it }
    }

    suspend fun connect(from: String, address: String): Connection {
        while (true) {
            delay(latency())
            val listener = listeners[address]?.takeIf { it.isOpen } ?: throw IOException("Connection refused")
            // The first packet and its answer must both get through; held or lost ones are sent again.
            val rule = rule(from, listener.name) ?: rule(listener.name, from)
            if (rule?.cut == Cut.REFUSE) throw IOException("Connection refused")
            if (rule != null) {
                delay(AGAIN_MS)
                continue
            }
            val here = VirtualConnection(from, listener.name)
            val there = VirtualConnection(listener.name, from)
            here.other = there
            there.other = here
            open += here
            open += there
            listener.offer(there)
            return here
        }
    }

    /** All connections and listeners of [name] are gone. */
    fun reset(name: String) {
        listeners.values.filter { it.name == name }.forEach { it.close() }
        open.filter { it.here == name }.forEach { it.close() }
    }

    private fun latency() = 1L + random.nextInt(3)

    inner class VirtualListener(val name: String, override val address: String) : Listener {
        private val offered = ArrayDeque<VirtualConnection>()
        private var waiting: CancellableContinuation<Connection>? = null
        override var isOpen = true
            private set

        fun offer(link: VirtualConnection) {
            val next = waiting
            waiting = null
            if (next == null || !next.isActive) offered += link else next.resume(link)
        }

        override suspend fun accept(): Connection = offered.removeFirstOrNull() ?: suspendCancellableCoroutine { waiting = it }

        override fun close() {
            isOpen = false
            offered.forEach { it.close() }
            offered.clear()
        }
    }

    inner class VirtualConnection(val here: String, val there: String) : Connection {
        lateinit var other: VirtualConnection
        private val arrived = ArrayDeque<ByteArray>()
        private var at = 0
        private var ended = false
        private var broken = false
        private var closed = false
        private var reader: CancellableContinuation<Int>? = null
        private var into: ByteBuffer? = null

        /** On its way to the other end, in order; it moves on when the way is open. */
        private val outgoing = ArrayDeque<ByteArray?>()
        private var lost = false
        private var moving = false

        override suspend fun read(buffer: ByteBuffer): Int {
            if (closed || broken) throw IOException("closed")
            take(buffer)?.let { return it }
            return suspendCancellableCoroutine { continuation ->
                reader = continuation
                into = buffer
                continuation.invokeOnCancellation { close() }
            }
        }

        private fun take(buffer: ByteBuffer): Int? {
            val bytes = arrived.firstOrNull() ?: return if (ended) -1 else null
            val count = minOf(buffer.remaining(), bytes.size - at)
            buffer.put(bytes, at, count)
            at += count
            if (at == bytes.size) {
                arrived.removeFirst()
                at = 0
            }
            return count
        }

        private fun wake() {
            val waiting = reader ?: return
            val buffer = into ?: return
            if (broken) {
                reader = null
                if (waiting.isActive) waiting.resumeWithException(IOException("Connection reset"))
                return
            }
            if (!waiting.isActive) return
            val count = take(buffer) ?: return
            reader = null
            waiting.resume(count)
        }

        override suspend fun write(bytes: ByteArray) {
            if (closed || broken) throw IOException("closed")
            if (bytes.isNotEmpty()) send(bytes)
        }

        private fun send(bytes: ByteArray?) {
            outgoing += bytes
            if (moving) return
            moving = true
            time.at(time.now + latency(), ::move)
        }

        private fun move() {
            val rule = rule(here, there)
            if (rule?.cut == Cut.HOLD) {
                time.at(minOf(rule.until, time.now + AGAIN_MS), ::move)
                return
            }
            if (rule != null) lost = true
            while (outgoing.isNotEmpty()) {
                val bytes = outgoing.removeFirst()
                if (lost) continue
                if (bytes == null) other.ended = true else other.arrived += bytes
            }
            moving = false
            if (!lost) other.wake()
        }

        override fun close() {
            if (closed) return
            closed = true
            open -= this
            send(null)
        }

        fun reset() {
            broken = true
            open -= this
            wake()
        }
    }

    private companion object {
        const val FIRST_PORT = 20_000
        const val AGAIN_MS = 200L
    }
}
