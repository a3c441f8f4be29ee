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
 * The other sides of the interfaces, for fakes and tests: what workers, the cloud, the key-value store and users write and
 * read. Readers throw [MalformedException].
 */
object CounterpartCodec {
    /** Commands as a worker receives them, with the fencing [token] and its agent incarnation [session]; -1 where absent. */
    class Commands(val token: Long, val session: Long, val commands: List<Command>)

    /** A scale-out request as the cloud receives it; [ScaleOutRequest.requestId] is its idempotency key. */
    class ScaleOutRequest(val requestId: String, val type: String, val zone: String, val spot: Boolean, val count: Int)

    /** A transaction as the store receives it: versions by key, and puts as key, value (null: a delete) and lease. */
    class TransactionRequest(val conditions: Map<String, Long>, val writes: List<Triple<String, JsonNode?, Long?>>)

    private const val ABSENT = -1L

    /** A heartbeat as its worker sends it. */
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

    /** Commands as a worker reads them; it drops those without a fencing token, as it drops those with a lower one. */
    fun commands(body: ByteArray): Commands {
        val call = Json.readObject(body)
        return Commands(
            call.fieldOrNull(ProtocolNames.FENCING_TOKEN)?.longValue() ?: ABSENT,
            call.fieldOrNull(ProtocolNames.INCARNATION)?.longValue() ?: ABSENT,
            call.listOrEmpty(ProtocolNames.COMMANDS).map(::command),
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

    /** The leader that a redirect names; null where it names none. */
    fun redirect(body: ByteArray): String? = Json.readObject(body).textOrNull(ProtocolNames.LEADER)

    /** The cloud's machine types; their zones are numbers in [zones]. */
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

    /** A scale-out request as the cloud reads it. */
    fun scaleOutRequest(body: ByteArray): ScaleOutRequest {
        val call = Json.readObject(body)
        return ScaleOutRequest(
            call.text(ProtocolNames.REQUEST_ID),
            call.text(ProtocolNames.MACHINE_TYPE),
            call.text(ProtocolNames.ZONE),
            call.flag(ProtocolNames.SPOT),
            call.count(ProtocolNames.COUNT).toInt(),
        )
    }

    /** A page of the cloud's list of instances; [isUp] says which ones have booted. */
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

    /** A transaction as the key-value store reads it. */
    fun commit(body: ByteArray): TransactionRequest {
        val call = Json.readObject(body)
        val writes = call.listOrEmpty(ProtocolNames.WRITES).map(::write)
        val conditions = call.listOrEmpty(ProtocolNames.CONDITIONS)
        return TransactionRequest(conditions.associate { it.text(ProtocolNames.KEY) to it.count(ProtocolNames.VERSION) }, writes)
    }

    private fun write(node: JsonNode): Triple<String, JsonNode?, Long?> {
        val put = node.textOrNull(ProtocolNames.PUT) ?: return Triple(node.text(ProtocolNames.DELETE), null, null)
        val value = node.fieldOrNull(ProtocolNames.VALUE) ?: throw MalformedException("${ProtocolNames.VALUE} is missing")
        return Triple(put, value, node.fieldOrNull(ProtocolNames.LEASE)?.longValue())
    }

    /** The time to live of a requested lease, in milliseconds. */
    fun leaseTtlMs(body: ByteArray): Long = Json.readObject(body).count(ProtocolNames.TTL_MS)

    /** The response to a request for a lease. */
    fun lease(id: Long): ByteArray = Json.write(Json.newObject().put(ProtocolNames.LEASE, id))

    /** The response to a transaction that was applied. */
    fun revision(revision: Long): ByteArray = Json.write(Json.newObject().put(ProtocolNames.REVISION, revision))

    /** The response to a transaction whose conditions on the keys [failed] did not hold. */
    fun conflict(failed: List<String>, revision: Long): ByteArray {
        val body = Json.newObject().put(ProtocolNames.REVISION, revision)
        body.putArray(ProtocolNames.FAILED).apply { failed.forEach(::add) }
        return Json.write(body)
    }

    /** The response to a read of one key. */
    fun entry(key: String, value: JsonNode, version: Long, lease: Long?): ByteArray =
        Json.write(Json.newObject().apply { putEntry(key, value, version, lease) })

    private fun ObjectNode.putEntry(key: String, value: JsonNode, version: Long, lease: Long?) {
        put(ProtocolNames.KEY, key)
        put(ProtocolNames.VERSION, version)
        put(ProtocolNames.LEASE, lease)
        set<JsonNode>(ProtocolNames.VALUE, value)
    }

    /** A page of a scan: entries as key, value and version. */
    fun entryPage(entries: List<Triple<String, JsonNode, Long>>, more: Boolean, revision: Long): ByteArray {
        val body = Json.newObject().put(ProtocolNames.MORE, more).put(ProtocolNames.REVISION, revision)
        body.putArray(ProtocolNames.ENTRIES).apply {
            entries.forEach { (key, value, version) -> addObject().putEntry(key, value, version, null) }
        }
        return Json.write(body)
    }

    /** The response to a watch: changes as key, value (null: deleted) and version. */
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

    /** The state that a user reads of a job, in the program's words: queued, running, done, cancelled. */
    fun jobState(body: ByteArray): String {
        val state = Json.readObject(body).text(ProtocolNames.STATE)
        return if (state == ProtocolNames.JOB_CANCELLED) "cancelled" else state
    }
}
