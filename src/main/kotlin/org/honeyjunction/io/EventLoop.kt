package org.honeyjunction.io

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ScheduledThreadPoolExecutor

/** Time in milliseconds. */
interface Clock {
    /** Monotonic time from an arbitrary origin. */
    fun steady(): Long

    /** Wall-clock time since 1970; it may jump. */
    fun wall(): Long

    companion object : Clock {
        override fun steady() = System.nanoTime() / 1_000_000

        override fun wall() = System.currentTimeMillis()
    }
}

/** One end of a stream connection; failures are [java.io.IOException]s. */
interface Connection {
    /** Reads at least one byte into [buffer]: their number, or -1 at the end of the stream. */
    suspend fun read(buffer: ByteBuffer): Int

    /** Writes all of [bytes]. */
    suspend fun write(bytes: ByteArray)

    fun close()
}

/** A listening socket. */
interface Listener {
    /** Address with the port that is bound, also where the system chose it. */
    val address: String
    val isOpen: Boolean

    suspend fun accept(): Connection

    fun close()
}

/**
 * The single thread that runs all of a process, so that nothing needs a lock, with its clock and its network. Simulations
 * implement it on virtual time.
 */
interface EventLoop : AutoCloseable {
    val scope: CoroutineScope
    val clock: Clock

    /** @throws java.io.IOException when no connection can be made */
    suspend fun connect(address: String): Connection

    /** Listens at [address]; [ANY_PORT] lets the system choose. */
    fun listen(address: String): Listener

    /** Blocks the thread for [ms] milliseconds, as if the process hung; used by fault injection. */
    fun blockFor(ms: Long)

    /** This loop under the host name [name], where the network has host names. */
    fun withHostName(name: String): EventLoop = this

    companion object {
        operator fun invoke(): EventLoop = ThreadEventLoop()
    }
}

/** The loop of a real process, on NIO.2: channels deliver their completions on its thread. */
class ThreadEventLoop : EventLoop {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "loop") }.apply { removeOnCancelPolicy = true }
    private val group: AsynchronousChannelGroup = AsynchronousChannelGroup.withThreadPool(executor)
    private val dispatcher = executor.asCoroutineDispatcher()
    override val scope = CoroutineScope(SupervisorJob() + dispatcher)
    override val clock: Clock get() = Clock

    override suspend fun connect(address: String): Connection = ChannelConnection.connect(group, address)

    override fun listen(address: String): Listener = ChannelListener(group, address)

    override fun blockFor(ms: Long) {
        executor.execute { Thread.sleep(ms) }
    }

    override fun close() {
        group.shutdownNow()
        executor.shutdownNow()
    }
}
