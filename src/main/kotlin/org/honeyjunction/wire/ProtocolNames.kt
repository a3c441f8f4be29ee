package org.honeyjunction.wire

import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority

/**
 * The field names and values of the users' protocol, as constants named in the terms of this program. Only the codecs of this package
 * use them. They are part of the wire format and of stored data, and must not change.
 */
internal object ProtocolNames {
    // Jobs, in submissions and in the key-value store.

    /** Job id; in the cloud's list of instances, the instance's name. */
    const val ID = "Ref"

    /** Job class; together with the team, it is the traffic class of admission control. */
    const val JOB_CLASS = "Comb"

    /** Team that submitted a job. */
    const val TEAM = "Colony"

    /** Job kind: array, gang or service; see [JOB_KINDS]. */
    const val JOB_KIND = "Cast"

    /** Priority; see [PRIORITIES]. */
    const val PRIORITY = "Precedence"

    /** Tasks: their number in a job, or their list in a heartbeat. */
    const val TASKS = "Cells"

    /** CPUs of a task or of an instance. */
    const val CPUS = "Vcpus"

    /** GPUs of a task or of an instance. */
    const val GPUS = "Gpus"

    /** Memory of a task or of an instance, in GB. */
    const val MEMORY_GB = "MemoryGb"

    /** Image that a task runs. */
    const val IMAGE = "Brood"

    /** Size of the image, in GB. */
    const val IMAGE_GB = "PullGb"

    /** Machine types: those a job may use, or those the cloud offers. */
    const val MACHINE_TYPES = "HiveKinds"

    /** Machine type of an instance. */
    const val MACHINE_TYPE = "HiveKind"

    /** Zone of an instance, or the zone to which a job is restricted. */
    const val ZONE = "Meadow"

    /** Zones that offer a machine type. */
    const val ZONES = "Meadows"

    /** Whether all tasks of a job have to be in the same zone. */
    const val ONE_ZONE = "SamePlace"

    /** Whether the tasks of a job are to be spread over zones. */
    const val SPREAD = "Scatter"

    /** Spot (preemptible) instances: whether a job may use them, or whether an instance is one. */
    const val SPOT = "BorrowedHives"

    /** Estimated run time of a task, in seconds. */
    const val ESTIMATE_S = "ForageS"

    /** Checkpoint interval of a task, in seconds; 0 for a task that saves no checkpoints. */
    const val CHECKPOINT_S = "CapS"

    /** Time that a task takes to save a checkpoint, in seconds. */
    const val SAVE_S = "SealS"

    /** Deadline of a job, in seconds after its submission. */
    const val DEADLINE_S = "BloomEndS"

    /** State of a job, a task or an instance. */
    const val STATE = "Stage"

    // Workers: heartbeats and commands.

    /** Name of the worker's machine. */
    const val MACHINE = "Hive"

    /** Address of the worker: IPv4 and port. */
    const val ADDRESS = "Address"

    /** Agent incarnation (session) of the worker; a greater one is later. */
    const val INCARNATION = "Flight"

    /** Sequence number of a heartbeat within its incarnation. */
    const val SEQUENCE = "Waggle"

    /** Fencing token of the leader. */
    const val FENCING_TOKEN = "Crown"

    /** Seconds until the cloud preempts this spot instance; absent without a preemption notice. */
    const val PREEMPTION_NOTICE_S = "SwarmWarningS"

    /** Task: job id, a slash, and the task's number in its job. */
    const val TASK = "Cell"

    /** Attempt of the task. */
    const val ATTEMPT = "Sortie"

    /** Why a task terminated; see [TERMINATION_REASONS]. */
    const val TERMINATION_REASON = "Cause"

    /** Whether the terminated task saved a checkpoint. */
    const val CHECKPOINT_SAVED = "Kept"

    /** Commands for a worker. */
    const val COMMANDS = "Dances"

    /** Kind of a command. */
    const val COMMAND = "Dance"

    /** Time that a task has to stop, in seconds. */
    const val GRACE_S = "SettleS"

    /** Name of the leader to send heartbeats to. */
    const val LEADER = "Queen"

    // The cloud: machine types and instances.

    /** Name of a machine type. */
    const val TYPE_NAME = "Sku"

    /** Size of an instance's image cache, in GB. */
    const val CACHE_GB = "CacheGb"

