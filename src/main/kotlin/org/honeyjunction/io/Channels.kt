package org.honeyjunction.io

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

private class Resume<T>(private val continuation: CancellableContinuation<T>) : CompletionHandler<T, Unit> {
    override fun completed(result: T, attachment: Unit) = continuation.resume(result)

    override fun failed(e: Throwable, attachment: Unit) = continuation.resumeWithException(e)
}

/** Runs one operation of a channel; giving it up closes the channel, since its state is then unknown. */
private suspend fun <T> Closeable.await(start: (CompletionHandler<T, Unit>) -> Unit): T =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { quietly { close() } }
        start(Resume(continuation))
    }

inline fun quietly(block: () -> Unit) {
    try {
        block()
    } catch (_: IOException) {
        // Closing is all that was wanted.
    }
}

suspend fun AsynchronousServerSocketChannel.awaitAccept(): AsynchronousSocketChannel =
    await<AsynchronousSocketChannel> { accept(Unit, it) }

suspend fun AsynchronousSocketChannel.awaitConnect(address: InetSocketAddress) {
    await<Void?> { connect(address, Unit, it) }
}

suspend fun AsynchronousSocketChannel.awaitRead(buffer: ByteBuffer): Int = await<Int> { read(buffer, Unit, it) }

suspend fun AsynchronousSocketChannel.awaitWrite(bytes: ByteArray) {
    val buffer = ByteBuffer.wrap(bytes)
    while (buffer.hasRemaining()) await<Int> { write(buffer, Unit, it) }
}

suspend fun Loop.connect(address: String): AsynchronousSocketChannel {
    val channel = AsynchronousSocketChannel.open(group)
    var connected = false
    try {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        channel.awaitConnect(socketAddress(address))
        connected = true
        return channel
    } finally {
        if (!connected) quietly { channel.close() }
    }
}

/** An address of the settings: an IPv4 number and a port, never looked up. */
fun socketAddress(text: String): InetSocketAddress {
    val host = text.substringBeforeLast(':')
    val numbers = host.split('.').map { it.toIntOrNull()?.takeIf { n -> n in 0..255 } }
    val port = text.substringAfterLast(':', "").toIntOrNull()
    require(numbers.size == 4 && numbers.all { it != null } && port != null && port in 1..65535) {
        "'$text' is not an IPv4 address with a port"
    }
    val bytes = ByteArray(4) { numbers[it]!!.toByte() }
    return InetSocketAddress(InetAddress.getByAddress(bytes), port)
}
