package org.honeyjunction.app

import org.honeyjunction.wire.ExplainCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.IOException
import java.util.concurrent.Callable

/** The command `explain`: prints why the leader placed the tasks of a job where they are, or why they are pending. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = ["Explains why the tasks of a job are placed where they are, or why they are pending."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = ["0:told", "1:there is no such job, or its explanation has expired", "2:wrong arguments", "5:no controller answers"],
)
class ExplainCommand : Callable<Int> {
    /** The id of a job, or of one of its tasks. */
    @Parameters(paramLabel = "JOB[/TASK]", description = ["like j-000412 or j-000412/3"])
    lateinit var jobOrTask: String

    /** The addresses of the controllers to ask. */
    @Option(
        names = ["--at"],
        paramLabel = "ADDRESS",
        defaultValue = "127.0.0.1:8080",
        description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
    )
    lateinit var addresses: String

    override fun call(): Int {
        if (!JOB_OR_TASK.matches(jobOrTask)) {
            return printError("'$jobOrTask' is not a job or task id such as j-000412 or j-000412/3", ExitStatus.USAGE)
        }
        return try {
            val response = OperatorClient.at(addresses).ask("GET", "${JobApi.JOBS_PATH}/$jobOrTask${RulesApi.EXPLAIN_SUFFIX}")
            if (response.status != 200) return printError(OperatorClient.reason(response), ExitStatus.FAILED)
            ExplainCodec.lines(Json.readObject(response.body)).forEach(::println)
            ExitStatus.OK
        } catch (e: IllegalArgumentException) {
            printError("--at: ${e.message}", ExitStatus.USAGE)
        } catch (e: IOException) {
            printError(e.message!!, ExitStatus.NO_ANSWER)
        } catch (e: MalformedException) {
            printError("malformed response: ${e.message}", ExitStatus.FAILED)
        }
    }

    private companion object {
        val JOB_OR_TASK = Regex("j-[0-9]{1,30}(/[0-9]{1,6})?")
    }
}
