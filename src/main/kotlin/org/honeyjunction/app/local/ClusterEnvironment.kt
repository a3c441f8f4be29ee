package org.honeyjunction.app.local

import org.honeyjunction.fake.LoopbackCluster
import org.honeyjunction.io.EventLoop
import org.honeyjunction.simulation.VirtualClock
import org.honeyjunction.simulation.VirtualEventLoop
import org.honeyjunction.simulation.VirtualNetwork
import org.honeyjunction.simulation.VirtualTime
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SocketChannel
import java.util.Random

/** Where a whole cluster is played, and how its parts reach each other. */
interface ClusterEnvironment : AutoCloseable {
    /** A process of its own, known by [name]. */
    fun loop(name: String): EventLoop

    /** Addresses on loopback that nobody else gets. */
    fun addresses(count: Int): List<String>

    /** Cuts [name] from those whom [from] means; false where that can't be done. */
    fun cut(name: String, from: (String) -> Boolean, forMs: Long): Boolean
}

/** Threads and sockets, in real time. */
class LoopbackEnvironment : ClusterEnvironment {
    private val reserved = ArrayList<SocketChannel>()

    override fun loop(name: String): EventLoop = EventLoop()

    override fun addresses(count: Int): List<String> =
        List(count) {
            reserve()
        }.onEach { reserved += it }.map { "127.0.0.1:${(it.localAddress as InetSocketAddress).port}" }

    override fun cut(name: String, from: (String) -> Boolean, forMs: Long) = false

    override fun close() = reserved.forEach { it.close() }

    private companion object {
        /**
         * A port that the system chooses, and gives to nobody else while this socket is bound to it; it does not listen, so
         * a controller can, again and again.
         */
        fun reserve(): SocketChannel =
            SocketChannel.open().setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(InetSocketAddress("127.0.0.1", 0))
    }
}

/** Virtual time: nothing happens but what [time] is told to do, and one seed plays one way. */
class VirtualEnvironment(seed: Long) : ClusterEnvironment {
    private val random = Random(seed)
    val time = VirtualTime()
    private val net = VirtualNetwork(time, random)

    /** What processes did that nobody expected. */
    val failures = ArrayList<Throwable>()

    /** Those that act for the protocol's other sides keep the true time; a controller's clocks are its own. */
    override fun loop(name: String): EventLoop {
        val clock =
            if (name == LoopbackCluster.WORLD) {
                VirtualClock(time)
            } else {
                VirtualClock(
                    time,
                    (random.nextDouble() - 0.5) * 2 * DRIFT,
                    random.nextInt(2 * SKEW_MS).toLong() - SKEW_MS,
                )
            }
        return VirtualEventLoop(name, net, clock) { failures += it }
    }

    override fun addresses(count: Int): List<String> = List(count) { net.newAddress() }

    override fun cut(name: String, from: (String) -> Boolean, forMs: Long): Boolean {
        net.partitionBetween(
            name,
            from,
            VirtualNetwork.PartitionMode.entries[random.nextInt(VirtualNetwork.PartitionMode.entries.size)],
            forMs,
        )
        return true
    }

    override fun close() = Unit

    private companion object {
        const val DRIFT = 0.0005
        const val SKEW_MS = 100
    }
}
