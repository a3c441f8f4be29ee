package org.honeyjunction.rules

import com.fasterxml.jackson.databind.JsonNode
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import org.honeyjunction.core.rules.Topology
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.given
import org.honeyjunction.wire.listOrEmpty
import org.honeyjunction.wire.textOrNull

/** The operators' file of labels: JSON, checked against its schema, without cycles or contradictions. */
object TopologyReader {
    const val SCHEMA = "topology.schema.json"

    fun schemaText(): String = checkNotNull(javaClass.classLoader.getResource(SCHEMA)).readText()

    private val schema by lazy { JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText()) }

    fun parse(o: JsonNode): Topology {
        val errors = schema.validate(o)
        if (errors.isNotEmpty()) throw MalformedException(errors.take(MAX_ERRORS).joinToString("; ") { it.message.removePrefix("$.") })
        val topology =
            try {
                Topology(o.listOrEmpty("machines").map(::entry))
            } catch (e: IllegalArgumentException) {
                throw MalformedException("machines: ${e.message}")
            }
        topology.conflict()?.let { (a, b, label) ->
            throw MalformedException("machines[$a] and machines[$b] overlap and give different values of '$label'")
        }
        return topology
    }

    private fun entry(e: JsonNode) =
        Topology.Entry(e.textOrNull("name"), e.textOrNull("type"), e.textOrNull("zone"), labels(e, "having"), labels(e, "labels"))

    private fun labels(e: JsonNode, name: String): Map<String, String> =
        e.given(name)?.properties().orEmpty().associate { (label, value) -> label to value.textValue() }

    private const val MAX_ERRORS = 5
}
