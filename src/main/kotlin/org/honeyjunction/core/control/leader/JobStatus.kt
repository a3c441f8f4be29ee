package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.JobStage

/** The stage of a job, and the numbers of its tasks that are done and running. */
class JobStatus(val stage: JobStage, val done: Int, val running: Int)
