import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A guest team's users submit 3 arrays of small tasks, bound to one zone, or four times as many (TROUBLE=0: 3). Jobs of another team
 * that are accepted after that have to run: machines of the other zone have room for them, and their team is under its limit.
 */
class Summaries {
    static final int USUAL = 3;
    static final int FACTOR = 4;
    static final int CELLS = 5_000;

    /** The rule's bound: "no job is left waiting for 90 s while a machine that fits has room". */
    static final double BOUND_S = 90;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Params.roast(), 3);
        // "Up to about 111 machines".
        w.cloud.capacity.put("cantabrico", 108);
        w.cloud.capacity.put("ebro", 3);
        w.params.withArray("teams").addObject().put("name", "cata-lab").put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 0.0).put("gpus_max", 0.0);
        w.writeSettings();
        w.launchAll();
        if (!w.awaitLeader(15)) end(w, 2, "no leader at the start");
        World.Controller leader = w.leader();
        w.say("%s leads", leader.name);
        ObjectNode service = w.job("j-000001", "standing", 1, 5, 1, 19).put("Comb", "roast-match-serve").put("Precedence", "critical");
        w.submit(service.put("Meadow", "ebro").put("Brood", "img-02"), 1e9, 0);
        while (w.running() < 1 && w.now() < 15) World.sleep(0.1);
        if (w.running() < 1) end(w, 2, "the service does not run");
        w.say("the service runs");
        int jobs = trouble ? USUAL * FACTOR : USUAL;
        for (int i = 0; i < jobs; i++) {
            ObjectNode array = w.job(String.format("j-1%05d", i), "batch", CELLS, 0.1, 0, 0.39).put("Comb", "harvest-mega-array");
            array.put("Colony", "cata-lab").put("Precedence", "low").put("ForageS", 60).put("Meadow", "cantabrico");
            World.Answer a = w.submit(array, 115, i);
            if (a.status != 201 && a.status != 200) end(w, 2, "an array was not accepted: " + a);
        }
        w.say("%d arrays of %d tasks are accepted", jobs, CELLS);
        int expected = Math.min(jobs * CELLS, 108 * 320);
        while (w.running() < expected && w.now() < 25) World.sleep(0.25);
        w.say("%d tasks run", w.running());
        List<String> probes = new ArrayList<>();
        List<String> at = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String id = "j-90000" + i;
            World.Answer a = w.submit(w.job(id, "batch", 1, 1, 0, 2).put("Comb", "cupping-score-array").put("Precedence", "high").put("Brood", "img-02"), 1, i);
            if (a.status != 201 && a.status != 200) end(w, 2, id + " was not accepted: " + a);
            probes.add(id);
            at.add(w.controllers.get(i).name + (w.controllers.get(i) == leader ? " (leads)" : ""));
        }
        double acceptedAt = w.now();
        w.say("%s accepted by %s", probes, at);
        List<String> waiting = new ArrayList<>(probes);
        while (w.now() < Math.min(acceptedAt + BOUND_S + 1, 117.5)) {
            World.sleep(1);
            for (String id : List.copyOf(waiting)) {
                for (World.Controller c : w.controllers) {
                    World.Answer state = w.poll(id, c);
                    if (!state.stage().equals("done") || !waiting.remove(id)) continue;
                    w.say("%s, accepted by %s, was done %.1f s after it was accepted", id, at.get(probes.indexOf(id)), w.now() - acceptedAt);
                }
            }
            if (waiting.isEmpty()) end(w, 0, "held: all were done");
        }
        double waited = w.now() - acceptedAt;
        long withRoom = w.cloud.machines.values().stream().filter(m -> m.zone.equals("ebro") && m.cells.size() <= 2).count();
        if (waited < BOUND_S || withRoom == 0) end(w, 2, String.format("waited only %.1f s, machines with room %d", waited, withRoom));
        end(w, 1, String.format("BROKEN: %s were accepted and have waited for %.1f s; %d machines of ebro have room; term %s", waiting, waited, withRoom,
            w.state.value("term")));
    }

    static void end(World w, int status, String result) {
        w.say("state service: %d requests, %d over its limit", w.state.requests.get(), w.state.rejected.get());
        w.say("%s", result);
        w.killAll();
        System.exit(status);
    }
}
