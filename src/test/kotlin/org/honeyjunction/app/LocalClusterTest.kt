package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.honeyjunction.app.local.LocalCluster
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.fake.FakeKeyValueStore
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.JobFile
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.io.Clock
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.count
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Real controllers on loopback. */
class LocalClusterTest {
    private fun settings(change: (ObjectNode) -> Unit = {}) =
        LocalSettings(Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()).also(change), null, 10)

    private fun jobs(text: String): List<PlannedJob> = JobFile.parse(Json.readObject(text.toByteArray()))

    private fun job(at: Double, jobClass: String, kind: String = "array", tasks: Int = 3, gpus: Int = 0) =
        """{"class":"$jobClass","team":"desk","kind":"$kind","tasks":$tasks,"cpus":2,"gpus":$gpus,"memory_gb":2,"image":"i","image_gb":1,"run_s":1,"at_s":$at}"""

    private fun run(
        cluster: LocalCluster,
        planned: List<PlannedJob>,
        faults: List<Fault> = emptyList(),
        withinS: Int = 60,
        meanwhile: () -> Unit = {
        },
    ) {
        cluster.start(faults)
        meanwhile()
        runBlocking {
            cluster.loopback.loop.scope
                .async {
                    planned.forEach { cluster.users.follow(it) }
                    val until = cluster.loopback.now() + withinS * 1000
                    while (cluster.users.jobs.any { !it.over } && cluster.loopback.now() < until) delay(50)
                    cluster.users.askAgain()
                }.await()
        }
        assertEquals(emptyList<String>(), cluster.loopback.watch.broken)
        assertEquals(planned.map { it.work.spec.id to FakeUsers.Stage.DONE }, cluster.users.jobs.map { it.spec.id to it.stage })
    }

    private fun <T> using(cluster: LocalCluster, block: (LocalCluster) -> T): T =
        try {
            block(cluster)
        } finally {
            cluster.close()
        }

    @Test
    fun `the leader is killed while rules are obeyed, and placements are explained as the stand-ins saw them`() {
        val planned = jobs("""{"jobs":[${job(0.0, "q")},${job(0.0, "b")},${job(2.0, "g", "gang", 2, 2)},${job(4.0, "q")}]}""")
        val rules =
            RulesDocument(
                """rule "apart" for class "q" { must not machine runs class "b" }
            rule "no accelerators" for class "b" or class "q" { must machine.gpus = 0 }
            rule "together" for kind gang { prefer same zone weight 9 }""",
                null,
            )
        using(LocalCluster(settings(), 3, Tuning(idleMs = 6_000, rules = true), 1, planned, {})) { cluster ->
            run(cluster, planned, listOf(Fault.parse("at 3s kill leader for 2s"))) { cluster.apply(rules) }
            val compared = cluster.compareExplanations()
            assertEquals(emptyList<String>(), compared.differences)
            assertTrue(compared.told > 0, "${compared.told} told, ${compared.gone} gone")
        }
    }

    @Test
    fun `users ask ten times at once while the leader stands still and is lost - nobody hears less than before, and late submissions are taken`() {
        val planned = jobs("""{"jobs":[${List(12) { job(it * 0.4, "q", tasks = 2) }.joinToString()}]}""")
        using(LocalCluster(settings(), 3, Tuning(idleMs = 6_000), 4, planned, {})) { cluster ->
            run(
                cluster,
                planned,
                listOf(
                    "at 0s storm polls for 30s",
                    "at 1.5s hang leader for 7s",
                    "at 4s kill leader for 2s",
                    "at 2s slow boots for 3s",
                ).map(Fault::parse),
            )
        }
    }

    @Test
    fun `more jobs than can be recorded - each is let in, done, and never told less after the leader was lost, and what was recorded in place is moved`() {
        val planned = jobs("""{"jobs":[${List(60) { job(it * 0.05, "q", tasks = 1) }.joinToString()}]}""")
        val scarce = settings { o -> (o.get("state") as ObjectNode).put("write_rps", 20.0) }
        using(LocalCluster(scarce, 3, Tuning(idleMs = 6_000), 5, planned, {})) { cluster ->
            val store = cluster.loopback.store
            var inPlace = 0
            run(cluster, planned, listOf("at 6s kill leader for 2s", "at 8s state outage for 3s").map(Fault::parse), withinS = 90) {
                thread(isDaemon = true) {
                    while (cluster.loopback.now() < 60_000) {
                        inPlace = maxOf(inPlace, runBlocking { cluster.loopback.loop.scope.async { finalsInPlace(store) }.await() })
                        Thread.sleep(50)
                    }
                }
            }
            assertTrue(inPlace > 0, "changes were short enough for records in place")
            val until = cluster.loopback.now() + 40_000
            while (runBlocking { cluster.loopback.loop.scope.async { finalsInPlace(store) }.await() } > 0 &&
                cluster.loopback.now() < until
            ) {
                Thread.sleep(200)
            }
            assertEquals(0, runBlocking { cluster.loopback.loop.scope.async { finalsInPlace(store) }.await() })
        }
    }

    private fun finalsInPlace(store: FakeKeyValueStore) =
        store.range("j/", null, 1_000).first.count {
            JobCodec.stored(it.second.value, 0).stage !=
                JobStage.ACTIVE
        }

    @Test
    fun `a controller is killed while it applies rules - one whole version is in force everywhere`() {
        val planned = jobs("""{"jobs":[${job(3.0, "q")}]}""")

        fun document(n: Int) =
            RulesDocument(
                (1..60).joinToString("\n") {
                    "rule \"$it of $n\" for class \"c$it\" { must machine.gpus >= $n }"
                },
                null,
            )
        using(LocalCluster(settings(), 3, Tuning(rules = true), 2, planned, {})) { cluster ->
            run(cluster, planned, listOf(Fault.parse("at 2s kill node 1 for 1s"))) {
                cluster.apply(document(1))
                // At the node that is about to be killed; whether it gets there in time is not known, nor what it will say.
                thread(isDaemon = true) {
                    while (cluster.loopback.now() < 1_990) Thread.sleep(1)
                    runCatching {
                        OperatorClient(
                            listOf(cluster.nodes[1]),
                        ).ask("POST", RulesApi.RULES_PATH, Json.write(document(2).write(Json.newObject())))
                    }
                }
            }
            val seen = cluster.nodes.map { n -> Json.readObject(OperatorClient(listOf(n)).ask("GET", RulesApi.RULES_PATH).body) }
            assertEquals(
                1,
                seen.map { it.count("version") to it.get("rules").textValue() }.distinct().size,
                "every node has the same version",
            )
            val (version, text) = seen[0].let { it.count("version") to it.get("rules").textValue() }
            assertTrue(text == document(version.toInt().coerceAtMost(2)).text, "version $version whole")
        }
    }

    /** Throws out of [method] of [owner], a few times, wherever time is asked there. */
    private class FaultyClock(private val owner: String, private val method: String) : Clock {
        private val startedAt = Clock.steady()

        // Loops that pause for long are struck at their start, the others in the middle of their work.
        private val fromMs = if (method == "refreshPeriodically" || method == "follow") -1 else 1_500
        val thrown = AtomicInteger()

        override fun steady(): Long {
            val now = Clock.steady()
            if (now - startedAt > fromMs && thrown.get() < 3 && inside()) {
                thrown.incrementAndGet()
                throw IllegalStateException("nobody expected this in $method")
            }
            return now
        }

        override fun wall() = Clock.wall()

        private fun inside() =
            StackWalker.getInstance().walk { frames ->
                frames.anyMatch { it.methodName == method && it.className.endsWith(owner) }
            }
    }

    @Test
    fun `a loop that meets an exception nobody expected is started anew, and the work gets done`() {
        val loops =
            listOf(
                "LeaderDriver" to "tickPeriodically",
                "InstanceManager" to "listMachines",
                "JobFollower" to "followJobs",
                "Leadership" to "campaign",
                "FollowerRounds" to "placePeriodically",
                "MachineTypeRefresh" to "refreshPeriodically",
                "RulesStore" to "follow",
                "CommandSender" to "sendCommands",
            )
        val failures = java.util.concurrent.ConcurrentHashMap<String, Throwable>()
        loops
            .map { (owner, method) ->
                thread {
                    try {
                        val planned = jobs("""{"jobs":[${job(0.0, "q")},${job(3.5, "q")}]}""")
                        val clock = FaultyClock(owner, method)
                        using(LocalCluster(settings(), 2, Tuning(rules = true), 3, planned, {}, clock)) { run(it, planned) }
                        assertTrue(clock.thrown.get() > 0, "nothing was thrown")
                    } catch (e: Throwable) {
                        failures[method] = e
                    }
                }
            }.forEach { it.join() }
        assertEquals(emptyMap<String, Throwable>(), failures.toMap())
    }
}
