package org.honeyjunction.standin

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.honeyjunction.io.Connections
import org.honeyjunction.io.HttpClient
import org.honeyjunction.io.Loop
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.OtherSide
import org.honeyjunction.wire.Response
import java.io.IOException

/** Users who submit, poll and cancel through whichever node answers, and note what they are told against the rules. */
class Users(private val loop: Loop, private val nodes: List<String>, private val watch: Watch, private val now: () -> Long) {
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

        /** The only way its stage changes. False: what was told goes back on what was told before. */
        fun enter(next: Stage): Boolean {
            if (over && next != stage) return false
            stage = next
            return true
        }
    }

    /** Until then there are troubles; a job that nobody answers for has 75 s more. */
    var troubledUntil = 0L
    private val clients = nodes.map { HttpClient(Connections(loop, most = 32), it) }
    private var turn = 0
    val jobs = ArrayList<Tracked>()

    /** How many times at once each job is asked about. */
    var pollsAtOnce = 1

    fun follow(planned: PlannedJob): Job {
        val job = Tracked(planned)
        jobs += job
        return loop.scope.launch {
            delay((planned.atMs - now()).coerceAtLeast(0))
            submit(job)
            while (!job.over) {
                val cancelAt = planned.cancelAtMs
                if (cancelAt != null && now() >= cancelAt) job.cancelWanted = true
                if (job.cancelWanted) cancel(job) else List(pollsAtOnce) { loop.scope.launch { poll(job) } }.joinAll()
                delay(POLL_MS)
            }
        }
    }

    /** As the load balancer would: the next node that answers at all. */
    private suspend fun ask(method: String, path: String, body: ByteArray = Response.NO_BODY, timeoutMs: Long): Response? {
        repeat(nodes.size) {
            try {
                return clients[turn++ % nodes.size].send(method, path, body, timeoutMs)
            } catch (_: IOException) {
                // Another node may answer.
            }
        }
        return null
    }

    private suspend fun submit(job: Tracked) {
        job.enter(Stage.ASKING)
        val body = Json.write(JobCodec.write(job.spec))
        val until = now() + GIVE_UP_MS
        while (now() < until) {
            val r = ask("POST", RUNS, body, SUBMIT_MS)
            when (r?.status) {
                200, 201 -> {
                    job.enter(Stage.ACCEPTED)
                    job.acceptedMs = now()
                    job.answeredMs = now()
                    return
                }
                400, 422 -> {
                    job.enter(Stage.REFUSED)
                    job.why = reason(r)
                    job.finalMs = now()
                    return
                }
                else -> delay(maxOf(1_000L, (r?.retryAfterS ?: 0) * 1_000L))
            }
        }
        job.enter(Stage.REFUSED)
        job.why = "not accepted within ${GIVE_UP_MS / 1000} s"
    }

    private suspend fun poll(job: Tracked) {
        val overBefore = job.over
        val r = ask("GET", "$RUNS/${job.spec.id}", timeoutMs = ANSWER_MS)
        if (r?.status == 200) job.answeredMs = now()
        else if (job.stage == Stage.ACCEPTED && now() - maxOf(job.answeredMs, troubledUntil) > UNANSWERED_MS) watch.note(now(), "forgotten: nobody answers for ${job.spec.id}")
        when (r?.status) {
            // Only a question that was asked after an answer may not be told less.
            200 -> if (overBefore || !job.over) told(job, r)
            404 -> {
                watch.note(now(), "forgotten: ${job.spec.id}")
                job.enter(Stage.FORGOTTEN)
            }
        }
    }

    private suspend fun cancel(job: Tracked) {
        val r = ask("POST", "$RUNS/${job.spec.id}/cancel", timeoutMs = SUBMIT_MS) ?: return
        if (r.status == 200) told(job, r)
    }

    private fun told(job: Tracked, r: Response) {
        val next = when (OtherSide.stage(r.body)) {
            "done" -> Stage.DONE
            "cancelled" -> Stage.CANCELLED
            else -> if (job.stage == Stage.ACCEPTED) return else Stage.ACCEPTED
        }
        if (next == Stage.DONE) {
            val open = (0 until job.spec.tasks).firstOrNull { "${job.spec.id}/$it" !in watch.completed }
            if (open != null) watch.note(now(), "not_done: ${job.spec.id} is called done, but not its task $open")
        }
        if (!job.enter(next)) watch.note(now(), "went_back: ${job.spec.id} from ${job.stage} to $next")
        if (next == Stage.CANCELLED) {
            watch.cancelledAt.putIfAbsent(job.spec.id, now())
            if (!job.cancelWanted) watch.note(now(), "went_back: ${job.spec.id} is cancelled though nobody asked")
        }
        job.finalMs = job.finalMs ?: now()
    }

    /** Asks once more for what is over, and for a job that nobody submitted. */
    suspend fun askAgain() {
        for (job in jobs.filter { it.stage == Stage.DONE || it.stage == Stage.CANCELLED }) {
            // A retry may arrive at any later time.
            val again = ask("POST", RUNS, Json.write(JobCodec.write(job.spec)), SUBMIT_MS)
            if (again?.status == 200 || again?.status == 201) told(job, again) else if (again?.status == 400 || again?.status == 422) watch.note(now(), "forgotten: ${job.spec.id} is refused with ${again.status}")
            val r = ask("GET", "$RUNS/${job.spec.id}", timeoutMs = ANSWER_MS) ?: continue
            if (r.status == 200) told(job, r) else if (r.status == 404) watch.note(now(), "forgotten: ${job.spec.id}")
        }
        if (ask("GET", "$RUNS/$NOBODYS", timeoutMs = ANSWER_MS)?.status == 200) watch.note(now(), "invented: $NOBODYS")
    }

    private fun reason(r: Response): String = try {
        Json.readObject(r.body).get("error")?.textValue().orEmpty()
    } catch (_: MalformedException) {
        "status ${r.status}"
    }

    private companion object {
        const val RUNS = "/v2/runs"
        const val NOBODYS = "j-999999999"
        const val POLL_MS = 400L
        const val SUBMIT_MS = 5_000L
        const val ANSWER_MS = 2_000L
        const val GIVE_UP_MS = 60_000L
        const val UNANSWERED_MS = 75_000L
    }
}
