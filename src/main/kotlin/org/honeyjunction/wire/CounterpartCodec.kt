package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.wire.ProtocolNames.nameOf

/**
 * The counterparts of the codecs of this package, for fakes and tests: encodes and reads messages as workers, the cloud, the
 * key-value store and users do. Readers throw [MalformedException].
 */
object CounterpartCodec {
    /** Commands that a worker received, with the leader's fencing [token] and the worker's incarnation [session]; -1 for absent ones. */
    class Commands(val token: Long, val session: Long, val commands: List<Command>)

    /** A scale-out request that the cloud received; [requestId] is its idempotency key. */
    class ScaleOutRequest(val requestId: String, val type: String, val zone: String, val spot: Boolean, val count: Int)

    /** A transaction that the store received: expected versions by key, and writes as key, value (null for a delete) and lease. */
    class TransactionRequest(val conditions: Map<String, Long>, val writes: List<Triple<String, JsonNode?, Long?>>)

    private const val ABSENT = -1L

    /** Encodes a heartbeat that a worker sends. */
    fun heartbeat(heartbeat: Heartbeat): ByteArray {
        val body = Json.newObject()
        body.put(ProtocolNames.MACHINE, heartbeat.machine)
        body.put(ProtocolNames.ADDRESS, heartbeat.address)
        body.put(ProtocolNames.MACHINE_TYPE, heartbeat.type)
        body.put(ProtocolNames.ZONE, heartbeat.zone)
        body.put(ProtocolNames.SPOT, heartbeat.spot)
        body.put(ProtocolNames.INCARNATION, heartbeat.session)
        body.put(ProtocolNames.SEQUENCE, heartbeat.sequence)
        body.put(ProtocolNames.FENCING_TOKEN, heartbeat.token)
        body.put(ProtocolNames.PREEMPTION_NOTICE_S, heartbeat.spotNoticeS)
        body.putArray(ProtocolNames.TASKS).apply { heartbeat.tasks.forEach { addObject().putTask(it) } }
        return Json.write(body)
    }

    private fun ObjectNode.putTask(task: ReportedTask) {
        put(ProtocolNames.TASK, task.task)
        put(ProtocolNames.ATTEMPT, task.attempt)
        when (val state = task.state) {
            TaskState.Fetching -> put(ProtocolNames.STATE, ProtocolNames.TASK_FETCHING)
            TaskState.Gathering -> put(ProtocolNames.STATE, ProtocolNames.TASK_GATHERING)
            TaskState.Running -> put(ProtocolNames.STATE, ProtocolNames.TASK_RUNNING)
            TaskState.Saving -> put(ProtocolNames.STATE, ProtocolNames.TASK_SAVING)
            is TaskState.Ended -> putEnded(state)
        }
    }

    private fun ObjectNode.putEnded(state: TaskState.Ended) {
        put(ProtocolNames.STATE, ProtocolNames.TASK_ENDED)
        put(ProtocolNames.TERMINATION_REASON, ProtocolNames.TERMINATION_REASONS.nameOf(state.cause))
        put(ProtocolNames.CHECKPOINT_SAVED, state.saved)
    }

    /** Reads commands for a worker. The fencing token may be absent: a worker drops such commands like those with an outdated token. */
    fun commands(body: ByteArray): Commands {
        val request = Json.readObject(body)
        return Commands(
            request.fieldOrNull(ProtocolNames.FENCING_TOKEN)?.longValue() ?: ABSENT,
            request.fieldOrNull(ProtocolNames.INCARNATION)?.longValue() ?: ABSENT,
            request.listOrEmpty(ProtocolNames.COMMANDS).map(::command),
        )
    }

    private fun command(node: JsonNode): Command {
        val task = node.text(ProtocolNames.TASK)
        val attempt = node.count(ProtocolNames.ATTEMPT)
        return when (node.text(ProtocolNames.COMMAND)) {
            ProtocolNames.COMMAND_START -> Command.Start(task, attempt)
            ProtocolNames.COMMAND_STOP -> Command.Stop(task, attempt, node.amount(ProtocolNames.GRACE_S))
            ProtocolNames.COMMAND_FORGET -> Command.Forget(task, attempt)
            else -> throw MalformedException("${ProtocolNames.COMMAND} is unknown")
        }
    }

    /** The leader that a redirect names; null if it names none. */
    fun redirect(body: ByteArray): String? = Json.readObject(body).textOrNull(ProtocolNames.LEADER)

    /** Encodes the cloud's machine types; [MachineType.zones] are indices into [zones]. */
    fun machineTypes(types: List<MachineType>, zones: List<String>): ByteArray {
        val body = Json.newObject()
        body.putArray(ProtocolNames.MACHINE_TYPES).apply { types.forEach { addObject().putType(it, zones) } }
        return Json.write(body)
    }

    private fun ObjectNode.putType(type: MachineType, zones: List<String>) {
        put(ProtocolNames.TYPE_NAME, type.name)
        put(ProtocolNames.CPUS, type.size.cpus)
        put(ProtocolNames.GPUS, type.size.gpus)
        put(ProtocolNames.MEMORY_GB, type.size.memoryGb)
        put(ProtocolNames.CACHE_GB, type.cacheGb)
        put(ProtocolNames.FETCH_GB_PER_S, type.fetchGbPerS)
        put(ProtocolNames.PRICE, type.price)
        put(ProtocolNames.SPOT_PRICE, type.spotPrice)
        put(ProtocolNames.BOOT_S, type.bootS)
        putArray(ProtocolNames.ZONES).apply { type.zones.forEach { add(zones[it]) } }
    }

