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

/** Whole talks over HTTP, for [GoldenBytesTest]: what is asked of the state service and the cloud, in its order, and by which paths. */
internal object GoldenTalks {
    private val limits = StateLimits(1_000.0, 1_000.0, 16, 1, 4_096)

    /** Answers by [answers] (a method and a path to a body; 404 where there is none) and writes down what it was asked. */
    private fun talk(answers: Map<String, ByteArray>, ask: suspend (EventLoop, String) -> Unit): ByteArray =
        EventLoop().use { loop ->
            val asked = ArrayList<String>()
            val server =
                HttpServer(loop, 8, isWorkerRequest = { false }) { r ->
                    asked += "${r.method} ${r.target} ${String(r.body)}".trimEnd()
                    answers["${r.method} ${r.target}"]?.let { Response(200, it) } ?: Response(404)
                }
            val address = server.listen(ANY_PORT).address
            runBlocking { loop.scope.async { ask(loop, address) }.await() }
            asked.joinToString("\n").toByteArray()
        }

    private fun stateTalk(answers: Map<String, ByteArray>, ask: suspend (KeyValueClient) -> Unit) =
        talk(answers) { loop, address -> ask(KeyValueClient(loop, address, limits, Clock)) }

    /** Wins term 42, by the record of the term and of who holds it. */
    private fun election(): ByteArray {
        val answers =
            mapOf(
                "GET /store/term" to OtherSide.entry("term", Json.obj().put("term", 41), 900, null),
                "POST /leases" to OtherSide.lease(7_001),
                "POST /commit" to OtherSide.revision(901),
            )
        return stateTalk(answers) { check(Election("nöde-1", it, Clock, 3_500).observeOrAcquire(true)?.number == 42L) }
    }

    /** What the golden record of the term says to a node that looks. */
    private fun electionAgain(talk: ByteArray): ByteArray {
        val puts = OtherSide.commit(String(talk).lines().last().substringAfter("/commit ").toByteArray()).puts.associateBy { it.first }
        val lead = puts.getValue("lead")
        val answers = mapOf("GET /store/lead" to OtherSide.entry("lead", lead.second!!, 901, lead.third))
        stateTalk(answers) {
            val looker = Election("node-2", it, Clock, 3_500)
            check(looker.observeOrAcquire(true) == null && looker.leader == "nöde-1" && looker.term == 42L)
        }
        return talk
    }

    private fun stateClient(): ByteArray {
        val first = OtherSide.rows(listOf(Triple("j/j-1", IntNode(1) as JsonNode, 9L)), true, 10)
        val answers =
            mapOf(
                "GET /store/term" to OtherSide.entry("term", IntNode(41), 900, null),
                "GET /store?Starts=j/&Most=500" to first,
                "GET /store?Starts=j/&Since=j/j-1&Most=500" to OtherSide.rows(emptyList(), false, 11),
                "GET /changes?Starts=j/&Since=10&BlockMs=1234" to OtherSide.changes(emptyList(), 12),
                "POST /leases/7001/extend" to ByteArray(0),
                "POST /commit" to OtherSide.revision(13),
            )
        return stateTalk(answers) {
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
        val answers =
            mapOf(
                "GET /machine_types" to OtherSide.types(emptyList(), emptyList()),
                "POST /rentals" to CloudCodec.names(listOf("vm-1")),
                "POST /rentals/release" to ByteArray(0),
                "GET /rentals?Most=500" to OtherSide.machines(emptyList(), { true }, false),
                "GET /rentals?Since=vm-1&Most=500" to OtherSide.machines(emptyList(), { true }, false),
            )
        return talk(answers) { loop, address ->
            val cloud = CloudClient(loop, address, 1_000.0, Clock)
            cloud.machineTypes()
            cloud.scaleOut(Effect.ScaleOut("rent-7", Offer(1, 2, true), "g8", "zöne-a", 3)) { true }
            cloud.scaleIn(listOf("vm-1", "vm-2")) { true }
            cloud.listMachines(null)
            cloud.listMachines("vm-1")
        }
    }

    private fun rule(n: Int) = "rule \"rüle $n\" for class \"c$n\" { must machine.gpus >= $n }"

    private val document = RulesDocument((1..40).joinToString("\n", transform = ::rule), null)

    /** The parts of a document, and the head that names them; values of 1 KiB, so that there are several parts. */
    private fun rules(): ByteArray {
        val noParts = OtherSide.rows(emptyList(), false, 902)
        val answers = mapOf("POST /commit" to OtherSide.revision(901), "GET /store?Starts=r/&Most=500" to noParts)
        return talk(answers) { loop, address -> node(loop, address).rules!!.apply(document, null) }
    }

    /** What the golden head and parts say to a node that reads them. */
    private fun rulesAgain(talk: ByteArray): ByteArray {
        val commits =
            String(talk)
                .lines()
                .filter { it.startsWith("POST /commit ") }
                .map { OtherSide.commit(it.substringAfter("/commit ").toByteArray()) }
        val answers = commits.flatMap { it.puts }.associate { (key, v, _) -> "GET /store/$key" to OtherSide.entry(key, v!!, 901, null) }
        talk(answers) { loop, address ->
            val keeper = node(loop, address).rules!!
            keeper.refresh()
            check(keeper.current.version == 1L && keeper.current.document.text == document.text)
        }
        return talk
    }

    /** A node that is never started: only its way to the state service is used. */
    private fun node(loop: EventLoop, state: String): Node {
        val params = Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes())
        (params.get("state") as ObjectNode).put("value_kb", 1.0).put("txn_ops", 8)
        val peers = listOf("127.0.0.1:1", "127.0.0.1:2")
        val users = listOf("127.0.0.1:3", "127.0.0.1:4")
        return Node(LocalSettings(params, null, 1).forNode(0, peers, users, state, "127.0.0.1:5"), Tuning(rules = true), loop)
    }

    val all: List<Golden> =
        listOf(
            Golden("stored/election.txt", ::electionAgain, ::election),
            Golden("stored/rules.txt", ::rulesAgain, ::rules),
            Golden("state/client.txt", encode = ::stateClient),
            Golden("cloud/client.txt", encode = ::cloudClient),
        )
}
