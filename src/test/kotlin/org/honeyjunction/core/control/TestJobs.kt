package org.honeyjunction.core.control

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources

/** A job of team `a` with as few requirements as possible; tests name only what matters to them. */
internal fun testJob(
    id: String = "j-1",
    kind: JobKind = JobKind.ARRAY,
    tasks: Int = 1,
    need: Resources = Resources(1.0, 1.0, 1.0),
    imageGb: Double = 0.0,
    estimateS: Double = 10.0,
) = JobSpec(
    id,
    jobClass = "c",
    team = "a",
    kind = kind,
    priority = Priority.NORMAL,
    tasks = tasks,
    need = need,
    image = "i",
    imageGb = imageGb,
    types = null,
    zone = null,
    oneZone = false,
    spread = false,
    spot = false,
    estimateS = estimateS,
    checkpointS = 0.0,
    saveS = 0.0,
    deadlineS = null,
)
