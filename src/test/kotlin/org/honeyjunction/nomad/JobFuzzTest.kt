package org.honeyjunction.nomad

import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import java.io.File
import java.util.Random

/** Texts made of the grammar and texts that were damaged: each ends in a document or in findings with places, soon. */
class JobFuzzTest {
    private val seeds = listOf("quotes", "backtest").map { File("deploy/nomad/$it.nomad.hcl").readText() }
    private val json = seeds.map { String(Json.write(Json.newObject().set("Job", JobReader.read(it).json))) }
    private val pieces =
        listOf(
            "\"",
            "\${",
            "}",
            "{",
            "[",
            "]",
            "(",
            ")",
            "<<EOT\n",
            "EOT\n",
            "=",
            "\n",
            "job",
            "group \"g\" {",
            "null",
            "1e308",
            "-",
            "\\u12",
            "\uD83D",
            "\u0000",
            "var.x",
            "local.image",
            ",",
            ":",
            "#",
            "/*",
            "%{",
        )

    private fun damaged(text: String, r: Random): String {
        val b = StringBuilder(text)
        repeat(1 + r.nextInt(6)) {
            val at = r.nextInt(b.length + 1)
            val to = minOf(b.length, at + r.nextInt(30))
            when (r.nextInt(5)) {
                0 -> b.delete(at, to)
                1 -> b.insert(at, pieces[r.nextInt(pieces.size)])
                2 -> b.insert(at, b.substring(at, to))
                3 -> b.insert(at, pieces[r.nextInt(pieces.size)].repeat(1 + r.nextInt(60)))
                else -> if (at < b.length) b.setCharAt(at, r.nextInt(0x300).toChar())
            }
        }
        return b.toString()
    }

    private fun made(r: Random, depth: Int): String =
        when (if (depth > 5) r.nextInt(4) else r.nextInt(14)) {
            0 -> "${r.nextInt(100)}"
            1 -> "\"${listOf("a", "é", "\\n", "\${node.x}", "")[r.nextInt(5)]}\""
            2 -> listOf("true", "false", "null", "local.a", "local.b")[r.nextInt(5)]
            3 -> "var.v"
            4 -> "[${(0..r.nextInt(3)).joinToString { made(r, depth + 1) }}]"
            5 -> "{ k = ${made(r, depth + 1)}, \"l\" : ${made(r, depth + 1)} }"
            6 -> "(${made(
                r,
                depth + 1,
            )} ${listOf("+", "-", "*", "/", "%", "==", "!=", "<", "&&", "||")[r.nextInt(10)]} ${made(r, depth + 1)})"
            7 -> "(${made(r, depth + 1)} ? ${made(r, depth + 1)} : ${made(r, depth + 1)})"
            8 -> "\"x\${${made(r, depth + 1)}}y\""
            9 -> "${listOf("length", "upper", "keys", "max", "jsonencode", "range", "nothing")[r.nextInt(7)]}(${made(r, depth + 1)})"
            10 -> "${made(r, depth + 1)}[${made(r, depth + 1)}]"
            11 -> "!${made(r, depth + 1)}"
            12 -> "join(\",\", [${made(r, depth + 1)}])"
            else -> "merge({}, ${made(r, depth + 1)}).k"
        }

    /** Whether it can be read. */
    private fun check(text: String): Boolean {
        val started = System.nanoTime()
        val document = JobReader.read(text)
        val read = Meaning(document, JobReaderTest.SITE).read()
        val ms = (System.nanoTime() - started) / 1_000_000
        assertTrue(ms < 5_000, "$ms ms for: ${text.take(300)}")
        assertTrue(read.findings.all { it.place.line >= 1 && it.place.column >= 1 && it.message.isNotBlank() })
        assertTrue(read.job != null || read.errors.isNotEmpty(), "neither a job nor an error: ${text.take(300)}")
        // What was read is read the same once more.
        if (document.errors.isEmpty()) {
            val again = JobReader.read(document.json)
            assertEquals(document.digest, again.digest, text.take(2_000))
        }
        return document.errors.isEmpty()
    }

    private fun run(inputs: Int, seed: Long): Int {
        val r = Random(seed)
        var jobs = 0
        repeat(inputs) { i ->
            val text =
                when (i % 4) {
                    0, 1 -> damaged(seeds[i / 4 % seeds.size], r)
                    2 -> damaged(json[i / 4 % json.size], r)
                    else -> generated(r)
                }
            try {
                if (check(text)) jobs++
            } catch (e: RuntimeException) {
                throw AssertionError("input $i of seed $seed: ${text.take(2_000)}", e)
            }
        }
        return jobs
    }

    private fun generated(r: Random): String {
        val default = r.nextInt(9)
        val local = made(r, 1)
        val inConfig = made(r, 0)
        return "variable \"v\" {\n  default = $default\n}\n" +
            "locals {\n  a = $local\n  b = 3\n}\n" +
            "job \"j\" {\n  type = \"batch\"\n  group \"g\" {\n    task \"t\" {\n      driver = \"docker\"\n" +
            "      config {\n        image = \"i\"\n        x = $inConfig\n      }\n    }\n  }\n}\n"
    }

    @Test
    fun `a few thousand texts`() = assertTrue(run(3_000, 1) > 100)

    @Test
    @Tag("measure")
    fun `many texts`() {
        val inputs = Integer.getInteger("inputs", 200_000)
        println("$inputs inputs, ${run(inputs, System.nanoTime())} of them jobs")
    }
}
