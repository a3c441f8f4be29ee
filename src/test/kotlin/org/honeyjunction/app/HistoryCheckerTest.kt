package org.honeyjunction.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.Answer
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.MachineSpec
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.Work
import org.honeyjunction.io.HttpServer
import org.honeyjunction.simulation.VirtualEventLoop
import org.honeyjunction.simulation.VirtualNetwork
import org.honeyjunction.simulation.VirtualTime
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import java.util.Random

/** Every rule's check is shown to fail, by controllers that lie to users in one way only, and by machines on which one rule is broken. */
class HistoryCheckerTest {
    private val limits = mapOf("a" to Resources(0.0, 8.0, 0.0))
    private val watch = HistoryChecker(limits, CANCEL_MS)

    private fun spec(tasks: Int = 1, kind: JobKind = JobKind.ARRAY, gpus: Double = 1.0, oneZone: Boolean = false, spread: Boolean = false) =
        JobSpec(
            "j-000001",
            "c",
            "a",
            kind,
            Priority.NORMAL,
            tasks,
            Resources(1.0, gpus, 1.0),
            "i",
            0.0,
            listOf("g"),
            null,
            oneZone,
            spread,
            false,
            2.0,
            0.0,
            0.0,
            null,
        )

    private fun rules() = watch.broken.map { it.substringAfter(' ').substringBefore(':') }.distinct()

    /** What two controllers that know the same tell users; [lie]: what the second tells instead, or null. */
    enum class Lie(val rule: String?, val cancels: Boolean = false, val lie: (Request, String?) -> Response? = { _, _ -> null }) {
        NONE(null),
        NONE_CANCELLED(null, cancels = true),

        /** As true as the rest, but told a second and a half after it was so. */
        LATE(null),
        LATE_CANCELLED(null, cancels = true),
        NOT_KNOWN("forgotten", lie = { r, stage -> if (r.method == "GET" && stage != null) Response(404) else null }),
        REFUSED_AGAIN("forgotten", lie = { r, stage ->
            if (r.method == "POST" &&
                r.path == FakeUsers.RUNS &&
                stage != null
            ) {
                Response(422)
            } else {
                null
            }
        }),
        CANCEL_UNKNOWN("forgotten", cancels = true, lie = { r, stage ->
            if (r.path.endsWith("/cancel") && stage != null) {
                Response(404)
            } else {
                null
            }
        }),
        OLDER_THAN_DONE("went_back", lie = { r, stage -> if (r.method == "GET" && stage == "done") told("running") else null }),
        OLDER_THAN_CANCELLED("went_back", cancels = true, lie = { r, stage ->
            if (r.method == "GET" && stage == "withdrawn") {
                told("queued")
            } else {
                null
            }
        }),
        REPEAT_OLDER_THAN_DONE("went_back", lie = { r, stage ->
            if (r.path == FakeUsers.RUNS && stage == "done") {
                told("queued")
            } else {
                null
            }
        }),
        DONE_THOUGH_CANCELLED("went_back", cancels = true, lie = { r, stage ->
            if (r.method == "GET" && stage == "withdrawn") {
                told("done")
            } else {
                null
            }
        }),
        CANCELLED_UNASKED("went_back", lie = { r, stage -> if (r.method == "GET" && stage != null) told("withdrawn") else null }),
        DONE_EARLY("not_done", lie = { r, stage -> if (r.method == "GET" && stage == "running") told("done") else null }),
        INVENTED("invented", lie = { r, stage -> if (r.method == "GET" && stage == null) told("queued") else null }),
        TAKES_ALL("bad_accepted", lie = { r, stage -> if (r.path == FakeUsers.RUNS && stage == null) told("queued") else null }),
    }

    @ParameterizedTest
    @EnumSource
    fun `what users are told`(lie: Lie) {
        val time = VirtualTime()
        val net = VirtualNetwork(time, Random(1))
        val known = HashMap<String, String>()

        fun honest(r: Request, id: String): Response =
            when {
                r.path == FakeUsers.RUNS -> taken(r)?.let { Response(it) } ?: told(known.getOrPut(id) { "running" })
                id !in known -> Response(404)
                r.path.endsWith("/cancel") ->
                    told(
                        if (known[id] == "done") "done" else "withdrawn",
                    ).also { known.replace(id, "running", "withdrawn") }
                else -> told(known.getValue(id))
            }
        val nodes =
            List(2) { n ->
                HttpServer(VirtualEventLoop("hive-$n", net) { throw it }, 100, isWorkerRequest = { false }) { r ->
                    val id =
                        if (r.path == FakeUsers.RUNS) {
                            Json.readObject(r.body).path("Ref").asText()
                        } else {
                            r.path.removePrefix(FakeUsers.RUNS + "/").removeSuffix("/cancel")
                        }
                    val answer = lie.takeIf { n == 1 }?.lie?.invoke(r, known[id]) ?: honest(r, id)
                    if (n == 1 && lie.name.startsWith("LATE") && r.method == "GET") delay(1_500)
                    answer
                }.listen("127.0.0.1:0").address
            }
        val loop = VirtualEventLoop("users", net) { throw it }
        val users = FakeUsers(loop, nodes, watch, 1) { time.now }
        val work = Work(spec(), 2.0)
        users.follow(PlannedJob(work, 0, if (lie.cancels) 500 else null))
        listOf("at 0s close looks for 9s", "at 1s odd requests for 20s").forEach { f ->
            loop.scope.launch { users.pressing.press(Fault.parse(f)) { emptySet() } }
        }
        // The task ends some time before the job is called done.
        if (!lie.cancels) time.schedule(2_000) { watch.completed += "j-000001/0" }
        time.schedule(3_000) { known.replace("j-000001", "running", "done") }
        time.runUntil(30_000)
        loop.scope.launch { users.askAgain() }
        time.runUntil(40_000)
        assertEquals(true, users.pressing.looks > 0 && users.jobs.single().over)
        assertEquals(lie.rule, rules().firstOrNull(), "${watch.broken}")
    }

