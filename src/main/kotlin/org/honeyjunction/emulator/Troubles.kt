package org.honeyjunction.emulator

import org.honeyjunction.core.control.Change
import org.honeyjunction.core.control.Report
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources
import org.honeyjunction.standin.Watch
import org.honeyjunction.standin.Worker
import java.util.Random

/** What gets through between controllers and workers beside what machines themselves suffer; all does at first. */
class Links {
    /** Whether a report of the worker reaches that controller: one that it can't connect to is never reached, not even late. */
    var reports: (Worker, World.Core) -> Boolean = { _, _ -> true }

    /** Whether the worker gets the controller's commands and answers; what it does not get is lost. */
    var hears: (Worker, World.Core) -> Boolean = { _, _ -> true }

    /** Whether direct commands reach it; answers to its reports may all the same. */
    var commands: (Worker) -> Boolean = { true }

    /** Whether the answer to a write that was carried out is lost. */
    var answerLost: (List<Change>) -> Boolean = { false }

    /** By how long a report is held back on its way; null: not at all. */
    var holdBack: (Report) -> Long? = { null }

    /** A message between controllers and workers takes up to so much longer. */
    var slowMs = 0

    fun slow(random: Random): Long = if (slowMs > 0) random.nextInt(slowMs).toLong() else 0L
}

/** For [forMs] these machines reach no controller, while commands and answers reach them. */
fun World.mute(names: Set<String>, forMs: Long) {
    val until = now + forMs
    val before = links.reports
    links.reports = { w, core -> (w.name !in names || now >= until) && before(w, core) }
}

/** For [forMs] [zone] is cut off with the leader in it, which goes on answering the zone's workers and is heard by nobody else. */
fun World.cutWithLeader(zone: String, forMs: Long) {
    val inside = leader ?: return
    val until = now + forMs
    val together = { w: Worker, core: World.Core -> now >= until || (w.box.zone == zone) == (core === inside) }
    links.reports = together
    links.hears = together
    cutOff()
    at(forMs) { inside.cutOff = false }
}

/** The leader ends; after its lease, and not before the state service is back, another begins. */
fun World.succeed() {
    leader?.alive = false
    fun next() { if (state.down) at(200) { next() } else elect() }
    at(World.LEASE) { next() }
}

/** Called with every start from now on. */
fun World.eachStart(seen: (Watch.Start) -> Unit) {
    val before = watch.onStart
    watch.onStart = { before(it); seen(it) }
}

/**
 * The verdict of a day's end, judged by what really is on the machines: no job waits for [patienceMs] while machines that fit have room for one
 * more task of it (of a gang, for all) and its team stays within its limit. [step] is to be called about once a second.
 */
class Waiting(private val world: World, private val setup: Setup, private val patienceMs: Long = 90_000) {
    private val since = HashMap<String, Long>()

    fun step() {
        val now = world.now
        val up = world.workers.values.filter { !it.silent(now) && now >= it.cutUntil && it.noticeS == null }
        val there = world.workers.values.filter { it.holds(now) }.flatMap { w -> w.tasks.values.filter { it.live }.map { w to it } }
        val core = world.leader?.takeIf { it.alive } ?: return since.clear()
        val could = world.state.jobs.keys.filter { id ->
            val job = core.leader.state.job(id) ?: return@filter false
            val mine = there.filter { it.second.spec.id == id }
            val missing = job.unfinished - mine.size
            val wanted = if (job.spec.kind == JobKind.GANG) job.unfinished else 1
            if (!job.startable || missing < wanted) return@filter false
            val used = there.filter { it.second.spec.team == job.spec.team }.sumOf { it.second.spec.need.gpus }
            if (used + job.spec.need.gpus * wanted > setup.limits.getValue(job.spec.team)) return@filter false
            val rooms = up.filter { w -> (job.spec.spot || !w.box.spot) && (job.spec.zone == null || job.spec.zone == w.box.zone) && zoneOpen(job.spec, mine.map { it.first.box.zone }, w.box.zone) }
                .groupBy { if (job.spec.oneZone) it.box.zone else "" }
            rooms.values.any { machines -> machines.sumOf { w -> job.spec.need.countIn(w.box.size - w.tasks.values.filter { it.live }.fold(Resources.NONE) { sum, t -> sum + t.spec.need }) } >= wanted }
        }
        since.keys.retainAll(could.toSet())
        for (id in could) {
            val from = since.getOrPut(id) { now }
            if (now - from == patienceMs) world.watch.note(now, "waited: $id for ${patienceMs / 1000} s beside room")
        }
    }

    private fun zoneOpen(spec: JobSpec, others: List<String>, zone: String) =
        !(spec.oneZone && others.any { it != zone }) && !(spec.spread && others.count { it == zone } >= (spec.tasks + 1) / 2)

    /** Plays on for [forMs], looking once a second. */
    fun run(forMs: Long) = repeat((forMs / 1000).toInt()) {
        world.run(1_000)
        step()
    }
}
