package org.honeyjunction.fake

import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources
import java.util.Random

/**
 * A fake of a worker and its machine, as PROTOCOL describes them. It does no input or output; all times are milliseconds.
 *
 * Its reports list every attempt that it was not told to forget: besides a live attempt of a task also the ended attempts of the same
 * task. The protocol does not say in which order, so that each report draws one.
 */
class FakeWorker(
    val box: MachineSpec,
    private val timing: Timing,
    now: Long,
    private val work: (String) -> Work?,
    private val checkpoints: MutableMap<String, Double>,
    private val completed: MutableSet<String> = HashSet(),
) {
    /** One start of the task with the identifier [task]. */
    data class Attempt(val task: String, val number: Long)

    class Timing(val leaseMs: Long, val gangWaitMs: Long, val gangPeerMs: Long)

    class Task(val work: Work, val number: Int, val attempt: Long, state: TaskState, now: Long) {
        val spec: JobSpec get() = work.spec
        val id = "${spec.id}/$number"
        var state = state
            private set
        var since = now
            private set

        /** Of a task that is saving its checkpoint: when it will have finished. */
        var until = 0L
        val live get() = state !is TaskState.Ended
        val gang get() = spec.kind == JobKind.GANG

        /** The key of its checkpoint, which all tasks of a gang share. */
        val progressKey = if (gang) spec.id else id

        /** The only way its state changes; a task that has ended stays ended. */
        fun enter(next: TaskState, now: Long) {
            check(live) { "$id: $state -> $next" }
            state = next
            since = now
        }
    }

    val name get() = box.name

    /** All attempts that the worker lists; at most one attempt of a task is live. */
    val tasks = LinkedHashMap<Attempt, Task>()
    private val images = LinkedHashMap<String, Double>(16, 0.75f, true)
    private val fetches = LinkedHashMap<String, Double>()
    private val results = HashSet<String>()
    private val random = Random(name.hashCode().toLong())
    var dead = false
    var hungUntil = 0L
    var cutUntil = 0L

    /** Until then its heartbeats arrive, but neither responses nor commands reach it. */
    var deafUntil = 0L

    /** Until then none of its heartbeats reaches a controller, while commands reach it. */
    var muteUntil = 0L
    var noticeS: Double? = null

    /** Every task that runs on a faulty machine fails. */
    var faulty = false
    var session = 1L
        private set
    private var sequence = 0L
    var token = 0L
        private set
    private var renewedAt = now
    private var advancedAt = now

    /** Counts changes of what heartbeats contain, so that a changed worker can send the next one early. */
    var changes = 0
        private set

    /** Whether its lease is valid: after it a worker has no tasks any more, even if it hangs and clears them only later. */
    fun holds(now: Long) = !dead && now - renewedAt <= timing.leaseMs

    fun silent(now: Long) = dead || now < hungUntil

    val cached: Set<String> get() = images.keys

    /** Lets the time pass until [now]: the lease, fetches of images, and tasks that end. */
    fun advance(now: Long) {
        if (silent(now)) return
        if (now - renewedAt > timing.leaseMs) {
            tasks.clear()
            fetches.clear()
            session++
            renewedAt = now
            changes++
        }
        fetch((now - advancedAt) / 1000.0)
        advancedAt = now
        tasks.values.forEach { advance(it, now) }
    }

    private fun advance(task: Task, now: Long) {
        when (task.state) {
            TaskState.Fetching -> if (task.spec.image in images) ready(task, now)
            TaskState.Running -> if (!task.gang && isComplete(task, now)) end(task, completion(task), now)
            TaskState.Saving -> if (!task.gang && now >= task.until) end(task, TerminationReason.STOPPED, now, saved = true)
            TaskState.Gathering, is TaskState.Ended -> Unit
        }
    }

    private fun isComplete(task: Task, now: Long) = task.spec.kind == JobKind.ARRAY && progress(task, now) >= task.work.runS

    private fun completion(task: Task) = if (task.work.fails || faulty) TerminationReason.ERROR else TerminationReason.DONE

    private fun fetch(seconds: Double) {
        fetches.keys.retainAll(imagesInUse())
        if (fetches.isEmpty()) return
        val eachGb = box.fetchGbPerS * seconds / fetches.size
        for ((image, leftGb) in fetches.entries.toList()) {
            if (leftGb > eachGb) fetches[image] = leftGb - eachGb else finishFetch(image)
        }
    }

    /** The image is in the cache, from which the least recently used ones go that no task needs. */
    private fun finishFetch(image: String) {
        fetches -= image
        images[image] = tasks.values.first { it.spec.image == image }.spec.imageGb
        val used = imagesInUse()
        val unused = images.keys.filter { it !in used }
        for (drop in unused) if (images.values.sum() > box.cacheGb) images -= drop
    }

    private fun imagesInUse() = tasks.values.filter { it.live }.mapTo(HashSet()) { it.spec.image }

    /** The resources that its live tasks need. */
    fun used(): Resources = tasks.values.filter { it.live }.fold(Resources.NONE) { sum, task -> sum + task.spec.need }

    private fun ready(task: Task, now: Long) {
        changes++
        // Marks the image as recently used.
        images[task.spec.image]
        if (task.id in results) return task.enter(TaskState.Ended(TerminationReason.DONE, false), now)
        task.enter(if (task.gang) TaskState.Gathering else TaskState.Running, now)
    }

    /** Seconds of work done by a running task, those up to its checkpoint included. */
    fun progress(task: Task, now: Long): Double = (checkpoints[task.progressKey] ?: 0.0) + (now - task.since) / 1000.0

    /** A running task keeps the last checkpoint of its interval; one that was given the time has [saved] all its progress. */
    fun end(task: Task, reason: TerminationReason, now: Long, saved: Boolean = false) {
        changes++
        if (task.state == TaskState.Running && task.spec.checkpointS > 0) {
            val done = progress(task, now)
            checkpoints[task.progressKey] = done - done % task.spec.checkpointS
        }
        if (reason == TerminationReason.DONE) {
            results += task.id
            completed += task.id
        }
        task.enter(TaskState.Ended(reason, saved), now)
    }

    /** The tasks of a gang begin together, as [Gangs] decides. */
    fun begin(task: Task, now: Long) {
        changes++
        task.enter(TaskState.Running, now)
    }

    fun report(): Heartbeat =
        Heartbeat(
            name,
            box.address,
            box.type,
            box.zone,
            box.spot,
            session,
            ++sequence,
            token,
            noticeS,
            tasks.values.shuffled(random).map { ReportedTask(it.spec.id, it.number, it.attempt, it.state) },
        )

    /** The attempt of the task with the identifier [task] that has not ended; null if there is none. */
    fun liveAttempt(task: String): Task? = tasks.values.find { it.live && it.id == task }

    /** Handles the response to the heartbeat of [sentAt], which renews the lease; false: dropped, as its token or session is old. */
    fun answered(sentAt: Long, ofSession: Long, withToken: Long, commands: List<Command>, now: Long): Boolean {
        if (withToken < token || ofSession != session) return false
        learn(withToken)
        renewedAt = maxOf(renewedAt, sentAt)
        commands.forEach { execute(it, now) }
        return true
    }

    /** Handles direct commands, which do not renew the lease; false stands for status 409: nothing was executed. */
    fun command(withToken: Long, ofSession: Long, commands: List<Command>, now: Long): Boolean {
        if (withToken < token || ofSession != session) return false
        learn(withToken)
        commands.forEach { execute(it, now) }
        return true
    }

    /** Handles a copy of commands that were executed before. Returns the attempts that it adds, of which there must be none. */
    fun commandCopy(withToken: Long, ofSession: Long, commands: List<Command>, now: Long): Set<Attempt> {
        val known = tasks.keys.toSet()
        command(withToken, ofSession, commands, now)
        return tasks.keys - known
    }

    private fun learn(seen: Long) {
        if (seen > token) changes++
        token = maxOf(token, seen)
    }

    private fun execute(command: Command, now: Long) {
        when (command) {
            is Command.Start -> start(command, now)
            is Command.Stop -> tasks[attemptOf(command)]?.takeIf { it.live }?.let { stop(it, command.graceS, now) }
            is Command.Forget -> attemptOf(command).let { if (tasks[it]?.live == false) tasks.remove(it) }
        }
    }

    private fun attemptOf(command: Command) = Attempt(command.task, command.attempt)

    private fun stop(task: Task, graceS: Double, now: Long) {
        val saves = task.spec.checkpointS > 0 && graceS >= task.spec.saveS
        if (saves && task.state == TaskState.Saving) return
        if (!saves || task.state != TaskState.Running) return end(task, TerminationReason.STOPPED, now)
        checkpoints[task.progressKey] = progress(task, now)
        task.until = now + (task.spec.saveS * 1000).toLong()
        changes++
        task.enter(TaskState.Saving, now)
    }

    private fun start(command: Command.Start, now: Long) {
        if (attemptOf(command) in tasks) return
        // The fake cannot list an attempt of a job that it does not know.
        val job = work(command.task.substringBeforeLast('/')) ?: return
        if (liveAttempt(command.task) != null) return refuse(job, command, TerminationReason.BUSY, now)
        if (!(used() + job.spec.need).fitsIn(box.size)) return refuse(job, command, TerminationReason.NO_ROOM, now)
        add(job, command, TaskState.Fetching, now)
        if (job.spec.image !in images) fetches.putIfAbsent(job.spec.image, job.spec.imageGb)
    }

    private fun refuse(job: Work, command: Command.Start, reason: TerminationReason, now: Long) =
        add(job, command, TaskState.Ended(reason, false), now)

    private fun add(job: Work, command: Command.Start, state: TaskState, now: Long) {
        changes++
        tasks[attemptOf(command)] = Task(job, command.task.substringAfterLast('/').toInt(), command.attempt, state, now)
    }
}
