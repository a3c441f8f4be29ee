package org.honeyjunction.fake

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.CounterpartCodec
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import java.io.IOException

/** Users who submit, poll and cancel jobs through whichever node answers; [HistoryChecker] checks every response. */
class FakeUsers(
    private val loop: EventLoop,
    private val nodes: List<String>,
    private val watch: HistoryChecker,
    seed: Long,
    private val now: () -> Long,
) {
    enum class Stage { UNSENT, ASKING, ACCEPTED, DONE, CANCELLED, REFUSED, FORGOTTEN }

    class Tracked(val planned: PlannedJob) {
        val spec get() = planned.work.spec
        var stage = Stage.UNSENT
            private set
        var acceptedMs: Long? = null
        var finalMs: Long? = null
        var answeredMs = 0L
        var why = ""
        var cancelWanted = false
        val over get() = stage >= Stage.DONE

        /** The only way its stage changes; a final stage stays. */
        fun enter(next: Stage) {
            if (!over) stage = next
        }
    }

    /** Until then there are faults; 75 s later every job has to be answered for. */
    var troubledUntil = 0L
    private val clients = nodes.map { HttpClient(ConnectionPool(loop, maxIdle = 32), it) }
    private var turn = 0
    val jobs = ArrayList<Tracked>()

    /** How many status queries of each job are sent at once. */
    var pollsAtOnce = 1

    /** Requests at the moments at which a job changes. */
    val pressing = StatusConsistencyProbe(this, loop, nodes.size, watch, seed, now)

    fun follow(planned: PlannedJob): Job {
        val job = Tracked(planned)
        jobs += job
        return loop.scope.launch {
            delay((planned.atMs - now()).coerceAtLeast(0))
            submitted(job)
            while (!job.over) {
                val cancelAt = planned.cancelAtMs
                if (cancelAt != null && now() >= cancelAt) job.cancelWanted = true
                if (job.cancelWanted) cancel(job) else List(pollsAtOnce) { loop.scope.launch { polled(job) } }.joinAll()
                delay(POLL_MS)
            }
        }
    }

    /** Sends a request as the load balancer would, to the next node that answers at all, or to node [at]; null: none answered. */
    suspend fun ask(method: String, path: String, body: ByteArray = Response.NO_BODY, timeoutMs: Long, at: Int? = null): Response? {
        repeat(if (at == null) nodes.size else 1) {
            try {
                return clients[at ?: (turn++ % nodes.size)].send(method, path, body, timeoutMs)
            } catch (_: IOException) {
                // Another node may answer.
            }
        }
        return null
    }

    /** A request about [job]: the response may not be older than what its user knew when it was sent. */
    private suspend fun question(
        job: Tracked,
        method: String,
        path: String,
        body: ByteArray = Response.NO_BODY,
        timeoutMs: Long,
        at: Int? = null,
    ): Response? {
        val before = watch.newest(job.spec.id)
        val r = ask(method, path, body, timeoutMs, at) ?: return null
        val answer =
            when (r.status) {
                200, 201 ->
                    when (CounterpartCodec.jobState(r.body)) {
                        "done" -> Answer.DONE
                        "cancelled" -> Answer.CANCELLED
                        else -> Answer.ACTIVE
                    }
                404 -> Answer.UNKNOWN
                400, 422 -> Answer.REFUSED
                else -> return r
            }
        watch.answered(job.spec, before, answer, job.cancelWanted, now())
        told(job, answer, before, r)
        return r
    }

    private fun told(job: Tracked, answer: Answer, before: Answer?, r: Response) {
        val was = job.stage
        when (answer) {
            Answer.UNKNOWN -> if (before != null) job.enter(Stage.FORGOTTEN)
            Answer.REFUSED -> {
                if (job.stage < Stage.ACCEPTED) job.why = reason(r)
                if (job.stage < Stage.ACCEPTED) job.enter(Stage.REFUSED)
            }
            Answer.ACTIVE -> job.enter(Stage.ACCEPTED)
            Answer.DONE -> job.enter(Stage.DONE)
            Answer.CANCELLED -> job.enter(Stage.CANCELLED)
        }
        if (answer >= Answer.ACTIVE) job.answeredMs = now()
        if (answer >= Answer.ACTIVE) job.acceptedMs = job.acceptedMs ?: now()
        if (job.over) job.finalMs = job.finalMs ?: now()
        if (job.stage != was) pressing.changed(job)
    }

    suspend fun submit(job: Tracked, at: Int? = null) = question(job, "POST", RUNS, Json.write(JobCodec.write(job.spec)), SUBMIT_MS, at)

    suspend fun poll(job: Tracked, at: Int? = null) = question(job, "GET", "$RUNS/${job.spec.id}", timeoutMs = ANSWER_MS, at = at)

    suspend fun cancel(job: Tracked, at: Int? = null): Response? {
        job.cancelWanted = true
        return question(job, "POST", "$RUNS/${job.spec.id}/cancel", timeoutMs = SUBMIT_MS, at = at)
    }

    private suspend fun submitted(job: Tracked) {
        job.enter(Stage.ASKING)
        val until = now() + SUBMIT_TIMEOUT_MS
        while (now() < until) {
            val r = submit(job)
            if (job.stage >= Stage.ACCEPTED) return
            delay(maxOf(1_000L, (r?.retryAfterS ?: 0) * 1_000L))
        }
        job.enter(Stage.REFUSED)
        job.why = "not accepted within ${SUBMIT_TIMEOUT_MS / 1000} s"
    }

    private suspend fun polled(job: Tracked) {
        if (poll(job)?.status != 200 && job.stage == Stage.ACCEPTED && now() - maxOf(job.answeredMs, troubledUntil) > UNANSWERED_MS) {
            watch.note(now(), "forgotten: nobody answers for ${job.spec.id}")
        }
    }

    /** Repeats submission and query of jobs that are over, and queries a job that nobody submitted. */
    suspend fun askAgain() {
        for (job in jobs.filter { it.stage == Stage.DONE || it.stage == Stage.CANCELLED }) {
            // A repeated submission may arrive at any later time.
            submit(job)
            poll(job)
        }
        if (ask("GET", "$RUNS/$UNKNOWN_JOB", timeoutMs = ANSWER_MS)?.status == 200) watch.note(now(), "invented: $UNKNOWN_JOB")
    }

    private fun reason(r: Response): String =
        try {
            Json.readObject(r.body).get("error")?.textValue().orEmpty()
        } catch (_: MalformedException) {
            "status ${r.status}"
        }

    companion object {
        const val RUNS = "/v2/runs"
        private const val UNKNOWN_JOB = "j-999999999"
        private const val POLL_MS = 400L
        const val SUBMIT_MS = 5_000L
        private const val ANSWER_MS = 2_000L
        private const val SUBMIT_TIMEOUT_MS = 60_000L
        private const val UNANSWERED_MS = 75_000L
    }
}
