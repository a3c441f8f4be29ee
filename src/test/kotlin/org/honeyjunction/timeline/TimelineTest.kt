package org.honeyjunction.timeline

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.honeyjunction.app.LogTimestamps
import org.honeyjunction.app.TimelineCommand
import org.honeyjunction.io.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.time.Instant
import java.util.Random

class TimelineTest {
    /** The log entries of [node]; each of [lines] has the form `milliseconds term text`. */
    private fun log(node: String, vararg lines: String): List<LogEntry> {
        val written =
            lines.asSequence().map { line ->
                val (ms, term, text) = line.split(' ', limit = 3)
                "${HybridTimestamp(Instant.ofEpochMilli(ms.toLong()), 100, node, term.toLong())} INFO X - $text"
            }
        return LogReader.read(node, written).entries
    }

    private fun mergedOrder(vararg logs: List<LogEntry>) =
        Timeline.merge(logs.asList()).map {
            "${it.evidence.name.lowercase()} ${it.entry.timestamp.node}${it.entry.lineNumber}"
        }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "bounds do not overlap: ordered by clocks | 1000 1 x; 2000 1 y                    | 1500 1 z " +
                "| same_node a1, clocks b1, clocks a2",
            "bounds overlap: order is unknown      | 1000 1 x                              | 1150 1 z " +
                "| same_node a1, unknown b1",
            "clock set back: order of the log is kept | 2000 1 x; 1000 1 y              | 1500 1 z " +
                "| same_node b1, clocks a1, same_node a2",
            "a node that knows the term: after the election | 1000 1 x; 5000 2 leader-elected: term 2 | 4950 2 learned of term 2 " +
                "| same_node a1, same_node a2, terms b1",
            "a node that does not know the term: order is unknown | 1000 2 leader-elected: term 2         | 990 1 x " +
                "| same_node b1, unknown a1",
            "earlier version, a node that knows the term: after the election | 1000 1 x; 5000 2 term-begins: 2 | 4950 2 heard of term 2 " +
                "| same_node a1, same_node a2, terms b1",
            "earlier version, a node that does not know the term: order is unknown | 1000 2 term-begins: 2       | 990 1 x " +
                "| same_node b1, unknown a1",
        ],
    )
    fun `logs of two nodes are merged, with the evidence for the place of each entry`(
        case: String,
        a: String,
        b: String,
        expected: String,
    ) {
        val merged = mergedOrder(log("a", *a.split("; ").toTypedArray()), log("b", *b.split("; ").toTypedArray()))
        // The first entry has no predecessor, so its evidence is not compared.
        assertEquals(expected.split(", ").map { it.substringAfter(' ') }, merged.map { it.substringAfter(' ') }, case)
        assertEquals(expected.split(", ").drop(1), merged.drop(1), case)
    }

    /** Event names of earlier versions; repeated here so that an accidental change of [EventNames.RENAMED] fails the test. */
    @ParameterizedTest
    @CsvSource(
        "node-up: hive-1 listens on 0.0.0.0:8080, node-started",
        "term-begins: 7, leader-elected",
        "term-held: 7 after 350 ms: 12 jobs, leader-ready",
        "term-refused: term 7: can't read what was stored: x, election-refused",
        "term-given-up: 7: term 8 is known, leader-stepped-down",
        "lease-ended: of term 7, leader-lease-expired",
        "leader-census: term 7: machines {UP=3}, leader-statistics",
        "stood-still: for 24264 ms, process-paused",
        "zone-changed: rambla: CALM -> CUT after 3 s, zone-health-changed",
        "renewals-end: nothing proves any more, renewals-stopped",
        "renewals-resume: workers are answered again (LEASED), renewals-resumed",
        "job-failing: j-1 failed on 3 machines, job-crash-looping",
        "beside-room: 3 tasks of j-1 wait beside free machines for 60 s, job-stalled",
        "machines-rented: 2 of 2 boveda-24g in rambla, instances-scaled-out",
        "rental-refused: no boveda-24g in rambla, scale-out-refused",
        "machines-released: [vm-1], instances-scaled-in",
        "machine-faulty: vm-1 is at fault, machine-faulty",
        "clock-jump: the time of day moved by 59000 ms, clock-jump",
    )
    fun `an event of an earlier version gets its current name and is rendered as written`(written: String, event: String) {
        val entry = log("a", "1000 7 $written").single()
        assertEquals(event, entry.event)
        val command = TimelineCommand().also { it.eventsOnly = true }
        val shown = Timeline.merge(listOf(listOf(entry))).flatMap { command.render(it) }
        assertEquals(listOf("  1970-01-01T00:00:01Z±100 a t7 INFO X - $written"), shown)
    }

    /** With clock errors up to the bound, no entry is placed by clocks or terms after an entry that was written later. */
    @Property(tries = 200)
    fun `an order marked as certain is the true order, for logs of this and of an earlier version`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 2, max = 5) nodes: Int,
    ) {
        val random = Random(seed)
        val clockErrorMs = IntArray(nodes) { random.nextInt(201) - 100 }
        val lines = List(nodes) { ArrayList<String>() }
        val trueOrder = HashMap<String, Int>()
        var term = 1
        var at = 10_000L
        val knownTerm = IntArray(nodes) { 1 }
        repeat(60) { i ->
            at += random.nextInt(90)
            val node = random.nextInt(nodes)
            val elected = random.nextInt(12) == 0
            if (elected) {
                knownTerm[node] = ++term
            } else if (random.nextInt(3) == 0) {
                knownTerm[node] = term
            }
            lines[node] += "${at + clockErrorMs[node]} ${knownTerm[node]} ${if (elected) "leader-elected: term $term" else "line $i"}"
            trueOrder["n$node:${lines[node].size}"] = i
        }
        val merged = Timeline.merge(lines.mapIndexed { node, written -> log("n$node", *written.toTypedArray()) })
        assertEquals(60, merged.size)
        val order = merged.map { trueOrder.getValue("${it.entry.timestamp.node}:${it.entry.lineNumber}") }
        merged.zipWithNext().forEachIndexed { i, (_, later) ->
            if (later.evidence != OrderEvidence.UNKNOWN) {
                assertTrue(order[i] < order[i + 1], "${later.evidence} ${later.entry.text}")
            }
        }
        merged.groupBy { it.entry.file }.values.forEach { ofOneNode ->
            assertEquals(ofOneNode.map { it.entry.lineNumber }.sorted(), ofOneNode.map { it.entry.lineNumber })
        }
        assertEquals(positions(merged), positions(Timeline.merge(lines.mapIndexed { node, written -> earlierLog("n$node", written) })))
    }

    private fun positions(merged: List<OrderedEntry>) = merged.map { Triple(it.evidence, it.entry.timestamp, it.entry.lineNumber) }

    /** The same log with the event names of an earlier version. */
    private fun earlierLog(node: String, lines: List<String>) =
        log(node, *lines.map { it.replace("leader-elected: term ", "term-begins: ") }.toTypedArray())

    @ParameterizedTest
    @ValueSource(
        strings = [
            "",
            "no stamp at all",
            "2026-12-01T23:07:03Z hive-1 t3 x",
            "2026-13-01T23:07:03Z±250 hive-1 t3 x",
            "2026-12-01T23:07:03Z±-1 hive-1 t3 x",
            "2026-12-01T23:07:03Z±250 hive-1 3 x",
            "2026-12-01T23:07:03Z±250 hive-1 tx x",
        ],
    )
    fun `a line without a valid timestamp has no timestamp`(line: String) = assertNull(HybridTimestamp.parse(line))

    @Test
    fun `a stack trace belongs to its entry, and a jump of the clock is logged once`() {
        val clock =
            object : Clock {
                var wall = 1_000_000L
                var steady = 5_000L

                override fun steady() = steady

                override fun wall() = wall
            }
        val bytes = ByteArrayOutputStream()
        val err = PrintStream(LogTimestamps("hive-1", 250, clock, bytes).also { it.term = { 7 } }, true)
        err.println("INFO Node - node-started: hive-1")
        clock.wall += 100
        clock.steady += 100
        err.println("ERROR supervisor - election failed\njava.lang.IllegalStateException: x\n\tat y")
        clock.wall += 60_000
        clock.steady += 1_000
        err.println("INFO Node - one")
        err.println("INFO Node - two")
        val log = LogReader.read("f", bytes.toString().lineSequence().filter { it.isNotEmpty() })
        val entries = log.entries
        assertEquals(0, log.strayLines)
        assertEquals(listOf("node-started", null, "clock-jump", null, null), entries.map { it.event })
        assertEquals(listOf("java.lang.IllegalStateException: x", "\tat y"), entries[1].continuation)
        assertTrue("59000 ms" in entries[2].text, entries[2].text)
        assertNotNull(HybridTimestamp.parse("${entries[0].timestamp} x"))
        assertEquals(listOf("hive-1", 7L, 250L), entries[0].timestamp.let { listOf(it.node, it.term, it.errorBoundMs) })
    }
}
