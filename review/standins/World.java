import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for everything around the controllers, as PROTOCOL-honeyjunction.md describes it: state service, cloud, workers and users,
 * and the platform that starts, kills and restarts the controllers' processes. All addresses are loopback addresses.
 */
class World {
    static final ObjectMapper JSON = new ObjectMapper();
    final long start = System.nanoTime();
    final ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
    final PrintWriter record;
    final Path folder;
    final Path temp;
    final Map<String, JsonNode> uploaded = new ConcurrentHashMap<>();
    final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    final Random random = new Random(1);
    final State state;
    final Cloud cloud;
    final List<Controller> controllers = new ArrayList<>();
    final ObjectNode params;

    World(Path folder, ObjectNode params, int controllerCount) throws Exception {
        System.setProperty("sun.net.httpserver.idleInterval", "100000");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "100000");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.folder = folder;
        this.params = params;
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
        state = new State(this);
        cloud = new Cloud(this);
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new Controller(this, "hive-" + i, freePort(), freePort(), temp.resolve("hive-" + i + ".json")));
        }
        writeSettings();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Writes the settings file of each controller. */
    void writeSettings() throws IOException {
        ArrayNode zones = (ArrayNode) params.get("zones");
        for (int i = 0; i < controllers.size(); i++) {
            Controller c = controllers.get(i);
            ObjectNode s = JSON.createObjectNode();
            s.put("host_name", c.name).put("zone", zones.get(i % zones.size()).asText());
            s.put("api_addr", "127.0.0.1:" + c.port).put("peer_listen", "127.0.0.1:" + c.peerPort);
            ArrayNode seeds = s.putArray("seeds");
            for (int j = 0; j < controllers.size(); j++) {
                if (j == i) continue;
                seeds.addObject().put("host_name", "hive-" + j).put("zone", zones.get(j % zones.size()).asText())
                    .put("address", "127.0.0.1:" + controllers.get(j).peerPort);
            }
            s.putObject("external").put("cloud", "127.0.0.1:" + cloud.port).put("state", "127.0.0.1:" + state.port);
            s.set("params", params);
            Files.write(c.settings, JSON.writeValueAsBytes(s));
        }
    }

    /** The number of tasks that run on all machines. */
    int running() {
        int n = 0;
        synchronized (cloud) {
            for (Worker w : cloud.machines.values()) {
                synchronized (w) {
                    for (Worker.Cell c : w.cells.values()) if (c.stage.equals("running")) n++;
                }
            }
        }
        return n;
    }

    /** Whether a task of the job is on a machine: it has its image and has not ended. */
    boolean onMachine(String job) {
        synchronized (cloud) {
            for (Worker m : cloud.machines.values()) {
                synchronized (m) {
                    for (Worker.Cell c : m.cells.values()) if (c.id.startsWith(job + "/") && c.stage.equals("running")) return true;
                }
            }
        }
        return false;
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    void killAll() {
        controllers.forEach(Controller::kill);
        try {
            for (Controller c : controllers) Files.deleteIfExists(c.settings);
            Files.deleteIfExists(temp);
        } catch (IOException e) {
            log("the temporary folder is left: %s", e);
        }
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    void log(String format, Object... args) {
        String line = String.format("%8.3f  %s", now(), args.length == 0 ? format : String.format(format, args));
        synchronized (record) {
            record.println(line);
            record.flush();
        }
    }

    void say(String format, Object... args) {
        log(format, args);
        System.out.println(String.format("%8.3f  ", now()) + String.format(format, args));
    }

    static void sleep(double seconds) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            java.util.concurrent.locks.LockSupport.parkNanos(left);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** A server on a free loopback port. */
    HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        server.setExecutor(pool);
        server.createContext("/", exchange -> {
            try {
                byte[] body = exchange.getRequestBody().readAllBytes();
                Reply reply = handler.handle(exchange, body.length == 0 ? null : JSON.readTree(body));
                if (reply == null) {
                    exchange.close();
                    return;
                }
                byte[] out = reply.body == null ? new byte[0] : JSON.writeValueAsBytes(reply.body);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status, out.length == 0 ? -1 : out.length);
                if (out.length > 0) exchange.getResponseBody().write(out);
                exchange.close();
            } catch (IOException e) {
                exchange.close();
            } catch (RuntimeException e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    interface Handler {
        Reply handle(HttpExchange exchange, JsonNode body) throws IOException;
    }

    static class Reply {
        final int status;
        final JsonNode body;

        Reply(int status, JsonNode body) {
            this.status = status;
            this.body = body;
        }
    }

    static Map<String, String> query(HttpExchange e) {
        Map<String, String> result = new HashMap<>();
        String q = e.getRequestURI().getRawQuery();
        if (q == null) return result;
        for (String part : q.split("&")) {
            int eq = part.indexOf('=');
            result.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return result;
    }

    /** A client's one request on a connection of its own; status 0: no answer in time or connection failure. */
    static Answer call(int port, String method, String path, JsonNode body, double timeoutS) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), (int) (timeoutS * 1000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) (timeoutS * 1000));
            byte[] out = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
            String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: " + out.length + "\r\n\r\n";
            OutputStream os = socket.getOutputStream();
            byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[h.length + out.length];
            System.arraycopy(h, 0, all, 0, h.length);
            System.arraycopy(out, 0, all, h.length, out.length);
            os.write(all);
            os.flush();
            InputStream is = socket.getInputStream();
            java.io.ByteArrayOutputStream got = new java.io.ByteArrayOutputStream();
            byte[] buffer = new byte[8192];
            int headEnd = -1;
            int length = -1;
            int retryAfter = 0;
            while (true) {
                if (headEnd >= 0 && length >= 0 && got.size() >= headEnd + length) break;
                int n = is.read(buffer);
                if (n < 0) break;
                got.write(buffer, 0, n);
                if (headEnd < 0) {
                    String s = got.toString(StandardCharsets.ISO_8859_1);
                    int at = s.indexOf("\r\n\r\n");
                    if (at >= 0) {
                        headEnd = at + 4;
                        for (String line : s.substring(0, at).split("\r\n")) {
                            if (line.toLowerCase().startsWith("retry-after:")) retryAfter = Integer.parseInt(line.substring(12).trim());
                            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
                        }
                    }
                }
            }
            if (headEnd < 0) return new Answer(0, null);
            String s = got.toString(StandardCharsets.ISO_8859_1);
            int status = Integer.parseInt(s.split(" ")[1]);
            byte[] raw = got.toByteArray();
            JsonNode json = null;
            if (raw.length > headEnd) json = JSON.readTree(raw, headEnd, raw.length - headEnd);
            return new Answer(status, json, retryAfter);
        } catch (IOException e) {
            return new Answer(0, null);
        }
    }

    static class Answer {
        final int status;
        final JsonNode body;

        final int retryAfterS;

        Answer(int status, JsonNode body) {
            this(status, body, 0);
        }

        Answer(int status, JsonNode body, int retryAfterS) {
            this.status = status;
            this.body = body;
            this.retryAfterS = retryAfterS;
        }

        String stage() {
            return body != null && body.has("Stage") ? body.get("Stage").asText() : "";
        }

        @Override
        public String toString() {
            return status + (body == null ? "" : " " + body);
        }
    }

    /** The platform's part: one controller's process. */
    static class Controller {
        final World world;
        final String name;
        final int port;
        final int peerPort;
        final Path settings;
        volatile Process process;

        Controller(World world, String name, int port, int peerPort, Path settings) {
            this.world = world;
            this.name = name;
            this.port = port;
            this.peerPort = peerPort;
            this.settings = settings;
        }

        synchronized void launch() throws IOException {
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
                if (line.startsWith("run =")) {
                    String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    Collections.addAll(command, run.split(" "));
                }
            }
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("REVIEW_LOG", "info"));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(world.folder.resolve(name + ".log").toFile()));
            process = builder.start();
            world.log("platform: %s started, pid %d", name, process.pid());
        }

        /** SIGKILL. */
        void kill() {
            Process p = process;
            if (p == null) return;
            p.destroyForcibly();
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
            world.log("platform: SIG%s to %s", name, this.name);
        }

        boolean up() {
            return call(port, "GET", "/up", null, 1).status == 200;
        }
    }

    void launchAll() throws IOException {
        for (Controller c : controllers) {
            Files.deleteIfExists(folder.resolve(c.name + ".log"));
            c.launch();
        }
    }

    /** Waits until all controllers are healthy and one leads; false after [timeoutS]. */
    boolean awaitLeader(double timeoutS) {
        double until = now() + timeoutS;
        while (now() < until) {
            if (leader() != null && controllers.stream().allMatch(Controller::up)) return true;
            sleep(0.1);
        }
        return false;
    }

    /** The controller that the state service's record names. */
    Controller leader() {
        JsonNode v = state.value("lead");
        if (v == null) return null;
        String text = v.toString();
        return controllers.stream().filter(c -> text.contains("\"" + c.name + "\"")).findFirst().orElse(null);
    }

    ObjectNode job(String id, String cast, int cells, double cpus, double gpus, double memory) {
        ObjectNode j = JSON.createObjectNode();
        j.put("Ref", id).put("Comb", "sample-swarm").put("Colony", params.get("teams").get(0).get("name").asText()).put("Cast", cast);
        j.put("Precedence", "normal").put("Cells", cells).put("Vcpus", cpus).put("Gpus", gpus).put("MemoryGb", memory);
        j.put("Brood", "img-01").put("PullGb", 0.5).putNull("HiveKinds").putNull("Meadow").put("SamePlace", false);
        j.put("Scatter", false).put("BorrowedHives", false).put("ForageS", 10.0).put("CapS", 0.0).put("SealS", 0.0).putNull("BloomEndS");
        return j;
    }

    /** A user's submission through the load balancer: tries healthy nodes in turn until accepted or 60 s are over. */
    Answer submit(ObjectNode job, double runS, int first) {
        String id = job.get("Ref").asText();
        uploaded.put(id, job);
        runSeconds.put(id, runS);
        double until = now() + 60;
        Answer last = null;
        for (int k = first; now() < until; k++) {
            Controller c = controllers.get(Math.floorMod(k, controllers.size()));
            last = call(c.port, "POST", "/v2/runs", job, 5);
            log("user: submit %s (%s cells) at %s -> %s", id, job.get("Cells"), c.name, last);
            if (last.status == 200 || last.status == 201 || last.status == 400 || last.status == 422) return last;
            sleep(Math.max(1, last.retryAfterS));
        }
        return last;
    }

    /** One attempt of a user to submit a job. */
    Answer submitOnce(ObjectNode job, double runS, int at) {
        String id = job.get("Ref").asText();
        uploaded.put(id, job);
        runSeconds.put(id, runS);
        Controller c = controllers.get(Math.floorMod(at, controllers.size()));
        Answer a = call(c.port, "POST", "/v2/runs", job, 5);
        log("user: submit %s (%s cells) at %s -> %s", id, job.get("Cells"), c.name, a);
        return a;
    }

    Answer poll(String id, Controller c) {
        Answer a = call(c.port, "GET", "/v2/runs/" + id, null, 2);
        log("user: poll %s at %s -> %s", id, c.name, a);
        return a;
    }

    /** The state service. */
    static class State {
        final World world;
        final int port;
        long revision = 100;
        long nextLease = 7;
        final TreeMap<String, Entry> entries = new TreeMap<>();
        final Map<Long, double[]> leases = new HashMap<>();
        final ArrayList<Object[]> log = new ArrayList<>();
        double requestTokens;
        double writeTokens;
        double refilledAt;
        volatile double latencyS = 0.006;
        volatile double slowShare = 0.0;
        volatile double slowS = 0.25;
        volatile boolean outage = false;
        final AtomicLong requests = new AtomicLong();
        final AtomicLong rejected = new AtomicLong();

        static class Entry {
            JsonNode value;
            long version;
            Long lease;
        }

        State(World world) throws IOException {
            this.world = world;
            requestTokens = rps();
            writeTokens = wps();
            port = world.serve(this::handle).getAddress().getPort();
            Thread t = new Thread(() -> {
                while (true) {
                    sleep(0.02);
                    expire();
                }
            });
            t.setDaemon(true);
            t.start();
        }

        double rps() {
            return world.params.get("state").get("rps").asDouble();
        }

        double wps() {
            return world.params.get("state").get("write_rps").asDouble();
        }

        synchronized JsonNode value(String key) {
            Entry e = entries.get(key);
            return e == null ? null : e.value;
        }

        synchronized int count(String prefix) {
            int n = 0;
            for (String k : entries.tailMap(prefix).keySet()) {
                if (!k.startsWith(prefix)) break;
                n++;
            }
            return n;
        }

        private synchronized void expire() {
            if (outage) return;
            double now = world.now();
            List<Long> over = new ArrayList<>();
            leases.forEach((id, l) -> { if (l[1] + 0.02 < now) over.add(id); });
            over.forEach(this::endLease);
        }

        private void endLease(long id) {
            if (leases.remove(id) == null) return;
            List<String> keys = new ArrayList<>();
            entries.forEach((k, e) -> { if (e.lease != null && e.lease == id) keys.add(k); });
            if (keys.isEmpty()) return;
            revision++;
            for (String k : keys) {
                entries.remove(k);
                log.add(new Object[] {revision, k, null});
            }
            notifyAll();
        }

        /** Takes from the bucket of requests and, for changes, from that of writes; false: 429. */
        private synchronized boolean take(int writes) {
            double now = world.now();
            requestTokens = Math.min(rps(), requestTokens + (now - refilledAt) * rps());
            writeTokens = Math.min(wps(), writeTokens + (now - refilledAt) * wps());
            refilledAt = now;
            if (requestTokens < 1 || writeTokens < writes) {
                rejected.incrementAndGet();
                return false;
            }
            requestTokens -= 1;
            writeTokens -= writes;
            return true;
        }

        private Reply handle(HttpExchange e, JsonNode body) {
            String method = e.getRequestMethod();
            String path = e.getRequestURI().getPath();
            requests.incrementAndGet();
            if (outage) return new Reply(503, null);
            int writes = path.equals("/commit") && body != null && body.has("Writes") ? body.get("Writes").size() : 0;
            if (!take(writes)) return new Reply(429, null);
            boolean slow;
            synchronized (this) {
                slow = slowShare > 0 && world.random.nextDouble() < slowShare;
            }
            double delay = slow ? slowS : latencyS;
            sleep(delay / 2);
            Reply reply;
            if (path.equals("/commit")) reply = commit(body);
            else if (path.equals("/store")) reply = scan(query(e));
            else if (path.startsWith("/store/")) reply = get(path.substring(7));
            else if (path.equals("/changes")) return changes(query(e));
            else if (path.startsWith("/leases")) reply = lease(method, path, body);
            else reply = new Reply(400, null);
            sleep(delay / 2);
            return reply;
        }

        private synchronized Reply get(String key) {
            Entry e = entries.get(key);
            if (e == null) return new Reply(404, JSON.createObjectNode().put("LedgerTick", revision));
            ObjectNode n = row(key, e);
            if (e.lease != null) n.put("NectarGrant", e.lease);
            return new Reply(200, n);
        }

        private ObjectNode row(String key, Entry e) {
            ObjectNode n = JSON.createObjectNode().put("Key", key);
            n.set("V", e.value);
            return n.put("Stamp", e.version);
        }

        private synchronized Reply scan(Map<String, String> q) {
            String prefix = q.getOrDefault("Starts", "");
            String after = q.get("Since");
            int most = Math.min(1000, Integer.parseInt(q.getOrDefault("Most", "1000")));
            ObjectNode n = JSON.createObjectNode();
            ArrayNode rows = n.putArray("Rows");
            int bytes = 0;
            boolean more = false;
            for (Map.Entry<String, Entry> e : entries.tailMap(after == null ? prefix : after, after == null).entrySet()) {
                if (!e.getKey().startsWith(prefix)) break;
                int size = e.getValue().value.toString().length() + e.getKey().length() + 40;
                if (rows.size() >= most || bytes + size > 512 * 1024) {
                    more = true;
                    break;
                }
                bytes += size;
                rows.add(row(e.getKey(), e.getValue()));
            }
            n.put("More", more).put("LedgerTick", revision);
            return new Reply(200, n);
        }

        private synchronized Reply commit(JsonNode body) {
            ArrayNode failed = JSON.createArrayNode();
            if (body.has("If")) {
                for (JsonNode c : body.get("If")) {
                    Entry e = entries.get(c.get("Key").asText());
                    long version = e == null ? 0 : e.version;
                    if (version != c.get("Stamp").asLong()) failed.add(c.get("Key").asText());
                }
            }
            JsonNode writes = body.get("Writes");
            int limit = (int) (world.params.get("state").get("value_kb").asDouble() * 1024);
            if (writes != null) {
                if (writes.size() > world.params.get("state").get("txn_ops").asInt()) return new Reply(400, null);
                for (JsonNode w : writes) {
                    if (w.has("V") && w.get("V").toString().length() > limit) return new Reply(400, JSON.createObjectNode().put("error", "too large"));
                    if (w.has("NectarGrant") && !leases.containsKey(w.get("NectarGrant").asLong())) {
                        return new Reply(400, JSON.createObjectNode().put("error", "no such lease"));
                    }
                }
            }
            if (failed.size() > 0) {
                ObjectNode n = JSON.createObjectNode();
                n.set("failed", failed);
                return new Reply(409, n.put("LedgerTick", revision));
            }
            if (writes != null && writes.size() > 0) {
                revision++;
                for (JsonNode w : writes) {
                    if (w.has("Put")) {
                        Entry e = new Entry();
                        e.value = w.get("V");
                        e.version = revision;
                        e.lease = w.has("NectarGrant") ? w.get("NectarGrant").asLong() : null;
                        entries.put(w.get("Put").asText(), e);
                        log.add(new Object[] {revision, w.get("Put").asText(), e.value});
                    } else {
                        entries.remove(w.get("Delete").asText());
                        log.add(new Object[] {revision, w.get("Delete").asText(), null});
                    }
                }
                notifyAll();
            }
            return new Reply(200, JSON.createObjectNode().put("LedgerTick", revision));
        }

        private synchronized Reply lease(String method, String path, JsonNode body) {
            if (path.equals("/leases")) {
                long id = nextLease++;
                double ttl = body.get("LifeMs").asDouble() / 1000;
                leases.put(id, new double[] {ttl, world.now() + ttl});
                return new Reply(200, JSON.createObjectNode().put("NectarGrant", id));
            }
            String[] parts = path.split("/");
            long id = Long.parseLong(parts[2]);
            double[] lease = leases.get(id);
            if (lease == null) return new Reply(404, null);
            if (method.equals("DELETE")) endLease(id);
            else lease[1] = world.now() + lease[0];
            return new Reply(200, JSON.createObjectNode().put("NectarGrant", id));
        }

        private synchronized Reply changes(Map<String, String> q) {
            String prefix = q.getOrDefault("Starts", "");
            long since = Long.parseLong(q.getOrDefault("Since", "0"));
            double until = world.now() + Math.min(60000, Integer.parseInt(q.getOrDefault("BlockMs", "0"))) / 1000.0;
            while (true) {
                if (log.size() > 10_000 && (long) log.get(log.size() - 10_000)[0] > since) return new Reply(410, null);
                ArrayNode events = JSON.createArrayNode();
                int from = log.size();
                while (from > 0 && (long) log.get(from - 1)[0] > since) from--;
                for (int i = from; i < log.size(); i++) {
                    Object[] l = log.get(i);
                    if (!((String) l[1]).startsWith(prefix)) continue;
                    ObjectNode n = events.addObject();
                    if (l[2] == null) n.put("Delete", (String) l[1]);
                    else {
                        n.put("Put", (String) l[1]);
                        n.set("V", (JsonNode) l[2]);
                    }
                    n.put("Stamp", (long) l[0]);
                }
                double left = until - world.now();
                if (!outage && (events.size() > 0 || left <= 0)) {
                    ObjectNode n = JSON.createObjectNode().put("LedgerTick", revision);
                    n.set("Log", events);
                    return new Reply(200, n);
                }
                try {
                    wait(Math.max(1, (long) (Math.max(left, 0.05) * 1000)));
                } catch (InterruptedException ex) {
                    throw new IllegalStateException(ex);
                }
            }
        }
    }

    /** The cloud's interface. Its machines boot and start to report. */
    static class Cloud {
        final World world;
        final int port;
        final TreeMap<String, Worker> machines = new TreeMap<>();
        final Map<String, JsonNode> answers = new HashMap<>();
        long next = 231;
        volatile int perZone = 20;

        /** How many machines a zone has to give, where that is not [perZone]. */
        final Map<String, Integer> capacity = new ConcurrentHashMap<>();
        volatile double bootS = 1.5;

        Cloud(World world) throws IOException {
            this.world = world;
            port = world.serve(this::handle).getAddress().getPort();
        }

        private Reply handle(HttpExchange e, JsonNode body) throws IOException {
            sleep(0.05);
            String path = e.getRequestURI().getPath();
            if (path.equals("/machine_types")) {
                ObjectNode n = JSON.createObjectNode();
                n.set("HiveKinds", world.params.get("machine_types"));
                return new Reply(200, n);
            }
            if (path.equals("/rentals") && e.getRequestMethod().equals("POST")) return rent(body);
            if (path.equals("/rentals/release")) return release(body);
            if (path.equals("/rentals")) return list(query(e));
            return new Reply(400, null);
        }

        private synchronized Reply rent(JsonNode body) throws IOException {
            String call = body.get("SwarmCall").asText();
            if (answers.containsKey(call)) return new Reply(200, answers.get(call));
            String zone = body.get("Meadow").asText();
            long there = machines.values().stream().filter(w -> w.zone.equals(zone)).count();
            int count = (int) Math.min(body.get("Count").asInt(), capacity.getOrDefault(zone, perZone) - there);
            if (count <= 0) return new Reply(503, JSON.createObjectNode().put("error", "no capacity"));
            ObjectNode n = JSON.createObjectNode();
            ArrayNode names = n.putArray("Hives");
            for (int i = 0; i < count; i++) {
                String name = String.format("vm-%06d", next++);
                Worker w = new Worker(world, name, body.get("HiveKind").asText(), zone, body.get("BorrowedHives").asBoolean(), bootS);
                machines.put(name, w);
                names.add(name);
            }
            answers.put(call, n);
            world.log("cloud: rented %s", n);
            return new Reply(200, n);
        }

        private synchronized Reply release(JsonNode body) {
            for (JsonNode name : body.get("Hives")) {
                Worker w = machines.remove(name.asText());
                if (w != null) w.stop();
            }
            world.log("cloud: released %s", body);
            return new Reply(200, JSON.createObjectNode());
        }

        private synchronized Reply list(Map<String, String> q) {
            ObjectNode n = JSON.createObjectNode();
            ArrayNode list = n.putArray("Hives");
            String after = q.get("Since");
            double lag = world.params.get("cloud").get("list_lag_s").asDouble();
            for (Worker w : machines.values()) {
                if (after != null && w.name.compareTo(after) <= 0) continue;
                double age = world.now() - w.rentedAt - lag;
                if (age < 0) continue;
                list.addObject().put("Ref", w.name).put("Address", "127.0.0.1:" + w.port).put("HiveKind", w.kind).put("Meadow", w.zone)
                    .put("BorrowedHives", w.spot).put("Stage", age > bootS ? "running" : "booting").put("HeldS", age);
            }
            n.put("More", false);
            return new Reply(200, n);
        }
    }

    /** One machine with its worker. */
    static class Worker {
        final World world;
        final String name;
        final String kind;
        final String zone;
        final boolean spot;
        final int port;
        final HttpServer server;
        final double rentedAt;
        final Map<String, Cell> cells = new LinkedHashMap<>();
        final Random random;
        volatile boolean stopped;
        long session = 1;
        long sequence = 0;
        long token = 0;
        double leaseFrom;
        int target;
        volatile boolean changed;

        static class Cell {
            String id;
            long attempt;
            String stage = "fetching";
            String cause;
            double readyAt;
            double endsAt;
        }

        Worker(World world, String name, String kind, String zone, boolean spot, double bootS) throws IOException {
            this.world = world;
            this.name = name;
            this.kind = kind;
            this.zone = zone;
            this.spot = spot;
            rentedAt = world.now();
            random = new Random(name.hashCode());
            server = world.serve(this::handle);
            port = server.getAddress().getPort();
            world.pool.execute(() -> {
                sleep(bootS);
                synchronized (this) {
                    leaseFrom = world.now();
                }
                world.pool.execute(this::ticks);
                reports();
            });
        }

        void stop() {
            stopped = true;
            server.stop(0);
            synchronized (this) {
                cells.values().forEach(c -> { if (!c.stage.equals("ended")) world.log("%s: %s attempt %d gone with the machine", name, c.id, c.attempt); });
            }
        }

        double leaseS() {
            return world.params.get("workers").get("lease_s").asDouble();
        }

        private void ticks() {
            while (!stopped) {
                sleep(0.05);
                synchronized (this) {
                    double now = world.now();
                    if (now - leaseFrom > leaseS()) {
                        if (!cells.isEmpty()) world.log("%s: lease of session %d expired, kills and forgets %s", name, session, cells.keySet());
                        cells.clear();
                        session++;
                        leaseFrom = now;
                        changed = true;
                    }
                    for (Cell c : cells.values()) {
                        if (c.stage.equals("fetching") && now >= c.readyAt) {
                            c.stage = "running";
                            c.endsAt = now + world.runSeconds.getOrDefault(c.id.split("/")[0], 1e9);
                            changed = true;
                            world.log("%s: %s attempt %d runs", name, c.id, c.attempt);
                        } else if (c.stage.equals("running") && now >= c.endsAt) {
                            c.stage = "ended";
                            c.cause = "done";
                            changed = true;
                            world.log("%s: %s attempt %d done", name, c.id, c.attempt);
                        }
                    }
                }
            }
        }

        private synchronized ObjectNode report() {
            ObjectNode n = JSON.createObjectNode();
            n.put("Hive", name).put("Address", "127.0.0.1:" + port).put("HiveKind", kind).put("Meadow", zone).put("BorrowedHives", spot);
            n.put("Flight", session).put("Waggle", ++sequence).put("Crown", token).putNull("SwarmWarningS");
            ArrayNode list = n.putArray("Cells");
            for (Cell c : cells.values()) {
                ObjectNode o = list.addObject().put("Cell", c.id).put("Sortie", c.attempt).put("Stage", c.stage);
                if (c.cause != null) o.put("Cause", c.cause);
            }
            return n;
        }

        private void reports() {
            double period = world.params.get("workers").get("report_s").asDouble();
            while (!stopped) {
                changed = false;
                ObjectNode r = report();
                double sentAt = world.now();
                long of = r.get("Flight").asLong();
                World.Controller c = world.controllers.get(target);
                Answer a = call(c.port, "POST", "/hello", r, 4);
                double pause = period * (0.75 + random.nextDouble() / 2);
                if (a.status == 200) {
                    synchronized (this) {
                        long t = a.body.has("Crown") ? a.body.get("Crown").asLong() : -1;
                        if (t >= token && of == session) {
                            token = t;
                            leaseFrom = Math.max(leaseFrom, sentAt);
                            execute(a.body.get("Dances"), "response of " + c.name);
                        }
                    }
                } else if (a.status == 421 && a.body != null && a.body.has("Queen") && index(a.body.get("Queen").asText()) != target
                    && index(a.body.get("Queen").asText()) >= 0) {
                    target = index(a.body.get("Queen").asText());
                    sleep(0.1);
                    continue;
                } else {
                    target = (target + 1) % world.controllers.size();
                    pause = 1;
                }
                double next = world.now() + pause;
                double earliest = sentAt + 0.5;
                while (!stopped && world.now() < next && !(changed && a.status == 200 && world.now() >= earliest)) sleep(0.02);
            }
        }

        private int index(String name) {
            for (int i = 0; i < world.controllers.size(); i++) if (world.controllers.get(i).name.equals(name)) return i;
            return -1;
        }

        private Reply handle(HttpExchange e, JsonNode body) {
            if (e.getRequestURI().getPath().equals("/status")) return new Reply(200, report());
            if (body == null || !body.has("Crown") || !body.has("Flight")) return new Reply(400, null);
            synchronized (this) {
                if (stopped) return null;
                if (body.get("Crown").asLong() < token || body.get("Flight").asLong() != session) return new Reply(409, report());
                token = body.get("Crown").asLong();
                execute(body.get("Dances"), "command");
                return new Reply(200, report());
            }
        }

        /** Executes commands in order. */
        private void execute(JsonNode commands, String from) {
            if (commands == null) return;
            for (JsonNode d : commands) {
                String id = d.get("Cell").asText();
                long attempt = d.get("Sortie").asLong();
                Cell c = cells.get(id);
                switch (d.get("Dance").asText()) {
                    case "start":
                        if (c != null && c.attempt == attempt) break;
                        if (c != null && !c.stage.equals("ended")) break;
                        c = new Cell();
                        c.id = id;
                        c.attempt = attempt;
                        c.readyAt = world.now() + 0.3;
                        if (!world.uploaded.containsKey(id.split("/")[0])) {
                            c.stage = "ended";
                            c.cause = "no_such";
                        }
                        cells.put(id, c);
                        changed = true;
                        world.log("%s: start %s attempt %d (%s)", name, id, attempt, from);
                        break;
                    case "kill":
                        if (c == null || c.attempt != attempt || c.stage.equals("ended")) break;
                        c.stage = "ended";
                        c.cause = "halted";
                        changed = true;
                        world.log("%s: stop %s attempt %d (%s)", name, id, attempt, from);
                        break;
                    default:
                        if (c != null && c.attempt == attempt && c.stage.equals("ended")) cells.remove(id);
                }
            }
        }
    }
}
