import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/** The leading controller is killed a second after a gang has ended; its successor never has the worker forget the results. */
final class Case7 {
    private static final int WAIT_S = 90;
    private static final int CELLS = 320;
    private static final int REPLICAS = 24;

    public static void main(String[] args) throws Exception {
        Kit.record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
        Kit.World world = new Kit.World();
        world.type = "tolva-32g";
        world.cpus = 32;
        world.gpus = 4;
        world.memory = 128;
        world.bootMs = 1000;
        world.capacity = 2;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");
        // A service on each of two machines, in two zones, and a gang of small tasks beside the first.
        Kit.Spec first = Kit.job("j-1", "blend-team", "standing", "critical", 1, 4, 4, 19, 0);
        Kit.Spec second = Kit.job("j-2", "blend-team", "standing", "critical", 1, 20, 3, 60, 0);
        Kit.Spec array = Kit.job("j-3", "shipping-team", "ensemble", "normal", CELLS, 0.08, 0, 0.2, 6);
        Kit.Spec single = Kit.job("j-4", "blend-team", "batch", "normal", 1, 2, 1, 4, 20);
        for (Kit.Spec s : List.of(first, array)) s.json.put("Meadow", "cantabrico");
        for (Kit.Spec s : List.of(second, single)) s.json.put("Meadow", "ebro");
        for (Kit.Spec s : List.of(first, second)) if (!world.submit(s, 0, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
        for (int i = 0; i < 150 && world.started < 2; i++) Kit.sleep(100);
        if (!world.submit(array, 1, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
        long until = Kit.now() + 20_000;
        while (Kit.now() < until && !"done".equals(world.status("j-3", 2).stage())) Kit.sleep(50);
        Kit.log("poll of j-3: %s", world.status("j-3", 2));
        // Work goes on on the other machine.
        if (!world.submit(single, 0, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
        int leader = world.leaderNode();
        long from = Kit.now();
        while (Kit.now() - from < 6_000 && !world.firstStart.containsKey("j-4/0")) Kit.sleep(10);
        Kit.log("ended results on the machines: %s; start of j-4: %s", ended(world), world.firstStart.get("j-4/0"));
        if (Kit.trouble()) {
            world.crash(leader);
            Kit.log("ended results on the machines: %s", ended(world));
            Kit.sleep(5_000);
            world.restart(leader);
        }
        Kit.Spec probe = Kit.job("j-5", "shipping-team", "standing", "high", REPLICAS, 1, 0, 2, 0);
        if (!world.submit(probe, (leader + 1) % 3, 10_000).ok()) Kit.exit(world, 2, "the job was not accepted");
        long acceptedAt = Kit.now();
        boolean room = true;
        while (started(world) < REPLICAS && Kit.now() - acceptedAt < WAIT_S * 1000) {
            Kit.sleep(2_000);
            room &= started(world) == REPLICAS || Case6.room(world, probe);
            Kit.log("leader: %s; ended results: %s; started of j-5: %d%s", world.store.leader(), ended(world), started(world), Case6.used(world));
        }
        int started = started(world);
        if (started == REPLICAS) Kit.exit(world, 0, "held: all tasks of the job were started");
        if (!room) Kit.exit(world, 2, "no machine had room for the job all the time");
        Kit.exit(world, 1, "broken: of " + REPLICAS + " tasks of an accepted job " + started + " were started within " + WAIT_S + " s, beside a machine that has room for the others all the time");
    }

    private static int started(Kit.World world) {
        int n = 0;
        for (int i = 0; i < REPLICAS; i++) if (world.firstStart.containsKey("j-5/" + i)) n++;
        return n;
    }

    private static String ended(Kit.World world) {
        StringBuilder s = new StringBuilder();
        for (Kit.Worker w : world.workers.values()) {
            synchronized (w) {
                s.append(w.name).append(' ').append(w.tasks.values().stream().filter(t -> !t.live()).count()).append(' ');
            }
        }
        return s.toString();
    }
}