    /** Rate at which an instance fetches images, in GB per second. */
    const val FETCH_GB_PER_S = "FetchGbPerS"

    /** On-demand price, by the hour. */
    const val PRICE = "Hourly"

    /** Spot price, by the hour. */
    const val SPOT_PRICE = "LowPrice"

    /** Boot time, in seconds. */
    const val BOOT_S = "StartupS"

    /** Idempotency key of a scale-out request. */
    const val REQUEST_ID = "SwarmCall"

    /** Number of instances to start. */
    const val COUNT = "Count"

    /** Names of instances, or the list of instances. */
    const val MACHINES = "Hives"

    /** Age of an instance, in seconds. */
    const val AGE_S = "HeldS"

    /** Whether another page of the list follows. */
    const val MORE = "More"

    // The key-value store.

    /** Key of an entry. */
    const val KEY = "Key"

    /** Value of an entry. */
    const val VALUE = "V"

    /** Version of an entry; 0 for a key that does not exist. */
    const val VERSION = "Stamp"

    /** Revision of the store as a whole. */
    const val REVISION = "LedgerTick"

    /** Lease id. */
    const val LEASE = "NectarGrant"

    /** Time to live of a lease, in milliseconds. */
    const val TTL_MS = "LifeMs"

    /** Conditions of a compare-and-swap transaction. */
    const val CONDITIONS = "If"

    /** Writes of a compare-and-swap transaction. */
    const val WRITES = "Writes"

    /** Key to which a write assigns a value. */
    const val PUT = "Put"

    /** Key that a write deletes. */
    const val DELETE = "Delete"

    /** Keys whose conditions failed. */
    const val FAILED = "failed"

    /** Entries of a page of a scan. */
    const val ENTRIES = "Rows"

    /** Changes that a watch returns. */
    const val CHANGES = "Log"

    // Query parameters of the key-value store.

    /** Prefix of keys. */
    const val PREFIX = "Starts"

    /** Key or revision after which to continue. */
    const val AFTER = "Since"

    /** Maximum number of entries of a page. */
    const val LIMIT = "Most"

    /** Time that a watch waits for changes, in milliseconds. */
    const val WAIT_MS = "BlockMs"

    // Values.

    /** Job kinds by their names in the protocol. */
    val JOB_KINDS = mapOf("batch" to JobKind.ARRAY, "ensemble" to JobKind.GANG, "standing" to JobKind.SERVICE)

    /** Priorities by their names in the protocol. */
    val PRIORITIES =
        mapOf(
            "critical" to Priority.PRODUCTION,
            "high" to Priority.HIGH,
            "normal" to Priority.NORMAL,
            "low" to Priority.LOW,
        )

    /** Termination reasons by their names in the protocol. */
    val TERMINATION_REASONS =
        mapOf(
            "done" to TerminationReason.DONE,
            "halted" to TerminationReason.STOPPED,
            "peers" to TerminationReason.PEERS,
            "incomplete" to TerminationReason.INCOMPLETE,
            "error" to TerminationReason.ERROR,
            "full" to TerminationReason.NO_ROOM,
            "busy" to TerminationReason.BUSY,
            "no_such" to TerminationReason.UNKNOWN_JOB,
        )

    /** States of a task: fetching its image, waiting for the rest of its gang, running, saving a checkpoint, terminated. */
    const val TASK_FETCHING = "fetching"
    const val TASK_GATHERING = "gathering"
    const val TASK_RUNNING = "running"
    const val TASK_SAVING = "flushing"
    const val TASK_ENDED = "ended"

    /** States of a job; [JobStage.ACTIVE] is shown as queued or running. */
    const val JOB_QUEUED = "queued"
    const val JOB_RUNNING = "running"
    const val JOB_DONE = "done"
    const val JOB_CANCELLED = "withdrawn"

    /** States of an instance. */
    const val MACHINE_BOOTING = "booting"
    const val MACHINE_RUNNING = "running"
    const val MACHINE_FAILED = "failed"

    /** Kinds of commands: start an attempt, stop it, or forget it, after which the worker no longer reports it. */
    const val COMMAND_START = "start"
    const val COMMAND_STOP = "kill"
    const val COMMAND_FORGET = "reap"

    /** The name that the protocol gives to [value]; every value has one. */
    fun <T> Map<String, T>.nameOf(value: T): String = entries.first { it.value == value }.key
}
