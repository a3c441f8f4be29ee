package org.honeyjunction.wire

import okio.Buffer
import okio.EOFException
import org.honeyjunction.core.admission.Demand
import org.honeyjunction.core.admission.PlanEpoch
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.admission.TrafficClass
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.placement.Proposal

/**
 * Encodes frames between controllers: the length of the rest of the frame (an int), the kind of message (a byte), and the message's
 * fields in the order in which [PeerMessage] declares them. Controllers of different versions communicate during a rolling upgrade,
 * so the encoding must not change.
 */
object PeerCodec {
    /** Maximum length of a frame, in bytes, without its length field. */
    const val MAX_FRAME = 1024 * 1024L
    private const val SUMMARY_REQUEST = 1
    private const val SUMMARY_RESPONSE = 2
    private const val NOT_LEADER = 3
    private const val PLACEMENT_PROPOSALS = 4
    private const val PROPOSAL_RESULT = 5
    private const val FORWARDED_REQUEST = 6
    private const val FORWARDED_RESPONSE = 7
    private const val STATUS_QUERY = 8
    private const val STATUS_RESPONSE = 9
    private const val TERM_CONFIRMATION_REQUEST = 10
    private const val TERM_CONFIRMATION = 11

    /** Encodes [message] as a whole frame. */
    fun encode(message: PeerMessage): ByteArray {
        val body = Buffer()
        body.writeMessage(message)
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }.readByteArray()
    }

    /**
     * Removes the next frame from [input] and decodes it; null, with nothing removed, while the frame is incomplete.
     *
     * @throws MalformedException if the bytes are not a valid frame; the connection can't be used any further
     */
    fun decode(input: Buffer): PeerMessage? {
        if (input.size < Int.SIZE_BYTES) return null
        val length = input.peek().readInt().toLong()
        if (length !in 1..MAX_FRAME) throw MalformedException("frame of $length bytes")
        if (input.size < Int.SIZE_BYTES + length) return null
        input.skip(Int.SIZE_BYTES.toLong())
        val body = Buffer().apply { write(input, length) }
        return try {
            body.readMessage()
        } catch (e: EOFException) {
            throw MalformedException("frame cut short: ${e.message}")
        }
    }

    private fun Buffer.writeMessage(message: PeerMessage) {
        when (message) {
            is PeerMessage.SummaryRequest -> writeSummaryRequest(message)
            is PeerMessage.SummaryResponse -> writeSummaryResponse(message)
            is PeerMessage.NotLeader -> writeByte(NOT_LEADER).writeLong(message.term)
            is PeerMessage.PlacementProposals -> writePlacementProposals(message)
            is PeerMessage.ProposalResult -> writeByte(PROPOSAL_RESULT).writeInt(message.count)
            is PeerMessage.ForwardedRequest -> writeForwardedRequest(message)
            is PeerMessage.ForwardedResponse -> writeForwardedResponse(message)
            is PeerMessage.StatusQuery -> writeByte(STATUS_QUERY).writeList(message.jobs) { writeText(it) }
            is PeerMessage.StatusResponse -> writeStatusResponse(message)
            is PeerMessage.TermConfirmationRequest -> writeTermConfirmationRequest(message)
            is PeerMessage.TermConfirmation -> writeTermConfirmation(message)
        }
    }

    /** Kotlin evaluates arguments in the order in which they are written, so here and below they must be in the order of the bytes. */
    private fun Buffer.readMessage(): PeerMessage =
        when (val kind = readByte().toInt()) {
            SUMMARY_REQUEST -> readSummaryRequest()
            SUMMARY_RESPONSE -> readSummaryResponse()
            NOT_LEADER -> PeerMessage.NotLeader(term = readLong())
            PLACEMENT_PROPOSALS -> PeerMessage.PlacementProposals(term = readLong(), proposals = readList { readProposal() })
            PROPOSAL_RESULT -> PeerMessage.ProposalResult(count = readInt())
            FORWARDED_REQUEST -> PeerMessage.ForwardedRequest(method = readText(), path = readText(), body = readBytes())
            FORWARDED_RESPONSE -> PeerMessage.ForwardedResponse(status = readInt(), retryAfterS = readInt(), body = readBytes())
            STATUS_QUERY -> PeerMessage.StatusQuery(jobs = readList { readText() })
            STATUS_RESPONSE -> PeerMessage.StatusResponse(jobs = readList { readText() to readJobStatus() }.toMap())
            TERM_CONFIRMATION_REQUEST -> PeerMessage.TermConfirmationRequest(node = readText(), term = readLong())
            TERM_CONFIRMATION -> PeerMessage.TermConfirmation(term = readLong(), leader = readText(), uptimeMs = readLong())
            else -> throw MalformedException("frame of kind $kind")
        }

    private fun Buffer.writeSummaryRequest(message: PeerMessage.SummaryRequest) {
        writeByte(SUMMARY_REQUEST)
        writeText(message.node)
        writeLong(message.term)
        writeInt(message.heartbeatingWorkers)
        writeInt(message.queuedWrites)
        writeList(message.demand) { writeDemand(it) }
        writePlanEpoch(message.planEpoch)
        writeDouble(message.grantedPerS)
    }

    private fun Buffer.readSummaryRequest() =
        PeerMessage.SummaryRequest(
            node = readText(),
            term = readLong(),
            heartbeatingWorkers = readInt(),
            queuedWrites = readInt(),
            demand = readList { readDemand() },
            planEpoch = readPlanEpoch(),
            grantedPerS = readDouble(),
        )

    private fun Buffer.writeSummaryResponse(message: PeerMessage.SummaryResponse) {
        writeByte(SUMMARY_RESPONSE)
        writeLong(message.term)
        writeBoolean(message.holdsLease)
        writePlan(message.plan)
        writeDouble(message.writesPerS)
        SummaryCodec.write(this, message.summary)
    }

    private fun Buffer.readSummaryResponse() =
        PeerMessage.SummaryResponse(
            term = readLong(),
            holdsLease = readBoolean(),
            plan = readPlan(),
            writesPerS = readDouble(),
            summary = SummaryCodec.read(this),
        )

    private fun Buffer.writePlacementProposals(message: PeerMessage.PlacementProposals) {
        writeByte(PLACEMENT_PROPOSALS)
        writeLong(message.term)
        writeList(message.proposals) { proposal ->
            writeInt(proposal.job)
            writeInt(proposal.task)
            writeInt(proposal.machine)
        }
    }

    private fun Buffer.readProposal() = Proposal(job = readInt(), task = readInt(), machine = readInt())

    private fun Buffer.writeForwardedRequest(message: PeerMessage.ForwardedRequest) {
        writeByte(FORWARDED_REQUEST)
        writeText(message.method)
        writeText(message.path)
        writeBytes(message.body)
    }

    private fun Buffer.writeForwardedResponse(message: PeerMessage.ForwardedResponse) {
        writeByte(FORWARDED_RESPONSE)
        writeInt(message.status)
        writeInt(message.retryAfterS)
        writeBytes(message.body)
    }

    private fun Buffer.writeStatusResponse(message: PeerMessage.StatusResponse) {
        writeByte(STATUS_RESPONSE)
        writeList(message.jobs.entries.toList()) { (id, status) ->
            writeText(id)
            writeByte(status.stage.ordinal)
            writeInt(status.done)
            writeInt(status.running)
        }
    }

    private fun Buffer.readJobStatus() = JobStatus(stage = readStage(), done = readInt(), running = readInt())

    private fun Buffer.readStage(): JobStage = JobStage.entries.getOrNull(readByte().toInt()) ?: throw MalformedException("stage")

    private fun Buffer.writeTermConfirmationRequest(message: PeerMessage.TermConfirmationRequest) {
        writeByte(TERM_CONFIRMATION_REQUEST)
        writeText(message.node)
        writeLong(message.term)
    }

    private fun Buffer.writeTermConfirmation(message: PeerMessage.TermConfirmation) {
        writeByte(TERM_CONFIRMATION)
        writeLong(message.term)
        writeText(message.leader)
        writeLong(message.uptimeMs)
    }

    private fun Buffer.writeDemand(demand: Demand) {
        writeTrafficClass(demand.trafficClass)
        writeBoolean(demand.urgent)
        writeDouble(demand.jobsPerS)
    }

    private fun Buffer.readDemand() = Demand(trafficClass = readTrafficClass(), urgent = readBoolean(), jobsPerS = readDouble())

    private fun Buffer.writeTrafficClass(trafficClass: TrafficClass) {
        writeText(trafficClass.team)
        writeText(trafficClass.jobClass)
    }

    private fun Buffer.readTrafficClass() = TrafficClass(team = readText(), jobClass = readText())

    private fun Buffer.writePlan(plan: QuotaPlan) {
        writePlanEpoch(plan.epoch)
        writeLong(plan.validForMs)
        writeList(plan.grants.entries.toList()) { (trafficClass, perS) ->
            writeTrafficClass(trafficClass)
            writeDouble(perS)
        }
        writeDouble(plan.defaultPerS)
        writeList(plan.backloggedTeams.toList()) { writeText(it) }
    }

    private fun Buffer.readPlan() =
        QuotaPlan(
            epoch = readPlanEpoch(),
            validForMs = readLong(),
            grants = readList { readTrafficClass() to readDouble() }.toMap(),
            defaultPerS = readDouble(),
            backloggedTeams = readList { readText() }.toSet(),
        )

    private fun Buffer.writePlanEpoch(epoch: PlanEpoch) {
        writeLong(epoch.term)
        writeLong(epoch.number)
    }

    private fun Buffer.readPlanEpoch() = PlanEpoch(term = readLong(), number = readLong())
}
