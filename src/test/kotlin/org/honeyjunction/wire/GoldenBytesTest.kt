package org.honeyjunction.wire

import org.honeyjunction.app.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.File
import java.lang.reflect.Modifier
import java.util.HexFormat

/**
 * An example of an encoding, with its golden file [name] below `golden/`. [encode] encodes a value with a distinct value in every
 * field. [reencode] decodes bytes and encodes the result again; it is null if this program has no decoder for the encoding.
 */
internal class GoldenExample(val name: String, val reencode: ((ByteArray) -> ByteArray)? = null, val encode: () -> ByteArray)

/**
 * Compares the encodings of stored data, of messages between controllers, and of messages to and from workers, the cloud, the
 * key-value store and users with golden files, byte for byte. Controllers of different versions run side by side during a rolling
 * upgrade, and a later version reads data that an earlier one stored. Golden files may be added, but an existing one may change only
 * with an intended change of the format that both versions can read.
 *
 * Files that end in `.hex` contain the bytes in hexadecimal, 32 per line; all other files contain the bytes themselves, without a
 * newline at the end.
 *
 * A missing file is a failure. To create files, run this test with `-Dgolden.write=DIR`: the current encodings are written to `DIR`
 * (for instance `src/test/resources/golden`). The comparison still uses the files on the class path, as they were when the tests were
 * built, so writing the files does not make the run pass.
 */
class GoldenBytesTest {
    @ParameterizedTest(name = "{0}")
    @MethodSource("allNames")
    fun `an example is encoded to the bytes of its golden file`(name: String) {
        val encoded = example(name).encode()
        System.getProperty("golden.write")?.let { File(it, name).apply { parentFile.mkdirs() }.writeText(rendered(name, encoded)) }
        assertEquals(goldenText(name), rendered(name, encoded))
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("decodedNames")
    fun `a golden file is decoded and encoded again to the same bytes`(name: String) {
        val reencoded = checkNotNull(example(name).reencode)(bytes(name))
        assertEquals(goldenText(name), rendered(name, reencoded))
    }

    @Test
    fun `every golden file has exactly one example`() {
        val root = File(checkNotNull(javaClass.classLoader.getResource("golden")).toURI())
        val files = root.walk().filter { it.isFile }.map { it.relativeTo(root).invariantSeparatorsPath }.sorted().toList()
        assertEquals(allNames().sorted(), files)
    }

    @Test
    fun `every kind of message between controllers has an example`() {
        val kinds = PeerMessage::class.java.declaredClasses.filter { PeerMessage::class.java.isAssignableFrom(it) }.toSet()
        assertEquals(kinds, GoldenFrames.messages.values.map { it.javaClass }.toSet())
    }

    /** Compares counts, not names: a constant may be renamed, but its key must not change. */
    @Test
    fun `every key has an example`() {
        val constants = Keys::class.java.declaredFields.count { it.type == String::class.java }
        val functions = Keys::class.java.declaredMethods.count { it.returnType == String::class.java && Modifier.isPublic(it.modifiers) }
        assertEquals(constants + functions, GoldenStored.keys.size)
    }

    private fun example(name: String) = examples.single { it.name == name }

    private fun goldenText(name: String): String {
        val file = javaClass.classLoader.getResource("golden/$name")
        assertNotNull(file, "golden/$name is missing")
        return String(file!!.readBytes())
    }

    private fun bytes(name: String): ByteArray {
        val text = goldenText(name)
        return if (isHex(name)) HexFormat.of().parseHex(text.replace("\n", "")) else text.toByteArray()
    }

    private fun rendered(name: String, bytes: ByteArray): String =
        if (isHex(name)) HexFormat.of().formatHex(bytes).chunked(HEX_DIGITS_PER_LINE).joinToString("\n", postfix = "\n") else String(bytes)

    private fun isHex(name: String) = name.endsWith(".hex")

    companion object {
        private const val HEX_DIGITS_PER_LINE = 64
        private val examples = GoldenStored.all + GoldenFrames.all + GoldenExternal.all

        @JvmStatic
        fun allNames(): List<String> = examples.map { it.name }

        @JvmStatic
        fun decodedNames(): List<String> = examples.filter { it.reencode != null }.map { it.name }
    }
}
