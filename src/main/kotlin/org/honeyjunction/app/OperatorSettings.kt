package org.honeyjunction.app

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.placement.CostSettings
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.fieldOrNull
import java.nio.file.Path

/** The operators' settings; [nomad] is null where the file has no settings of the interface for job files. */
class Operators(val tuning: Tuning, val nomad: NomadOptions?)

/** The operators' own settings: JSON, checked against the published schema. */
object OperatorSettings {
    /** The resource that holds the schema. */
    const val SCHEMA = "operator-settings.schema.json"

    fun schemaText(): String = checkNotNull(javaClass.classLoader.getResource(SCHEMA)).readText()

    /** The settings in [file]; throws [MalformedException] with the file's name in front, or [BadFileException]. */
    fun read(file: Path): Operators = Files.json(file, "") { Operators(parse(it), nomad(it)) }

    /** The settings of scheduling in [settings], defaults where it has none; throws [MalformedException] with all faults. */
    fun parse(settings: JsonNode): Tuning {
        val schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText())
        val faults = schema.validate(settings)
        if (faults.isNotEmpty()) throw MalformedException(faults.joinToString("; ") { it.message })
        val defaults = Tuning()
        val rules = settings.fieldOrNull("rules")
        return defaults.copy(
            placementIntervalMs = settings.ms("round_ms", defaults.placementIntervalMs),
            summaryWaitMs = settings.ms("summary_ms", defaults.summaryWaitMs),
            capacityPlanIntervalMs = settings.ms("capacity_ms", defaults.capacityPlanIntervalMs),
            idleMs = settings.ms("idle_ms", defaults.idleMs),
            spareFactor = settings.number("spare_factor", defaults.spareFactor),
            forecastMs = settings.ms("forecast_ms", defaults.forecastMs),
            preemptAfterMs = settings.ms("preempt_after_ms", defaults.preemptAfterMs),
            refusedOfferBackoffMs = settings.ms("refusal_ms", defaults.refusedOfferBackoffMs),
            ownerTimeoutMs = settings.ms("lapse_ms", defaults.ownerTimeoutMs),
            leaseMs = settings.ms("lease_ms", defaults.leaseMs),
            maxTasks = settings.ms("max_tasks", defaults.maxTasks.toLong()).toInt(),
            rules = rules?.fieldOrNull("on")?.booleanValue() ?: defaults.rules,
            explainMs = rules?.ms("explain_ms", defaults.explainMs) ?: defaults.explainMs,
            explainTasks = rules?.ms("explain_tasks", defaults.explainTasks.toLong())?.toInt() ?: defaults.explainTasks,
            cost = cost(settings.fieldOrNull("cost"), rules, defaults.cost),
        )
    }

    private fun cost(cost: JsonNode?, rules: JsonNode?, defaults: CostSettings) =
        CostSettings(
            cost.number("alpha", defaults.alpha),
            cost.number("beta", defaults.beta),
            cost.number("priority_step", defaults.priorityStep),
            cost.number("spot_preference", defaults.spotPreference),
            cost.number("packing", defaults.packing),
            cost.number("aging_per_s", defaults.agingPerS),
            cost.number("max_columns", defaults.maxColumns.toDouble()).toInt(),
            rules?.ms("patience_ms", defaults.patienceMs) ?: defaults.patienceMs,
        )

    /** The settings of the interface for job files; null where the file has none. */
    private fun nomad(settings: ObjectNode): NomadOptions? {
        val options = settings.fieldOrNull("nomad") ?: return null
        val defaults = NomadOptions()
        return NomadOptions(
            options.fieldOrNull("on")?.booleanValue() ?: defaults.on,
            options.fieldOrNull("listen")?.textValue() ?: defaults.listen,
            options.number("mhz_per_core", defaults.mhzPerCore),
            options.fieldOrNull("team")?.textValue(),
            options.fieldOrNull("production")?.mapNotNull { it.textValue() } ?: defaults.production,
            options.ms("max_waiting", defaults.maxWaiting.toLong()).toInt(),
        )
    }

    private fun JsonNode.ms(name: String, otherwise: Long) = fieldOrNull(name)?.longValue() ?: otherwise

    private fun JsonNode?.number(name: String, otherwise: Double) = this?.fieldOrNull(name)?.doubleValue() ?: otherwise
}
