package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.messages.Command

/** The answer to a heartbeat, which renews the worker's lease; [token] is the fencing token of the machine. */
class HeartbeatResponse(val token: Long, val commands: List<Command>)
