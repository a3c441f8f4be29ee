package org.honeyjunction.nomad

/** What becomes of a field; docs/nomad.md has the table. */
enum class Fate(val words: String) {
    /** Means here what it means there. */
    MAPPED("mapped"),

    /** Has a meaning here, though not quite the same: the note tells. */
    DIFFERS("mapped, with a difference"),

    /** Kept with the job for the worker, which runs it; the scheduler does not look into it. */
    CARRIED("carried to the worker"),

    /** Reported and not obeyed; with --strict an error. */
    REPORTED("reported as not supported"),

    /** The job is refused, since running without what it asks for would be wrong. */
    REFUSED("refused"),

    /** Written by a server, not by a user: says nothing in a file. */
    SERVERS("the server's own"),
    ;

    /** Whether this core has such a thing, so that 0 and false are values of it like others. */
    val known: Boolean get() = this == MAPPED || this == DIFFERS || this == CARRIED
}

/** How a field is written. */
sealed interface Form {
    data object Text : Form

    data object Number : Form

    data object Flag : Form

    /** A text like "30s" in HCL, nanoseconds in JSON. */
    data object Duration : Form

    data object Texts : Form

    /** Names with texts; a block or an attribute. */
    data object Map : Form

    /** Whatever its driver takes. */
    data object Free : Form

    /** A block that may be there once. */
    data class One(val of: Schema) : Form

    /** A block that may be there any number of times; with [labelled] its label is the field Name. */
    data class Many(val of: Schema, val labelled: Boolean = false) : Form
}

/** A field with its names in both forms. */
class Field(val name: String, val json: String, val form: Form, val fate: Fate, val note: String)

/** The fields of a block. */
class Schema(val title: String, val fields: List<Field>) {
    private val byName = fields.associateBy { it.name }
    private val byJson = fields.associateBy { it.json.lowercase() }

    fun named(name: String): Field? = byName[name]

    /** Names of the JSON form are taken whatever their case, as its other readers do. */
    fun inJson(name: String): Field? = byJson[name.lowercase()]
}

private class Builder(private val title: String) {
    private val fields = ArrayList<Field>()

    fun add(name: String, json: String, form: Form, fate: Fate, note: String = "") {
        fields += Field(name, json, form, fate, note)
    }

    fun mapped(name: String, json: String, form: Form, note: String = "") = add(name, json, form, Fate.MAPPED, note)

    fun differs(name: String, json: String, form: Form, note: String) = add(name, json, form, Fate.DIFFERS, note)

    fun carried(name: String, json: String, form: Form, note: String = "") = add(name, json, form, Fate.CARRIED, note)

    fun reported(name: String, json: String, form: Form, note: String) = add(name, json, form, Fate.REPORTED, note)

    fun refused(name: String, json: String, form: Form, note: String) = add(name, json, form, Fate.REFUSED, note)

    fun servers(vararg json: String) = json.forEach { add("($it)", it, Form.Free, Fate.SERVERS) }

    fun build() = Schema(title, fields)
}

private fun schema(title: String, fill: Builder.() -> Unit) = Builder(title).apply(fill).build()

