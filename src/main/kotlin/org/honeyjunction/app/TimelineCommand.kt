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

/** `honeyjunction timeline`: prints the logs of several controllers, of this version or an earlier one, in one order. */
@Command(
    name = "timeline",
    mixinStandardHelpOptions = true,
    description = [
        "Merges the logs of several controllers into one order, by terms and by clocks within their bounds.",
        "What stands before a line says how sure its place is after the line before it: nothing (the same controller), '|' (the " +
            "clocks' bounds do not overlap), '>' (by terms), '~' (not known).",
    ],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = ["0:told", "1:the output can't be written", "2:wrong arguments", "3:a file is missing or is no log of a controller"],
)
class TimelineCommand : Callable<Int> {
    @Parameters(arity = "1..*", paramLabel = "LOG", description = ["what controllers wrote to standard error, a file each"])
    lateinit var files: List<Path>

    @Option(names = ["--events"], description = ["only lines with an event's name"])
    var eventsOnly = false

    override fun call(): Int {
        val logs =
            try {
                files.map { readLog(it) }
            } catch (e: UnreadableLogException) {
                return complain(e.message, Status.BAD_FILE)
            }
        Timeline.merge(logs.map { it.entries }).flatMap { render(it) }.forEach(::println)
        return Status.OK
    }

    private fun readLog(file: Path): NodeLog {
        val log =
            try {
                file.useLines { LogReader.read(file.toString(), it) }
            } catch (_: NoSuchFileException) {
                throw UnreadableLogException("$file: there is no such file")
            } catch (_: CharacterCodingException) {
                throw UnreadableLogException("$file: is no text in UTF-8")
            } catch (e: IOException) {
                throw UnreadableLogException("$file: can't be read: ${e.message}")
            }
        if (log.entries.isEmpty()) {
            throw UnreadableLogException("$file:1: no line has the time, controller and term of a controller's log")
        }
        if (log.strayLines > 0) {
            System.err.println("$file: ${log.strayLines} lines before the first that a controller wrote are left out")
        }
        return log
    }

    /** The lines to print for [ordered]: none where only events are wanted and it is none. */
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

    /** A file that is missing or is no controller's log; [message] names it and says why. */
    private class UnreadableLogException(override val message: String) : Exception(message)
}
