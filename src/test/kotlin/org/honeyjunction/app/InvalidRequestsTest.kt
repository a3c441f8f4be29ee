package org.honeyjunction.app

import kotlinx.coroutines.launch
import org.honeyjunction.app.local.LocalCluster
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.VirtualEnvironment
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.fake.FakeKeyValueStore
import org.honeyjunction.fake.Fault
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException

/** Submissions that lack something or can never run, at every kind of node; and the same under an id that was accepted. */
class InvalidRequestsTest {
    /** A request, and what a node answers that knows enough. */
    private class Odd(val what: String, val status: Int, val body: (String) -> String)

    private val good =
        linkedMapOf(
            "Comb" to "\"train\"",
            "Colony" to "\"desk\"",
            "Cast" to "\"batch\"",
            "Precedence" to "\"normal\"",
            "Cells" to "2",
            "Vcpus" to "1.0",
            "Gpus" to "1.0",
            "MemoryGb" to "2.0",
            "HiveKinds" to "null",
            "Meadow" to "null",
            "SamePlace" to "false",
            "Scatter" to "false",
            "BorrowedHives" to "true",
            "Brood" to "\"i0\"",
            "PullGb" to "0.5",
            "ForageS" to "600.0",
            "CapS" to "0.0",
            "SealS" to "0.0",
            "BloomEndS" to "null",
        )
    private val mayBeNull = setOf("HiveKinds", "Meadow", "BloomEndS")
    private val texts = setOf("Comb", "Colony", "Cast", "Precedence", "Brood", "Meadow")
    private val flags = setOf("SamePlace", "Scatter", "BorrowedHives")

    private fun body(id: String, fields: Map<String, String>) =
        (mapOf("Ref" to "\"$id\"") + fields).entries.joinToString(",", "{", "}") {
            "\"${it.key}\":${it.value}"
        }

    private fun odd(what: String, status: Int, vararg fields: Pair<String, String>) = Odd(what, status) { body(it, good + fields) }

    private val odds: List<Odd> =
        buildList {
            for (field in good.keys) {
                if (field !in mayBeNull) {
                    add(Odd("$field is missing", 400) { body(it, good - field) })
                    add(odd("$field is null", 400, field to "null"))
                }
                add(
                    odd(
                        "$field is of another type",
                        400,
                        field to
                            if (field in texts) {
                                "7"
                            } else if (field in flags) {
                                "\"true\""
                            } else {
                                "{}"
                            },
                    ),
                )
                if (field in texts) {
                    add(odd("$field is empty", 400, field to "\"\""))
                } else if (field !in flags &&
                    field != "HiveKinds"
                ) {
                    for (bad in listOf("-1", "\"1\"", "1e300", "[1]")) add(odd("$field is $bad", 400, field to bad))
                }
            }
            for (bad in listOf("0", "1.5", "100001", "99999999999999999999")) add(odd("Cells is $bad", 400, "Cells" to bad))
            add(odd("Cast is unknown", 400, "Cast" to "\"swarm\""))
            add(odd("Precedence is unknown", 400, "Precedence" to "\"urgent\""))
            add(odd("HiveKinds holds a number", 400, "HiveKinds" to "[1]"))
            add(odd("takes nothing", 400, "Vcpus" to "0", "Gpus" to "0", "MemoryGb" to "0"))
            add(Odd("ends in the middle", 400) { body(it, good).dropLast(9) })
            add(Odd("goes on after its end", 400) { body(it, good) + "{}" })
            add(odd("unknown team", 422, "Colony" to "\"nobody\""))
            add(odd("unknown type", 422, "HiveKinds" to "[\"none\"]"))
            add(odd("no type at all", 422, "HiveKinds" to "[]"))
            add(odd("a type that is too small", 422, "HiveKinds" to "[\"molino\"]"))
            add(odd("unknown zone", 422, "Meadow" to "\"nowhere\""))
            add(odd("fits no machine", 422, "Vcpus" to "17.0"))
            add(odd("a task beyond the limit", 422, "Gpus" to "61.0"))
            add(odd("a gang beyond the limit", 422, "Cast" to "\"ensemble\"", "Cells" to "61"))
            add(odd("a service beyond the limit", 422, "Cast" to "\"standing\"", "Cells" to "61"))
            add(odd("an array of more than the limit, one task of which fits", 201, "Cells" to "61"))
            add(
                Odd("a field that nobody knows, and none that may be left out", 201) {
                    body(
                        it,
                        good - mayBeNull + ("Later" to "{\"a\":[1]}"),
                    )
                },
            )
        }

    private inner class World(seed: Long, faults: List<Fault> = emptyList()) {
        val place = VirtualEnvironment(seed)
        val cluster =
            LocalCluster(
                LocalSettings(
                    Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()),
                    null,
                    4,
                ),
                3,
                Tuning(),
                seed,
                emptyList(),
                {
                },
                place = place,
            )
        val loop = cluster.loopback.loop.withHostName("users")
        val clients = cluster.nodes.map { HttpClient(ConnectionPool(loop, maxIdle = 64), it) }
        var ids = 0

