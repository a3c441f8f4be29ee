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
import org.honeyjunction.wire.fieldOrNull

/** The source text of rules, with the topology that they refer to. Both are applied, stored and returned together. */
class RulesDocument(val text: String, val topology: ObjectNode?) {
    /** The document as JSON, the form in which it is stored. */
    val json: ByteArray = Json.write(write(Json.newObject()))

    /** The SHA-256 hash of [json]; identifies the document and verifies that its stored parts are complete and unchanged. */
    val hash: ByteString = json.toByteString().sha256()

    /** Adds the document's fields to [target] and returns it. */
    fun write(target: ObjectNode): ObjectNode = target.put("rules", text).apply { topology?.let { set<JsonNode>("topology", it) } }

    /** The parsed topology; empty where the document has none. Throws a [MalformedException] where it is invalid. */
    fun topology(): Topology = topology?.let(TopologyReader::parse) ?: Topology.EMPTY

    /**
     * Parses and checks the document. [file] and [topologyFile] name its two parts in messages. [inventory], where given, is used to
     * warn of rules that match nothing in that cluster. [rulesOnly] means that the rules are checked without their topology, so that an
     * unknown label causes only a warning.
     */
    fun check(
        version: Long,
        inventory: Analysis.Inventory? = null,
        file: String = "rules",
        topologyFile: String = "topology",
        rulesOnly: Boolean = false,
    ): CheckResult {
        val topology =
            try {
                topology()
            } catch (e: MalformedException) {
                return CheckResult(null, listOf("$topologyFile: ${e.message}"), emptyList())
            }
        val read = RulesReader(topology.labels.takeUnless { rulesOnly }).read(text)
        if (read.errors.isNotEmpty()) return CheckResult(null, read.errors.map { it.at(file) }, emptyList())
        val warnings =
            Analysis(read.rules, inventory).warnings().map { warning ->
                val position = read.positions[warning.rule].let { if (warning.clause < 0) it.rule else it.clauses[warning.clause] }
                position.copy(message = "warning: ${warning.message}").at(file)
            }
        val uncertainties = read.uncertainties.map { it.copy(message = "warning: ${it.message}").at(file) }
        return CheckResult(RuleSet(version, read.rules, topology), emptyList(), uncertainties + warnings)
    }

    /** The result of [check]: the rule set, or null with at least one error. */
    class CheckResult(val set: RuleSet?, val errors: List<String>, val warnings: List<String>)

    companion object {
        /** Reads a document from the JSON form that [write] produces. */
        fun parse(json: JsonNode): RulesDocument {
            val text =
                json.fieldOrNull("rules")?.takeIf { it.isTextual }?.textValue() ?: throw MalformedException("rules is missing or invalid")
            val topology = json.fieldOrNull("topology")
            if (topology != null && topology !is ObjectNode) throw MalformedException("topology is not an object")
            return RulesDocument(text, topology as? ObjectNode)
        }
    }
}
