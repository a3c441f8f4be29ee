package org.honeyjunction.io

import okio.Buffer
import org.honeyjunction.wire.PeerCodec
import org.honeyjunction.wire.PeerMessage
import java.nio.ByteBuffer

/** One end of a connection between controllers, which carries one request at a time. */
internal class PeerConnection(private val connection: Connection) {
    private val input = Buffer()
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)

    /**
     * The next message, or null when the peer closed the connection.
     *
     * @throws org.honeyjunction.wire.MalformedException when the peer sent no valid frame
     */
    suspend fun read(): PeerMessage? {
        while (true) {
            PeerCodec.decode(input)?.let { return it }
            buffer.clear()
            if (connection.read(buffer) < 0) return null
            buffer.flip()
            input.write(buffer)
        }
    }

    suspend fun write(message: PeerMessage) = connection.write(PeerCodec.encode(message))

    fun close() = connection.close()

    private companion object {
        const val BUFFER_BYTES = 8192
    }
}
