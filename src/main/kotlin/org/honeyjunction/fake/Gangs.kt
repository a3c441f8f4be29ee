package org.honeyjunction.fake

import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason

/**
 * The tasks of gangs begin, save, and end together across their machines. Real workers agree on that between themselves;
 * here one object sees all machines.
 */
class Gangs(private val timing: FakeWorker.Timing) {
    private data class GangAttempt(val job: String, val attempt: Long)

    private class Member(val worker: FakeWorker, val task: FakeWorker.Task)

    private val incompleteSince = HashMap<GangAttempt, Long>()

    fun step(workers: Collection<FakeWorker>, now: Long) {
        val gangs = HashMap<GangAttempt, ArrayList<Member>>()
        for (worker in workers) {
            if (worker.silent(now)) continue
            for (task in worker.tasks.values) {
                if (!task.gang || !task.live) continue
                gangs.getOrPut(GangAttempt(task.spec.id, task.attempt), ::ArrayList) += Member(worker, task)
            }
        }
        incompleteSince.keys.retainAll(gangs.keys)
        gangs.forEach { (gang, members) -> step(gang, members, now) }
    }

    private fun step(gang: GangAttempt, members: List<Member>, now: Long) {
        val whole = members.size == members[0].task.spec.tasks
        val saving = members.filter { it.task.state == TaskState.Saving }
        when {
            saving.isNotEmpty() -> save(members, saving, now)
            whole && members.all { it.task.state == TaskState.Gathering } -> members.forEach { it.worker.begin(it.task, now) }
            members.any { it.task.state == TaskState.Running } && !whole -> endIncomplete(gang, members, now)
            else -> stopWaiting(members, now)
        }
        if (whole && members.all { it.task.state == TaskState.Running }) complete(members, now)
    }

    /** Members notice within half of the peer timeout that one of them is gone. */
    private fun endIncomplete(gang: GangAttempt, members: List<Member>, now: Long) {
        val since = incompleteSince.getOrPut(gang) { now }
        if (now - since > timing.gangPeerMs / 2) members.forEach { it.worker.end(it.task, TerminationReason.PEERS, now) }
    }

    private fun stopWaiting(members: List<Member>, now: Long) {
        for (member in members) {
            val waits = member.task.state == TaskState.Gathering
            if (waits && now - member.task.since > timing.gangWaitMs) member.worker.end(member.task, TerminationReason.INCOMPLETE, now)
        }
    }

    /** Ends a running gang whose work is done; one faulty machine fails the others through their peer. */
    private fun complete(members: List<Member>, now: Long) {
        val first = members[0]
        if (first.worker.progress(first.task, now) < first.task.work.runS) return
        val workFails = first.task.work.fails
        val succeeds = !workFails && members.none { it.worker.faulty }
        for (member in members) {
            val reason =
                when {
                    succeeds -> TerminationReason.DONE
                    workFails || member.worker.faulty -> TerminationReason.ERROR
                    else -> TerminationReason.PEERS
                }
            member.worker.end(member.task, reason, now)
        }
    }

    /** All must be stopped within the peer timeout of the first; then they exit together, with their checkpoint saved. */
    private fun save(members: List<Member>, saving: List<Member>, now: Long) {
        val firstAt = saving.minOf { it.task.since }
        val allSaved = saving.size == members.size && saving.all { now >= it.task.until }
        if (allSaved) {
            members.forEach { it.worker.end(it.task, TerminationReason.STOPPED, now, saved = true) }
        } else if (now - firstAt > timing.gangPeerMs) {
            members.forEach { it.worker.end(it.task, TerminationReason.PEERS, now) }
        }
    }
}
