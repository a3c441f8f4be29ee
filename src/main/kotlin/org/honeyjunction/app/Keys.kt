package org.honeyjunction.app

/** The keys of the state service. */
object Keys {
    /** Who holds the term, under the holder's lease; its version fences every write of a holder. */
    const val LEAD = "lead"

    /** The highest term there has been. */
    const val TERM = "term"

    /** The machine types as the cloud last told them. */
    const val TYPES = "types"
    const val JOBS = "j/"
    const val FINAL = "f/"
    const val PAGES = "l/"
    const val HINTS = "h/"

    fun job(id: String) = "$JOBS$id"

    fun final(id: String) = "$FINAL$id"

    fun page(number: Int) = "$PAGES$number"

    fun hints(number: Int) = "$HINTS$number"
}
