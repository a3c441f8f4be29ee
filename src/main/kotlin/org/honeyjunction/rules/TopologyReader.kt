package org.honeyjunction.rules

import com.fasterxml.jackson.databind.JsonNode
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import org.honeyjunction.core.rules.Topology
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.listOrEmpty
import org.honeyjunction.wire.textOrNull

/** Reads the operators' topology from JSON: checks it against its schema and rejects cyclic or contradictory labels. */
object TopologyReader {
    /** The resource that contains the JSON schema of a topology. */
    const val SCHEMA = "topology.schema.json"

    /** The text of the JSON schema. */
    fun schemaText(): String = checkNotNull(javaClass.classLoader.getResource(SCHEMA)).readText()

    private val schema by lazy { JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText()) }

    /** Parses a topology; throws a [MalformedException] where it is invalid. */
    fun parse(json: JsonNode): Topology {
        val errors = schema.validate(json)
        if (errors.isNotEmpty()) throw MalformedException(errors.take(MAX_ERRORS).joinToString("; ") { it.message.removePrefix("$.") })
        val topology =
            try {
                Topology(json.listOrEmpty("machines").map(::entry))
            } catch (e: IllegalArgumentException) {
                throw MalformedException("machines: ${e.message}")
            }
        topology.conflict()?.let { (first, second, label) ->
            throw MalformedException("machines[$first] and machines[$second] overlap and give different values of '$label'")
        }
        return topology
    }

    private fun entry(json: JsonNode) =
        Topology.Entry(
            json.textOrNull("name"),
            json.textOrNull("type"),
            json.textOrNull("zone"),
            labels(json, "having"),
            labels(json, "labels"),
        )

    private fun labels(json: JsonNode, field: String): Map<String, String> =
        json.fieldOrNull(field)?.properties().orEmpty().associate { (label, value) -> label to value.textValue() }

    private const val MAX_ERRORS = 5
}
