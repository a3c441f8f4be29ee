package org.honeyjunction.fake

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.io.ANY_PORT
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpServer
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import java.util.Random

/** One node's way to the store, over HTTP: so one node alone can be refused. */
class StateServer(
    private val loop: EventLoop,
    private val store: FakeKeyValueStore,
    private val random: Random,
    private val now: () -> Long,
) {
    /** Until then this node alone is refused. */
    var refusedUntil = 0L

    /** Until then some transactions get no answer and are carried out after newer ones. */
    var lateUntil = 0L

    /** Until then only the answers of some are lost. */
    var unansweredUntil = 0L

    /** Called when a transaction has been carried out, and before it is answered. */
    var onWrite: () -> Unit = {}

    /** How many were carried out late, and how many at once without an answer. */
    var lateWrites = 0
        private set
    var unanswered = 0
        private set
    private val shut get() = store.down || now() < refusedUntil

    /** The address that it listens on. */
    fun listen(): String = HttpServer(loop, MAX_CONNECTIONS, isWorkerRequest = { false }, handle = ::answer).listen(ANY_PORT).address

    private suspend fun answer(r: Request): Response {
        val query =
            r.target.substringAfter('?', "").split('&').filter { '=' in it }.associate {
                it.substringBefore('=') to
                    it.substringAfter('=')
            }
        if (!store.request(now())) return Response(429)
        if (shut && r.path != "/changes") return Response(503)
        return try {
            route(r, query)
        } catch (e: MalformedException) {
            Response(400, "{\"error\":\"${e.message}\"}".toByteArray())
        }
    }

    private suspend fun route(r: Request, query: Map<String, String>): Response =
        when {
            r.path == "/changes" -> changes(query)
            r.path == "/commit" -> commit(r)
            r.path == "/leases" ->
                Response(
                    200,
                    CounterpartCodec.lease(store.grant(CounterpartCodec.leaseTtlMs(r.body).coerceIn(100, 600_000), now())),
                )
            r.path.startsWith("/leases/") -> lease(r)
            r.path == "/store" -> range(query)
            r.path.startsWith("/store/") -> get(r.path.removePrefix("/store/"))
            else -> Response(404)
        }

    private fun get(key: String): Response {
        store.expire(now())
        val kept = store[key] ?: return Response(404, CounterpartCodec.revision(store.revision))
        return Response(200, CounterpartCodec.entry(key, kept.value, kept.version, kept.lease))
    }

    private fun range(query: Map<String, String>): Response {
        val (rows, more) = store.range(query["Starts"].orEmpty(), query["Since"], query["Most"]?.toIntOrNull() ?: 1000)
        return Response(
            200,
            CounterpartCodec.entryPage(
                rows.map { (key, kept) ->
                    Triple(key, kept.value, kept.version)
                },
                more,
                store.revision,
            ),
        )
    }

    private fun lease(r: Request): Response {
        val id = r.path.removePrefix("/leases/").removeSuffix("/extend").toLongOrNull() ?: return Response(400)
        if (r.method == "DELETE") {
            store.end(id)
            return Response(200)
        }
        return Response(if (store.extend(id, now())) 200 else 404)
    }

    /** Some transactions lose their answer, and some are applied much later, if their conditions still hold. */
    private suspend fun commit(r: Request): Response {
        val call = CounterpartCodec.commit(r.body)
        val puts = call.writes.map { (key, value, lease) -> FakeKeyValueStore.Put(key, value, lease) }
        if (now() < lateUntil && random.nextDouble() < Fault.SHARE) return late(call.conditions, puts)
        val lost = now() < unansweredUntil && random.nextDouble() < Fault.SHARE
        val fate = random.nextInt(FATES)
        if (fate == LATE) {
            delay(LATE_MS)
            if (!shut) store.commit(call.conditions, puts, now())
            return Response(503)
        }
        val outcome = store.commit(call.conditions, puts, now())
        if (outcome is FakeKeyValueStore.Commit.Applied && puts.isNotEmpty()) onWrite()
        if (lost && outcome is FakeKeyValueStore.Commit.Applied) unanswered++
        if (lost) {
            delay(NO_ANSWER_MS)
        } else if (fate == UNANSWERED) {
            delay(LATE_MS)
        }
        return told(outcome)
    }

    private fun told(outcome: FakeKeyValueStore.Commit) =
        when (outcome) {
            is FakeKeyValueStore.Commit.Applied -> Response(200, CounterpartCodec.revision(outcome.revision))
            is FakeKeyValueStore.Commit.Conflict -> Response(409, CounterpartCodec.conflict(outcome.failed, outcome.revision))
            is FakeKeyValueStore.Commit.Malformed -> Response(400, "{\"error\":\"${outcome.why}\"}".toByteArray())
            FakeKeyValueStore.Commit.OverLimit -> Response(429)
        }

    /** Most get no answer; some are carried out a little later, and answered then. */
    private suspend fun late(conditions: Map<String, Long>, puts: List<FakeKeyValueStore.Put>): Response {
        if (random.nextInt(ANSWERED_ONE_IN) == 0) {
            delay(random.nextInt(ANSWERED_WITHIN_MS).toLong())
            return if (shut) Response(503) else told(store.commit(conditions, puts, now()))
        }
        val afterMs = 2_000L + random.nextInt(10_000)
        loop.scope.launch {
            delay(afterMs)
            if (!shut && store.commit(conditions, puts, now()) is FakeKeyValueStore.Commit.Applied) lateWrites++
        }
        delay(NO_ANSWER_MS)
        return Response(503)
    }

    private suspend fun changes(query: Map<String, String>): Response {
        val prefix = query["Starts"].orEmpty()
        val since = query["Since"]?.toLongOrNull() ?: return Response(400)
        val until = now() + (query["BlockMs"]?.toLongOrNull() ?: 0L)
        while (true) {
            // During an outage open watches stay open.
            if (!shut) {
                val changes = store.changes(prefix, since, now()) ?: return Response(410)
                if (changes.isNotEmpty() || now() >= until) {
                    return Response(200, CounterpartCodec.changes(changes.map { Triple(it.key, it.value, it.version) }, store.revision))
                }
            }
            delay(STEP_MS)
        }
    }

    private companion object {
        const val MAX_CONNECTIONS = 500
        const val STEP_MS = 15L
        const val FATES = 300
        const val LATE = 0
        const val UNANSWERED = 1
        const val LATE_MS = 2_500L
        const val NO_ANSWER_MS = 15_000L
        const val ANSWERED_ONE_IN = 4
        const val ANSWERED_WITHIN_MS = 3_000
    }
}
