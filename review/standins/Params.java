import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's settings: the roast cluster of BRIEF-honeyjunction.md, with quicker boots so that a case fits into two minutes. */
class Params {
    static ObjectNode roast() {
        ObjectNode p = World.JSON.createObjectNode();
        p.put("nodes", 3);
        p.putArray("zones").add("cantabrico").add("ebro");
        ArrayNode teams = p.putArray("teams");
        teams.addObject().put("name", "blend-team").put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 48.0).put("gpus_max", 700.0);
        teams.addObject().put("name", "shipping-team").put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 96.0).put("gpus_max", 1000.0);
        p.putArray("objectives");
        p.putObject("workers").put("report_s", 3.0).put("lease_s", 28.0).put("gang_wait_s", 30.0).put("gang_peer_s", 5.0).put("cancel_s", 53.0);
        p.putObject("state").put("rps", 250.0).put("write_rps", 100.0).put("value_kb", 32.0).put("txn_ops", 16);
        p.putObject("cloud").put("rps", 4.0).put("list_lag_s", 5.0);
        p.putObject("machine_limits").put("core_share", 0.33).put("ram_mb", 268.0).put("max_sockets", 1500);
        p.put("skew_ms", 100.0);
        ObjectNode type = p.putArray("machine_types").addObject();
        type.put("Sku", "tolva-32g").put("Vcpus", 32.0).put("Gpus", 4.0).put("MemoryGb", 128.0).put("CacheGb", 150.0).put("FetchGbPerS", 4.0);
        type.put("Hourly", 13.23).put("LowPrice", 5.57).put("StartupS", 1.5);
        type.putArray("Meadows").add("cantabrico").add("ebro");
        return p;
    }
}
