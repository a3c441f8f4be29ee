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

private const val AT = "127.0.0.1:8080"

/** The command `rules`: checks, applies and shows the operators' rules. */
@Command(
    name = "rules",
    mixinStandardHelpOptions = true,
    description = ["Checks, applies and shows operators' rules; docs/rules.md has the language."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = [
        "0:good, or done",
        "1:the rules are wrong, or somebody else's came first",
        "2:wrong arguments",
        "3:a file is missing or is not what it should be",
        "5:no controller answers",
    ],
)
class RulesCommand {
    private fun document(file: Path, topology: Path?): RulesDocument {
        val tree = topology?.let { Files.json(it, "") { o -> o } }
        return RulesDocument(Files.text(file), tree)
    }

    @Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = ["Reads rules without applying them: errors and warnings with their places."],
    )
    fun check(
        @Parameters(paramLabel = "FILE", description = ["the rules"]) file: Path,
        @Option(names = ["--topology"], paramLabel = "FILE", description = ["labels of machines (JSON)"]) topology: Path?,
        @Option(
            names = ["--settings"],
            paramLabel = "FILE",
            description = ["a cluster's file with machine_types, to warn of rules that none of them meets"],
        ) settings: Path?,
    ): Int =
        reporting {
            val known: Analysis.Inventory? = settings?.let { s -> Files.json(s, "") { LocalSettings(it, null, 1).known() } }
            val topologyName = topology?.toString() ?: "topology"
            val checked = document(file, topology).check(0, known, file.toString(), topologyName, rulesOnly = topology == null)
            (checked.errors + checked.warnings).forEach(System.err::println)
            val set = checked.set ?: return Status.FAILED
            val clauses = set.rules.flatMap { it.clauses }
            val (must, prefer) = clauses.partition { it.weight == null }
            println("$file: ${set.rules.size} rules, ${must.size} must, ${prefer.size} prefer; ${checked.warnings.size} warnings")
            Status.OK
        }

    @Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = ["Puts rules in force, all of them or none; what runs goes on."],
    )
    fun apply(
        @Parameters(paramLabel = "FILE", description = ["the rules"]) file: Path,
        @Option(names = ["--topology"], paramLabel = "FILE", description = ["labels of machines (JSON)"]) topology: Path?,
        @Option(names = ["--expect"], paramLabel = "N", description = ["only if version N is in force"]) expect: Long?,
        @Option(
            names = ["--at"],
            paramLabel = "ADDRESS",
            defaultValue = AT,
            description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
        ) at: String,
    ): Int =
        reporting {
            val document = document(file, topology)
            val checked = document.check(0, null, file.toString(), topology?.toString() ?: "topology")
            (checked.errors + checked.warnings).forEach(System.err::println)
            if (checked.set == null) return Status.FAILED
            val body = document.write(Json.newObject()).apply { expect?.let { put("expect", it) } }
            val client = OperatorClient.at(at)
            val response = client.ask("POST", RulesApi.RULES_PATH, Json.write(body))
            if (response.status != 200) return refused(response)
            val version = Json.readObject(response.body).count("version")
            println("version $version is durable")
            val inForce = isInForce(client, version)
            println(if (inForce) "version $version is in force" else "the leader has not told yet that it goes by version $version")
            Status.OK
        }

    /** Whether the leader places by [version] or a later one, which takes it some moments. */
    private fun isInForce(client: OperatorClient, version: Long): Boolean {
        repeat(POLLS) {
            val response = client.ask("GET", RulesApi.RULES_PATH)
            val inForce = if (response.status == 200) Json.readObject(response.body).fieldOrNull("in_force")?.longValue() else null
            if (inForce != null && inForce >= version) return true
            Thread.sleep(POLL_MS)
        }
        return false
    }

    private fun refused(response: Response): Int {
        val body =
            try {
                Json.readObject(response.body)
            } catch (_: MalformedException) {
                Json.newObject()
            }
        val errors = body.listOrEmpty("errors").mapNotNull { it.textValue() }.ifEmpty { listOf(OperatorClient.why(response)) }
        errors.forEach { System.err.println("honeyjunction: $it") }
        return Status.FAILED
    }

    @Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = ["Prints the rules that are in force, or with --topology the labels."],
    )
    fun show(
        @Option(names = ["--topology"], description = ["print the topology instead"]) topology: Boolean,
        @Option(
            names = ["--at"],
            paramLabel = "ADDRESS",
            defaultValue = AT,
            description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
        ) at: String,
    ): Int =
        reporting {
            val response = OperatorClient.at(at).ask("GET", RulesApi.RULES_PATH)
            if (response.status != 200) return refused(response)
            val stored: ObjectNode = Json.readObject(response.body)
            if (topology) return Status.OK.also { println(stored.fieldOrNull("topology")?.toPrettyString() ?: "{}") }
            val version = stored.count("version")
            val leaderNote =
                when (val inForce = stored.fieldOrNull("in_force")?.longValue()) {
                    null -> "; the leader does not answer"
                    version -> ""
                    else -> "; the leader still goes by version $inForce"
                }
            println("# version $version$leaderNote")
            print(stored.fieldOrNull("rules")?.textValue().orEmpty())
            Status.OK
        }

    @Command(name = "schema", mixinStandardHelpOptions = true, description = ["Prints the schema of the topology file."])
    fun schema(): Int {
        println(TopologyReader.schemaText())
        return Status.OK
    }

    private companion object {
        const val POLLS = 20
        const val POLL_MS = 150L
    }
}
