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
    /** Reads at least one byte into [buffer]; returns the number of bytes, or -1 at the end of the stream. */
    suspend fun read(buffer: ByteBuffer): Int

    /** Writes all of [bytes]. */
    suspend fun write(bytes: ByteArray)

    /** Closes this end; the peer then reads the end of the stream. */
    fun close()
}

/** A listening socket. */
interface Listener {
    /** Bound address, with the actual port even if the operating system chose it. */
    val address: String
    val isOpen: Boolean

    /** Waits for the next incoming connection; the caller owns it. */
    suspend fun accept(): Connection

    /** Stops listening; accepted connections stay open. */
    fun close()
}

/**
 * The single thread on which all code of a process runs, so that no locks are needed, with the clock and the network of the
 * process. Simulations implement this interface on virtual time.
 */
interface EventLoop : AutoCloseable {
    /** Scope whose coroutines run on this event loop. */
    val scope: CoroutineScope
    val clock: Clock

    /**
     * Connects to [address].
     *
     * @throws java.io.IOException when no connection can be made
     */
    suspend fun connect(address: String): Connection

    /** Listens at [address]; with [ANY_PORT] the operating system chooses the port. */
    fun listen(address: String): Listener

    /** Blocks the thread for [ms] milliseconds, as if the process hung; used by fault injection. */
    fun blockFor(ms: Long)

    /** Returns this event loop under the host name [name] if the network has host names, else this event loop itself. */
    fun withHostName(name: String): EventLoop = this

    companion object {
        /** Creates the event loop of a real process. */
        operator fun invoke(): EventLoop = ThreadEventLoop()
    }
}

/** Event loop of a real process, based on NIO.2: channels deliver their completions on the thread of the event loop. */
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
