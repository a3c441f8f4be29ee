package org.honeyjunction.app

/** The keys under which controllers store what must outlive them; stored data depends on them, so they never change. */
object Keys {
    /** The leader and its term, under the leader's lease; its version fences every write of the leader. */
    const val LEADER_RECORD = "lead"

    /** The field of [LEADER_RECORD] that names the leader; earlier versions read it too. */
    const val LEADER_FIELD = "holder"

    /** The highest term there has been. */
    const val TERM = "term"

    /** The machine types as the cloud last reported them. */
    const val MACHINE_TYPES = "types"

    /** Records of active jobs, by job; a terminal record may stay here for a while before it moves to [TERMINAL_RECORDS]. */
    const val JOBS = "j/"

    /** Terminal records, by job. */
    const val TERMINAL_RECORDS = "f/"

    /** Pages of the placement journal, by number. */
    const val JOURNAL_PAGES = "l/"

    /** Pages of machines' checkpoints, by number. */
    const val MACHINE_CHECKPOINTS = "h/"

    /** The checkpoint of leader state: jobs that fail wherever they are tried, and boot times. */
    const val LEADER_CHECKPOINT = "learned"

    /** The head of the rules in force: version, hash, and number of parts. */
    const val RULES = "rules"

    /** Parts of the rules' documents, by the hash of the whole document and their number. */
    const val RULE_PARTS = "r/"

    /** Heads of registered jobs, by the hash of namespace and name. */
    const val NOMAD_HEADS = "n/h/"

    /** Parts of registered jobs' documents. */
    const val NOMAD_PARTS = "n/p/"

    fun nomadHead(hash: String) = "$NOMAD_HEADS$hash"

    fun nomadPart(born: String, digest: String, number: Int) = "$NOMAD_PARTS$born/$digest/${"%03d".format(number)}"

    fun rulePart(hash: String, number: Int) = "$RULE_PARTS$hash/${"%03d".format(number)}"

    fun job(id: String) = "$JOBS$id"

    fun terminalRecord(id: String) = "$TERMINAL_RECORDS$id"

    fun journalPage(number: Int) = "$JOURNAL_PAGES$number"

    fun machineCheckpoints(number: Int) = "$MACHINE_CHECKPOINTS$number"
}
