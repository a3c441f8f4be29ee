package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.AccessDeniedException
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** A file that people wrote can't be read; the message names it. */
class UnreadableFileException(message: String) : IOException(message)

/** Reads the files that people write; every error is one line that names the file. */
object Files {
    /** Runs [read] on the content of [file]; its errors get the file's name in front. */
    inline fun <T> withFileName(file: Path, read: () -> T): T =
        try {
            read()
        } catch (e: MalformedException) {
            throw MalformedException("$file: ${e.message}")
        }

    /** The content of [file]; throws [UnreadableFileException]. */
    fun bytes(file: Path): ByteArray =
        try {
            java.nio.file.Files.readAllBytes(file)
        } catch (_: NoSuchFileException) {
            throw UnreadableFileException("$file is not there")
        } catch (_: AccessDeniedException) {
            throw UnreadableFileException("$file may not be read")
        } catch (e: IOException) {
            throw UnreadableFileException(
                if (java.nio.file.Files.isDirectory(file)) "$file is a directory" else "$file can't be read: ${e.message}",
            )
        }

    /** The content of [file] as UTF-8 text; throws [UnreadableFileException] or [MalformedException]. */
    fun text(file: Path): String =
        try {
            Charsets.UTF_8.newDecoder().decode(java.nio.ByteBuffer.wrap(bytes(file))).toString()
        } catch (_: CharacterCodingException) {
            throw MalformedException("$file is not UTF-8 text")
        }

    /** Runs [read] on the JSON object in [file], or where it is null on the one in the resource [otherwise]. */
    fun <T> json(file: Path?, otherwise: String, read: (ObjectNode) -> T): T {
        if (file == null) return read(Json.readObject(checkNotNull(javaClass.classLoader.getResource(otherwise)).readBytes()))
        return withFileName(file) { read(Json.readObject(bytes(file))) }
    }
}

/** The exit statuses of the program, as README documents them. */
object ExitStatus {
    const val OK = 0
    const val FAILED = 1
    const val USAGE = 2
    const val BAD_FILE = 3
    const val CANT_LISTEN = 4
    const val NO_ANSWER = 5
}

/** Prints [message] to standard error; returns [status], to exit with. */
fun printError(message: String, status: Int): Int {
    System.err.println("honeyjunction: $message")
    return status
}
