package org.honeyjunction.wire

import okio.Buffer

/*
 * Encodings of the fields of frames between controllers, all big-endian. Integers use Okio's `writeInt` and `writeLong`. The readers
 * throw `okio.EOFException` where the buffer ends too early, and [MalformedException] for a length that is negative or greater than
 * the number of bytes left.
 */

/** Writes a double as its 64 raw IEEE 754 bits. */
internal fun Buffer.writeDouble(value: Double): Buffer = writeLong(value.toRawBits())

internal fun Buffer.readDouble(): Double = Double.fromBits(readLong())

/** Writes a boolean as one byte, 0 or 1. */
internal fun Buffer.writeBoolean(value: Boolean): Buffer = writeByte(if (value) 1 else 0)

/** Reads a boolean; every byte other than 0 is true. */
internal fun Buffer.readBoolean(): Boolean = readByte().toInt() != 0

/** Writes the number of bytes as an int, then the bytes. */
internal fun Buffer.writeBytes(bytes: ByteArray): Buffer = writeInt(bytes.size).write(bytes)

internal fun Buffer.readBytes(): ByteArray = readByteArray(readLength().toLong())

/** Writes the UTF-8 bytes of a text in the encoding of [writeBytes]. */
internal fun Buffer.writeText(text: String): Buffer = writeBytes(text.toByteArray())

internal fun Buffer.readText(): String = String(readBytes())

/** Writes the number of items as an int, then each item by [writeItem]. */
internal inline fun <T> Buffer.writeList(items: List<T>, writeItem: Buffer.(T) -> Unit): Buffer {
    writeInt(items.size)
    items.forEach { writeItem(it) }
    return this
}

internal inline fun <T> Buffer.readList(readItem: Buffer.() -> T): List<T> = List(readLength()) { readItem() }

/** Writes a list of ints in the encoding of [writeList]. */
internal fun Buffer.writeInts(values: List<Int>): Buffer = writeList(values) { writeInt(it) }

internal fun Buffer.readInts(): List<Int> = readList { readInt() }

/**
 * Reads the length of a list or of bytes. Every item takes at least one byte, so a length above the number of bytes left is rejected:
 * a corrupt frame can't make the reader allocate memory for items that it doesn't contain.
 */
internal fun Buffer.readLength(): Int {
    val length = readInt()
    if (length < 0 || length > size) throw MalformedException("length $length")
    return length
}
