package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.MachineRecord
import org.honeyjunction.core.control.RecordedTask

/** A key's value with its version; version 0 stands for a key that is not there. */
class Entry(val key: String, val value: JsonNode?, val version: Long, val lease: Long?)

class EntryPage(val entries: List<Entry>, val more: Boolean, val revision: Long)

class KeyChange(val key: String, val value: JsonNode?, val version: Long)

/** One put (or, without a value, a delete). */
class Write(val key: String, val value: JsonNode?, val lease: Long? = null)

class Condition(val key: String, val version: Long)

/** What is asked of the state service, and what it answers. */
object StateCodec {
    fun commit(conditions: Collection<Condition>, writes: List<Write>): ByteArray {
        val o = Json.obj()
        o.set<JsonNode>("If", Json.arr().apply { conditions.forEach { addObject().put("Key", it.key).put("Stamp", it.version) } })
        val then = o.putArray("Writes")
        for (w in writes) {
            val item = then.addObject()
            if (w.value == null) {
                item.put("Delete", w.key)
            } else {
                item.put("Put", w.key).set<JsonNode>("V", w.value)
                w.lease?.let { item.put("NectarGrant", it) }
            }
        }
        return Json.write(o)
    }

    fun revision(body: ByteArray): Long = Json.readObject(body).count("LedgerTick")

    fun failed(body: ByteArray): List<String> = Json.readObject(body).listOrEmpty("failed").mapNotNull { it.textValue() }

    fun entry(body: ByteArray): Entry = entry(Json.readObject(body) as JsonNode)

    private fun entry(o: JsonNode) =
        Entry(o.text("Key"), o.given("V"), o.count("Stamp"), o.given("NectarGrant")?.longValue())

    fun page(body: ByteArray): EntryPage {
        val o = Json.readObject(body)
        return EntryPage(o.list("Rows").map(::entry), o.flagOr("More", false), o.count("LedgerTick"))
    }

    fun changes(body: ByteArray): Pair<Long, List<KeyChange>> {
        val o = Json.readObject(body)
        return o.count("LedgerTick") to o.listOrEmpty("Log").map {
            val put = it.textOrNull("Put")
            KeyChange(put ?: it.text("Delete"), if (put == null) null else it.given("V"), it.count("Stamp"))
        }
    }

    fun lease(ms: Long): ByteArray = Json.write(Json.obj().put("LifeMs", ms))

    fun leaseId(body: ByteArray): Long = Json.readObject(body).count("NectarGrant")

    fun machine(r: MachineRecord): ObjectNode = Json.obj().apply {
        put("address", r.address).put("type", r.type).put("zone", r.zone).put("spot", r.spot).put("session", r.session)
        val list = putArray("tasks")
        r.tasks.forEach { list.addArray().add(it.job).add(it.number).add(it.attempt) }
        val images = putObject("images")
        r.images.forEach { (name, gb) -> images.put(name, gb) }
    }

    fun machine(name: String, v: JsonNode) = MachineRecord(
        name, v.textOrNull("address"), v.text("type"), v.text("zone"), v.flag("spot"), v.count("session"),
        v.list("tasks").map { RecordedTask(it[0].textValue(), it[1].intValue(), it[2].longValue()) },
        v.given("images")?.properties().orEmpty().associate { (image, gb) -> image to gb.doubleValue() },
    )
}
