package org.honeyjunction.app

/** The keys of the records that controllers store in the state service. Stored data depends on the keys, so they never change. */
object Keys {
    /** The name and term of the leader, bound to the leader's lease. The version of this record fences every write of the leader. */
    const val LEADER_RECORD = "lead"

    /** The field of [LEADER_RECORD] that names the leader; earlier versions of the program read the field too. */
    const val LEADER_FIELD = "holder"

    /** The highest term that any node has acquired. */
    const val TERM = "term"

    /** The machine types as the cloud last reported them. */
    const val MACHINE_TYPES = "types"

    /** Prefix of the records of active jobs, by job id. Terminal records may stay here until they are moved to [TERMINAL_RECORDS]. */
    const val JOBS = "j/"

    /** Prefix of the terminal records of jobs, by job id. */
    const val TERMINAL_RECORDS = "f/"

    /** Prefix of the pages of the placement journal, by page number. */
    const val JOURNAL_PAGES = "l/"

    /** Prefix of the pages of machines' checkpoints, by page number. */
    const val MACHINE_CHECKPOINTS = "h/"

    /** The checkpoint of leader state: jobs that fail on every machine, and boot times. */
    const val LEADER_CHECKPOINT = "learned"

    /** The head of the rules in force: version, hash, and number of parts. */
    const val RULES = "rules"

    /** Prefix of the parts of the rules' documents, by the hash of the whole document and the part's number. */
    const val RULE_PARTS = "r/"

    /** Prefix of the heads of registered jobs, by the hash of namespace and name. */
    const val NOMAD_HEADS = "n/h/"

    /** Prefix of the parts of registered jobs' documents, by job incarnation, digest of the document and part number. */
    const val NOMAD_PARTS = "n/p/"

    /** The key of the head of the registered job whose namespace and name have this [hash]. */
    fun nomadHead(hash: String) = "$NOMAD_HEADS$hash"

    /** The key of one part of a registered job's document; [incarnation] tells jobs of the same name apart. */
    fun nomadPart(incarnation: String, digest: String, number: Int) = "$NOMAD_PARTS$incarnation/$digest/${"%03d".format(number)}"

    /** The key of one part of the rules' document that has this [hash]. */
    fun rulePart(hash: String, number: Int) = "$RULE_PARTS$hash/${"%03d".format(number)}"

    /** The key of the record of an active job. */
    fun job(id: String) = "$JOBS$id"

    /** The key of the terminal record of a job. */
    fun terminalRecord(id: String) = "$TERMINAL_RECORDS$id"

    /** The key of one page of the placement journal. */
    fun journalPage(number: Int) = "$JOURNAL_PAGES$number"

    /** The key of one page of machines' checkpoints. */
    fun machineCheckpoints(number: Int) = "$MACHINE_CHECKPOINTS$number"
}
