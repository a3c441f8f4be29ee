import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/** A class of jobs comes twice as often: the second job needs another image than the one that the only machine is fetching. */
final class Case8 {
    private static final int WAIT_S = 90;

    public static void main(String[] args) throws Exception {
        Kit.record = new PrintWriter(Path.of(args[0], "record.txt").toFile());
        Kit.World world = new Kit.World();
        world.type = "tolva-32g";
        world.cpus = 32;
        world.gpus = 4;
        world.memory = 128;
        world.fetchGbPerS = 0.1;
        world.bootMs = 2000;
        world.capacity = 20;
        world.start(Kit.params(Sites.TOSTADERO), 3, List.of("cantabrico", "ebro"), "info");
        if (!world.awaitUp(20_000)) Kit.exit(world, 2, "the controllers are not up");
        if (Kit.trouble()) {
            if (!world.submit(array("j-1", "img-1", 12.0), 0, 5_000).ok()) Kit.exit(world, 2, "a job was not accepted");
            for (int i = 0; i < 200 && !world.firstStart.containsKey("j-1/0"); i++) Kit.sleep(100);
            Kit.sleep(1_000);
        }
        Kit.Spec probe = array("j-2", "img-2", 5.0);
        if (!world.submit(probe, 1, 10_000).ok()) Kit.exit(world, 2, "the job was not accepted");
        long acceptedAt = Kit.now();
        boolean room = true;
        while (!world.firstStart.containsKey("j-2/0") && Kit.now() - acceptedAt < WAIT_S * 1000) {
            Kit.sleep(2_000);
            room &= !Kit.trouble() || Case6.room(world, probe);
            Kit.log("rented: %s; poll of j-2: %s%s", world.rented.keySet(), world.status("j-2", 2), Case6.used(world));
        }
        Long startedAt = world.firstStart.get("j-2/0");
        if (startedAt != null) Kit.exit(world, 0, "held: the job's start was commanded " + (startedAt - acceptedAt) + " ms after it was accepted");
        if (!room) Kit.exit(world, 2, "no machine had room for the job all the time");
        Kit.exit(world, 1, "broken: a job waited for " + WAIT_S + " s beside a machine that has room for it all the time");
    }

    /** A job as the class cupping-score-array has them. */
    private static Kit.Spec array(String id, String image, double imageGb) {
        Kit.Spec job = Kit.job(id, "shipping-team", "batch", "normal", 1, 6, 1, 24, 40);
        job.json.put("Comb", "cupping-score-array").put("Brood", image).put("PullGb", imageGb).put("BorrowedHives", true);
        return new Kit.Spec(job.json, 40);
    }
}
