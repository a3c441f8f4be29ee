import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/** A task is stopped and started again and again on one machine; the machine hangs, and the leading controller is killed. */
final class Case4 {
    public static void main(String[] args) throws Exception {
        Kit.record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
        Kit.World world = new Kit.World();
        Kit.liveFirst = true;
        world.type = "tolva-32g";
        world.cpus = 32;
        world.gpus = 4;
        world.memory = 128;
        world.bootMs = 1500;
        world.capacity = 2;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");
        // One machine in each zone; the second one is taken by a service.
        Kit.Spec other = Kit.job("j-1", "shipping-team", "standing", "critical", 1, 20, 3, 80, 0);
        other.json.put("Meadow", "ebro");
        Kit.Spec task = Kit.job("j-2", "blend-team", "batch", "high", 1, 20, 3, 80, 600);
        // More than the guarantee of blend-team: what the team submits later is borrowed.
        Kit.Spec large = Kit.job("j-3", "blend-team", "ensemble", "low", 60, 1, 1, 4, 60);
        submit(world, other, 0);
        submit(world, large, 1);
        await(world, "j-1/0", 20_000);
        submit(world, task, 2);
        await(world, "j-2/0", 20_000);
        Kit.Worker machine = world.workers.values().stream().filter(w -> w.tasks.values().stream().anyMatch(t -> t.cell.equals("j-2/0"))).findFirst().orElse(null);
        if (machine == null) Kit.exit(world, 2, "the task is on no machine");
        Kit.sleep(1_000);
        // Work of the other team within its guarantee; there is no more machine to rent, so the borrowed task is stopped and started again.
        if (Kit.trouble()) {
            machine.muteUntil = Kit.now() + 5_500;
            Kit.log("%s can't open connections to any controller for 5.5 s; commands reach it", machine.name);
        }
        Kit.Spec guaranteed = Kit.job("j-4", "shipping-team", "batch", "normal", 1, 20, 3, 80, 60);
        submit(world, guaranteed, 0);
        long until = Kit.now() + 5_000;
        while (Kit.now() < until && !again(world, machine)) Kit.sleep(5);
        cancel(world, "j-4", 1);
        cancel(world, "j-1", 2);
        Kit.sleep(1_000);
        Kit.log("%s has %s", machine.name, machine.tasks.keySet());
        // Work goes on on the other machine.
        for (int i = 0; i < 3; i++) {
            Kit.Spec small = Kit.job("j-" + (10 + i), "shipping-team", "batch", "normal", 1, 2, 0, 4, 60);
            small.json.put("Meadow", "ebro");
            submit(world, small, i);
            await(world, "j-" + (10 + i) + "/0", 4_000);
        }
        Kit.sleepUntil(Math.max(Kit.now(), machine.muteUntil) + 6_000);
        if (Kit.trouble()) {
            if (!runs(machine)) Kit.exit(world, 0, "held: the task does not run on its first machine");
            int leader = world.leaderNode();
            machine.hungUntil = Kit.now() + 14_000;
            Kit.log("%s hangs for 14 s with %s", machine.name, machine.tasks.keySet());
            world.crash(leader);
            Kit.sleep(5_000);
            world.restart(leader);
        }
        Kit.sleep(14_000);
        if (!world.broken.isEmpty()) Kit.exit(world, 1, "broken: " + world.broken);
        Kit.exit(world, 0, "held");
    }

    /** Whether the task runs for the second time. */
    private static boolean again(Kit.World world, Kit.Worker w) {
        return world.starts.getOrDefault("j-2/0", 0) > 1 && runs(w);
    }

    static boolean runs(Kit.Worker w) {
        synchronized (w) {
            return w.tasks.values().stream().anyMatch(t -> t.cell.equals("j-2/0") && t.stage.equals("running"));
        }
    }

    private static void submit(Kit.World world, Kit.Spec spec, int node) {
        if (!world.submit(spec, node, 10_000).ok()) Kit.exit(world, 2, "a job was not accepted");
    }

    private static void cancel(Kit.World world, String id, int node) {
        for (int i = 0; i < 5; i++) {
            Kit.Reply reply = world.cancel(id, node);
            Kit.log("user: cancel %s at hive-%d: %d %s", id, node, reply.status(), reply.body());
            if (reply.ok()) return;
            Kit.sleep(1_000);
        }
    }

    private static void await(Kit.World world, String cell, long ms) {
        long until = Kit.now() + ms;
        while (Kit.now() < until && !world.firstStart.containsKey(cell)) Kit.sleep(20);
    }
}
