package org.honeyjunction.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.io.ANY_PORT
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.io.HttpServer
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import java.io.IOException
import java.util.Random

/** A worker over HTTP: reports to one node at a time, takes commands; cuts and hangs hold its messages back. */
class WorkerHost(
    private val loop: EventLoop,
    private val nodes: List<Pair<String, String>>,
    private val reportMs: Long,
    private val random: Random,
    private val now: () -> Long,
) {
    lateinit var worker: FakeWorker

    /** Until then copies of reports arrive late, up to [repeatWithinMs] after the first. */
    var repeatUntil = 0L
    var repeatWithinMs = 1

    /** Until then copies of executed commands arrive late; [copyDelayMs] draws how late. */
    var copyCommandsUntil = 0L
    var copyDelayMs: (Random) -> Long = { 0L }

    /** Is given the attempts that a copy of executed commands has started, which must be none. */
    var onCopyExecuted: (Set<FakeWorker.Attempt>) -> Unit = {}

    /** Is given each report as it is sent. */
    var onReport: (ByteArray) -> Unit = {}
    private val scope = CoroutineScope(loop.scope.coroutineContext + Job(loop.scope.coroutineContext[Job]))
    private val connections = ConnectionPool(loop, maxIdle = 2)
    private var node = random.nextInt(nodes.size)
    private val server = HttpServer(loop, MAX_CONNECTIONS, isWorkerRequest = { false }, handle = ::answer).listen(ANY_PORT)
    val address: String get() = server.address

    fun start() {
        scope.launch { reportAll() }
    }

    fun stop() {
        scope.cancel()
        connections.closeAll()
        server.close()
    }

    private fun held() = worker.silent(now()) || now() < worker.cutUntil

    /** Commands that are held back are executed when the cut or the hang is over, whoever waits for the answer. */
    private suspend fun answer(r: Request): Response {
        while (held()) delay(STEP_MS)
        if (now() < worker.deafUntil) {
            delay(ANSWER_MS)
            return Response(503, close = true)
        }
        worker.advance(now())
        if (r.path == "/status") return Response(200, CounterpartCodec.heartbeat(worker.report()))
        if (r.path != "/commands" || r.method != "POST") return Response(404)
        val call =
            try {
                CounterpartCodec.commands(r.body)
            } catch (e: MalformedException) {
                return Response(400, "{\"error\":\"${e.message}\"}".toByteArray())
            }
        if (call.token < 0 || call.session < 0) return Response(400)
        val done = worker.command(call.token, call.session, call.commands, now())
        if (done && now() < copyCommandsUntil && random.nextDouble() < Fault.SHARE) copy(call)
        return Response(if (done) 200 else 409, CounterpartCodec.heartbeat(worker.report()))
    }

    /** The commands of [call] arrive once more; nobody waits for the answer. */
    private fun copy(call: CounterpartCodec.Commands) {
        val afterMs = copyDelayMs(random)
        scope.launch {
            delay(afterMs)
            while (held()) delay(STEP_MS)
            worker.advance(now())
            onCopyExecuted(worker.commandCopy(call.token, call.session, call.commands, now()))
        }
    }

    private suspend fun reportAll() {
        while (true) {
            val pause = reportMs * 3 / 4 + random.nextInt((reportMs / 2).toInt().coerceAtLeast(1))
            val until = now() + pause
            val seen = worker.changes
            val from = now()
            // At once when something changed, though no more often than every half second.
            while (now() < until && (worker.changes == seen || now() - from < CHANGE_MS)) delay(STEP_MS)
            while (worker.silent(now())) delay(STEP_MS)
            worker.advance(now())
            val ok = report()
            if (!ok) {
                delay(RETRY_MS)
                node = (node + 1) % nodes.size
            }
        }
    }

    /** False: the next node is to be tried. */
    private suspend fun report(): Boolean {
        val sentAt = now()
        val report = worker.report()
        val body = CounterpartCodec.heartbeat(report)
        if (now() < worker.cutUntil) {
            // A report that a cut holds back arrives late; its answer comes too late for the worker.
            scope.launch {
                while (held()) delay(STEP_MS)
                try {
                    HttpClient(connections, nodes[node].second).send("POST", HELLO, body, ANSWER_MS)
                } catch (_: IOException) {
                    // Nobody waits for it any more.
                }
            }
            delay(ANSWER_MS)
            return false
        }
        if (now() < worker.muteUntil) {
            delay(MUTE_MS)
            return false
        }
        onReport(body)
        if (now() < repeatUntil && random.nextDouble() < Fault.SHARE) repeat(body)
        val answer =
            try {
                HttpClient(connections, nodes[node].second).send("POST", HELLO, body, ANSWER_MS)
            } catch (_: IOException) {
                return false
            }
        if (now() < worker.deafUntil) {
            delay((sentAt + ANSWER_MS - now()).coerceAtLeast(0))
            return false
        }
        return when (answer.status) {
            200 -> {
                if (worker.silent(now())) return true
                val call = CounterpartCodec.commands(answer.body)
                worker.answered(sentAt, report.session, call.token, call.commands, now())
                true
            }
            421 -> {
                val to = CounterpartCodec.redirect(answer.body)?.let { name -> nodes.indexOfFirst { it.first == name } } ?: -1
                if (to < 0 || to == node) return false
                node = to
                delay(random.nextInt(REDIRECT_MS).toLong())
                report()
            }
            else -> false
        }
    }

    /** The same once more, much later; nobody waits for its answer. */
    private fun repeat(body: ByteArray) {
        val afterMs = 2_000L + random.nextInt(repeatWithinMs)
        scope.launch {
            delay(afterMs)
            try {
                HttpClient(connections, nodes[node].second).send("POST", HELLO, body, ANSWER_MS)
            } catch (_: IOException) {
                // It was only a copy.
            }
        }
    }

    companion object {
        const val HELLO = "/hello"
        const val ANSWER_MS = 4_000L
        private const val MAX_CONNECTIONS = 16
        private const val STEP_MS = 20L
        private const val CHANGE_MS = 500L
        private const val RETRY_MS = 1_000L

        /** How long a connection that can't be opened is waited for. */
        private const val MUTE_MS = 500L
        private const val REDIRECT_MS = 300
    }
}
