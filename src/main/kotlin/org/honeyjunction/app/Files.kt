package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.AccessDeniedException
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** A file can't be read; the message names the file. */
class UnreadableFileException(message: String) : IOException(message)

/** Reads files that users and operators write. The message of every error is one line that names the file. */
object Files {
    /** Runs [read], which reads the content of [file], and puts the file's name in front of the message of its errors. */
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
            throw UnreadableFileException("$file does not exist")
        } catch (_: AccessDeniedException) {
            throw UnreadableFileException("$file can't be read: permission denied")
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

    /** Runs [read] on the JSON object in [file], or on the one in the resource [defaultResource] if [file] is null. */
    fun <T> json(file: Path?, defaultResource: String, read: (ObjectNode) -> T): T {
        if (file == null) return read(Json.readObject(checkNotNull(javaClass.classLoader.getResource(defaultResource)).readBytes()))
        return withFileName(file) { read(Json.readObject(bytes(file))) }
    }
}

/** The exit statuses of the program; the README documents them. */
object ExitStatus {
    /** The command succeeded. */
    const val OK = 0

    /** The command ran but failed, or its result is negative. */
    const val FAILED = 1

    /** The arguments are wrong. */
    const val USAGE = 2

    /** A file is missing, can't be read, or is malformed. */
    const val BAD_FILE = 3

    /** The node can't listen on one of its addresses. */
    const val CANT_LISTEN = 4

    /** No controller responds. */
    const val NO_ANSWER = 5
}

/** Prints [message] to standard error and returns [status], the status to exit with. */
fun printError(message: String, status: Int): Int {
    System.err.println("honeyjunction: $message")
    return status
}
