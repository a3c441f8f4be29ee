import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/** A class of services with many small replicas comes four times as often: one machine then holds as many tasks as it may report. */
final class Case6 {
    private static final int WAIT_S = 90;
    private static final int REPLICAS = 100;

    public static void main(String[] args) throws Exception {
        Kit.record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
        Kit.World world = new Kit.World();
        world.type = "tolva-32g";
        world.cpus = 32;
        world.gpus = 4;
        world.memory = 128;
        world.bootMs = 2000;
        world.capacity = 20;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");
        int services = Kit.trouble() ? 4 : 1;
        for (int i = 0; i < services; i++) {
            Kit.Spec small = Kit.job("j-" + (100 + i), "shipping-team", "standing", "normal", REPLICAS, 0.05, 0, 0.2, 0);
            small.json.put("Comb", "sample-watch");
            if (!world.submit(small, i % 3, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
        }
        for (int i = 0; i < 120 && world.started < Math.min(300, services * REPLICAS); i++) Kit.sleep(100);
        Kit.sleep(3_000);
        Kit.log("%d tasks run", world.started);

        Kit.Spec probe = Kit.job("j-2", "blend-team", "standing", "critical", 1, 5, 1, 19, 0);
        if (!world.submit(probe, 0, 10_000).ok()) Kit.exit(world, 2, "the job was not accepted");
        long acceptedAt = Kit.now();
        boolean ran = false;
        boolean room = true;
        while (!ran && Kit.now() - acceptedAt < WAIT_S * 1000) {
            Kit.sleep(2_000);
            room &= room(world, probe);
            Kit.log("leader record: %s; rented: %s; poll of j-2: %s%s", world.store.leader(), world.rented.keySet(), world.status("j-2", 1), used(world));
            synchronized (world) {
                ran = world.on.containsKey("j-2/0");
            }
        }
        if (ran) Kit.exit(world, 0, "held: the job ran " + (Kit.now() - acceptedAt) + " ms after it was accepted, or earlier");
        if (!room) Kit.exit(world, 2, "no machine had room for the job all the time");
        Kit.exit(world, 1, "broken: a critical job waited for " + WAIT_S + " s beside a machine that has room for it all the time");
    }

    /** Whether the probe fits on a machine that is up, beside all its tasks. */
    static boolean room(Kit.World world, Kit.Spec probe) {
        for (Kit.Worker w : world.workers.values()) {
            double[] used = used(w);
            if (used[0] + probe.cpus <= world.cpus && used[1] + probe.gpus <= world.gpus && used[2] + probe.memory <= world.memory) return true;
        }
        return false;
    }

    static double[] used(Kit.Worker w) {
        double[] sum = new double[4];
        synchronized (w) {
            for (Kit.Task t : w.tasks.values()) {
                if (!t.live() || t.spec == null) continue;
                sum[0] += t.spec.cpus;
                sum[1] += t.spec.gpus;
                sum[2] += t.spec.memory;
                sum[3]++;
            }
        }
        return sum;
    }

    static String used(Kit.World world) {
        StringBuilder s = new StringBuilder();
        for (Kit.Worker w : world.workers.values()) {
            double[] u = used(w);
            s.append(String.format("; %s: %.0f tasks use %.1f of %.0f CPUs, %.0f of %.0f GPUs, %.1f of %.0f GB", w.name, u[3], u[0], world.cpus, u[1], world.gpus, u[2], world.memory));
        }
        return s.toString();
    }
}