/** The fields of a job file, block by block: what both readers, the table of the docs and the meaning go by. */
object Fields {
    val constraint =
        schema("constraint") {
            mapped(
                "attribute",
                "LTarget",
                Form.Text,
                "\${node.datacenter}, \${node.class}, \${node.unique.name}, \${attr.cpu.numcores}, \${attr.memory.totalbytes}, " +
                    "\${device.count}, \${meta.LABEL}",
            )
            mapped("operator", "Operand", Form.Text, "all but distinct_property on what is no machine")
            mapped("value", "RTarget", Form.Text)
        }
    val affinity =
        schema("affinity") {
            mapped("attribute", "LTarget", Form.Text)
            mapped("operator", "Operand", Form.Text)
            mapped("value", "RTarget", Form.Text)
            differs("weight", "Weight", Form.Number, "-100 to 100; a tenth of it in gigabytes of image, below 0 as \"prefer not\"")
        }
    private val target =
        schema("target") {
            mapped("value", "Value", Form.Text)
            mapped("percent", "Percent", Form.Number)
        }
    val spread =
        schema("spread") {
            differs("attribute", "Attribute", Form.Text, "only \${node.datacenter}: at most half of the tasks, rounded up, in one zone")
            reported("weight", "Weight", Form.Number, "a spread holds always")
            differs("target", "SpreadTarget", Form.Many(target, labelled = true), "refused where one asks for more than half")
        }
    private val update =
        schema("update") {
            differs(
                "max_parallel",
                "MaxParallel",
                Form.Number,
                "tasks that are replaced at a time; even where spread is asked for, so at least 2; 0: all at once",
            )
            differs("min_healthy_time", "MinHealthyTime", Form.Duration, "how long all of a batch must run before the next")
            differs(
                "healthy_deadline",
                "HealthyDeadline",
                Form.Duration,
                "after which a batch that does not run has failed; counted anew by a new leader",
            )
            reported("progress_deadline", "ProgressDeadline", Form.Duration, "healthy_deadline ends a batch")
            mapped("auto_revert", "AutoRevert", Form.Flag)
            refused("auto_promote", "AutoPromote", Form.Flag, "there are no canaries")
            refused(
                "canary",
                "Canary",
                Form.Number,
                "a canary runs beside the tasks that it is to replace: two tasks of one name at once (rule ran_twice)",
            )
            reported("stagger", "Stagger", Form.Duration, "min_healthy_time paces the batches")
            differs("health_check", "HealthCheck", Form.Text, "always \"task_states\": a task is healthy while it runs")
        }
    private val restart =
        schema("restart") {
            differs("attempts", "Attempts", Form.Number, "a failed task is started again until it is done or cancelled")
            differs("delay", "Delay", Form.Duration, "0.5 s, doubled up to 64 s")
            differs("interval", "Interval", Form.Duration, "has no meaning without attempts")
            differs("mode", "Mode", Form.Text, "always as \"delay\"")
            reported("render_templates", "RenderTemplates", Form.Flag, "templates are the worker's")
        }
    private val reschedule =
        schema("reschedule") {
            differs("attempts", "Attempts", Form.Number, "as with unlimited = true")
            differs("interval", "Interval", Form.Duration, "as with unlimited = true")
            differs("delay", "Delay", Form.Duration, "0.5 s, doubled up to 64 s")
            differs("delay_function", "DelayFunction", Form.Text, "always exponential")
            differs("max_delay", "MaxDelay", Form.Duration, "64 s")
            differs("unlimited", "Unlimited", Form.Flag, "always true: an accepted job must run (PROTOCOL, POST /v2/runs)")
        }
    private val migrate =
        schema("migrate") {
            reported("max_parallel", "MaxParallel", Form.Number, "drains move replicas as there is room")
            reported("health_check", "HealthCheck", Form.Text, "a task is healthy while it runs")
            reported("min_healthy_time", "MinHealthyTime", Form.Duration, "drains move replicas as there is room")
            reported("healthy_deadline", "HealthyDeadline", Form.Duration, "drains move replicas as there is room")
        }
    private val ephemeralDisk =
        schema("ephemeral_disk") {
            reported("size", "SizeMB", Form.Number, "machines have no amount of disk (PROTOCOL, machine types)")
            reported(
                "sticky",
                "Sticky",
                Form.Flag,
                "data on a machine is gone with the task; checkpoints are kept outside (hj_checkpoint_s)",
            )
            reported(
                "migrate",
                "Migrate",
                Form.Flag,
                "data on a machine is gone with the task; checkpoints are kept outside (hj_checkpoint_s)",
            )
        }
    private val port =
        schema("port") {
            reported("to", "To", Form.Number, "ports are the worker's")
            refused("static", "Value", Form.Number, "the scheduler does not know which ports of a machine are taken")
            reported("host_network", "HostNetwork", Form.Text, "ports are the worker's")
        }
    private val network =
        schema("network") {
            reported("mode", "Mode", Form.Text, "networks are the worker's")
            reported("hostname", "Hostname", Form.Text, "networks are the worker's")
            reported("mbits", "MBits", Form.Number, "machines have no amount of network")
            reported("dns", "DNS", Form.Free, "networks are the worker's")
            reported("port", "DynamicPorts", Form.Many(port, labelled = true), "ports are the worker's")
            refused(
                "(reserved)",
                "ReservedPorts",
                Form.Many(port, labelled = true),
                "the scheduler does not know which ports of a machine are taken",
            )
            reported("(cidr)", "CIDR", Form.Text, "networks are the worker's")
            reported("(device)", "Device", Form.Text, "networks are the worker's")
            reported("(ip)", "IP", Form.Text, "networks are the worker's")
        }
    private val volume =
        schema("volume") {
            refused("type", "Type", Form.Text, "machines have no volumes: the task would run without its data")
            refused("source", "Source", Form.Text, "machines have no volumes: the task would run without its data")
            reported("read_only", "ReadOnly", Form.Flag, "machines have no volumes")
            reported("access_mode", "AccessMode", Form.Text, "machines have no volumes")
            reported("attachment_mode", "AttachmentMode", Form.Text, "machines have no volumes")
            reported("per_alloc", "PerAlloc", Form.Flag, "machines have no volumes")
            reported("mount_options", "MountOptions", Form.Free, "machines have no volumes")
        }
    private val disconnect =
        schema("disconnect") {
            reported("lost_after", "LostAfter", Form.Duration, "a worker that is cut off ends its tasks with its lease (PROTOCOL, Leases)")
            reported("replace", "Replace", Form.Flag, "a task is replaced once it is gone on evidence")
            reported("reconcile", "Reconcile", Form.Text, "there is never more than one (rule ran_twice)")
            reported("stop_on_client_after", "StopOnClientAfter", Form.Duration, "a worker that is cut off ends its tasks with its lease")
        }
    private val device =
        schema("device") {
            differs(
                "count",
                "Count",
                Form.Number,
                "accelerators of the machine, for devices whose name is or ends in gpu; 1 where it is not given",
            )
            reported(
                "constraint",
                "Constraints",
                Form.Many(constraint),
                "accelerators of one machine are alike; choose the type with \${node.class}",
            )
            reported(
                "affinity",
                "Affinities",
                Form.Many(affinity),
                "accelerators of one machine are alike; choose the type with \${node.class}",
            )
        }
    private val resources =
        schema("resources") {
            differs("cpu", "CPU", Form.Number, "1,000 are one core (settings: mhz_per_core); 100 where neither cpu nor cores is given")
            mapped("cores", "Cores", Form.Number, "instead of cpu")
            mapped("memory", "MemoryMB", Form.Number, "1,024 are one gigabyte; 300 where it is not given")
            reported("memory_max", "MemoryMaxMB", Form.Number, "what a task takes is fixed while it runs")
            differs("device", "Devices", Form.Many(device, labelled = true), "gpu alone; others are refused")
            reported("disk", "DiskMB", Form.Number, "machines have no amount of disk")
            reported("iops", "IOPS", Form.Number, "machines have no amount of disk")
            reported("network", "Networks", Form.Many(network), "networks are the worker's")
            reported("numa", "NUMA", Form.Free, "cores of a machine are alike")
            reported("secrets", "SecretsMB", Form.Number, "secrets are the worker's")
        }
    private val lifecycle =
        schema("lifecycle") {
            differs("hook", "Hook", Form.Text, "of tasks that run one after the other the largest need counts")
            differs("sidecar", "Sidecar", Form.Flag, "a sidecar's need adds to that of the main task")
        }
    private val logs =
        schema("logs") {
            carried("max_files", "MaxFiles", Form.Number)
            carried("max_file_size", "MaxFileSizeMB", Form.Number)
            carried("disabled", "Disabled", Form.Flag)
            carried("enabled", "Enabled", Form.Flag)
        }
    private val task =
        schema("task") {
            differs(
                "driver",
                "Driver",
                Form.Text,
                "docker and podman: config.image is the image; exec, raw_exec and java: meta hj_image is; others are refused",
            )
            carried("config", "Config", Form.Free, "image is the image that a machine must have")
            mapped("resources", "Resources", Form.One(resources))
            carried("env", "Env", Form.Map)
            differs("meta", "Meta", Form.Map, "hj_image, hj_image_gb; the rest is carried")
            mapped("constraint", "Constraints", Form.Many(constraint))
            mapped("affinity", "Affinities", Form.Many(affinity))
            carried(
                "template",
                "Templates",
                Form.Many(
                    schema("template") {
                        free(
                            "data",
                            "destination",
                            "source",
                            "change_mode",
                            "change_signal",
                            "env",
                            "perms",
                            "splay",
                            "wait",
                            "left_delimiter",
                            "right_delimiter",
                            "uid",
                            "gid",
                            "error_on_missing_key",
                            "change_script",
                            "once",
                        )
                    },
                ),
                "rendered where the task runs",
            )
            carried(
                "artifact",
                "Artifacts",
                Form.Many(
                    schema("artifact") {
                        free("source", "destination", "mode", "options", "headers", "insecure", "chown")
                    },
                ),
                "fetched where the task runs, beside the image",
            )
            differs(
                "kill_timeout",
                "KillTimeout",
                Form.Duration,
                "time to save when it is stopped, where hj_checkpoint_s is given; else it ends at once",
            )
            carried("kill_signal", "KillSignal", Form.Text)
            differs("leader", "Leader", Form.Flag, "the image of the leader is the task's; all tasks of a group end together")
            differs("lifecycle", "Lifecycle", Form.One(lifecycle), "the order is the worker's")
            carried("logs", "LogConfig", Form.One(logs))
            reported("service", "Services", Form.Many(service()), "there is no catalogue of services")
            refused("vault", "Vault", Form.Free, "there are no secrets: the task would run without them")
            refused("volume_mount", "VolumeMounts", Form.Free, "machines have no volumes: the task would run without its data")
            carried("user", "User", Form.Text)
            reported("shutdown_delay", "ShutdownDelay", Form.Duration, "a task that is stopped is told at once")
            reported("identity", "Identities", Form.Free, "there are no identities")
            reported("(identity)", "Identity", Form.Free, "there are no identities")
            carried("dispatch_payload", "DispatchPayload", Form.Free, "the payload is kept with the dispatched job")
            refused("csi_plugin", "CSIPluginConfig", Form.Free, "machines have no volumes")
            reported("scaling", "ScalingPolicies", Form.Free, "counts change by registering the job again")
            refused("kind", "Kind", Form.Text, "there is no service mesh")
            reported("restart", "RestartPolicy", Form.One(restart), "the group's holds")
            reported("consul", "Consul", Form.Free, "there is no catalogue of services")
            reported("action", "Actions", Form.Free, "commands are not run inside of tasks")
            reported("schedule", "Schedule", Form.Free, "tasks are not paused")
            reported("secret", "Secrets", Form.Free, "there are no secrets")
        }
    private val group =
        schema("group") {
            mapped("count", "Count", Form.Number, "1 where it is not given; at most 100,000")
            mapped("task", "Tasks", Form.Many(task, labelled = true), "what they need adds up; they must have one image")
            mapped("constraint", "Constraints", Form.Many(constraint))
            mapped("affinity", "Affinities", Form.Many(affinity))
            differs("spread", "Spreads", Form.Many(spread), "see spread")
            differs("restart", "RestartPolicy", Form.One(restart), "see restart")
            differs("reschedule", "ReschedulePolicy", Form.One(reschedule), "see reschedule")
            differs("update", "Update", Form.One(update), "see update; over the job's")
            reported("migrate", "Migrate", Form.One(migrate), "drains move replicas as there is room")
            reported("ephemeral_disk", "EphemeralDisk", Form.One(ephemeralDisk), "see ephemeral_disk")
            reported("network", "Networks", Form.Many(network), "see network")
            refused(
                "volume",
                "Volumes",
                Form.Many(volume, labelled = true),
                "machines have no volumes: the task would run without its data",
            )
            reported("disconnect", "Disconnect", Form.One(disconnect), "see disconnect")
            reported(
                "max_client_disconnect",
                "MaxClientDisconnect",
                Form.Duration,
                "a worker that is cut off ends its tasks with its lease (PROTOCOL, Leases)",
            )
            reported(
                "stop_after_client_disconnect",
                "StopAfterClientDisconnect",
                Form.Duration,
                "a worker that is cut off ends its tasks with its lease",
            )
            reported("prevent_reschedule_on_lost", "PreventRescheduleOnLost", Form.Flag, "an accepted job must run")
            mapped("meta", "Meta", Form.Map, "over the job's; the hj_ names below")
            reported("service", "Services", Form.Many(service()), "there is no catalogue of services")
            reported("shutdown_delay", "ShutdownDelay", Form.Duration, "a task that is stopped is told at once")
            reported("scaling", "Scaling", Form.Free, "counts change by registering the job again")
            reported("consul", "Consul", Form.Free, "there is no catalogue of services")
            refused("vault", "Vault", Form.Free, "there are no secrets")
        }
    private val periodic =
        schema("periodic") {
            mapped("cron", "Spec", Form.Text, "five fields; @hourly, @daily, @weekly, @monthly, @yearly")
            mapped("crons", "Specs", Form.Texts)
            mapped("prohibit_overlap", "ProhibitOverlap", Form.Flag)
            mapped("time_zone", "TimeZone", Form.Text, "UTC where it is not given")
            mapped("enabled", "Enabled", Form.Flag)
            mapped("(type)", "SpecType", Form.Text, "cron")
        }
    private val parameterized =
        schema("parameterized") {
            mapped("payload", "Payload", Form.Text, "optional, required or forbidden; at most 16 KiB")
            mapped("meta_required", "MetaRequired", Form.Texts)
            mapped("meta_optional", "MetaOptional", Form.Texts)
        }
    val job =
        schema("job") {
            mapped("(id)", "ID", Form.Text, "the label of the block")
            differs("name", "Name", Form.Text, "shown; the label is what identifies a job")
            differs(
                "type",
                "Type",
                Form.Text,
                "service: replicas; batch: independent tasks, or a gang with hj_kind = \"gang\"; system and sysbatch are refused, " +
                    "since the number of a job's tasks is fixed when it is accepted (PROTOCOL, Cells)",
            )
            differs(
                "priority",
                "Priority",
                Form.Number,
                "1-24 low, 25-69 normal (50 where it is not given), 70-89 high, 90-100 production, for teams that the operators allow it",
            )
            differs("datacenters", "Datacenters", Form.Texts, "zones; [\"*\"] or none: all")
            differs("region", "Region", Form.Text, "only \"global\"")
            mapped("namespace", "Namespace", Form.Text, "\"default\" where it is not given; the team where there is one of that name")
            mapped("meta", "Meta", Form.Map, "the hj_ names below; the rest is carried")
            mapped("group", "TaskGroups", Form.Many(group, labelled = true))
            mapped("constraint", "Constraints", Form.Many(constraint))
            mapped("affinity", "Affinities", Form.Many(affinity))
            differs("spread", "Spreads", Form.Many(spread), "see spread")
            differs("update", "Update", Form.One(update), "see update")
            mapped("periodic", "Periodic", Form.One(periodic))
            mapped("parameterized", "ParameterizedJob", Form.One(parameterized))
            differs("all_at_once", "AllAtOnce", Form.Flag, "hj_kind = \"gang\" starts all tasks together; refused without it")
            differs("node_pool", "NodePool", Form.Text, "only \"default\" or \"all\"")
            differs("reschedule", "Reschedule", Form.One(reschedule), "see reschedule")
            reported("migrate", "Migrate", Form.One(migrate), "drains move replicas as there is room")
            refused("multiregion", "Multiregion", Form.Free, "there is one region")
            refused("vault", "Vault", Form.Free, "there are no secrets")
            reported("(vault_token)", "VaultToken", Form.Text, "there are no secrets")
            reported("(consul_token)", "ConsulToken", Form.Text, "there is no catalogue of services")
            reported("(vault_namespace)", "VaultNamespace", Form.Text, "there are no secrets")
            reported("(consul_namespace)", "ConsulNamespace", Form.Text, "there is no catalogue of services")
            reported("ui", "UI", Form.Free, "there are no pages for it")
            carried("(payload)", "Payload", Form.Text)
            mapped("(stop)", "Stop", Form.Flag, "registers the job as stopped")
            servers(
                "ParentID",
                "Dispatched",
                "DispatchIdempotencyToken",
                "NomadTokenID",
                "Status",
                "StatusDescription",
                "Stable",
                "Version",
                "SubmitTime",
                "CreateIndex",
                "ModifyIndex",
                "JobModifyIndex",
                "VersionTag",
            )
        }

