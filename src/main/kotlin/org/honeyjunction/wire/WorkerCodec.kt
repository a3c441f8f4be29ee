package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason

/** Reads the heartbeats that workers send, and encodes the commands and redirects that workers receive. */
object WorkerCodec {
    /**
     * Reads a heartbeat.
     *
     * @throws MalformedException if a field is missing or out of range
     */
    fun heartbeat(body: ByteArray): Heartbeat {
        val heartbeat = Json.readObject(body)
        return Heartbeat(
            heartbeat.text(ProtocolNames.MACHINE),
            heartbeat.text(ProtocolNames.ADDRESS),
            heartbeat.text(ProtocolNames.MACHINE_TYPE),
            heartbeat.text(ProtocolNames.ZONE),
            heartbeat.flag(ProtocolNames.SPOT),
            heartbeat.count(ProtocolNames.INCARNATION),
            heartbeat.count(ProtocolNames.SEQUENCE),
            heartbeat.count(ProtocolNames.FENCING_TOKEN),
            heartbeat.amountOrNull(ProtocolNames.PREEMPTION_NOTICE_S),
            heartbeat.listOrEmpty(ProtocolNames.TASKS).map(::readTask),
        )
    }

    private fun readTask(node: JsonNode): ReportedTask {
        val task = node.text(ProtocolNames.TASK)
        val number = task.substringAfterLast('/', "").toIntOrNull() ?: throw MalformedException("${ProtocolNames.TASK} is invalid")
        val state = readState(node)
        return ReportedTask(task.substringBeforeLast('/'), number, node.count(ProtocolNames.ATTEMPT), state)
    }

    private fun readState(task: JsonNode): TaskState =
        when (task.text(ProtocolNames.STATE)) {
            ProtocolNames.TASK_FETCHING -> TaskState.Fetching
            ProtocolNames.TASK_GATHERING -> TaskState.Gathering
            ProtocolNames.TASK_RUNNING -> TaskState.Running
            ProtocolNames.TASK_SAVING -> TaskState.Saving
            ProtocolNames.TASK_ENDED -> TaskState.Ended(readReason(task), task.flagOr(ProtocolNames.CHECKPOINT_SAVED, false))
            else -> throw MalformedException("${ProtocolNames.STATE} is unknown")
        }

    /** Reads a termination reason; a missing or unknown one is treated as an error of the task. */
    private fun readReason(task: JsonNode): TerminationReason =
        ProtocolNames.TERMINATION_REASONS[task.textOrNull(ProtocolNames.TERMINATION_REASON)] ?: TerminationReason.ERROR

    /** Encodes the response to a heartbeat: the leader's fencing [token] and the commands for the worker. */
    fun heartbeatResponse(token: Long, commands: List<Command>): ByteArray =
        Json.write(Json.newObject().put(ProtocolNames.FENCING_TOKEN, token).putCommands(commands))

    /** Encodes the response of a node that is not the leader to a heartbeat; it names the [leader] if the node knows it. */
    fun redirect(leader: String?): ByteArray = Json.write(Json.newObject().apply { leader?.let { put(ProtocolNames.LEADER, it) } })

    /** Encodes commands that the leader pushes to a worker; the worker accepts them only in its incarnation [session]. */
    fun commands(token: Long, session: Long, commands: List<Command>): ByteArray {
        val request = Json.newObject().put(ProtocolNames.FENCING_TOKEN, token).put(ProtocolNames.INCARNATION, session)
        return Json.write(request.putCommands(commands))
    }

    private fun ObjectNode.putCommands(commands: List<Command>): ObjectNode {
        val array = putArray(ProtocolNames.COMMANDS)
        for (command in commands) {
            val node = array.addObject()
            when (command) {
                is Command.Start -> node.put(ProtocolNames.COMMAND, ProtocolNames.COMMAND_START)
                is Command.Stop -> node.put(ProtocolNames.COMMAND, ProtocolNames.COMMAND_STOP).put(ProtocolNames.GRACE_S, command.graceS)
                is Command.Forget -> node.put(ProtocolNames.COMMAND, ProtocolNames.COMMAND_FORGET)
            }
            node.put(ProtocolNames.TASK, command.task).put(ProtocolNames.ATTEMPT, command.attempt)
        }
        return this
    }
}