    private fun taken(r: Request): Int? =
        try {
            val spec = JobCodec.spec(Json.readObject(r.body))
            422.takeUnless { spec.team == "a" && spec.need.gpus <= 8 && spec.types == listOf("g") && spec.tasks < 9 }
        } catch (_: MalformedException) {
            400
        }

    @Test
    fun `a job for which nobody answers`() {
        val time = VirtualTime()
        val net = VirtualNetwork(time, Random(1))
        var up = true
        val node =
            HttpServer(
                VirtualEventLoop("hive-0", net) {
                    throw it
                },
                100,
                isWorkerRequest = { false },
            ) { if (up) told("queued") else Response(503) }.listen("127.0.0.1:0").address
        val users = FakeUsers(VirtualEventLoop("users", net) { throw it }, listOf(node), watch, 1) { time.now }
        users.follow(PlannedJob(Work(spec(), 2.0), 0, null))
        time.runUntil(5_000)
        up = false
        time.runUntil(79_000)
        assertEquals(emptyList<String>(), rules())
        time.runUntil(82_000)
        assertEquals(listOf("forgotten"), rules())
    }

    /** Workers do as they are told; each case tells them something that breaks one rule only. */
    @ParameterizedTest
    @CsvSource(
        "ran_twice, 0 a g false 0",
        "ran_twice, 0 a g false 1",
        "quota, 4 a g false 0",
        "wrong_place, 0 a g true 1",
        "wrong_place, 0 a x false 1",
        "wrong_place, 1 b g false 1",
        "wrong_place, 2 a g false 1",
        "overcommitted, 3 a g false 0",
        "'', 0 b g false 2",
        "'', 1 a g false 2",
        "'', 2 b g false 2",
    )
    fun `what is on machines`(rule: String, case: String) {
        val (kind, zone, type, spot, second) = case.split(' ')
        val spec =
            when (kind) {
                "1" -> spec(tasks = 2, oneZone = true)
                "2" -> spec(tasks = 2, spread = true)
                "3" -> spec(gpus = 2.0)
                "4" -> spec(tasks = 9, gpus = 1.0)
                else -> spec(tasks = 2)
            }
        val first = machine("m1", "a", "g", false, spec)
        val other = machine("m2", zone, type, spot.toBoolean(), spec)
        start(first, 0)
        if (kind == "4") {
            (1..8).forEach {
                start(
                    if (it < 4) {
                        first
                    } else if (it < 8) {
                        other
                    } else {
                        machine("m3", "a", "g", false, spec).also(there::add)
                    },
                    it,
                )
            }
        }
        if (kind == "3") {
            for (number in 1..2) {
                val attempt = FakeWorker.Attempt("j-000001/$number", 1)
                first.tasks[attempt] = FakeWorker.Task(Work(spec, 2.0), number, 1, TaskState.Running, 0)
            }
        }
        if (kind in "012" && rule == "ran_twice") {
            start(other, 0)
        } else if (kind in "012") {
            start(other, 1)
        }
        watch.check(there + first + other, 20)
        assertEquals(listOf(rule).filter { it.isNotEmpty() }, rules(), "${watch.broken}")
    }

    private val there = ArrayList<FakeWorker>()

    private fun machine(name: String, zone: String, type: String, spot: Boolean, spec: JobSpec) =
        FakeWorker(
            MachineSpec(
                name,
                "",
                type,
                Resources(16.0, 4.0, 64.0),
                zone,
                spot,
                10.0,
                1.0,
            ),
            FakeWorker.Timing(1_000_000, 9_000, 2_000),
            0,
            {
                Work(spec, 1e6)
            },
            HashMap(),
        )

    private fun start(w: FakeWorker, number: Int, now: Long = 0) =
        w.command(1, w.session, listOf(Command.Start("j-000001/$number", 1)), now)

