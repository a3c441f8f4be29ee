package org.honeyjunction.app

import org.honeyjunction.core.control.Tuning
import org.honeyjunction.io.Loop
import org.honeyjunction.wire.MalformedException
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

@Command(
    name = "honeyjunction",
    mixinStandardHelpOptions = true,
    version = ["honeyjunction 0.1.0"],
    description = ["Runs one controller of the cluster scheduler."],
    exitCodeOnInvalidInput = 2,
)
class Main : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["the platform's settings file (JSON)"])
    var config: Path? = null

    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' settings file (JSON)"])
    var operator: Path? = null

    @Option(names = ["--check"], description = ["check the settings files and end"])
    var check = false

    @Option(names = ["--schema"], description = ["print the schema of the operators' settings and end"])
    var schema = false

    @Option(names = ["--rehearse"], hidden = true, description = ["go through the classes of a start, for the class-data archive"])
    var rehearse = false

    override fun call(): Int {
        if (schema) {
            println(OperatorSettings.schemaText())
            return 0
        }
        if (rehearse) return Rehearsal.run()
        val file = config ?: return complain("--config FILE is needed", USAGE)
        val tuning = try {
            operator?.let(OperatorSettings::read) ?: Tuning()
        } catch (e: MalformedException) {
            return complain("$operator: ${e.message}", BAD_SETTINGS)
        } catch (e: IOException) {
            return complain("$operator can't be read: ${e.message}", BAD_SETTINGS)
        }
        val settings = try {
            Settings.read(file)
        } catch (e: MalformedException) {
            return complain("$file: ${e.message}", BAD_SETTINGS)
        } catch (e: IOException) {
            return complain("$file can't be read: ${e.message}", BAD_SETTINGS)
        }
        if (check) {
            println("$file is good")
            return 0
        }
        return serve(settings, tuning)
    }

    private fun serve(settings: Settings, tuning: Tuning): Int {
        val loop = Loop()
        try {
            Node(settings, tuning, loop).start()
        } catch (e: IOException) {
            return complain("can't listen: ${e.message}", CANT_LISTEN)
        }
        // Runs until the process is killed.
        CountDownLatch(1).await()
        return 0
    }

    private fun complain(message: String, status: Int): Int {
        System.err.println("honeyjunction: $message")
        return status
    }

    private companion object {
        const val USAGE = 2
        const val BAD_SETTINGS = 3
        const val CANT_LISTEN = 4
    }
}

/** LOG_LEVEL says how much goes to standard error. */
private fun setUpLogging() {
    val level = System.getenv("LOG_LEVEL").orEmpty().lowercase()
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", if (level in setOf("error", "warn", "info", "debug")) level else "info")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
}

fun main(args: Array<String>) {
    setUpLogging()
    val status = CommandLine(Main()).execute(*args)
    System.out.flush()
    exitProcess(status)
}
