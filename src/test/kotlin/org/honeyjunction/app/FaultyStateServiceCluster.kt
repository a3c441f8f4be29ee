package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.app.local.Controllers
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.VirtualEnvironment
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.LoopbackCluster
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.Work
import org.honeyjunction.io.ANY_PORT
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.io.HttpServer
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import java.io.IOException

/** What becomes of one request to the state service. */
sealed interface Fate {
    data object Answered : Fate

    /** Carried out at once, and nobody is told. */
    data object Lost : Fate

    /** No answer; carried out so much later. */
    class Late(val ms: Long) : Fate

    /** Answered, so much later. */
    class Slow(val ms: Long) : Fate
}

/**
 * Three whole controllers in virtual time, each of whose requests to the state service meets what [fate] says; and readers
 * who ask all nodes about every job again and again, and hold what they are told against all that they have received before.
 */
class FaultyStateServiceCluster(
    seed: Long,
    private val jobs: List<PlannedJob>,
    writesPerS: Double = 100.0,
    changeSettings: (ObjectNode) -> Unit = {},
    private val fate: FaultyStateServiceCluster.(Request) -> Fate,
) {
    private val settings =
        LocalSettings(
            Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()).also {
                it.withObjectProperty("state").put("write_rps", writesPerS)
                changeSettings(it)
            },
            null,
            MACHINES,
        )
    val place = VirtualEnvironment(seed)
    private val ports = place.addresses(NODES * 2)
    private val listen = ports.take(NODES)
    private val peers = ports.drop(NODES)
    val loopback =
        LoopbackCluster(
            settings.loopback(settings.forNode(0, listen, peers, "127.0.0.1:1", "127.0.0.1:1")),
            listen.mapIndexed { i, a ->
                settings.name(i) to
                    a
            },
            seed,
            place.loop(LoopbackCluster.WORLD),
        ) { id -> jobs.firstOrNull { it.work.spec.id == id }?.work }
    private val controllers =
        Controllers(
            List(NODES) {
                settings.forNode(it, listen, peers, proxy(it), loopback.cloudAddress)
            },
            Tuning(idleMs = 6_000, forecastMs = 20_000),
            place,
        )
    private val readers = loopback.loop.withHostName("readers")
    private val clients = listen.map { HttpClient(ConnectionPool(readers, maxIdle = 64), it) }
    val users = FakeUsers(loopback.loop.withHostName(LoopbackCluster.USERS), listen, loopback.watch, seed, loopback::now)
    val now get() = loopback.now()

    /** The newest final answer received for a job. */
    private val final = HashMap<String, String>()
    private val accepted = HashSet<String>()
    val broken get() = loopback.watch.broken + place.failures.map { "failed: $it" }

    private fun proxy(node: Int): String {
        val loop: EventLoop = loopback.loop.withHostName(LoopbackCluster.STATE)
        val client = HttpClient(ConnectionPool(loop, maxIdle = 64), loopback.stateAddresses[node], bodyLimit = 16 * 1024 * 1024)

        suspend fun pass(r: Request) = client.send(r.method, r.target, r.body, PASS_MS)
        return HttpServer(loop, 200, isWorkerRequest = { false }) { r ->
            when (val f = fate(r)) {
                Fate.Answered -> pass(r)
                Fate.Lost -> {
                    pass(r)
                    delay(NEVER_MS)
                    Response(503)
                }
                is Fate.Late -> {
                    loop.scope.launch {
                        delay(f.ms)
                        pass(r)
                    }
                    delay(NEVER_MS)
                    Response(503)
                }
                is Fate.Slow -> {
                    delay(f.ms)
                    pass(r)
                }
            }
        }.listen(ANY_PORT).address
    }

    /** Asks [node] about a job; what is older than what was received before the question was sent breaks a rule. */
    private suspend fun ask(node: Int, method: String, path: String, id: String): String? {
        val before = final[id]
        val known = id in accepted
        val r =
            try {
                clients[node].send(method, path, timeoutMs = ANSWER_MS)
            } catch (_: IOException) {
                return null
            }
        if (r.status == 404 && known) loopback.watch.note(now, "forgotten: $id at node $node")
        if (r.status != 200) return null
        val stage = CounterpartCodec.jobState(r.body)
        accepted += id
        if (before != null && stage != before) loopback.watch.note(now, "went_back: node $node tells $stage of $id after $before")
        if (stage == "done" || stage == "cancelled") {
            if (final.put(id, stage).let {
                    it != null && it != stage
                }
            ) {
                loopback.watch.note(now, "went_back: node $node tells $stage of $id beside another")
            }
            if (stage == "cancelled") loopback.watch.cancelledAt.putIfAbsent(id, now)
        }
        return stage
    }

    /** Its user asks [node] to cancel, and then the next one, until there is an answer; returns it. */
    suspend fun cancel(id: String, node: Int): String {
        var at = node
        while (true) {
            val told = ask(at++ % NODES, "POST", "/v2/runs/$id/cancel", id)
            if (told == "cancelled" || told == "done") return told
            delay(AGAIN_MS)
        }
    }

    fun node(number: Int): Node? = controllers.nodes.firstOrNull { it.settings.node == settings.name(number) }

    fun kill(node: Int) = controllers.kill(node)

    fun restart(node: Int) = controllers.start(node)

    fun hang(node: Int, ms: Long) = controllers.hang(node, ms)

    /** Plays until [untilMs], or until all jobs are over after [leastMs]; [doing] goes on beside it. */
    fun play(untilMs: Long, leastMs: Long = untilMs, doing: suspend FaultyStateServiceCluster.() -> Unit = {}): FaultyStateServiceCluster {
        loopback.start()
        repeat(NODES, controllers::start)
        jobs.forEach { users.follow(it) }
        for ((n, job) in jobs.withIndex()) {
            readers.scope.launch {
                delay(job.atMs)
                var at = n
                while (true) {
                    delay(LOOK_MS)
                    ask(at++ % NODES, "GET", "/v2/runs/${job.work.spec.id}", job.work.spec.id)
                }
            }
        }
        readers.scope.launch { doing() }
        while (now < untilMs &&
            broken.isEmpty() &&
            (now < leastMs || users.jobs.any { !it.over })
        ) {
            place.time.runUntil(place.time.now + STEP_MS)
        }
        return this
    }

    companion object {
        const val NODES = 3
        private const val MACHINES = 10
        private const val PASS_MS = 60_000L
        private const val NEVER_MS = 30_000L
        private const val ANSWER_MS = 5_000L
        private const val AGAIN_MS = 200L
        private const val LOOK_MS = 250L
        private const val STEP_MS = 100L

        fun job(number: Int, runS: Double, atMs: Long, tasks: Int = 1, cancelAtMs: Long? = null) =
            PlannedJob(
                Work(
                    JobSpec(
                        "j-%06d".format(number),
                        "c",
                        if (number % 2 == 0) "desk" else "blend-team",
                        JobKind.ARRAY,
                        Priority.NORMAL,
                        tasks,
                        Resources(2.0, 1.0, 4.0),
                        "i",
                        2.0,
                        null,
                        null,
                        false,
                        false,
                        false,
                        runS,
                        0.0,
                        0.0,
                        null,
                    ),
                    runS,
                ),
                atMs,
                cancelAtMs,
            )
    }
}
