package org.honeyjunction.app

import kotlinx.coroutines.delay
import org.honeyjunction.wire.CloudCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.Write
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Keeps the cluster's machine types up to date. The leader asks the cloud periodically and stores the response in the state
 * service. The other nodes read the stored response at their start, and ask the cloud themselves only if there is none.
 */
internal class MachineTypeRefresh(private val node: Node, private val cloud: CloudClient) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val cluster get() = node.settings.cluster

    /** The latest cloud response that this node has stored. */
    private var storedBody = Response.NO_BODY

    /** Never returns. */
    suspend fun refreshPeriodically() {
        readStored()
        while (true) {
            try {
                // Only the leader polls the cloud, which limits its request rate; another node does so only while it knows no types.
                if (node.isLeader || cluster.types.isEmpty()) {
                    val body = cloud.machineTypes()
                    use(body)
                    if (node.isLeader && !body.contentEquals(storedBody)) {
                        node.state.commit(emptyList(), listOf(Write(Keys.MACHINE_TYPES, Json.read(body))))
                        storedBody = body
                    }
                }
            } catch (e: IOException) {
                log.debug("failed to refresh the machine types: {}", e.message)
            }
            delay(if (cluster.types.isEmpty()) RETRY_MS else REFRESH_MS)
        }
    }

    private suspend fun readStored() {
        try {
            node.state
                .get(Keys.MACHINE_TYPES)
                .value
                ?.let { use(Json.write(it)) }
        } catch (e: IOException) {
            log.debug("failed to read the stored machine types: {}", e.message)
        }
    }

    private fun use(body: ByteArray) {
        try {
            cluster.types.putAll(CloudCodec.machineTypes(body, cluster))
        } catch (e: MalformedException) {
            log.warn("malformed machine types: {}", e.message)
        }
    }

    private companion object {
        const val REFRESH_MS = 30_000L
        const val RETRY_MS = 1_000L
    }
}
