package org.honeyjunction.fake

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources

/** The state of a job in a response to its user; the last two are final, and neither may follow the other. */
enum class Answer {
    UNKNOWN,
    REFUSED,
    ACTIVE,
    DONE,
    CANCELLED,
    ;

    val final get() = this >= DONE
}

/** A task and a machine on which a page of the placement journal says that it may have been started. */
private data class RecordedPlace(val task: String, val machine: String)

/** Checks the rules of PROTOCOL against the tasks that really are on the machines, and against responses to users. */
class HistoryChecker(private val limits: Map<String, Resources>, private val cancelMs: Long) {
    class Live(val worker: FakeWorker, val task: FakeWorker.Task)

    class Start(val at: Long, val task: FakeWorker.Task, val worker: FakeWorker, val beside: List<JobSpec>)

    val broken = ArrayList<String>()

    /** Tasks that have completed on some machine, whether or not a controller knows of it. */
    val completed = HashSet<String>()
    val cancelledAt = HashMap<String, Long>()
    var started = 0
        private set

    /** Number of starts after the job's cancellation was confirmed: commands that were on their way may arrive for a while. */
    var startedCancelled = 0
        private set

    /** How often a team was seen with no room for another such task below its limit. */
    var atLimit = 0
        private set

    /** The newest state of each job in any response so far. */
    private val newest = HashMap<String, Answer>()
    private val before = HashMap<String, Pair<String, Long>>()
    private val waiting = WorkConservationCheck(limits)

    /** The latest start of every task. */
    val starts = HashMap<String, Start>()

    /** Called with every start, for further checks. */
    var onStart: (Start) -> Unit = {}

    /** Checks all rules about tasks on [workers] at [now]. */
    fun check(workers: Collection<FakeWorker>, now: Long) {
        val live = workers.filter { it.holds(now) }.flatMap { w -> w.tasks.values.filter { it.live }.map { Live(w, it) } }
        val byJob = live.groupBy { it.task.spec.id }
        for ((id, there) in live.groupBy { it.task.id }) {
            if (there.size > 1) note(now, "ran_twice: $id on ${there.map { it.worker.name }}")
            val here = there[0]
            val key = here.worker.name to here.task.attempt
            if (before.put(id, key) != key) started(here, byJob.getValue(here.task.spec.id), now)
        }
        before.keys.retainAll(live.mapTo(HashSet()) { it.task.id })
        for ((team, of) in live.groupBy { it.task.spec.team }) checkLimit(team, of, now)
        for (worker in workers) checkCapacity(worker, now)
        for ((id, since) in cancelledAt) if (now - since > cancelMs && id in byJob) note(now, "ran_cancelled: $id")
    }

    /** Checks that [live], the tasks of [team], do not use more than its limit. */
    private fun checkLimit(team: String, live: List<Live>, now: Long) {
        val limit = limits[team] ?: return
        val used = live.fold(Resources.NONE) { sum, here -> sum + here.task.spec.need }
        if (limit.gpus > 0 && used.gpus + live[0].task.spec.need.gpus > limit.gpus) atLimit++
        val gpusExceeded = limit.gpus > 0 && used.gpus > limit.gpus + ROUNDING
        val cpusExceeded = limit.cpus > 0 && used.cpus > limit.cpus + ROUNDING
        if (gpusExceeded || cpusExceeded) note(now, "quota: $team uses $used")
    }

    private fun checkCapacity(worker: FakeWorker, now: Long) {
        val used = worker.used()
        if (!used.fitsIn(worker.box.size)) note(now, "overcommitted: ${worker.name} $used")
    }

