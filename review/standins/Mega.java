import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * A guest team's user submits a large array, sees it run and cancels it; 4 times one after the other, or four times as often in
 * the same time (TROUBLE=0: 4). At no time is more than one array active. A job of another team that is accepted after that
 * has to run: machines have room for it, and its team is under its limit.
 */
class Mega {
    static final int USUAL = 4;
    static final int FACTOR = 4;
    static final int CELLS = 100_000;

    /** The rule's bound: "no job is left waiting for 90 s while a machine that fits has room". */
    static final double BOUND_S = 90;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Params.roast(), 3);
        w.cloud.perZone = 4;
        w.params.withArray("teams").addObject().put("name", "cata-lab").put("cpus", 0.0).put("cpus_max", 8.0).put("gpus", 0.0).put("gpus_max", 0.0);
        w.writeSettings();
        w.launchAll();
        if (!w.awaitLeader(15)) end(w, 2, "no leader at the start");
        w.say("%s leads", w.leader().name);
        // Replicas of a service bring machines up; each machine has room for more.
        ObjectNode service = w.job("j-000001", "standing", 2, 5, 1, 19).put("Comb", "roast-match-serve").put("Precedence", "critical").put("Scatter", true);
        w.submit(service, 1e9, 0);
        while (w.running() < 2 && w.now() < 15) World.sleep(0.1);
        if (w.running() < 2) end(w, 2, "the service does not run");
        w.say("the service runs on %d machines", w.cloud.machines.size());
        int jobs = trouble ? USUAL * FACTOR : USUAL;
        double gap = 12.0 / jobs;
        double from = w.now();
        int cancelled = 0;
        for (int i = 0; i < jobs && w.now() < 21; i++) {
            while (w.now() < from + i * gap) World.sleep(0.01);
            String id = String.format("j-1%05d", i);
            ObjectNode array = w.job(id, "batch", CELLS, 0.25, 0, 0.9).put("Comb", "harvest-mega-array");
            array.put("Colony", "cata-lab").put("Precedence", "low").put("BorrowedHives", true).put("ForageS", 4);
            World.Answer a = w.submit(array, 4, i);
            if (a.status != 200 && a.status != 201) end(w, 2, id + ": " + a);
            double submittedAt = w.now();
            // The user looks at the array until its tasks run, and then cancels it.
            boolean running = false;
            while (!running && w.now() < submittedAt + 3) {
                World.sleep(0.1);
                running = w.poll(id, w.controllers.get(i % 3)).stage().equals("running");
            }
            for (int k = i; running && w.now() < 22; k++) {
                World.Controller c = w.controllers.get(k % 3);
                World.Answer b = World.call(c.port, "POST", "/v2/runs/" + id + "/cancel", null, 5);
                w.log("user: cancel %s at %s -> %s", id, c.name, b);
                if (b.status == 200) {
                    cancelled++;
                    break;
                }
                World.sleep(1);
            }
            if (running) continue;
            w.say("%s is still queued after %.1f s", id, w.now() - submittedAt);
            break;
        }
        w.say("%d arrays accepted and cancelled", cancelled);
        World.sleep(1);
        String id = "j-900001";
        ObjectNode probe = w.job(id, "batch", 1, 1, 0, 2).put("Comb", "cupping-score-array");
        World.Answer a = w.submit(probe, 1, w.controllers.indexOf(w.leader()) + 1);
        if (a.status != 201 && a.status != 200) end(w, 2, id + " was not accepted: " + a);
        double acceptedAt = w.now();
        w.say("%s accepted", id);
        double doneAt = -1;
        double[] answeredAt = new double[w.controllers.size()];
        java.util.Arrays.fill(answeredAt, w.now());
        while (w.now() < 115.5) {
            World.sleep(1);
            boolean allAnswer = true;
            for (int i = 0; i < answeredAt.length; i++) {
                World.Answer state = w.poll(id, w.controllers.get(i));
                if (state.status != 0) answeredAt[i] = w.now();
                else allAnswer = false;
                if (doneAt < 0 && state.stage().equals("done")) doneAt = w.now();
            }
            if (doneAt >= 0 && allAnswer) end(w, 0, String.format("held: %s was done %.1f s after it was accepted, all controllers answer", id, doneAt - acceptedAt));
            if (doneAt < 0 && w.now() >= acceptedAt + BOUND_S) {
                end(w, 1, String.format("BROKEN: %s was accepted and has waited for %.1f s; tasks that run: %d; leader's record %s, term %s", id,
                    w.now() - acceptedAt, w.running(), w.state.value("lead"), w.state.value("term")));
            }
            for (int i = 0; i < answeredAt.length; i++) {
                if (w.now() - answeredAt[i] < BOUND_S || !w.controllers.get(i).process.isAlive()) continue;
                end(w, 1, String.format("BROKEN: the process of %s is there, but has answered no question for %.1f s", w.controllers.get(i).name, w.now() - answeredAt[i]));
            }
        }
        end(w, 2, "neither the one nor the other");
    }

    static void end(World w, int status, String result) {
        for (World.Controller c : w.controllers) w.say("%s: process alive: %b, /up: %b", c.name, c.process != null && c.process.isAlive(), c.up());
        w.say("%s", result);
        w.killAll();
        System.exit(status);
    }
}
