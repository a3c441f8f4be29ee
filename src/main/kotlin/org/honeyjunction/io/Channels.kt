package org.honeyjunction.io

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Resumes [continuation] with the outcome of a channel operation. */
private class ResumingCompletionHandler<T>(private val continuation: CancellableContinuation<T>) : CompletionHandler<T, Unit> {
    override fun completed(result: T, attachment: Unit) = continuation.resume(result)

    override fun failed(error: Throwable, attachment: Unit) = continuation.resumeWithException(error)
}

/** Runs one asynchronous operation of a channel. Cancellation closes the channel, because its state is then unknown. */
private suspend fun <T> Closeable.await(start: (CompletionHandler<T, Unit>) -> Unit): T =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { ignoringIOException { close() } }
        start(ResumingCompletionHandler(continuation))
    }

/** Runs [block], which closes a socket or sets one of its options, and ignores an [IOException] from it. */
inline fun ignoringIOException(block: () -> Unit) {
    try {
        block()
    } catch (_: IOException) {
        // The socket is no longer needed, or works without the option.
    }
}

/** A connection on an NIO.2 channel. */
class ChannelConnection(private val channel: AsynchronousSocketChannel) : Connection {
    override suspend fun read(buffer: ByteBuffer): Int = channel.await<Int> { channel.read(buffer, Unit, it) }

    override suspend fun write(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) channel.await<Int> { channel.write(buffer, Unit, it) }
    }

    override fun close() = ignoringIOException { channel.close() }

    companion object {
        /**
         * Connects to [address].
         *
         * @throws IOException when no connection can be made; the channel is then closed
         */
        suspend fun connect(group: AsynchronousChannelGroup, address: String): Connection {
            val channel = AsynchronousSocketChannel.open(group)
            var connected = false
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                channel.await<Void?> { channel.connect(socketAddress(address), Unit, it) }
                connected = true
                return ChannelConnection(channel)
            } finally {
                if (!connected) ignoringIOException { channel.close() }
            }
        }
    }
}

/** A listening NIO.2 channel. */
class ChannelListener(group: AsynchronousChannelGroup, address: String) : Listener {
    private val server = AsynchronousServerSocketChannel.open(group)

    init {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(listenAddress(address), BACKLOG)
    }

    override val address: String = (server.localAddress as InetSocketAddress).let { "${it.address.hostAddress}:${it.port}" }
    override val isOpen: Boolean get() = server.isOpen

    override suspend fun accept(): Connection {
        val channel = server.await<AsynchronousSocketChannel> { server.accept(Unit, it) }
        ignoringIOException { channel.setOption(StandardSocketOptions.TCP_NODELAY, true) }
        return ChannelConnection(channel)
    }

    override fun close() = ignoringIOException { server.close() }

    private companion object {
        /** Connections that the operating system queues until they are accepted. */
        const val BACKLOG = 512
    }
}

private fun listenAddress(text: String) = if (text == ANY_PORT) InetSocketAddress(ANY_PORT.substringBefore(':'), 0) else socketAddress(text)

/** Address to listen at on the loopback interface, with a port that the operating system chooses. */
const val ANY_PORT = "127.0.0.1:0"

/**
 * Parses an address from the settings: a numeric IPv4 address and a port, never resolved by DNS.
 *
 * @throws IllegalArgumentException for any other text
 */
fun socketAddress(text: String): InetSocketAddress {
    val host = text.substringBeforeLast(':')
    val octets = host.split('.').map { text -> text.toIntOrNull()?.takeIf { it in 0..255 } }
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val valid = octets.size == 4 && octets.all { it != null } && port != null && port in 1..65535
    require(valid) { "'$text' is not an IPv4 address with a port" }
    val bytes = ByteArray(4) { octets[it]!!.toByte() }
    return InetSocketAddress(InetAddress.getByAddress(bytes), port!!)
}