    @Test
    fun `tasks of a cancelled job`() {
        val w = machine("m1", "a", "g", false, spec())
        start(w, 0)
        watch.check(listOf(w), 20)
        watch.answered(spec(), null, Answer.CANCELLED, true, 1_000)
        watch.check(listOf(w), 1_000 + CANCEL_MS)
        assertEquals(emptyList<String>(), rules())
        watch.check(listOf(w), 1_020 + CANCEL_MS)
        assertEquals(listOf("ran_cancelled"), rules())
        assertEquals(0, watch.startedCancelled)
        w.command(1, 1, listOf(Command.Stop("j-000001/0", 1, 0.0)), 30_000)
        watch.check(listOf(w), 30_000)
        start(machine("m2", "a", "g", false, spec()).also(there::add), 0)
        watch.check(there, 30_020)
        assertEquals(1, watch.startedCancelled)
        assertEquals(true, watch.broken.last().endsWith("starts") || "starts" in watch.broken.toString(), "${watch.broken}")
    }

    @Test
    fun `a task on a machine that no page of the journal names`() {
        val workers = listOf("m1", "m2").map { machine(it, "a", "g", false, spec(2)) }
        workers.forEach { start(it, 0) }
        val starts = listOf(RecordedStart("j-000001", 0, 1, "m1"), RecordedStart("j-000001", 1, 1, "m2"))
        val recorded = listOf(JournalPageRecord(0, 1, starts, emptyMap()))
        watch.checkRecorded(recorded, workers.take(1), 20)
        assertEquals(emptyList<String>(), rules())
        watch.checkRecorded(recorded, workers, 20)
        assertEquals(listOf("20 unrecorded: j-000001/0 in attempt 1 on m2"), watch.broken)
        watch.checkRecorded(recorded, workers, 2_000_000)
        assertEquals(1, watch.broken.size, "the lease of the worker has expired, and its tasks are gone")
    }

    /** The searches rely on workers that list several attempts of one task, as the protocol allows, in more than one order. */
    @Test
    fun `a worker lists all attempts of a task until it is told to forget them`() {
        val worker = machine("m1", "a", "g", false, spec())

        fun command(command: Command) = worker.command(1, 1, listOf(command), 0)

        fun listed() = worker.report().tasks.map { it.attempt to it.state::class }
        for (attempt in 1L..2L) {
            command(Command.Start("j-000001/0", attempt))
            command(Command.Stop("j-000001/0", attempt, 0.0))
        }
        command(Command.Start("j-000001/0", 3))
        command(Command.Start("j-000001/0", 4))
        val busy = TaskState.Ended(TerminationReason.BUSY, false)
        assertEquals(busy, worker.report().tasks.single { it.attempt == 4L }.state)
        val orders = List(50) { listed() }
        val ended = TaskState.Ended::class
        assertEquals(setOf(1L to ended, 2L to ended, 3L to TaskState.Fetching::class, 4L to ended), orders.flatten().toSet())
        assertEquals(setOf(true, false), orders.mapTo(HashSet()) { it.first().first == 3L }, "drawn orders")
        listOf(1L, 2L, 4L).forEach { command(Command.Forget("j-000001/0", it)) }
        assertEquals(listOf(3L), listed().map { it.first })
    }

    /** A job waits beside a machine; only where nothing forbids it to start is that held against the service. */
    @ParameterizedTest
    @CsvSource("1, 1, ARRAY, waits", "1, 5, ARRAY, ''", "1, 9, ARRAY, ''", "4, 1, GANG, waits", "5, 1, GANG, ''", "4, 2, ARRAY, waits")
    fun `a job that waits beside room`(tasks: Int, gpus: Double, kind: JobKind, rule: String) {
        val spec = spec(tasks, kind, gpus)
        val w = machine("m1", "a", "g", false, spec)
        for (s in 0L..91) watch.checkWaiting(listOf(spec), listOf(w), s * 1_000)
        assertEquals(listOf(rule).filter { it.isNotEmpty() }, rules())
    }

    @Test
    fun `a team at its limit, or a machine that can't be reached, lets a job wait`() {
        val spec = spec(9)
        val machines = List(3) { machine("m$it", "a", "g", false, spec) }
        (0..7).forEach { start(machines[it / 4], it) }
        for (s in 0L..200) watch.checkWaiting(listOf(spec), machines, s * 1_000)
        assertEquals(emptyList<String>(), rules(), "at its limit")
        machines[0].command(1, 1, listOf(Command.Stop("j-000001/0", 1, 0.0)), 0)
        machines[0].cutUntil = 250_000
        machines[2].muteUntil = 250_000
        for (s in 201L..300) watch.checkWaiting(listOf(spec), machines, s * 1_000)
        assertEquals(emptyList<String>(), rules(), "its machines were cut off up to 50 s ago")
        for (s in 301L..342) watch.checkWaiting(listOf(spec), machines, s * 1_000)
        assertEquals(listOf("waits"), rules())
    }

    private companion object {
        const val CANCEL_MS = 15_000L

        fun told(stage: String) = Response(200, Json.write(Json.newObject().put("Ref", "j-000001").put("Stage", stage)))
    }
}
