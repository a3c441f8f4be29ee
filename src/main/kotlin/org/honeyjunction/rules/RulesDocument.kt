package org.honeyjunction.rules

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import okio.ByteString
import okio.ByteString.Companion.toByteString
import org.honeyjunction.core.rules.Analysis
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.core.rules.Topology
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.given

/** Rules with the topology that they were written for: what is applied, kept and handed out as one whole. */
class RulesDocument(val text: String, val topology: ObjectNode?) {
    val json: ByteArray = Json.write(write(Json.obj()))

    /** Tells one document from another, and whether all of its parts are there as they were written. */
    val hash: ByteString = json.toByteString().sha256()

    fun write(o: ObjectNode): ObjectNode = o.put("rules", text).apply { topology?.let { set<JsonNode>("topology", it) } }

    fun topology(): Topology = topology?.let(TopologyReader::parse) ?: Topology.EMPTY

    /**
     * What the document means, or what is wrong with it; [file] and [topologyFile] name its halves in messages. [alone]: the
     * topology, if there is any, is not at hand, so that labels can only be warned of.
     */
    fun check(
        version: Long,
        known: Analysis.Inventory? = null,
        file: String = "rules",
        topologyFile: String = "topology",
        alone: Boolean = false,
    ): Checked {
        val topology =
            try {
                topology()
            } catch (e: MalformedException) {
                return Checked(null, listOf("$topologyFile: ${e.message}"), emptyList())
            }
        val read = RulesReader(topology.labels.takeUnless { alone }).read(text)
        if (read.errors.isNotEmpty()) return Checked(null, read.errors.map { it.at(file) }, emptyList())
        val warnings =
            Analysis(read.rules, known).warnings().map { w ->
                val place = read.positions[w.rule].let { if (w.clause < 0) it.rule else it.clauses[w.clause] }
                place.copy(message = "warning: ${w.message}").at(file)
            }
        val uncertainties = read.uncertainties.map { it.copy(message = "warning: ${it.message}").at(file) }
        return Checked(RuleSet(version, read.rules, topology), emptyList(), uncertainties + warnings)
    }

    class Checked(val set: RuleSet?, val errors: List<String>, val warnings: List<String>)

    companion object {
        fun parse(o: JsonNode): RulesDocument {
            val text = o.given("rules")?.takeIf { it.isTextual }?.textValue() ?: throw MalformedException("rules is missing or invalid")
            val topology = o.given("topology")
            if (topology != null && topology !is ObjectNode) throw MalformedException("topology is not an object")
            return RulesDocument(text, topology as? ObjectNode)
        }
    }
}
