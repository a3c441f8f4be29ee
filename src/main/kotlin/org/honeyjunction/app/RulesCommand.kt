package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.core.rules.Analysis
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.rules.TopologyReader
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.listOrEmpty
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path

private const val DEFAULT_ADDRESSES = "127.0.0.1:8080"

/** The command `rules`: checks, applies and shows the operators' rules. */
@Command(
    name = "rules",
    mixinStandardHelpOptions = true,
    description = ["Checks, applies and shows operators' rules; docs/rules.md describes the language."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = [
        "0:the rules are valid, or the command succeeded",
        "1:the rules are invalid, or a concurrent change was applied first",
        "2:wrong arguments",
        "3:a file is missing or invalid",
        "5:no controller answers",
    ],
)
class RulesCommand {
    private fun document(file: Path, topology: Path?): RulesDocument {
        val tree = topology?.let { Files.json(it, "") { json -> json } }
        return RulesDocument(Files.text(file), tree)
    }

    /** The command `rules check`; returns the exit status. */
    @Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = ["Checks rules without applying them; prints errors and warnings with their positions."],
    )
    fun check(
        @Parameters(paramLabel = "FILE", description = ["the rules"]) file: Path,
        @Option(names = ["--topology"], paramLabel = "FILE", description = ["the topology: labels of machines (JSON)"]) topology: Path?,
        @Option(
            names = ["--settings"],
            paramLabel = "FILE",
            description = ["a cluster's settings with machine_types, to warn of rules that no machine type satisfies"],
        ) settings: Path?,
    ): Int =
        withErrorReporting {
            val known: Analysis.Inventory? = settings?.let { path -> Files.json(path, "") { LocalSettings(it, null, 1).known() } }
            val topologyName = topology?.toString() ?: "topology"
            val checked = document(file, topology).check(0, known, file.toString(), topologyName, rulesOnly = topology == null)
            (checked.errors + checked.warnings).forEach(System.err::println)
            val set = checked.set ?: return ExitStatus.FAILED
            val clauses = set.rules.flatMap { it.clauses }
            val (must, prefer) = clauses.partition { it.weight == null }
            println("$file: ${set.rules.size} rules, ${must.size} must, ${prefer.size} prefer; ${checked.warnings.size} warnings")
            ExitStatus.OK
        }

    /** The command `rules apply`; returns the exit status. */
    @Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = ["Puts a set of rules in force atomically; running tasks are not affected."],
    )
    fun apply(
        @Parameters(paramLabel = "FILE", description = ["the rules"]) file: Path,
        @Option(names = ["--topology"], paramLabel = "FILE", description = ["the topology: labels of machines (JSON)"]) topology: Path?,
        @Option(names = ["--expect"], paramLabel = "N", description = ["only if version N is in force"]) expect: Long?,
        @Option(
            names = ["--at"],
            paramLabel = "ADDRESS",
            defaultValue = DEFAULT_ADDRESSES,
            description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
        ) at: String,
    ): Int =
        withErrorReporting {
            val document = document(file, topology)
            val checked = document.check(0, null, file.toString(), topology?.toString() ?: "topology")
            (checked.errors + checked.warnings).forEach(System.err::println)
            if (checked.set == null) return ExitStatus.FAILED
            val body = document.write(Json.newObject()).apply { expect?.let { put("expect", it) } }
            val client = OperatorClient.at(at)
            val response = client.ask("POST", RulesApi.RULES_PATH, Json.write(body))
            if (response.status != 200) return reportRejection(response)
            val version = Json.readObject(response.body).count("version")
            println("version $version is durable")
            val inForce = isInForce(client, version)
            println(if (inForce) "version $version is in force" else "the leader has not confirmed yet that it applies version $version")
            ExitStatus.OK
        }

    /** Polls until the leader applies [version] or a later one; false if it does not confirm that within [POLLS] attempts. */
    private fun isInForce(client: OperatorClient, version: Long): Boolean {
        repeat(POLLS) {
            val response = client.ask("GET", RulesApi.RULES_PATH)
            val inForce = if (response.status == 200) Json.readObject(response.body).fieldOrNull("in_force")?.longValue() else null
            if (inForce != null && inForce >= version) return true
            Thread.sleep(POLL_MS)
        }
        return false
    }

    private fun reportRejection(response: Response): Int {
        val body =
            try {
                Json.readObject(response.body)
            } catch (_: MalformedException) {
                Json.newObject()
            }
        val errors = body.listOrEmpty("errors").mapNotNull { it.textValue() }.ifEmpty { listOf(OperatorClient.reason(response)) }
        errors.forEach { System.err.println("honeyjunction: $it") }
        return ExitStatus.FAILED
    }

    /** The command `rules show`; returns the exit status. */
    @Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = ["Prints the rules in force, or with --topology the topology."],
    )
    fun show(
        @Option(names = ["--topology"], description = ["print the topology instead"]) topology: Boolean,
        @Option(
            names = ["--at"],
            paramLabel = "ADDRESS",
            defaultValue = DEFAULT_ADDRESSES,
            description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
        ) at: String,
    ): Int =
        withErrorReporting {
            val response = OperatorClient.at(at).ask("GET", RulesApi.RULES_PATH)
            if (response.status != 200) return reportRejection(response)
            val stored: ObjectNode = Json.readObject(response.body)
            if (topology) return ExitStatus.OK.also { println(stored.fieldOrNull("topology")?.toPrettyString() ?: "{}") }
            val version = stored.count("version")
            val leaderNote =
                when (val inForce = stored.fieldOrNull("in_force")?.longValue()) {
                    null -> "; the leader does not answer"
                    version -> ""
                    else -> "; the leader still applies version $inForce"
                }
            println("# version $version$leaderNote")
            print(stored.fieldOrNull("rules")?.textValue().orEmpty())
            ExitStatus.OK
        }

    /** The command `rules schema`; returns the exit status. */
    @Command(name = "schema", mixinStandardHelpOptions = true, description = ["Prints the schema of the topology file."])
    fun schema(): Int {
        println(TopologyReader.schemaText())
        return ExitStatus.OK
    }

    private companion object {
        const val POLLS = 20
        const val POLL_MS = 150L
    }
}
