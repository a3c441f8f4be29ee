package org.honeyjunction.app

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import java.io.IOException
import java.util.Random

/**
 * Users who ask at all nodes within milliseconds and repeat the submission, whenever a job was accepted, ended or is
 * confirmed as cancelled. Each answer is held against the newest that its user had received, from whichever node, when the
 * question was sent.
 */
class StatusConsistencyUsers(
    private val loop: EventLoop,
    nodes: List<String>,
    private val watch: HistoryChecker,
    private val random: Random,
    private val now: () -> Long,
) {
    /** What a user knows of a job; the last two are final. */
    enum class Word { NOTHING, ACCEPTED, DONE, CANCELLED }

    enum class Cancel { NEVER, AT_ONCE, MIDWAY, AT_END }

    /** After what all nodes were asked at once. */
    enum class Look { ACCEPTED, ENDED, DONE, CANCELLED }

    inner class Followed(val planned: PlannedJob, val cancel: Cancel) {
        val spec = planned.work.spec
        val body = Json.write(JobCodec.write(spec))
        var word = Word.NOTHING
        var acceptedMs: Long? = null
        var cancelAsked = false
        val over get() = word >= Word.DONE
        val ended get() = (0 until spec.tasks).all { "${spec.id}/$it" in watch.completed }
    }

    val jobs = ArrayList<Followed>()

    /** Looks that every node answered, question and repeat. */
    val answered = HashMap<Look, Int>()

    /** Repeats of what was accepted, and those that were put off. */
    var repeats = 0
    var putOff = 0
    private val clients = nodes.map { HttpClient(ConnectionPool(loop, maxIdle = 64), it) }
    private var turn = 0

    fun follow(planned: PlannedJob, cancel: Cancel) {
        val job = Followed(planned, cancel)
        jobs += job
        loop.scope.launch {
            delay((planned.atMs - now()).coerceAtLeast(0))
            submit(job)
            if (job.word == Word.NOTHING) return@launch
            if (cancel == Cancel.AT_ONCE) ask(job, turn++, "cancel")
            if (cancel == Cancel.AT_END) {
                loop.scope.launch {
                    while (!job.ended && !job.over) delay(STEP_MS)
                    ask(job, turn++, "cancel")
                }
            }
            loop.scope.launch {
                while (!job.ended && !job.over) delay(STEP_MS)
                if (!job.over) look(job, Look.ENDED)
            }
            while (!job.over) {
                delay(POLL_MS)
                val wanted = cancel == Cancel.MIDWAY && now() >= planned.cancelAtMs!! || job.cancelAsked
                ask(job, turn++, if (wanted) "cancel" else "poll")
            }
        }
    }

    private suspend fun submit(job: Followed) {
        val until = now() + GIVE_UP_MS
        while (job.word == Word.NOTHING && now() < until) {
            val r = ask(job, turn++, "submit")
            if (job.word == Word.NOTHING) delay(maxOf(1_000L, (r?.retryAfterS ?: 0) * 1_000L))
        }
    }

    /** All nodes within a few milliseconds: a question each, and the submission once more. */
    private fun look(job: Followed, after: Look) {
        loop.scope.launch {
            val answers =
                clients.indices
                    .flatMap { node ->
                        listOf("poll", "submit").map { what ->
                            loop.scope.async {
                                delay(random.nextInt(SPREAD_MS).toLong())
                                ask(job, node, what)?.status == 200
                            }
                        }
                    }.awaitAll()
            if (answers.all { it }) answered.merge(after, 1, Int::plus)
        }
    }

    private suspend fun ask(job: Followed, node: Int, what: String): Response? {
        val known = job.word
        if (what == "cancel") job.cancelAsked = true
        val id = job.spec.id
        val r =
            try {
                when (what) {
                    "poll" -> clients[node % clients.size].send("GET", "$RUNS/$id", timeoutMs = ANSWER_MS)
                    "submit" -> clients[node % clients.size].send("POST", RUNS, job.body, SUBMIT_MS)
                    else -> clients[node % clients.size].send("POST", "$RUNS/$id/cancel", timeoutMs = SUBMIT_MS)
                }
            } catch (_: IOException) {
                null
            }
        if (what == "submit" && known != Word.NOTHING) {
            repeats++
            if (r != null && r.status != 200) putOff++
        }
        if (r != null) judge(job, known, what, node % clients.size, r)
        return r
    }

    private fun judge(job: Followed, known: Word, what: String, node: Int, r: Response) {
        val id = job.spec.id

        fun broken(rule: String) =
            watch.note(now(), "$rule: $id is $known, and hive-$node answers its $what with ${r.status} ${String(r.body)}")
        if (known != Word.NOTHING && (r.status == 404 || r.status == 400 || r.status == 422)) broken("forgotten")
        if (known != Word.NOTHING && r.status == 201) broken("accepted anew")
        if (r.status != 200 && r.status != 201) return
        val told =
            try {
                when (CounterpartCodec.jobState(r.body)) {
                    "done" -> Word.DONE
                    "cancelled" -> Word.CANCELLED
                    else -> Word.ACCEPTED
                }
            } catch (e: MalformedException) {
                return broken("malformed: ${e.message}")
            }
        if (known >= Word.DONE && told != known || told >= Word.DONE && job.over && told != job.word) broken("went_back")
        if (told == Word.DONE && !job.ended) broken("not_done")
        if (told == Word.CANCELLED && !job.cancelAsked) broken("went_back")
        if (told <= job.word) return
        job.word = told
        if (job.acceptedMs == null) job.acceptedMs = now()
        if (told == Word.CANCELLED) watch.cancelledAt.putIfAbsent(id, now())
        look(
            job,
            when (told) {
                Word.DONE -> Look.DONE
                Word.CANCELLED -> Look.CANCELLED
                else -> Look.ACCEPTED
            },
        )
    }

    /** Of what was to be accepted, the part that was within [ms] of the first attempt. */
    fun acceptedWithin(ms: Long) = jobs.count { j -> j.acceptedMs.let { it != null && it - j.planned.atMs <= ms } }.toDouble() / jobs.size

    /** All nodes once more, long after, so many a second as records are read. */
    fun lookAgain() =
        loop.scope.launch {
            for (job in jobs.filter { it.over }) {
                look(job, if (job.word == Word.DONE) Look.DONE else Look.CANCELLED)
                delay(AGAIN_MS)
            }
        }

    private companion object {
        const val RUNS = "/v2/runs"
        const val STEP_MS = 20L
        const val SPREAD_MS = 5
        const val POLL_MS = 1_000L
        const val AGAIN_MS = 125L
        const val SUBMIT_MS = 5_000L
        const val ANSWER_MS = 2_000L
        const val GIVE_UP_MS = 60_000L
    }
}
