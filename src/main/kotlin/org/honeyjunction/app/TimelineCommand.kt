package org.honeyjunction.app

import org.honeyjunction.timeline.LogReader
import org.honeyjunction.timeline.NodeLog
import org.honeyjunction.timeline.OrderEvidence
import org.honeyjunction.timeline.OrderedEntry
import org.honeyjunction.timeline.Timeline
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.NoSuchFileException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.io.path.useLines

/** The command `timeline`: merges the logs of several controllers, of this or an earlier version, into one order and prints it. */
@Command(
    name = "timeline",
    mixinStandardHelpOptions = true,
    description = [
        "Merges the logs of several controllers into one order, by terms and by clocks with their error bounds.",
        "The mark before a line shows why it comes after the line before it: none (the same controller), '|' (the clocks' error " +
            "bounds do not overlap), '>' (by terms), '~' (unknown: by the clocks, which may be wrong).",
    ],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = ["0:told", "1:the output can't be written", "2:wrong arguments", "3:a file is missing or is not a controller's log"],
)
class TimelineCommand : Callable<Int> {
    /** The log files to merge. */
    @Parameters(arity = "1..*", paramLabel = "LOG", description = ["the standard error output of a controller, one file each"])
    lateinit var files: List<Path>

    /** Whether to print only lines with an event name. */
    @Option(names = ["--events"], description = ["print only lines with an event name"])
    var eventsOnly = false

    override fun call(): Int {
        val logs =
            try {
                files.map { readLog(it) }
            } catch (e: UnreadableLogException) {
                return printError(e.message, ExitStatus.BAD_FILE)
            }
        Timeline.merge(logs.map { it.entries }).flatMap { render(it) }.forEach(::println)
        return ExitStatus.OK
    }

    private fun readLog(file: Path): NodeLog {
        val log =
            try {
                file.useLines { LogReader.read(file.toString(), it) }
            } catch (_: NoSuchFileException) {
                throw UnreadableLogException("$file: no such file")
            } catch (_: CharacterCodingException) {
                throw UnreadableLogException("$file: not UTF-8 text")
            } catch (e: IOException) {
                throw UnreadableLogException("$file: can't be read: ${e.message}")
            }
        if (log.entries.isEmpty()) {
            throw UnreadableLogException("$file:1: not a controller's log: no line starts with a time, controller and term")
        }
        if (log.strayLines > 0) {
            System.err.println("$file: skipped ${log.strayLines} lines before the first line with a timestamp")
        }
        return log
    }

    /** The lines to print for [ordered]; none if only events are printed and [ordered] is not an event. */
    internal fun render(ordered: OrderedEntry): List<String> {
        val entry = ordered.entry
        if (eventsOnly && entry.event == null) return emptyList()
        val firstLine = "${mark(ordered.evidence)} ${entry.timestamp} ${entry.text}"
        return listOf(firstLine) + entry.continuation.map { "    $it" }
    }

    private fun mark(evidence: OrderEvidence) =
        when (evidence) {
            OrderEvidence.SAME_NODE -> ' '
            OrderEvidence.CLOCKS -> '|'
            OrderEvidence.TERMS -> '>'
            OrderEvidence.UNKNOWN -> '~'
        }

    /** A file is missing or is not a controller's log; [message] names the file and the reason. */
    private class UnreadableLogException(override val message: String) : Exception(message)
}
