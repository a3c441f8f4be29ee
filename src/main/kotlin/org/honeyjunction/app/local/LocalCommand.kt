package org.honeyjunction.app.local

import org.honeyjunction.app.ExitStatus
import org.honeyjunction.app.Files
import org.honeyjunction.app.OperatorSettings
import org.honeyjunction.app.printError
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.JobFile
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.wire.MalformedException
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable

/** `honeyjunction local`: the whole service against fakes of its neighbours, on loopback or in virtual time. */
@Command(
    name = "local",
    mixinStandardHelpOptions = true,
    description = [
        "Runs the whole service on loopback: real controllers against stand-ins of the state service, the cloud and the workers.",
        "Submits the jobs of a file, shows them move, and ends with their final answers.",
    ],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = [
        "0:every job has its final answer and no rule was broken", "1:a rule was broken, or a job has no final answer in time",
        "2:wrong arguments", "3:a file is missing or wrong",
    ],
)
class LocalCommand : Callable<Int> {
    @Option(
        names = ["--controllers"],
        paramLabel = "N",
        description = ["controllers (default: 3); with --virtual: real ones, in virtual time"],
    )
    var controllers: Int? = null

    @Option(names = ["--machines"], paramLabel = "N", description = ["machines that the cloud has (default: \${DEFAULT-VALUE})"])
    var machines = 20

    @Option(names = ["--zones"], paramLabel = "A,B", split = ",", description = ["zones, instead of those of the settings"])
    var zones: List<String>? = null

    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["the cluster: teams, machine types, limits (default: the shipped deploy/local/settings.json)"],
    )
    var settings: Path? = null

    @Option(names = ["--operator"], paramLabel = "FILE", description = ["the operators' settings"])
    var operator: Path? = null

    @Option(names = ["--jobs"], paramLabel = "FILE", description = ["the jobs (default: the shipped deploy/local/jobs.json)"])
    var jobs: Path? = null

    @Option(
        names = ["--job-file"],
        paramLabel = "FILE",
        description = ["a job file, HCL or JSON, to be registered; may be repeated, and then there are no other jobs without --jobs"],
    )
    var jobFiles: List<Path> = emptyList()

    @Option(
        names = ["--rules"],
        paramLabel = "FILE",
        description = ["operators' rules (default: the shipped deploy/local/example.rules where no --jobs are given, else none)"],
    )
    var rules: Path? = null

    @Option(
        names = ["--topology"],
        paramLabel = "FILE",
        description = [
            "labels of machines for the rules (default: the shipped deploy/local/topology.json with the shipped rules, " +
                "else none)",
        ],
    )
    var topology: Path? = null

    @Option(names = ["--explain"], description = ["print at the end why the tasks of each job were placed where they were"])
    var explain = false

    @Option(
        names = ["--fault"],
        paramLabel = "FAULT",
        description = ["a trouble, like 'at 8s kill leader'; may be repeated: " + Fault.FORM],
    )
    var faults: List<String> = emptyList()

    @Option(names = ["--serve"], description = ["stay up after the jobs are over, until interrupted; addresses are printed"])
    var serve = false

    @Option(
        names = ["--virtual"],
        description = ["a day in virtual time instead: the core against stand-ins without sockets, up to 20,000 machines, in seconds"],
    )
    var virtual = false

    @Option(
        names = ["--search"],
        paramLabel = "N",
        description = [
            "with --virtual --controllers: plays N short days with troubles that meet, from --seed on, until a rule " +
                "breaks; with --fault, those troubles on each",
        ],
    )
    var search: Int? = null

    @Option(
        names = ["--within"],
        paramLabel = "S",
        description = ["seconds after which jobs without a final answer count as failed (default: \${DEFAULT-VALUE})"],
    )
    var withinS = 120

    @Option(names = ["--seed"], paramLabel = "N", description = ["of what the stand-ins draw (default: \${DEFAULT-VALUE})"])
    var seed = 1L

    private val count get() = controllers ?: DEFAULT_CONTROLLERS

    override fun call(): Int {
        val parsed =
            try {
                checkOptions()
                faults.map(Fault::parse)
            } catch (invalid: IllegalArgumentException) {
                return printError(invalid.message!!, ExitStatus.USAGE)
            }
        return try {
            run(parsed)
        } catch (malformed: MalformedException) {
            printError(malformed.message!!, ExitStatus.BAD_FILE)
        } catch (unreadable: IOException) {
            printError(unreadable.message!!, ExitStatus.BAD_FILE)
        }
    }

    private fun checkOptions() {
        require(count in 1..9) { "--controllers is from 1 to 9" }
        require(search == null || virtual && controllers != null) { "--search is for --virtual with --controllers" }
        require(search.let { it == null || it in 1..MOST_DAYS }) { "--search is from 1 to $MOST_DAYS" }
        require(controllers == null || !virtual || search != null) { "--virtual with --controllers is for --search" }
        val most = if (virtual) MOST_VIRTUAL else MOST_MACHINES
        require(machines in 1..most) { "--machines is from 1 to $most" + if (virtual) "" else ", with --virtual to $MOST_VIRTUAL" }
        require(!virtual || rules == null && operator == null && !serve && !explain) {
            "--rules, --operator, --serve and --explain are not for --virtual"
        }
    }

    private fun run(faults: List<Fault>): Int {
        val operators = operator?.let(OperatorSettings::read)
        val tuning = operators?.tuning ?: LOCAL_TUNING
        val nomad = operators?.nomad ?: NomadOptions(on = jobFiles.isNotEmpty())
        val documents = jobFiles.map { RegisteredJobs.read(it) }
        val cluster = Files.json(settings, "local/settings.json") { LocalSettings(it, zones, machines) }
        search?.let { days ->
            val virtualCluster = VirtualCluster(cluster, count, tuning.copy(rules = false))
            return SearchRun(virtualCluster, cluster, count).run(days, seed, faults)
        }
        if (virtual) {
            val planned = jobs?.let { Files.json(it, "", JobFile::parse) }
            return VirtualScenario(cluster.setup(), machines, seed, withinS).play(planned, faults)
        }
        val planned = if (jobs == null && jobFiles.isNotEmpty()) emptyList() else Files.json(jobs, "local/jobs.json", JobFile::parse)
        val document = document()
        val local = LocalCluster(cluster, count, tuning, seed, planned, ::println, nomad = nomad)
        try {
            return LocalRun(local, planned, faults, withinS, serve).run(document, documents, explain)
        } finally {
            local.close()
        }
    }

    /** The rules of the command line, or the shipped ones beside the shipped jobs; they must be good before anything is started. */
    private fun document(): RulesDocument? {
        val file = rules
        if (file == null && (jobs != null || jobFiles.isNotEmpty())) return null
        val text = if (file == null) checkNotNull(javaClass.classLoader.getResource("local/example.rules")).readText() else Files.text(file)
        val labels = if (topology == null && file != null) null else Files.json(topology, "local/topology.json") { it }
        val document = RulesDocument(text, labels)
        val checked = document.check(0, null, file?.toString() ?: "example.rules", topology?.toString() ?: "topology.json")
        if (checked.set == null) throw MalformedException(checked.errors.joinToString("\nhoneyjunction: "))
        return document
    }

    private companion object {
        const val DEFAULT_CONTROLLERS = 3
        const val MOST_DAYS = 1_000_000
        const val MOST_MACHINES = 200
        const val MOST_VIRTUAL = 20_000

        /** Machines that boot within seconds are returned within seconds too. */
        val LOCAL_TUNING = Tuning(idleMs = 6_000, forecastMs = 20_000, rules = true)
    }
}
