package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.IntNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.honeyjunction.app.CloudClient
import org.honeyjunction.app.Election
import org.honeyjunction.app.Node
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.core.capacity.Offer
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.io.ANY_PORT
import org.honeyjunction.io.Clock
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpServer
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.StateLimits
import org.honeyjunction.rules.RulesDocument

/**
 * Examples of whole HTTP exchanges, for [GoldenBytesTest]: the requests to the key-value store and the cloud in their order, with
 * method, path and body.
 */
internal object GoldenExchanges {
    private val limits = StateLimits(1_000.0, 1_000.0, 16, 1, 4_096)

    /**
     * Runs [client] against a server that serves [responses] (bodies, keyed by method and path; 404 for all others), and returns the
     * requests that the server received, one per line.
     */
    private fun recordRequests(responses: Map<String, ByteArray>, client: suspend (EventLoop, String) -> Unit): ByteArray =
        EventLoop().use { loop ->
            val requests = ArrayList<String>()
            val server =
                HttpServer(loop, 8, isWorkerRequest = { false }) { request ->
                    requests += "${request.method} ${request.target} ${String(request.body)}".trimEnd()
                    responses["${request.method} ${request.target}"]?.let { Response(200, it) } ?: Response(404)
                }
            val address = server.listen(ANY_PORT).address
            runBlocking { loop.scope.async { client(loop, address) }.await() }
            requests.joinToString("\n").toByteArray()
        }

    private fun recordStoreRequests(responses: Map<String, ByteArray>, client: suspend (KeyValueClient) -> Unit) =
        recordRequests(responses) { loop, address -> client(KeyValueClient(loop, address, limits, Clock)) }

    /** A node is elected leader of term 42: it writes the record of the term and the record of its holder. */
    private fun election(): ByteArray {
        val responses =
            mapOf(
                "GET /store/term" to CounterpartCodec.entry("term", Json.newObject().put("term", 41), 900, null),
                "POST /leases" to CounterpartCodec.lease(7_001),
                "POST /commit" to CounterpartCodec.revision(901),
            )
        return recordStoreRequests(responses) { check(Election("nöde-1", it, Clock, 3_500).observeOrAcquire(true)?.number == 42L) }
    }

    /** Checks that another node learns the leader and its term from the golden record of the election. */
    private fun checkElection(requests: ByteArray): ByteArray {
        val writes =
            CounterpartCodec
                .commit(
                    String(requests).lines().last().substringAfter("/commit ").toByteArray(),
                ).writes
                .associateBy { it.first }
        val leaderWrite = writes.getValue("lead")
        val responses = mapOf("GET /store/lead" to CounterpartCodec.entry("lead", leaderWrite.second!!, 901, leaderWrite.third))
        recordStoreRequests(responses) {
            val observer = Election("node-2", it, Clock, 3_500)
            check(observer.observeOrAcquire(true) == null && observer.leader == "nöde-1" && observer.term == 42L)
        }
        return requests
    }

    private fun stateClient(): ByteArray {
        val firstPage = CounterpartCodec.entryPage(listOf(Triple("j/j-1", IntNode(1) as JsonNode, 9L)), true, 10)
        val responses =
            mapOf(
                "GET /store/term" to CounterpartCodec.entry("term", IntNode(41), 900, null),
                "GET /store?Starts=j/&Most=500" to firstPage,
                "GET /store?Starts=j/&Since=j/j-1&Most=500" to CounterpartCodec.entryPage(emptyList(), false, 11),
                "GET /changes?Starts=j/&Since=10&BlockMs=1234" to CounterpartCodec.changes(emptyList(), 12),
                "POST /leases/7001/extend" to ByteArray(0),
                "POST /commit" to CounterpartCodec.revision(13),
            )
        return recordStoreRequests(responses) {
            it.get("term")
            it.existing(listOf("j/j-1", "f/j-1"))
            it.scan("j/")
            it.changes("j/", 10, 1_234)
            check(it.extendLease(7_001))
            it.endLease(7_002)
            it.commit(listOf(Condition("j/j-1", 9)), listOf(Write("j/j-1", Json.text("ö"))))
        }
    }

    private fun cloudClient(): ByteArray {
        val responses =
            mapOf(
                "GET /machine_types" to CounterpartCodec.machineTypes(emptyList(), emptyList()),
                "POST /rentals" to CloudCodec.names(listOf("vm-1")),
                "POST /rentals/release" to ByteArray(0),
                "GET /rentals?Most=500" to CounterpartCodec.instancePage(emptyList(), { true }, false),
                "GET /rentals?Since=vm-1&Most=500" to CounterpartCodec.instancePage(emptyList(), { true }, false),
            )
        return recordRequests(responses) { loop, address ->
            val cloud = CloudClient(loop, address, 1_000.0, Clock)
            cloud.machineTypes()
            cloud.scaleOut(Effect.ScaleOut("rent-7", Offer(1, 2, true), "g8", "zöne-a", 3)) { true }
            cloud.scaleIn(listOf("vm-1", "vm-2")) { true }
            cloud.listMachines(null)
            cloud.listMachines("vm-1")
        }
    }

    private fun rule(number: Int) = "rule \"rüle $number\" for class \"c$number\" { must machine.gpus >= $number }"

    private val document = RulesDocument((1..40).joinToString("\n", transform = ::rule), null)

    /** Stores a rules document as several parts, because values are limited to 1 KiB, and a head that names the parts. */
    private fun rules(): ByteArray {
        val noParts = CounterpartCodec.entryPage(emptyList(), false, 902)
        val responses = mapOf("POST /commit" to CounterpartCodec.revision(901), "GET /store?Starts=r/&Most=500" to noParts)
        return recordRequests(responses) { loop, address -> node(loop, address).rules!!.apply(document, null) }
    }

    /** Checks that a node reads the document back from the golden head and parts. */
    private fun checkRules(requests: ByteArray): ByteArray {
        val commits =
            String(requests)
                .lines()
                .filter { it.startsWith("POST /commit ") }
                .map { CounterpartCodec.commit(it.substringAfter("/commit ").toByteArray()) }
        val responses =
            commits.flatMap { it.writes }.associate { (key, json, _) ->
                "GET /store/$key" to
                    CounterpartCodec.entry(key, json!!, 901, null)
            }
        recordRequests(responses) { loop, address ->
            val store = node(loop, address).rules!!
            store.refresh()
            check(store.current.version == 1L && store.current.document.text == document.text)
        }
        return requests
    }

    /** A node that is never started; only its client of the key-value store is used. */
    private fun node(loop: EventLoop, state: String): Node {
        val params = Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes())
        (params.get("state") as ObjectNode).put("value_kb", 1.0).put("txn_ops", 8)
        val peers = listOf("127.0.0.1:1", "127.0.0.1:2")
        val users = listOf("127.0.0.1:3", "127.0.0.1:4")
        return Node(LocalSettings(params, null, 1).forNode(0, peers, users, state, "127.0.0.1:5"), Tuning(rules = true), loop)
    }

    val all: List<GoldenExample> =
        listOf(
            GoldenExample("stored/election.txt", ::checkElection, ::election),
            GoldenExample("stored/rules.txt", ::checkRules, ::rules),
            GoldenExample("state/client.txt", encode = ::stateClient),
            GoldenExample("cloud/client.txt", encode = ::cloudClient),
        )
}
