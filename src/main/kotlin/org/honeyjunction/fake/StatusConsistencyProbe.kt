package org.honeyjunction.fake

import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Resources
import org.honeyjunction.io.EventLoop
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import java.util.Random

/** Requests at the moments at which a job changes: queries at all nodes at once, cancellations, invalid submissions. */
class StatusConsistencyProbe(
    private val users: FakeUsers,
    private val loop: EventLoop,
    private val nodes: Int,
    private val watch: HistoryChecker,
    seed: Long,
    private val now: () -> Long,
) {
    private val random = Random(seed)

    /** The ends of these faults: queries at all nodes, cancellations as jobs end, and as they are accepted. */
    private var looksUntil = 0L
    private var endsUntil = 0L
    private var acceptedUntil = 0L

    /** Number of such queries, and of such cancellations. */
    var looks = 0
        private set
    var calledOff = 0
        private set

    /** Lets users do what [fault] says, and returns when it is over; [running]: the ids of jobs with live tasks. */
    suspend fun press(fault: Fault, running: () -> Set<String>) {
        val until = now() + fault.forMs
        when (val target = fault.whom) {
            Fault.Whom.Looks -> looksUntil = until
            Fault.Whom.Accepted -> acceptedUntil = until
            Fault.Whom.Ends -> endsUntil = until
            Fault.Whom.Requests -> while (now() < until) {
                odd()
                delay(ODD_MS)
            }
            is Fault.Whom.Jobs -> {
                val there = running()
                users.jobs
                    .filter {
                        it.stage == FakeUsers.Stage.ACCEPTED && !it.cancelWanted && it.spec.id in there
                    }.shuffled(random)
                    .take(target.count)
                    .forEach { callOff(it, BURST_MS) }
            }
            else -> Unit
        }
        if (fault.whom == Fault.Whom.Looks || fault.whom == Fault.Whom.Ends) watchEnds(until)
    }

    private fun callOff(job: FakeUsers.Tracked, withinMs: Int) {
        job.cancelWanted = true
        calledOff++
        loop.scope.launch {
            delay(random.nextInt(withinMs).toLong())
            users.cancel(job, random.nextInt(nodes))
        }
    }

    /** A response has shown a new stage of [job]. */
    fun changed(job: FakeUsers.Tracked) {
        if (job.stage == FakeUsers.Stage.ACCEPTED && now() < acceptedUntil && random.nextInt(ACCEPTED_ONE_IN) == 0) callOff(job, SOON_MS)
        if (now() < looksUntil && job.stage in LOOKED_AT) look(job)
    }

    /** Sees that the last task of a job has ended before any controller knows it. */
    private suspend fun watchEnds(until: Long) {
        val seen = HashSet<String>()
        while (now() < until) {
            for (job in users.jobs) {
                if (job.stage != FakeUsers.Stage.ACCEPTED || job.spec.kind == JobKind.SERVICE || job.spec.id in seen) continue
                if ((0 until job.spec.tasks).any { "${job.spec.id}/$it" !in watch.completed }) continue
                seen += job.spec.id
                if (now() < endsUntil && !job.cancelWanted && random.nextBoolean()) callOff(job, SOON_MS)
                if (now() < looksUntil) look(job)
            }
            delay(STEP_MS)
        }
    }

    /** Queries all nodes; some submissions are repeated, and some jobs are cancelled at once. */
    private fun look(job: FakeUsers.Tracked) {
        if (job.stage == FakeUsers.Stage.ACCEPTED && random.nextInt(CANCEL_ONE_IN) == 0) callOff(job, SOON_MS)
        for (node in 0 until nodes) {
            for (after in LOOKS_MS) {
                loop.scope.launch {
                    delay(after + random.nextInt(SOON_MS))
                    looks++
                    if (random.nextInt(SUBMIT_ONE_IN) == 0) users.submit(job, node) else users.poll(job, node)
                }
            }
        }
    }

    private suspend fun odd() {
        val job = users.jobs.filter { it.stage in LOOKED_AT }.ifEmpty { return }.let { it[random.nextInt(it.size)] }
        if (job.over) users.cancel(job) else users.submit(job)
        val id = "j-9%08d".format(random.nextInt(100_000_000))
        val body = bad(job, id)
        val node = random.nextInt(nodes)
        val status = users.ask("POST", FakeUsers.RUNS, Json.write(body), FakeUsers.SUBMIT_MS, node)?.status
        if (status == 200 || status == 201) watch.note(now(), "bad_accepted: $body")
        val asked = users.ask("GET", "${FakeUsers.RUNS}/$id", timeoutMs = FakeUsers.SUBMIT_MS, at = node)?.status
        if (asked == 200) watch.note(now(), "invented: $id")
    }

    /** A submission like that of [job] that can't run, or with a field missing or wrong. */
    private fun bad(job: FakeUsers.Tracked, id: String): ObjectNode {
        val spec = job.spec

        fun with(
            need: Resources = spec.need,
            team: String = spec.team,
            types: List<String>? = spec.types,
            tasks: Int = spec.tasks,
            kind: JobKind = spec.kind,
        ) = JobCodec.write(spec.copy(id = id, need = need, team = team, types = types, tasks = tasks, kind = kind))
        return when (random.nextInt(KINDS)) {
            0 -> with(need = Resources(2.0, 64.0, 4.0))
            1 -> with(team = "nobody")
            2 -> with(types = listOf("no-such"))
            3 -> with(tasks = 5_000, kind = JobKind.GANG)
            4 -> with().put("Cells", -1)
            5 -> with().put("Cast", "swarm")
            else -> with().apply { remove(FIELDS[random.nextInt(FIELDS.size)]) }
        }
    }

    private companion object {
        const val STEP_MS = 20L
        const val BURST_MS = 200
        const val SOON_MS = 6
        const val ODD_MS = 150L
        const val ACCEPTED_ONE_IN = 4
        const val CANCEL_ONE_IN = 10
        const val SUBMIT_ONE_IN = 3
        const val KINDS = 14
        val LOOKS_MS = listOf(0L, 25L, 400L)
        val LOOKED_AT = setOf(FakeUsers.Stage.ACCEPTED, FakeUsers.Stage.DONE, FakeUsers.Stage.CANCELLED)
        val FIELDS =
            listOf(
                "Ref",
                "Comb",
                "Colony",
                "Cast",
                "Precedence",
                "Cells",
                "Vcpus",
                "Gpus",
                "MemoryGb",
                "Brood",
                "PullGb",
                "SamePlace",
                "Scatter",
                "BorrowedHives",
                "ForageS",
                "CapS",
                "SealS",
            )
    }
}