    private fun Builder.free(vararg names: String) =
        names.forEach {
            carried(it, it.split('_').joinToString("") { w -> w.replaceFirstChar(Char::uppercase) }, Form.Free)
        }

    private fun service(): Schema =
        schema("service") {
            for (name in listOf(
                "name",
                "tags",
                "port",
                "provider",
                "check",
                "address",
                "address_mode",
                "connect",
                "meta",
                "canary_meta",
                "canary_tags",
                "enable_tag_override",
                "on_update",
                "task",
                "tagged_addresses",
                "check_restart",
                "cluster",
                "identity",
                "weights",
                "kind",
            )) {
                val json =
                    mapOf("port" to "PortLabel", "check" to "Checks", "task" to "TaskName")[name]
                        ?: name.split('_').joinToString("") { w -> w.replaceFirstChar(Char::uppercase) }
                reported(name, json, Form.Free, "there is no catalogue of services")
            }
        }

    /** All blocks in the order in which they are met. */
    val schemas: List<Schema> by lazy {
        val all = LinkedHashMap<String, Schema>()

        fun visit(s: Schema) {
            if (all.putIfAbsent(s.title, s) != null) return
            s.fields.forEach { f ->
                when (val form = f.form) {
                    is Form.One -> visit(form.of)
                    is Form.Many -> visit(form.of)
                    Form.Text, Form.Number, Form.Flag, Form.Duration, Form.Texts, Form.Map, Form.Free -> Unit
                }
            }
        }
        visit(job)
        all.values.toList()
    }
}
