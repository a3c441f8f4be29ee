package org.honeyjunction.core.model

import org.honeyjunction.core.boot.InstanceKind
import org.honeyjunction.core.lease.WorkerLease

/** The lifecycle of a machine as the leader knows it. [Machine.enter] relies on the order of the last two phases. */
enum class MachinePhase {
    /** Rented or listed by the cloud. The leader knows of no message of the machine's worker yet. */
    BOOTING,

    /**
     * Known from the records of an earlier leader or from a delayed message, and not confirmed by a message in this term. The
     * machine may run tasks.
     */
    UNCONFIRMED,

    /** The worker sends heartbeats, and the machine may run tasks. */
    UP,

    /**
     * The worker has reported in this term, but its heartbeats are missing, although it may answer commands. No new task is
     * started on the machine, and its present tasks may go on.
     */
    SUSPECTED,

    /** No new task is started on the machine, because of a spot notice or a fault, or because it is to be released. */
    DRAINING,

    /** The worker's lease has expired, which proves that its tasks are gone. The machine may come back with its image cache. */
    UNREACHABLE,

    /** The release was requested and may be executed at any time, so the machine is never used again. */
    RELEASING,

    /** The release was confirmed. */
    GONE,
}

/**
 * The leader's view of a machine. [index] is dense; [lease] is the session and lease of the machine's worker, as known in this
 * term. Times are monotonic milliseconds.
 */
class Machine(val index: Int, val name: String, var lease: WorkerLease) {
    var phase = MachinePhase.BOOTING
        private set

    /** The worker's address; null if it is not known. */
    var address: String? = null

    /** The index of the machine type, or [NameTable.ABSENT]. */
    var type = NameTable.ABSENT

    /** The index of the zone, or [NameTable.ABSENT]. */
    var zone = NameTable.ABSENT

    /** Whether this is a spot instance. */
    var spot = false

    /** The kind of instance, by which boot times are kept. */
    val kind get() = InstanceKind(type, zone, spot)

    /** The index of the machine in the rules in force, see [org.honeyjunction.core.rules.RuleBook.place]; below 0: none or not known. */
    var place = -1

    /** The fencing token that commands to this machine carry. */
    var token = 0L

    /** The highest fencing token with which a start was sent to the machine in this term; -1 if none was. */
    private var startToken = -1L

    /** Whether the worker would execute a copy of a start that was sent to it in this term, once it has forgotten the attempt. */
    val startsValid get() = startToken >= token

    /** Notes that a start is sent with the present [token]. */
    fun recordStart() {
        startToken = token
    }

    /** Raises [token] if a start was sent with it: a worker that has seen the new one rejects every start that was sent before. */
    fun voidSentStarts() {
        if (startsValid) token = startToken + 1
    }

    /** When the latest message of the worker was received, be it a heartbeat or the answer to a command. */
    var lastContactAt = Long.MIN_VALUE / 2

    /** When the latest heartbeat was received. Only heartbeats renew the lease; answers to commands do not. */
    var lastHeartbeatAt = Long.MIN_VALUE / 2

    /** When this leader first learned of the machine. */
    var knownSince = 0L

    /** Since when the machine has had no placements; [Long.MIN_VALUE] while it has some. */
    var idleSince = Long.MIN_VALUE

    /** When the cloud will reclaim the spot instance; null without a notice. */
    var spotReclaimAt: Long? = null

    /** The jobs whose tasks were on the machine when its lease expired. A machine that hangs may run them beyond its lease. */
    var jobsAtExpiry: Set<Job> = emptySet()

    /** Only one command message is in flight at a time, so that commands arrive in the order in which they were decided. */
    var commandInFlight = false

    /** The number of unanswered command messages since the latest executed one. */
    var commandFailures = 0

    /** No command is sent before this time. */
    var nextCommandAt = 0L

    /** The placements on the machine, by the identifier of the task. */
    val placements = LinkedHashMap<String, Placement>()

    /** The images that are assumed to be cached, with their sizes in GB, least recently used first. */
    val images = LinkedHashMap<Int, Double>(16, 0.75f, true)

    /** The free capacity is reserved, until [minPriorityUntil], for tasks of at least this priority; see [minPriorityAt]. */
    var minPriority = Priority.LOW

    /** When the reservation for [minPriority] ends. */
    var minPriorityUntil = Long.MIN_VALUE

    private var reservedFor = NameTable.ABSENT
    private var reservedUntil = Long.MIN_VALUE

    /** Reserves this empty machine until [until] for [job], whose tasks need whole machines. */
    fun reserveFor(job: Int, until: Long) {
        reservedFor = job
        reservedUntil = until
    }

    /** The index of the job that the machine is reserved for at [now], or [NameTable.ABSENT]. */
    fun reservedForAt(now: Long) = if (now < reservedUntil) reservedFor else NameTable.ABSENT

    /** Reserves the free capacity until [until] for tasks of at least [priority]. */
    fun reserveForPriority(priority: Priority, until: Long) {
        minPriority = priority
        minPriorityUntil = until
    }

    /** The lowest priority of tasks that may use the free capacity at [now]. */
    fun minPriorityAt(now: Long) = if (now < minPriorityUntil) minPriority else Priority.LOW

    /** Whether the worker sends heartbeats and the machine is not draining. */
    val usable get() = phase == MachinePhase.UP

    /** The number of ended tasks in the worker's latest status, which lists them until it is told to forget them. */
    var reportedEndedTasks = 0

    /**
     * Whether more tasks may be started on the machine. A heartbeat lists all running and all ended tasks, and its size is
     * limited. The worker must have acknowledged this term's fencing token: a message without it may be a delayed one of a machine
     * that is gone, or of a session that has ended.
     */
    val acceptsTasks get() = usable && !quarantined && lease.fenced && placements.size + reportedEndedTasks < MAX_REPORTED_TASKS

    /** Whether a job failed here that has not been tried elsewhere yet; see [org.honeyjunction.core.failures.FailureAttribution]. */
    var quarantined = false

    /** The only function that changes the phase. A release is never revoked. */
    fun enter(next: MachinePhase) {
        check(phase < MachinePhase.RELEASING || next >= phase) { "$name: $phase -> $next" }
        if (phase == MachinePhase.UNREACHABLE) jobsAtExpiry = emptySet()
        phase = next
    }

    /** The resources that the placements need. They are summed anew at each change, so that rounding errors do not accumulate. */
    var used = Resources.NONE
        private set

    /** Recomputes [used] after a change of [placements]. */
    fun recomputeUsage() {
        used = placements.values.fold(Resources.NONE) { sum, placement -> sum + placement.task.job.spec.need }
    }

    /** Records that [image] is cached or being fetched, and evicts images that do not fit into the cache any more. */
    fun recordImage(image: Int, gb: Double, cacheGb: Double) {
        images[image] = gb
        // The lookup makes the image the most recently used one.
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
        /** The maximum number of tasks in one heartbeat: at 100 bytes each, half of a message's maximum of 64 KiB (PROTOCOL). */
        const val MAX_REPORTED_TASKS = 327
    }
}
