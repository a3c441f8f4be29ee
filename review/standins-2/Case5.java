import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/** Users submit large arrays one after the other and call each off before the next one comes. */
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
        world.bootMs = 1500;
        world.capacity = 10;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");
        for (int i = 0; i < LARGE_JOBS; i++) {
            int n = i;
            Kit.Spec large = Kit.job("j-" + (100 + n), "shipping-team", "batch", "normal", CELLS, 6, 1, 24, 20);
            if (!Kit.trouble()) {
                Kit.spawn(() -> world.submit(large, n % 3, 60_000));
                Kit.sleep(600);
                continue;
            }
            if (!world.submit(large, n % 3, 5_000).ok()) break;
            Kit.sleep(500);
            if (!cancelled(world, large.id, n)) break;
        }
        // Accepted at a controller that does not lead, as two thirds of all jobs are.
        int leader = world.leaderNode();
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
        if (ran) Kit.exit(world, 0, "held: the job ran " + (Kit.now() - acceptedAt) + " ms after it was accepted, or earlier");
        Kit.exit(world, 1, "broken: an accepted critical job was not started within " + WAIT_S + " s; leader record: " + world.store.leader());
    }

    private static boolean cancelled(Kit.World world, String id, int node) {
        for (int i = 0; i < 3; i++) {
            Kit.Reply reply = world.cancel(id, (node + i) % 3);
            Kit.log("user: POST /v2/runs/%s/cancel at hive-%d: %d %s", id, (node + i) % 3, reply.status(), reply.body());
            if (reply.ok()) return true;
            Kit.sleep(1_000);
        }
        return false;
    }
}
