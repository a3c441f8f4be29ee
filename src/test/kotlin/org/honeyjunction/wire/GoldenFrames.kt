package org.honeyjunction.wire

import okio.Buffer
import org.honeyjunction.core.admission.Demand
import org.honeyjunction.core.admission.PlanEpoch
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.admission.TrafficClass
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.Proposal
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.TeamShare
import org.honeyjunction.core.placement.UpcomingCapacity
import org.honeyjunction.core.rules.RuleTable
import org.honeyjunction.core.rules.RuleTable.CompiledClause
import org.honeyjunction.core.rules.RuleTable.Expr
import java.util.BitSet

/** Examples of frames between controllers, for [GoldenBytesTest]. */
internal object GoldenFrames {
    private fun bits(vararg set: Int) = BitSet().apply { set.forEach { set(it) } }

    private val vision = TrafficClass("vision", "träin")
    private val speech = TrafficClass("speech", "*")
    private val plan = QuotaPlan(PlanEpoch(41, 7), 2_345, linkedMapOf(vision to 3.25, speech to 0.125), 1.75, linkedSetOf("vision", "öl"))

    /** Every priority occurs once, as a floor or as the priority of a reservation. */
    private fun capacities(place: Int, running: IntArray) =
        listOf(
            FreeCapacity(
                3,
                Resources(8.5, 1.0, 62.25),
                2,
                1,
                true,
                intArrayOf(4, 9),
                Priority.NORMAL,
                1.5,
                0.75,
                listOf(UpcomingCapacity(12.5, Resources(2.0, 0.5, 16.0)), UpcomingCapacity(30.25, Resources(4.0, 3.0, 8.0))),
                17,
                Priority.HIGH,
                place,
                running,
            ),
            FreeCapacity(
                5,
                Resources(7.0, 6.0, 5.0),
                0,
                4,
                false,
                intArrayOf(),
                Priority.PRODUCTION,
                0.25,
                2.5,
                emptyList(),
                -1,
                Priority.LOW,
                -1,
                intArrayOf(),
            ),
        )

    private fun rows(shape: Int, mates: List<Int>) =
        listOf(
            TaskRow(
                11,
                12,
                1,
                Priority.HIGH,
                99_001,
                Resources(1.5, 2.25, 3.125),
                6,
                5.5,
                13,
                6,
                true,
                false,
                14,
                true,
                listOf(8, 0, 2),
                true,
                shape,
                mates,
            ),
            TaskRow(21, 22, 0, Priority.PRODUCTION, 1, Resources(9.0, 0.0, 4.0), 7, 0.5, -1, 3, false, true, 0, false, null, false),
            TaskRow(
                31,
                32,
                2,
                Priority.LOW,
                2,
                Resources(6.0, 5.0, 7.0),
                8,
                1.0,
                4,
                2,
                false,
                false,
                3,
                false,
                emptyList(),
                true,
                1,
                listOf(2),
            ),
            TaskRow(41, 42, 3, Priority.NORMAL, 3, Resources(0.5, 8.0, 9.0), 9, 2.0, 5, 1, true, true, 4, true, listOf(1), false),
        )

    private val teams = listOf(TeamShare(2.5, 7), TeamShare(0.25, 1_900))

    /** Every kind of test occurs; one clause is a hard constraint (infinite weight), the others are preferences. */
    private val rules =
        RuleTable(
            23,
            listOf(
                CompiledClause(
                    5,
                    Double.POSITIVE_INFINITY,
                    false,
                    Expr.And(Expr.InPlaces(bits(0, 2, 70)), Expr.Not(Expr.Runs(bits(1, 64)))),
                ),
                CompiledClause(6, 12.5, true, Expr.Or(Expr.Caches(9), Expr.Same(1))),
                CompiledClause(8, 0.75, false, Expr.Runs(bits())),
            ),
            listOf(intArrayOf(0, 2), intArrayOf(1), intArrayOf()),
            listOf(intArrayOf(3, 4), intArrayOf(5, -1), intArrayOf(6, 7)),
        )

    val messages: Map<String, PeerMessage> =
        linkedMapOf(
            "ask" to
                PeerMessage.SummaryRequest(
                    "nödé-2",
                    41,
                    310,
                    27,
                    listOf(Demand(vision, true, 4.5), Demand(speech, false, 0.5)),
                    PlanEpoch(40, 8),
                    6.25,
                ),
            "told" to
                PeerMessage.SummaryResponse(41, true, plan, 77.5, Summary(capacities(-1, intArrayOf()), teams, 64, rows(-1, emptyList()))),
            "told-with-rules" to
                PeerMessage.SummaryResponse(
                    42,
                    false,
                    QuotaPlan.NONE,
                    0.5,
                    Summary(capacities(2, intArrayOf(1, 1, 0)), teams, 65, rows(2, listOf(1, -1, 0)), rules),
                ),
            "not-leader" to PeerMessage.NotLeader(0x0102030405060708),
            "propose" to PeerMessage.PlacementProposals(43, listOf(Proposal(1, 2, 3), Proposal(400, 500, 600))),
            "accepted" to PeerMessage.ProposalResult(1_234),
            "forward" to PeerMessage.ForwardedRequest("POST", "/jobs/j-7?x=ü", """{"Comb":"träin"}""".toByteArray()),
            "answer" to PeerMessage.ForwardedResponse(503, 4, """{"error":"später"}""".toByteArray()),
            "polls" to PeerMessage.StatusQuery(listOf("j-000412", "j-000413", "jü")),
            "vouch" to PeerMessage.TermConfirmationRequest("nöde-1", 44),
            "vouched" to PeerMessage.TermConfirmation(45, "nöde-3", 86_400_001),
            "stages" to
                PeerMessage.StatusResponse(
                    JobStage.entries.associate { "j-00${it.ordinal}" to JobStatus(it, 10 + it.ordinal, 20 + it.ordinal) },
                ),
        )

    /** Decodes a frame and encodes the message again; the decoder must consume the whole frame. */
    private fun reencode(frame: ByteArray): ByteArray {
        val input = Buffer().write(frame)
        val message = checkNotNull(PeerCodec.decode(input))
        check(input.exhausted())
        return PeerCodec.encode(message)
    }

    val all: List<GoldenExample> =
        messages.map { (name, message) -> GoldenExample("peer/$name.hex", ::reencode) { PeerCodec.encode(message) } } +
            GoldenExample(
                "peer/rules.hex",
                { Buffer().apply { RulesCodec.write(this, RulesCodec.read(Buffer().write(it))) }.readByteArray() },
            ) {
                Buffer().apply { RulesCodec.write(this, rules) }.readByteArray()
            }
}
