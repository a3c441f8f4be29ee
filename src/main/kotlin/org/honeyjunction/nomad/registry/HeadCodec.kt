package org.honeyjunction.nomad.registry

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.flag
import org.honeyjunction.wire.list
import org.honeyjunction.wire.text
import org.honeyjunction.wire.textOrNull

/** Heads as the state service keeps them. */
object HeadCodec {
    fun write(h: Head): ObjectNode =
        Json.newObject().apply {
            put(
                "namespace",
                h.namespace,
            ).put(
                "id",
                h.id,
            ).put("born", h.born)
                .put("service", h.service)
                .put("purge", h.purge)
                .put("launched", h.launchedMs)
                .put("template", h.template)
            h.parent?.let { put("parent", it) }
            val versions = putArray("versions")
            for (v in h.versions) {
                versions.addObject().apply {
                    put(
                        "number",
                        v.number,
                    ).put(
                        "digest",
                        v.digest,
                    ).put(
                        "parts",
                        v.parts,
                    ).put("state", v.state.name.lowercase())
                        .put("stable", v.stable)
                        .put("settled", v.settled)
                        .put("at", v.atMs)
                    v.revertOf?.let { put("revert_of", it) }
                    val groups = putArray("groups")
                    v.groups.forEach { g ->
                        groups
                            .addArray()
                            .add(g.name)
                            .add(g.basis)
                            .add(g.earlier)
                            .add(g.definition)
                            .add(g.count)
                            .add(g.piece)
                    }
                }
            }
        }

    fun read(o: JsonNode): Head =
        Head(
            o.text("namespace"),
            o.text("id"),
            o.text("born"),
            o.flag("service"),
            o.list("versions").map(::version).ifEmpty {
                throw MalformedException("versions is empty")
            },
            o.flag("purge"),
            o.textOrNull("parent", MAX_PARENT),
            o.count("launched"),
            o.flag("template"),
        )

    private fun version(v: JsonNode) =
        Version(
            v.count("number"),
            v.text("digest"),
            v.count("parts").toInt(),
            VersionState.entries.firstOrNull { it.name.lowercase() == v.text("state") } ?: throw MalformedException("state is unknown"),
            v.flag("stable"),
            v.flag("settled"),
            v.list("groups").map(::group),
            v.count("at"),
            v.fieldOrNull("revert_of")?.longValue(),
        )

    private fun group(g: JsonNode): GroupBasis {
        if (g.size() != GROUP_FIELDS ||
            !g[0].isTextual ||
            !g[3].isTextual ||
            g[4].intValue() < 0 ||
            g[5].intValue() < 1
        ) {
            throw MalformedException("a group is invalid")
        }
        return GroupBasis(
            g[0].textValue(),
            g[1].longValue(),
            g[2]
                .takeUnless {
                    it.isNull
                }?.longValue(),
            g[3].textValue(),
            g[4].intValue(),
            g[5].intValue(),
        )
    }

    private const val GROUP_FIELDS = 6
    private const val MAX_PARENT = 400
}
