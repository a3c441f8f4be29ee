import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Large arrays are submitted and mostly put off; then the leading controller is killed and comes back after 5 s. */
final class Case5 {
    private static final int LARGE_JOBS = 16;
    private static final int CELLS = 100_000;
    private static final int WAIT_S = 90;

    public static void main(String[] args) throws Exception {
        Kit.record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
        Kit.World world = new Kit.World();
        world.type = "tolva-32g";
        world.cpus = 32;
        world.gpus = 4;
        world.memory = 128;
        world.bootMs = 2000;
        world.capacity = 10;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");

        Kit.Spec before = Kit.job("j-1", "blend-team", "standing", "critical", 1, 5, 1, 19, 0);
        if (!world.submit(before, 0, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
        List<Thread> users = new ArrayList<>();
        int[] accepted = {0};
        for (int i = 0; i < LARGE_JOBS; i++) {
            int n = i;
            Kit.Spec large = Kit.job("j-" + (100 + n), "shipping-team", "batch", "normal", CELLS, 6, 1, 24, 20);
            users.add(Kit.spawn(() -> {
                if (!world.submit(large, n % 3, 60_000).ok()) return;
                synchronized (accepted) {
                    accepted[0]++;
                }
            }));
            Kit.sleep(500);
        }
        int leader = world.leaderNode();
        if (leader < 0) Kit.exit(world, 2, "no controller leads");
        Kit.log("accepted large jobs: %d", accepted[0]);
        if (Kit.trouble()) {
            world.crash(leader);
            Kit.sleep(5_000);
            world.restart(leader);
        } else {
            Kit.sleep(5_000);
        }

        // The trouble is over. A critical job of one task, within its team's guarantee, is accepted; machines have room or can be rented.
        Kit.Spec small = Kit.job("j-2", "blend-team", "standing", "critical", 1, 5, 1, 19, 0);
        Kit.Reply reply = world.submit(small, (leader + 1) % 3, 10_000);
        if (!reply.ok()) Kit.exit(world, 2, "the job was not accepted");
        long acceptedAt = Kit.now();
        boolean ran = false;
        while (!ran && Kit.now() - acceptedAt < WAIT_S * 1000) {
            Kit.sleep(3_000);
            StringBuilder seen = new StringBuilder();
            for (int n = 0; n < 3; n++) seen.append(world.status("j-2", n)).append(world.processes.get(n).isAlive() ? " alive; " : " ended; ");
            Kit.log("leader record: %s; machines: %d; polls of j-2: %s", world.store.leader(), world.workers.size(), seen);
            synchronized (world) {
                ran = world.on.containsKey("j-2/0");
            }
        }
        synchronized (world) {
            Kit.log("accepted large jobs: %d; j-1 is on %s; j-2 is on %s", accepted[0], world.on.get("j-1/0"), world.on.get("j-2/0"));
        }
        if (ran) Kit.exit(world, 0, "held: the job ran " + (Kit.now() - acceptedAt) + " ms after it was accepted, or earlier");
        Kit.exit(world, 1, "broken: an accepted critical job was not started within " + WAIT_S + " s; leader record: " + world.store.leader());
    }
}