    /** Reads a scale-out request. */
    fun scaleOutRequest(body: ByteArray): ScaleOutRequest {
        val request = Json.readObject(body)
        return ScaleOutRequest(
            request.text(ProtocolNames.REQUEST_ID),
            request.text(ProtocolNames.MACHINE_TYPE),
            request.text(ProtocolNames.ZONE),
            request.flag(ProtocolNames.SPOT),
            request.count(ProtocolNames.COUNT).toInt(),
        )
    }

    /** Encodes a page of the cloud's list of instances; [isUp] says whether the instance of a name has booted. */
    fun instancePage(instances: List<ListedMachine>, isUp: (String) -> Boolean, more: Boolean): ByteArray {
        val body = Json.newObject().put(ProtocolNames.MORE, more)
        body.putArray(ProtocolNames.MACHINES).apply { instances.forEach { addObject().putMachine(it, isUp) } }
        return Json.write(body)
    }

    private fun ObjectNode.putMachine(machine: ListedMachine, isUp: (String) -> Boolean) {
        val state =
            when {
                machine.failed -> ProtocolNames.MACHINE_FAILED
                isUp(machine.name) -> ProtocolNames.MACHINE_RUNNING
                else -> ProtocolNames.MACHINE_BOOTING
            }
        put(ProtocolNames.ID, machine.name)
        put(ProtocolNames.ADDRESS, machine.address)
        put(ProtocolNames.MACHINE_TYPE, machine.type)
        put(ProtocolNames.ZONE, machine.zone)
        put(ProtocolNames.SPOT, machine.spot)
        put(ProtocolNames.STATE, state)
        put(ProtocolNames.AGE_S, machine.rentedForS)
    }

    /** Reads a transaction. */
    fun commit(body: ByteArray): TransactionRequest {
        val request = Json.readObject(body)
        val writes = request.listOrEmpty(ProtocolNames.WRITES).map(::write)
        val conditions = request.listOrEmpty(ProtocolNames.CONDITIONS)
        return TransactionRequest(conditions.associate { it.text(ProtocolNames.KEY) to it.count(ProtocolNames.VERSION) }, writes)
    }

    private fun write(node: JsonNode): Triple<String, JsonNode?, Long?> {
        val put = node.textOrNull(ProtocolNames.PUT) ?: return Triple(node.text(ProtocolNames.DELETE), null, null)
        val value = node.fieldOrNull(ProtocolNames.VALUE) ?: throw MalformedException("${ProtocolNames.VALUE} is missing")
        return Triple(put, value, node.fieldOrNull(ProtocolNames.LEASE)?.longValue())
    }

    /** Reads the time to live of a requested lease, in milliseconds. */
    fun leaseTtlMs(body: ByteArray): Long = Json.readObject(body).count(ProtocolNames.TTL_MS)

    /** Encodes the response to a request for a lease. */
    fun lease(id: Long): ByteArray = Json.write(Json.newObject().put(ProtocolNames.LEASE, id))

    /** Encodes the response to a transaction that was applied. */
    fun revision(revision: Long): ByteArray = Json.write(Json.newObject().put(ProtocolNames.REVISION, revision))

    /** Encodes the response to a transaction whose conditions on the keys [failed] did not hold. */
    fun conflict(failed: List<String>, revision: Long): ByteArray {
        val body = Json.newObject().put(ProtocolNames.REVISION, revision)
        body.putArray(ProtocolNames.FAILED).apply { failed.forEach(::add) }
        return Json.write(body)
    }

    /** Encodes the response to a read of one key. */
    fun entry(key: String, value: JsonNode, version: Long, lease: Long?): ByteArray =
        Json.write(Json.newObject().apply { putEntry(key, value, version, lease) })

    private fun ObjectNode.putEntry(key: String, value: JsonNode, version: Long, lease: Long?) {
        put(ProtocolNames.KEY, key)
        put(ProtocolNames.VERSION, version)
        put(ProtocolNames.LEASE, lease)
        set<JsonNode>(ProtocolNames.VALUE, value)
    }

    /** Encodes a page of a scan; each of [entries] has key, value and version. */
    fun entryPage(entries: List<Triple<String, JsonNode, Long>>, more: Boolean, revision: Long): ByteArray {
        val body = Json.newObject().put(ProtocolNames.MORE, more).put(ProtocolNames.REVISION, revision)
        body.putArray(ProtocolNames.ENTRIES).apply {
            entries.forEach { (key, value, version) -> addObject().putEntry(key, value, version, null) }
        }
        return Json.write(body)
    }

    /** Encodes the response to a watch; each of [changes] has key, value (null for a deleted key) and version. */
    fun changes(changes: List<Triple<String, JsonNode?, Long>>, revision: Long): ByteArray {
        val body = Json.newObject().put(ProtocolNames.REVISION, revision)
        body.putArray(ProtocolNames.CHANGES).apply {
            changes.forEach { (key, value, version) -> addChange(key, value, version) }
        }
        return Json.write(body)
    }

    private fun ArrayNode.addChange(key: String, value: JsonNode?, version: Long) {
        val change = addObject().put(ProtocolNames.VERSION, version)
        if (value == null) {
            change.put(ProtocolNames.DELETE, key)
        } else {
            change.put(ProtocolNames.PUT, key).set<JsonNode>(ProtocolNames.VALUE, value)
        }
    }

    /** Reads a job's state in the terms of this program: queued, running, done or cancelled. */
    fun jobState(body: ByteArray): String {
        val state = Json.readObject(body).text(ProtocolNames.STATE)
        return if (state == ProtocolNames.JOB_CANCELLED) "cancelled" else state
    }
}
