package org.honeyjunction.app

/** The keys of the state service. */
object Keys {
    /** Who holds the term, under the leader's lease; its version fences every write of a leader. */
    const val LEAD = "lead"

    /** The field of [LEAD] that names the leader; earlier versions read it too. */
    const val LEADER = "holder"

    /** The highest term there has been. */
    const val TERM = "term"

    /** The machine types as the cloud last told them. */
    const val TYPES = "types"
    const val JOBS = "j/"
    const val FINAL = "f/"
    const val PAGES = "l/"
    const val HINTS = "h/"

    /** What a later leader need not find out again: jobs that fail wherever they are tried, and boot times. */
    const val MARKS = "learned"

    /** Which rules are in force; its parts are named by the hash of all of them together. */
    const val RULES = "rules"
    const val RULE_PARTS = "r/"

    /** Heads of registered jobs, by the hash of namespace and name; and the parts of their documents. */
    const val NOMAD_HEADS = "n/h/"
    const val NOMAD_PARTS = "n/p/"

    fun nomadHead(hash: String) = "$NOMAD_HEADS$hash"

    fun nomadPart(born: String, digest: String, number: Int) = "$NOMAD_PARTS$born/$digest/${"%03d".format(number)}"

    fun rulePart(hash: String, number: Int) = "$RULE_PARTS$hash/${"%03d".format(number)}"

    fun job(id: String) = "$JOBS$id"

    fun final(id: String) = "$FINAL$id"

    fun page(number: Int) = "$PAGES$number"

    fun hints(number: Int) = "$HINTS$number"
}
