package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Resources

/** Encodes requests to the cloud and reads its responses. Readers throw [MalformedException]. */
object CloudCodec {
    /** One page of the cloud's list of instances; [more] says whether another page follows. */
    class Page(val machines: List<ListedMachine>, val more: Boolean)

    /**
     * Reads the machine types, keyed by their number in [cluster]. Types and zones that are new are added to the cluster's name tables.
     *
     * @throws MalformedException also if there are more types or zones than the tables can hold
     */
    fun machineTypes(body: ByteArray, cluster: Cluster): Map<Int, MachineType> =
        Json.readObject(body).list(ProtocolNames.MACHINE_TYPES).associate { type ->
            val name = type.text(ProtocolNames.TYPE_NAME)
            val number = cluster.typeNames.indexWithin(name, Cluster.MAX_TYPES)
            requireIndex(number, "${ProtocolNames.MACHINE_TYPES}: more than ${Cluster.MAX_TYPES}") to readType(name, type, cluster)
        }

    private fun readType(name: String, type: JsonNode, cluster: Cluster) =
        MachineType(
            name,
            Resources(type.amount(ProtocolNames.CPUS), type.amount(ProtocolNames.GPUS), type.amount(ProtocolNames.MEMORY_GB)),
            type.amount(ProtocolNames.CACHE_GB),
            type.amount(ProtocolNames.FETCH_GB_PER_S),
            type.amount(ProtocolNames.PRICE),
            type.amount(ProtocolNames.SPOT_PRICE),
            type.amount(ProtocolNames.BOOT_S),
            type.list(ProtocolNames.ZONES).map { readZone(it, cluster) },
        )

    private fun readZone(node: JsonNode, cluster: Cluster): Int {
        val zone = node.textValue() ?: throw MalformedException("${ProtocolNames.ZONES} is invalid")
        val number = cluster.zones.indexWithin(zone, Cluster.MAX_ZONES)
        return requireIndex(number, "${ProtocolNames.ZONES}: more than ${Cluster.MAX_ZONES} zones")
    }

    private fun requireIndex(number: Int, error: String): Int = if (number == NameTable.ABSENT) throw MalformedException(error) else number

    /** Encodes a request for new instances. It carries an idempotency key, so that a retry starts no further instances. */
    fun scaleOut(request: Effect.ScaleOut): ByteArray {
        val body = Json.newObject()
        body.put(ProtocolNames.REQUEST_ID, request.request)
        body.put(ProtocolNames.MACHINE_TYPE, request.type)
        body.put(ProtocolNames.ZONE, request.zone)
        body.put(ProtocolNames.SPOT, request.offer.spot)
        body.put(ProtocolNames.COUNT, request.count)
        return Json.write(body)
    }

    /** Encodes a list of instance names. */
    fun names(machines: List<String>): ByteArray {
        val body = Json.newObject()
        body.putArray(ProtocolNames.MACHINES).apply { machines.forEach(::add) }
        return Json.write(body)
    }

    /** Reads what [names] writes: the instances that a scale-out request started, or that a scale-in request is about. */
    fun readNames(body: ByteArray): List<String> = Json.readObject(body).list(ProtocolNames.MACHINES).mapNotNull { it.textValue() }

    /** Reads a page of the list of instances. */
    fun instancePage(body: ByteArray): Page {
        val page = Json.readObject(body)
        val machines = page.list(ProtocolNames.MACHINES).map(::readMachine)
        return Page(machines, page.flagOr(ProtocolNames.MORE, false))
    }

    private fun readMachine(machine: JsonNode) =
        ListedMachine(
            machine.text(ProtocolNames.ID),
            machine.textOrNull(ProtocolNames.ADDRESS),
            machine.text(ProtocolNames.MACHINE_TYPE),
            machine.text(ProtocolNames.ZONE),
            machine.flagOr(ProtocolNames.SPOT, false),
            machine.text(ProtocolNames.STATE) == ProtocolNames.MACHINE_FAILED,
            machine.amountOrNull(ProtocolNames.AGE_S) ?: 0.0,
        )
}
