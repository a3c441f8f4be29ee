package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.wire.CloudCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.Write
import org.slf4j.LoggerFactory
import java.io.IOException

/** Keeps the cluster's machine types up to date: the leader asks the cloud and stores the answer, the other nodes read what is stored. */
internal class MachineTypeRefresh(private val node: Node, private val cloud: CloudClient) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val cluster get() = node.settings.cluster

    /** The answer of the cloud that this node stored last. */
    private var storedBody = Response.NO_BODY

    /** Runs for as long as the node does. */
    suspend fun refreshPeriodically() {
        readStored()
        while (true) {
            try {
                // One node asks for all; the others read what it stored, unless there is nothing yet.
                if (node.isLeader || cluster.types.isEmpty()) {
                    val body = cloud.machineTypes()
                    use(body)
                    if (node.isLeader && !body.contentEquals(storedBody)) {
                        node.state.commit(emptyList(), listOf(Write(Keys.TYPES, Json.read(body))))
                        storedBody = body
                    }
                }
            } catch (e: IOException) {
                log.debug("machine types: {}", e.message)
            }
            delay(if (cluster.types.isEmpty()) RETRY_MS else REFRESH_MS)
        }
    }

    private suspend fun readStored() {
        try {
            node.state
                .get(Keys.TYPES)
                .value
                ?.let { use(Json.write(it)) }
        } catch (e: IOException) {
            log.debug("stored machine types: {}", e.message)
        }
    }

    private fun use(body: ByteArray) {
        try {
            cluster.types.putAll(CloudCodec.machineTypes(body, cluster))
        } catch (e: MalformedException) {
            log.warn("the machine types can't be read: {}", e.message)
        }
    }

    private companion object {
        const val REFRESH_MS = 30_000L
        const val RETRY_MS = 1_000L
    }
}
