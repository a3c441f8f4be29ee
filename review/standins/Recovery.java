import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many one-task jobs run at the same time and end. Then the leader's process is killed and started again at once (TROUBLE=0: it is
 * not killed). A job that is accepted after that has to run: machines have room for it, and its team has no limit on CPUs.
 */
class Recovery {
    static final int JOBS = 500;
    static final double SUBMISSIONS_PER_S = 80;
    static final double ENDS_PER_S = 30;
    static final double FIRST_RUN_S = 5.5;

    /** The rule's bound: "no job is left waiting for 90 s while a machine that fits has room". */
    static final double BOUND_S = 90;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Params.roast(), 3);
        // "A response usually takes under 10 ms, and occasionally a few hundred."
        w.state.latencyS = 0.0095;
        w.state.slowShare = 0.02;
        w.state.slowS = 0.3;
        w.launchAll();
        if (!w.awaitLeader(15)) end(w, 2, "no leader at the start");
        w.say("%s leads", w.leader().name);
        AtomicInteger accepted = new AtomicInteger();
        CountDownLatch answered = new CountDownLatch(JOBS);
        for (int i = 0; i < JOBS; i++) {
            final int n = i;
            double runS = FIRST_RUN_S + n * (1 / ENDS_PER_S - 1 / SUBMISSIONS_PER_S);
            w.pool.execute(() -> {
                World.Answer a = w.submit(w.job(String.format("j-%06d", n), "batch", 1, 0.25, 0, 0.9), runS, n);
                if (a.status == 200 || a.status == 201) accepted.incrementAndGet();
                answered.countDown();
            });
            World.sleep(1 / SUBMISSIONS_PER_S);
        }
        answered.await();
        while (w.state.count("f/") < JOBS * 0.94 && w.now() < 23.5) World.sleep(0.1);
        w.say("%d jobs accepted; stored: %d active or ended in place, %d ended, %d pages of starts", accepted.get(), w.state.count("j/"),
            w.state.count("f/"), w.state.count("l/"));
        if (trouble) {
            World.Controller leader = w.leader();
            w.say("platform: SIGKILL to the leader %s, which is started again at once", leader.name);
            leader.kill();
            leader.launch();
            while (!leader.up() && w.now() < 26) World.sleep(0.05);
            w.say("platform: %s answers /up: %b", leader.name, leader.up());
        }
        double over = w.now();
        String id = "j-900001";
        World.Answer a = w.submit(w.job(id, "batch", 1, 0.25, 0, 0.9), 1, 1);
        if (a.status != 201 && a.status != 200) end(w, 2, id + " was not accepted: " + a);
        double acceptedAt = w.now();
        w.say("%s accepted", id);
        while (w.now() < Math.min(acceptedAt + BOUND_S + 1, 117)) {
            World.sleep(1);
            for (World.Controller c : w.controllers) {
                World.Answer state = w.poll(id, c);
                if (state.stage().equals("done")) end(w, 0, String.format("held: %s was done %.1f s after it was accepted", id, w.now() - acceptedAt));
            }
        }
        double waited = w.now() - acceptedAt;
        long withRoom = w.cloud.machines.values().stream().filter(m -> m.cells.isEmpty()).count();
        if (waited < BOUND_S || withRoom == 0) end(w, 2, String.format("waited only %.1f s, or no machine with room (%d)", waited, withRoom));
        end(w, 1, String.format("BROKEN: %s was accepted and has waited for %.1f s; %d machines are empty; terms since the start: %s",
            id, waited, withRoom, w.state.value("term")));
    }

    static void end(World w, int status, String result) {
        w.say("state service: %d requests, %d over its limit", w.state.requests.get(), w.state.rejected.get());
        w.say("%s", result);
        w.killAll();
        System.exit(status);
    }
}
