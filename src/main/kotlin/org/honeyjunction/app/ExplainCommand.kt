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
    description = ["Tells why the tasks of a job are where they are, or why they wait."],
    exitCodeListHeading = "Exit status:%n",
    exitCodeList = ["0:told", "1:there is no such job, or its explanation is gone", "2:wrong arguments", "5:no controller answers"],
)
class ExplainCommand : Callable<Int> {
    @Parameters(paramLabel = "JOB[/TASK]", description = ["like j-000412 or j-000412/3"])
    lateinit var jobOrTask: String

    @Option(
        names = ["--at"],
        paramLabel = "ADDRESS",
        defaultValue = "127.0.0.1:8080",
        description = ["controllers, as host:port,... (default: \${DEFAULT-VALUE})"],
    )
    lateinit var at: String

    override fun call(): Int {
        if (!JOB_OR_TASK.matches(jobOrTask)) {
            return complain("'$jobOrTask' is not a job or task: like j-000412 or j-000412/3", Status.USAGE)
        }
        return try {
            val response = OperatorClient.at(at).ask("GET", "${JobApi.JOBS_PATH}/$jobOrTask${RulesApi.EXPLAIN_SUFFIX}")
            if (response.status != 200) return complain(OperatorClient.reason(response), Status.FAILED)
            ExplainCodec.lines(Json.readObject(response.body)).forEach(::println)
            Status.OK
        } catch (e: IllegalArgumentException) {
            complain("--at: ${e.message}", Status.USAGE)
        } catch (e: IOException) {
            complain(e.message!!, Status.NO_ANSWER)
        } catch (e: MalformedException) {
            complain("the answer can't be read: ${e.message}", Status.FAILED)
        }
    }

    private companion object {
        val JOB_OR_TASK = Regex("j-[0-9]{1,30}(/[0-9]{1,6})?")
    }
}
