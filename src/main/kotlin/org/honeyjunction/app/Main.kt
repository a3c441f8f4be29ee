package org.honeyjunction.app

import org.honeyjunction.app.local.LocalCommand
import org.honeyjunction.app.nomad.JobCommand
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.io.EventLoop
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.wire.MalformedException
import picocli.AutoComplete.GenerateCompletion
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The program's top-level command; without a subcommand, prints the usage. */
@Command(
    name = "honeyjunction",
    mixinStandardHelpOptions = true,
    version = [VERSION],
    description = [
        "A cluster scheduler that places tasks by fairness and data locality.",
        "--config FILE alone starts a controller, as serve does.",
    ],
    subcommands = [
        Serve::class,
        LocalCommand::class,
        RulesCommand::class,
        JobCommand::class,
        ExplainCommand::class,
        TimelineCommand::class,
        GenerateCompletion::class,
    ],
    synopsisSubcommandLabel = "COMMAND",
)
class Main : Callable<Int> {
    /** Set by picocli. */
    @CommandLine.Spec
    lateinit var spec: CommandLine.Model.CommandSpec

    override fun call(): Int {
        spec.commandLine().usage(System.err)
        return ExitStatus.USAGE
    }
}

/** The command `serve`: runs one controller until the process is killed. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    version = [VERSION],
    description = ["Runs one controller of the cluster scheduler."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = [
        "0:the settings files are valid (--check)",
        "2:wrong arguments",
        "3:a settings file is missing or invalid",
        "4:an address can't be listened on",
    ],
)
class Serve : Callable<Int> {
    /** The file with the platform's settings. */
    @Option(names = ["--config"], paramLabel = "FILE", description = ["the platform's settings file (JSON)"])
    var config: Path? = null

    /** The file with the operators' settings; null for the defaults. */
    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' settings file (JSON)"])
    var operator: Path? = null

    /** Whether to check the settings files and exit. */
    @Option(names = ["--check"], description = ["check the settings files and exit"])
    var check = false

    /** Whether to print the schema of the operators' settings and exit. */
    @Option(names = ["--schema"], description = ["print the schema of the operators' settings and exit"])
    var schema = false

    /** Whether to run [WarmUp] and exit. */
    @Option(names = ["--rehearse"], hidden = true, description = ["load the classes that a start needs, for the class-data archive"])
    var warmUp = false

    override fun call(): Int {
        if (schema) {
            println(OperatorSettings.schemaText())
            return ExitStatus.OK
        }
        if (warmUp) return WarmUp.run()
        val file = config ?: return printError("--config FILE is required", ExitStatus.USAGE)
        val (settings, tuning, nomad) =
            try {
                val operatorConfiguration = operator?.let(OperatorSettings::read)
                Triple(
                    Files.withFileName(file) { Settings.read(file) },
                    operatorConfiguration?.tuning ?: Tuning(),
                    operatorConfiguration?.nomad,
                )
            } catch (e: MalformedException) {
                return printError(e.message!!, ExitStatus.BAD_FILE)
            } catch (e: IOException) {
                return printError(e.message!!, ExitStatus.BAD_FILE)
            }
        settings.warnings.forEach { System.err.println("honeyjunction: $file: $it") }
        if (check) {
            println("$file is valid")
            return ExitStatus.OK
        }
        return serve(settings, tuning, nomad)
    }

    private fun serve(settings: Settings, tuning: Tuning, nomad: NomadOptions?): Int {
        val loop = EventLoop()
        val timestamps = LogTimestamps.install(settings.node, settings.skewMs)
        try {
            val node = Node(settings, tuning, loop, nomad = nomad)
            timestamps.term = { node.knownTerm }
            node.start()
        } catch (e: IOException) {
            val addresses = listOfNotNull(settings.listen, settings.peerListen, nomad?.takeIf { it.on }?.listen)
            return printError("can't listen on ${addresses.joinToString(" or ")}: ${e.message}", ExitStatus.CANT_LISTEN)
        }
        // Runs until the process is killed.
        CountDownLatch(1).await()
        return ExitStatus.OK
    }
}

private const val VERSION = "honeyjunction 0.2.0"

/** Logs to standard error at the level in LOG_LEVEL, or at [defaultLevel] if that names no level. */
private fun configureLogging(defaultLevel: String) {
    val requested = System.getenv("LOG_LEVEL").orEmpty().lowercase()
    val level = if (requested in setOf("error", "warn", "info", "debug")) requested else defaultLevel
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
}

/**
 * Runs the command that [args] name. Options without a command belong to `serve`; then only that command's classes are loaded,
 * so that a controller starts faster.
 */
fun main(args: Array<String>) {
    val commandOmitted = args.firstOrNull()?.let { it.startsWith("--") && it !in setOf("--help", "--version") } == true
    val serving = commandOmitted || args.firstOrNull() == "serve"
    configureLogging(if (serving) "info" else "error")
    val command = if (commandOmitted) CommandLine(Serve()).setCommandName("honeyjunction") else CommandLine(Main())
    val status =
        command
            .setExecutionExceptionHandler { e, _, _ ->
                printError("internal error: $e", ExitStatus.FAILED)
            }.execute(*args)
    // On a full disk or a closed pipe the output is lost, so the command has failed even if its work is done.
    val outputLost = System.out.checkError() && status == ExitStatus.OK
    exitProcess(if (outputLost) printError("the output can't be written", ExitStatus.FAILED) else status)
}
