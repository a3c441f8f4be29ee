package org.honeyjunction.core.model

import org.honeyjunction.core.boot.InstanceKind
import org.honeyjunction.core.lease.WorkerLease

/** The phases of a machine's life as the leader knows it, in the order of [Machine.enter]'s check. */
enum class MachinePhase {
    /** Rented or listed by the cloud; as far as this leader knows, its worker has never sent a message. */
    BOOTING,

    /**
     * Known from the records of an earlier leader, or from a delayed message: not confirmed by a message under this term. It may
     * run tasks.
     */
    UNCONFIRMED,

    /** Reports, and may run tasks. */
    UP,

    /**
     * Has reported under this term, but its heartbeats are missing, though it may answer commands: no new tasks are started
     * there, and those that are there may run on.
     */
    SUSPECTED,

    /** Takes no new tasks, because of a spot notice, a fault, or since it is to be returned. */
    DRAINING,

    /** Unresponsive past its lease, whose expiry proves that its tasks are gone. It may come back with its image cache. */
    UNREACHABLE,

    /** Its release was requested and may be executed at any time, so that the machine is never used again. */
    RELEASING,

    /** Its release was confirmed. */
    GONE,
}

/**
 * A machine as the leader sees it. [index] is dense; [lease] is its worker's session and lease as known under this term. Times are
 * monotonic milliseconds.
 */
class Machine(val index: Int, val name: String, var lease: WorkerLease) {
    var phase = MachinePhase.BOOTING
        private set
    var address: String? = null
    var type = NameTable.ABSENT
    var zone = NameTable.ABSENT
    var spot = false

    val kind get() = InstanceKind(type, zone, spot)

    /** The index of the place that it is to the rules in force; below 0: none, or not known yet. */
    var place = -1

    /** The fencing token that commands to this machine carry. */
    var token = 0L

    /** When its last message came, be it a heartbeat or the answer to a command. */
    var lastContactAt = Long.MIN_VALUE / 2

    /** When its last heartbeat came. Only heartbeats renew its lease; answers to commands may come without any. */
    var lastHeartbeatAt = Long.MIN_VALUE / 2
    var knownSince = 0L

    /** Since when it has had no placements; [Long.MIN_VALUE] while it has some. */
    var idleSince = Long.MIN_VALUE

    /** When a spot instance will be taken away; null without such a notice. */
    var spotReclaimAt: Long? = null

    /** The jobs whose tasks were on it when its lease expired: a machine that hangs may run them beyond its lease. */
    var jobsAtExpiry: Set<Job> = emptySet()

    /** Only one command message is in flight at a time, so that commands arrive in the order in which they were decided. */
    var commandInFlight = false
    var commandFailures = 0
    var nextCommandAt = 0L
    val placements = LinkedHashMap<String, Placement>()

    /** Images believed to be cached, least recently used first. */
    val images = LinkedHashMap<Int, Double>(16, 0.75f, true)

    /** Its free capacity is reserved, until [minPriorityUntil], for tasks of this priority or a higher one. */
    var minPriority = Priority.LOW
    var minPriorityUntil = Long.MIN_VALUE

    private var reservedFor = NameTable.ABSENT
    private var reservedUntil = Long.MIN_VALUE

    /** Keeps this empty machine for [job], which needs machines as a whole. */
    fun reserveFor(job: Int, until: Long) {
        reservedFor = job
        reservedUntil = until
    }

    /** The index of the job that it is reserved for, or [NameTable.ABSENT]. */
    fun reservedForAt(now: Long) = if (now < reservedUntil) reservedFor else NameTable.ABSENT

    fun reserveForPriority(priority: Priority, until: Long) {
        minPriority = priority
        minPriorityUntil = until
    }

    fun minPriorityAt(now: Long) = if (now < minPriorityUntil) minPriority else Priority.LOW

    val usable get() = phase == MachinePhase.UP

    /** The number of ended tasks in its latest status; they stay in it until their results are durable and they are reaped. */
    var reportedEndedTasks = 0

    /**
     * Whether more tasks may be started here. A heartbeat lists all running and all ended tasks, and its size is bounded. The
     * worker must have acknowledged this term's fencing token: an earlier message may come from a machine that is gone, or from a
     * session that has ended.
     */
    val acceptsTasks get() = usable && !quarantined && lease.fenced && placements.size + reportedEndedTasks < MAX_REPORTED_TASKS

    /** A job failed here that has not been tried elsewhere yet; see [org.honeyjunction.core.failures.FailureAttribution]. */
    var quarantined = false

    /** The only function that changes the phase. A release is never taken back. */
    fun enter(next: MachinePhase) {
        check(phase < MachinePhase.RELEASING || next >= phase) { "$name: $phase -> $next" }
        if (phase == MachinePhase.UNREACHABLE) jobsAtExpiry = emptySet()
        phase = next
    }

    /** The resources that its placements need. Summed from scratch at each change, so that rounding errors do not accumulate. */
    var used = Resources.NONE
        private set

    fun recomputeUsage() {
        used = placements.values.fold(Resources.NONE) { sum, placement -> sum + placement.task.job.spec.need }
    }

    /** Notes that [image] is cached or being fetched, and evicts what the cache cannot hold any more. */
    fun recordImage(image: Int, gb: Double, cacheGb: Double) {
        images[image] = gb
        // The lookup makes it the most recently used one.
        images[image]
        val needed = placements.values.mapTo(HashSet()) { it.task.job.image } + image
        val leastRecentFirst = images.keys.iterator()
        var total = images.values.sum()
        val evictable = ArrayList<Int>()
        while (total > cacheGb && leastRecentFirst.hasNext()) {
            val candidate = leastRecentFirst.next()
            if (candidate in needed) continue
            evictable.add(candidate)
        }
        for (candidate in evictable) {
            if (total <= cacheGb) break
            total -= images.remove(candidate) ?: 0.0
        }
    }

    companion object {
        /** Tasks in one heartbeat: at a hundred bytes each, half of the 64 KiB that a message may have (PROTOCOL). */
        const val MAX_REPORTED_TASKS = 327
    }
}