    /**
     * Checks that [pages], the stored placement journal, name every task that is on a machine: a new leader takes a task that no page names
     * for one that is on no machine.
     */
    fun checkRecorded(pages: Collection<JournalPageRecord>, workers: Collection<FakeWorker>, now: Long) {
        val recorded = pages.flatMapTo(HashSet()) { page -> page.starts.map { RecordedPlace("${it.job}/${it.number}", it.machine) } }
        for (worker in workers.filter { it.holds(now) }) {
            val unrecorded = worker.tasks.values.filter { it.live && RecordedPlace(it.id, worker.name) !in recorded }
            unrecorded.forEach { note(now, "unrecorded: ${it.id} in attempt ${it.attempt} on ${worker.name}") }
        }
    }

    /** Records a violation, as long as there are not too many. */
    fun note(now: Long, what: String) {
        if (broken.size < MAX_BROKEN) broken += "$now $what"
    }

    /** The newest state of a job in any response so far; null: none. Responses to later requests may not be older. */
    fun newest(id: String): Answer? = newest[id]

    /** Checks a response: [answer] to a request that was sent when [before] was the newest state in any response. */
    fun answered(spec: JobSpec, before: Answer?, answer: Answer, cancelAsked: Boolean, now: Long) {
        val known = newest[spec.id]
        when (answer) {
            Answer.UNKNOWN, Answer.REFUSED -> if (before != null) note(now, "forgotten: ${spec.id} is ${answer.name.lowercase()}")
            Answer.ACTIVE -> if (before?.final == true) note(now, "went_back: ${spec.id} from $before to $answer")
            Answer.DONE, Answer.CANCELLED ->
                if (known?.final == true && known != answer) {
                    note(now, "went_back: ${spec.id} from $known to $answer")
                }
        }
        if (answer == Answer.DONE && known != answer) {
            val open = (0 until spec.tasks).firstOrNull { "${spec.id}/$it" !in completed }
            if (open != null) note(now, "not_done: ${spec.id} is called done, but not its task $open")
        }
        if (answer == Answer.CANCELLED) {
            cancelledAt.putIfAbsent(spec.id, now)
            if (!cancelAsked) note(now, "went_back: ${spec.id} is cancelled though nobody asked")
        }
        if (answer >= Answer.ACTIVE && (known == null || answer > known)) newest[spec.id] = answer
    }

    /** After the last fault none of the jobs [open] may be left waiting beside machines that have room for it. */
    fun checkWaiting(open: List<JobSpec>, workers: Collection<FakeWorker>, now: Long) =
        waiting.longerThan(WAITING_MS, open, workers, completed, now).forEach {
            note(now, "waits: ${it.id} beside room for it and under its team's limit")
        }

    private fun started(here: Live, mates: List<Live>, now: Long) {
        started++
        val spec: JobSpec = here.task.spec
        val box = here.worker.box
        if (box.spot && !spec.spot) note(now, "wrong_place: ${here.task.id} on a spot machine")
        if (spec.zone != null && spec.zone != box.zone) note(now, "wrong_place: ${here.task.id} in ${box.zone}")
        if (spec.types != null && box.type !in spec.types) note(now, "wrong_place: ${here.task.id} on a ${box.type}")
        if (spec.oneZone && mates.any { it.worker.box.zone != box.zone }) note(now, "wrong_place: ${here.task.id} out of its zone")
        if (spec.spread && mates.count { it.worker.box.zone == box.zone } > (spec.tasks + 1) / 2) {
            note(now, "wrong_place: ${here.task.id} crowds a zone")
        }
        val late = cancelledAt[spec.id]
        if (late != null) startedCancelled++
        if (late != null && now - late > cancelMs) note(now, "ran_cancelled: ${here.task.id} starts")
        val beside = here.worker.tasks.values.filter { it.live && it.id != here.task.id }
        val start = Start(now, here.task, here.worker, beside.map { it.spec })
        starts[here.task.id] = start
        onStart(start)
    }

    private companion object {
        const val MAX_BROKEN = 100

        /** Sums of amounts may exceed a limit by as much. */
        const val ROUNDING = 1e-6
        const val WAITING_MS = 90_000L
    }
}
