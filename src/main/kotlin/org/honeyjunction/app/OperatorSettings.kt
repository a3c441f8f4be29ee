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

/**
 * The content of the operators' settings file.
 *
 * @property tuning the settings of scheduling
 * @property nomad the settings of the Nomad-compatible API; null if the file has none
 */
class OperatorConfiguration(val tuning: Tuning, val nomad: NomadOptions?)

/** Reads the operators' settings file: JSON that is validated against the published schema. */
object OperatorSettings {
    /** The name of the resource with the schema. */
    const val SCHEMA = "operator-settings.schema.json"

    /** The JSON schema of the settings file. */
    fun schemaText(): String = checkNotNull(javaClass.classLoader.getResource(SCHEMA)).readText()

    /** The settings in [file]; throws [MalformedException] with the file's name before the error, or [UnreadableFileException]. */
    fun read(file: Path): OperatorConfiguration = Files.json(file, "") { OperatorConfiguration(parse(it), nomad(it)) }

    /** The scheduling settings in [settings], with defaults for those that are missing; throws [MalformedException] with all errors. */
    fun parse(settings: JsonNode): Tuning {
        val schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText())
        val errors = schema.validate(settings)
        if (errors.isNotEmpty()) throw MalformedException(errors.joinToString("; ") { it.message })
        val defaults = Tuning()
        val rules = settings.fieldOrNull("rules")
        return defaults.copy(
            placementIntervalMs = settings.integer("round_ms", defaults.placementIntervalMs),
            summaryWaitMs = settings.integer("summary_ms", defaults.summaryWaitMs),
            capacityPlanIntervalMs = settings.integer("capacity_ms", defaults.capacityPlanIntervalMs),
            idleMs = settings.integer("idle_ms", defaults.idleMs),
            spareFactor = settings.number("spare_factor", defaults.spareFactor),
            forecastMs = settings.integer("forecast_ms", defaults.forecastMs),
            preemptAfterMs = settings.integer("preempt_after_ms", defaults.preemptAfterMs),
            refusedOfferBackoffMs = settings.integer("refusal_ms", defaults.refusedOfferBackoffMs),
            ownerTimeoutMs = settings.integer("lapse_ms", defaults.ownerTimeoutMs),
            leaseMs = settings.integer("lease_ms", defaults.leaseMs),
            maxTasks = settings.integer("max_tasks", defaults.maxTasks.toLong()).toInt(),
            rules = rules?.fieldOrNull("on")?.booleanValue() ?: defaults.rules,
            explainMs = rules?.integer("explain_ms", defaults.explainMs) ?: defaults.explainMs,
            explainTasks = rules?.integer("explain_tasks", defaults.explainTasks.toLong())?.toInt() ?: defaults.explainTasks,
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
            rules?.integer("patience_ms", defaults.patienceMs) ?: defaults.patienceMs,
        )

    /** The settings of the Nomad-compatible API; null if the file has none. */
    private fun nomad(settings: ObjectNode): NomadOptions? {
        val options = settings.fieldOrNull("nomad") ?: return null
        val defaults = NomadOptions()
        return NomadOptions(
            options.fieldOrNull("on")?.booleanValue() ?: defaults.on,
            options.fieldOrNull("listen")?.textValue() ?: defaults.listen,
            options.number("mhz_per_core", defaults.mhzPerCore),
            options.fieldOrNull("team")?.textValue(),
            options.fieldOrNull("production")?.mapNotNull { it.textValue() } ?: defaults.production,
            options.integer("max_waiting", defaults.maxWaiting.toLong()).toInt(),
        )
    }

    private fun JsonNode.integer(name: String, default: Long) = fieldOrNull(name)?.longValue() ?: default

    private fun JsonNode?.number(name: String, default: Double) = this?.fieldOrNull(name)?.doubleValue() ?: default
}
