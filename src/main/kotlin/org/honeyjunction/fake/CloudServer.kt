package org.honeyjunction.fake

import org.honeyjunction.core.model.MachineType
import org.honeyjunction.io.ANY_PORT
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpServer
import org.honeyjunction.wire.CloudCodec
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response

/** The cloud over HTTP. */
class CloudServer(
    private val loop: EventLoop,
    private val cloud: FakeCloud,
    private val types: List<MachineType>,
    private val zones: List<String>,
    private val now: () -> Long,
    private val released: (List<String>) -> Unit,
) {
    /** The address that it listens on. */
    fun listen(): String = HttpServer(loop, MAX_CONNECTIONS, isWorkerRequest = { false }) { answer(it) }.listen(ANY_PORT).address

    private fun answer(r: Request): Response {
        if (!cloud.request(now())) return Response(429)
        if (cloud.down) return Response(503, "{\"error\":\"trouble\"}".toByteArray())
        return try {
            when (r.path) {
                "/machine_types" -> Response(200, CounterpartCodec.machineTypes(types, zones))
                "/rentals" -> if (r.method == "POST") rent(r) else list(r)
                "/rentals/release" -> {
                    val names = CloudCodec.readNames(r.body)
                    if (names.size > MAX_RELEASE) return Response(400)
                    released(cloud.release(names).map { it.name })
                    Response(200)
                }
                else -> Response(404)
            }
        } catch (e: MalformedException) {
            Response(400, "{\"error\":\"${e.message}\"}".toByteArray())
        }
    }

    private fun rent(r: Request): Response {
        val call = CounterpartCodec.scaleOutRequest(r.body)
        val names =
            cloud.rent(call.requestId, call.type, call.zone, call.spot, call.count, now())
                ?: return Response(503, "{\"error\":\"no capacity\"}".toByteArray())
        return Response(200, CloudCodec.names(names))
    }

    private fun list(r: Request): Response {
        val since = Regex("Since=([^&]+)").find(r.target)?.groupValues?.get(1).orEmpty()
        val all = cloud.list(now()).filter { it.name > since }.sortedBy { it.name }
        return Response(200, CounterpartCodec.instancePage(all.take(MAX_LIST), { cloud.isUp(it, now()) }, all.size > MAX_LIST))
    }

    private companion object {
        const val MAX_CONNECTIONS = 100
        const val MAX_RELEASE = 100
        const val MAX_LIST = 500
    }
}