        init {
            cluster.start(faults)
        }

        fun run(ms: Long) = place.time.runUntil(place.time.now + ms)

        val leader get() = checkNotNull(cluster.loopback.leader())
        val other get() = (0 until 3).first { it != leader }

        fun id() = "j-%06d".format(++ids)

        /** As users do: what gets no answer or is put off is asked again. */
        fun ask(node: Int, method: String, path: String, body: String = ""): Response {
            var answer: Response? = null
            repeat(TRIES) {
                var over = false
                loop.scope.launch {
                    try {
                        answer = clients[node].send(method, path, body.toByteArray(), 4_000)
                    } catch (_: IOException) {
                        // The state service leaves some writes without an answer, and a node that began anew has closed its connections.
                    }
                    over = true
                }
                while (!over) run(50)
                if (answer.let { it != null && it.status != 503 }) return answer!!
                run(1_000)
            }
            return assertNotNull(answer, "$method $path at $node: $body").let { answer!! }
        }

        /** 200 where the first answer was lost. */
        fun accepted(node: Int, id: String) =
            submit(node, body(id, good)).let { assertTrue(it.status == 200 || it.status == 201, "${it.status}") }

        fun submit(node: Int, body: String) = ask(node, "POST", "/v2/runs", body)

        fun all(node: Int, expected: (Odd) -> Int) =
            assertEquals(
                emptyList<String>(),
                odds.mapNotNull { o ->
                    submit(node, o.body(id())).status.let {
                        if (it == expected(o) ||
                            it == 200 &&
                            expected(o) == 201
                        ) {
                            null
                        } else {
                            "${o.what}: $it, not ${expected(o)}"
                        }
                    }
                },
            )

        /** Whatever it has become: what was accepted is known. */
        fun repeated(node: Int, id: String, stage: String) =
            assertEquals(
                emptyList<String>(),
                odds.mapNotNull { o ->
                    submit(node, o.body(id)).let { r ->
                        if (r.status == 200 &&
                            stage in String(r.body)
                        ) {
                            null
                        } else {
                            "${o.what}: ${r.status} ${String(r.body)}"
                        }
                    }
                },
            )
    }

    @Test
    fun `a table of requests at the leader, at another, and at one that the state service refuses`() {
        val w = World(1)
        w.run(6_000)
        w.all(w.leader) { it.status }
        w.all(w.other) { it.status }
        // Refused alone, it hands on what it can't decide.
        w.cluster.loopback.refuse(w.other, 1_000_000)
        w.run(6_000)
        w.all(w.other) { it.status }
        assertEquals(emptyList<Throwable>(), w.place.failures)
    }

    @Test
    fun `a repeat of what was accepted is answered, however odd it has become`() {
        val w = World(2)
        w.run(6_000)
        val other = w.other
        for (taker in listOf(w.leader, other)) {
            val id = w.id()
            w.accepted(taker, id)
            for (node in 0 until 3) w.repeated(node, id, "Stage")
            // When it is over too: at a node that never heard of it, and at one that began after it had ended.
            assertEquals(200, w.ask(w.leader, "POST", "/v2/runs/$id/cancel").status)
            for (node in 0 until 3) w.repeated(node, id, "withdrawn")
            w.cluster.controllers.kill(other)
            w.cluster.controllers.start(other)
            w.run(4_000)
            w.repeated(other, id, "withdrawn")
            // Cancelled again when it is over, at every node.
            for (node in 0 until 3) {
                assertEquals(
                    "200 true",
                    w.ask(node, "POST", "/v2/runs/$id/cancel").let {
                        "${it.status} ${"withdrawn" in String(it.body)}"
                    },
                )
            }
        }
        assertEquals(404, w.ask(other, "POST", "/v2/runs/j-000999/cancel").status)
    }

    @Test
    fun `a node that does not know the machine types can't decide, but knows what was accepted`() {
        val w = World(3)
        w.run(6_000)
        val id = w.id()
        w.accepted(w.other, id)
        w.cluster.loopback.outage(Fault.Whom.Cloud, 3_000_000)
        w.cluster.loopback.store.commit(emptyMap(), listOf(FakeKeyValueStore.Put("types", null, null)), w.place.time.now)
        val other = w.other
        val types =
            w.cluster.controllers.nodes[other]
                .settings.cluster.types
        w.cluster.controllers.kill(other)
        // Its settings outlive it here, and what it had been told with them.
        types.clear()
        w.cluster.controllers.start(other)
        w.run(5_000)
        assertTrue(types.isEmpty(), "the node has learnt the types")
        w.all(other) { if (it.status == 400 || it.what == "unknown team" || "beyond the limit" in it.what) it.status else 503 }
        w.repeated(other, id, "Stage")
        assertTrue(w.place.failures.isEmpty(), "${w.place.failures}")
    }

    private companion object {
        const val TRIES = 3
    }
}
