import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Stand-ins for the surroundings of the controllers, all on loopback: state service, cloud, workers and users; and process control. */
final class Kit {
    static final ObjectMapper JSON = new ObjectMapper();
    static final long T0 = System.nanoTime();
    static PrintWriter record;
    static volatile boolean over;

    /** A script ends itself after this time, whatever stands still. */
    static final long MOST_MS = 118_000;
    /** Whether reports list live tasks before ended ones, as in the example of the protocol page; otherwise in the order of their starts. */
    static boolean liveFirst;

    static long now() {
        return (System.nanoTime() - T0) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        String line = String.format("%8.3f  %s", now() / 1000.0, args.length == 0 ? format : String.format(format, args));
        record.println(line);
        record.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long at) {
        sleep(at - now());
    }

    static Thread spawn(Runnable body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Throwable e) {
                if (!over) log("stand-in failed: %s", e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private static final Random PORTS = new Random();

    /** A free port below the ports that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 10_000 + PORTS.nextInt(22_000);
            try (ServerSocket s = new ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                return s.getLocalPort();
            } catch (java.net.BindException e) {
                // The next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    // ---------------------------------------------------------------- HTTP

    record Reply(int status, JsonNode body) {
        String stage() {
            return body == null || body.get("Stage") == null ? null : body.get("Stage").asText();
        }

        boolean ok() {
            return status == 200 || status == 201;
        }
    }

    interface Handler {
        /** Null: no answer is sent, and the connection is closed. */
        Reply handle(String method, String target, byte[] body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 500);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Reply reply = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
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
        } catch (Exception e) {
            if (!over) log("stand-in request failed: %s", e);
            exchange.close();
        }
    }

    /** Status 0: no response within the time, or the connection failed. */
    static Reply call(String address, String method, String path, JsonNode body, int timeoutMs) {
        HttpURLConnection c = null;
        try {
            c = (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
            c.setRequestMethod(method);
            c.setConnectTimeout(timeoutMs);
            c.setReadTimeout(timeoutMs);
            if (body != null || method.equals("POST")) {
                byte[] out = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
                c.setDoOutput(true);
                c.setFixedLengthStreamingMode(out.length);
                c.setRequestProperty("Content-Type", "application/json");
                c.getOutputStream().write(out);
            }
            int status = c.getResponseCode();
            InputStream in = status >= 400 ? c.getErrorStream() : c.getInputStream();
            byte[] bytes = in == null ? new byte[0] : in.readAllBytes();
            return new Reply(status, bytes.length == 0 ? null : JSON.readTree(bytes));
        } catch (IOException e) {
            if (c != null) c.disconnect();
            return new Reply(0, null);
        }
    }

    static Map<String, String> query(String target) {
        Map<String, String> q = new HashMap<>();
        int at = target.indexOf('?');
        if (at < 0) return q;
        for (String part : target.substring(at + 1).split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) q.put(part.substring(0, eq), part.substring(eq + 1));
        }
        return q;
    }

    // ---------------------------------------------------------------- state service

    static final class Store {
        record Kept(JsonNode value, long stamp, long lease) {}

        record Change(String key, JsonNode value, long stamp) {}

        final TreeMap<String, Kept> keys = new TreeMap<>();
        final Map<Long, long[]> leases = new HashMap<>();
        final ArrayList<Change> log = new ArrayList<>();
        final int txnOps;
        final int valueBytes;
        final Bucket requests;
        final Bucket writes;
        long revision = 1;
        long leaseIds;
        boolean down;
        final boolean[] refused;
        /** Decides what happens to a transaction of a node: null for the ordinary. */
        volatile Function<Object[], String> fate = x -> null;
        final List<String> addresses = new ArrayList<>();

        Store(int nodes, double rps, double writeRps, int txnOps, double valueKb) throws IOException {
            this.txnOps = txnOps;
            this.valueBytes = (int) (valueKb * 1024);
            requests = new Bucket(rps);
            writes = new Bucket(writeRps);
            refused = new boolean[nodes];
            for (int i = 0; i < nodes; i++) {
                int node = i;
                int port = freePort();
                serve(port, (m, t, b) -> handle(node, m, t, b));
                addresses.add("127.0.0.1:" + port);
            }
            spawn(() -> {
                while (!over) {
                    synchronized (this) {
                        expire();
                    }
                    sleep(20);
                }
            });
        }

        private void expire() {
            if (down) return;
            for (Long id : new ArrayList<>(leases.keySet())) if (now() > leases.get(id)[1] + 20) end(id);
        }

        private void end(long id) {
            if (leases.remove(id) == null) return;
            revision++;
            for (String key : new ArrayList<>(keys.keySet())) if (keys.get(key).lease == id) apply(key, null, 0);
            notifyAll();
        }

        private void apply(String key, JsonNode value, long lease) {
            if (value == null) {
                if (keys.remove(key) == null) return;
            } else {
                keys.put(key, new Kept(value, revision, lease));
            }
            log.add(new Change(key, value, revision));
        }

        synchronized void outage(boolean on) {
            down = on;
            if (!on) leases.values().forEach(l -> l[1] = now() + l[0]);
            Kit.log("state service: outage %s", on ? "begins" : "ends");
            notifyAll();
        }

        synchronized String leader() {
            Kept lead = keys.get("lead");
            return lead == null ? null : lead.value.get("holder").asText();
        }

        synchronized JsonNode get(String key) {
            Kept kept = keys.get(key);
            return kept == null ? null : kept.value;
        }

        Reply handle(int node, String method, String target, byte[] body) throws Exception {
            String path = target.split("\\?")[0];
            Map<String, String> q = query(target);
            synchronized (this) {
                if (!requests.take(1)) return new Reply(429, null);
                if (path.equals("/changes")) return changes(node, q);
                if (down || refused[node]) return new Reply(503, null);
                expire();
                if (path.equals("/commit")) {
                    JsonNode txn = JSON.readTree(body);
                    String what = fate.apply(new Object[] {node, txn});
                    if (what == null) return commit(txn);
                    Kit.log("state service: transaction of node %d %s: %s", node, what, brief(txn));
                    if (what.equals("unanswered")) commit(txn);
                    if (what.startsWith("late")) {
                        long after = Long.parseLong(what.substring(4).trim());
                        spawn(() -> {
                            sleep(after);
                            synchronized (this) {
                                Reply r = commit(txn);
                                Kit.log("state service: late transaction: %d %s", r.status, brief(txn));
                            }
                        });
                    }
                } else if (path.startsWith("/leases")) {
                    return lease(method, path, body);
                } else if (path.equals("/store")) {
                    return page(q);
                } else if (path.startsWith("/store/")) {
                    String key = path.substring(7);
                    Kept kept = keys.get(key);
                    if (kept == null) return new Reply(404, obj().put("LedgerTick", revision));
                    ObjectNode o = obj().put("Key", key).put("Stamp", kept.stamp);
                    o.set("V", kept.value);
                    if (kept.lease > 0) o.put("NectarGrant", kept.lease);
                    return new Reply(200, o);
                } else {
                    return new Reply(404, null);
                }
            }
            // The answer of the transaction is lost: the connection stays open without one.
            sleep(20_000);
            return null;
        }

        static String brief(JsonNode txn) {
            StringBuilder s = new StringBuilder();
            for (JsonNode w : txn.path("Writes")) s.append(w.has("Put") ? "+" + w.get("Put").asText() : "-" + w.get("Delete").asText()).append(' ');
            return s.toString();
        }

        private Reply lease(String method, String path, byte[] body) throws IOException {
            if (path.equals("/leases")) {
                long life = JSON.readTree(body).get("LifeMs").asLong();
                long id = ++leaseIds;
                leases.put(id, new long[] {life, now() + life});
                return new Reply(200, obj().put("NectarGrant", id));
            }
            long id = Long.parseLong(path.split("/")[2]);
            if (method.equals("DELETE")) {
                end(id);
                return new Reply(200, obj());
            }
            long[] l = leases.get(id);
            if (l == null) return new Reply(404, null);
            l[1] = now() + l[0];
            return new Reply(200, obj().put("NectarGrant", id));
        }

        private Reply page(Map<String, String> q) {
            String prefix = q.getOrDefault("Starts", "");
            int most = Math.min(1000, Integer.parseInt(q.getOrDefault("Most", "1000")));
            ObjectNode o = obj();
            ArrayNode rows = o.putArray("Rows");
            boolean more = false;
            String since = q.get("Since");
            for (var e : (since == null ? keys.tailMap(prefix, true) : keys.tailMap(since, false)).entrySet()) {
                if (e.getKey().compareTo(prefix) < 0) continue;
                if (!e.getKey().startsWith(prefix)) break;
                if (rows.size() >= most) {
                    more = true;
                    break;
                }
                rows.addObject().put("Key", e.getKey()).put("Stamp", e.getValue().stamp).set("V", e.getValue().value);
            }
            return new Reply(200, o.put("More", more).put("LedgerTick", revision));
        }

        private Reply commit(JsonNode txn) {
            JsonNode then = txn.path("Writes");
            if (then.size() > txnOps || txn.path("If").size() > 4 * txnOps) return new Reply(400, obj().put("error", "too many"));
            for (JsonNode w : then) {
                if (!w.has("Put")) continue;
                if (w.get("V").toString().getBytes(StandardCharsets.UTF_8).length > valueBytes) return new Reply(400, obj().put("error", "value"));
                if (w.hasNonNull("NectarGrant") && !leases.containsKey(w.get("NectarGrant").asLong())) {
                    return new Reply(400, obj().put("error", "no such lease"));
                }
            }
            if (!writes.take(then.size())) return new Reply(429, null);
            ObjectNode o = obj();
            ArrayNode failed = JSON.createArrayNode();
            for (JsonNode c : txn.path("If")) {
                Kept kept = keys.get(c.get("Key").asText());
                if ((kept == null ? 0 : kept.stamp) != c.get("Stamp").asLong()) failed.add(c.get("Key").asText());
            }
            if (failed.size() > 0) {
                o.set("failed", failed);
                return new Reply(409, o.put("LedgerTick", revision));
            }
            if (then.size() > 0) {
                revision++;
                for (JsonNode w : then) {
                    if (w.has("Put")) apply(w.get("Put").asText(), w.get("V"), w.path("NectarGrant").asLong(0));
                    else apply(w.get("Delete").asText(), null, 0);
                }
                notifyAll();
            }
            return new Reply(200, o.put("LedgerTick", revision));
        }

        private Reply changes(int node, Map<String, String> q) throws InterruptedException {
            String prefix = q.getOrDefault("Starts", "");
            long since = Long.parseLong(q.get("Since"));
            long until = now() + Long.parseLong(q.getOrDefault("BlockMs", "0"));
            while (true) {
                if (!down && !refused[node]) {
                    ObjectNode o = obj();
                    ArrayNode events = o.putArray("Log");
                    for (int i = log.size() - 1; i >= 0 && log.get(i).stamp > since; i--) {
                        Change c = log.get(i);
                        if (!c.key.startsWith(prefix)) continue;
                        ObjectNode e = obj().put(c.value == null ? "Delete" : "Put", c.key).put("Stamp", c.stamp);
                        if (c.value != null) e.set("V", c.value);
                        events.insert(0, e);
                    }
                    if (events.size() > 0 || now() >= until) return new Reply(200, o.put("LedgerTick", revision));
                }
                wait(Math.max(1, Math.min(until - now(), 200)));
            }
        }
    }

    static final class Bucket {
        final double perS;
        double tokens;
        long at = now();

        Bucket(double perS) {
            this.perS = perS;
            tokens = perS;
        }

        synchronized boolean take(double n) {
            long t = now();
            tokens = Math.min(perS, tokens + (t - at) * perS / 1000);
            at = t;
            if (tokens < n) return false;
            tokens -= n;
            return true;
        }
    }

    static ObjectNode obj() {
        return JSON.createObjectNode();
    }

    // ---------------------------------------------------------------- jobs as their users know them

    static final class Spec {
        final ObjectNode json;
        final String id;
        final String kind;
        final int cells;
        final String image;
        final double imageGb;
        final double runS;
        final double capS;
        final double sealS;
        final double cpus;
        final double gpus;
        final double memory;
        /** Whether its tasks fail at their end. */
        volatile boolean fails;

        Spec(ObjectNode json, double runS) {
            this.json = json;
            this.runS = runS;
            id = json.get("Ref").asText();
            kind = json.get("Cast").asText();
            cells = json.get("Cells").asInt();
            image = json.get("Brood").asText();
            imageGb = json.get("PullGb").asDouble();
            capS = json.get("CapS").asDouble();
            sealS = json.get("SealS").asDouble();
            cpus = json.get("Vcpus").asDouble();
            gpus = json.get("Gpus").asDouble();
            memory = json.get("MemoryGb").asDouble();
        }
    }

    static final Map<String, Spec> specs = new ConcurrentHashMap<>();

    static Spec job(String id, String team, String kind, String priority, int cells, double cpus, double gpus, double memory, double runS) {
        ObjectNode o = obj();
        o.put("Ref", id).put("Comb", "work").put("Colony", team).put("Cast", kind).put("Precedence", priority).put("Cells", cells);
        o.put("Vcpus", cpus).put("Gpus", gpus).put("MemoryGb", memory).put("Brood", "img-1").put("PullGb", 0.1);
        o.putNull("HiveKinds").putNull("Meadow").put("SamePlace", false).put("Scatter", false).put("BorrowedHives", false);
        o.put("ForageS", kind.equals("standing") ? 0.0 : runS).put("CapS", 0.0).put("SealS", 0.0).putNull("BloomEndS");
        return new Spec(o, runS);
    }

    // ---------------------------------------------------------------- workers

    static final class Task {
        final Spec spec;
        final String cell;
        final long attempt;
        String stage;
        String cause;
        long since = now();

        Task(Spec spec, String cell, long attempt, String stage) {
            this.spec = spec;
            this.cell = cell;
            this.attempt = attempt;
            this.stage = stage;
        }

        boolean live() {
            return !stage.equals("ended");
        }

        /** A task that begins and completes together with others, see World.gangs. */
        boolean gang() {
            return spec.kind.equals("ensemble") && spec.cells > 1;
        }

        boolean onMachine() {
            return live() && !stage.equals("fetching");
        }
    }

    /** One machine with its worker. */
    static final class Worker {
        final World world;
        final String name;
        final String type;
        final String zone;
        final boolean spot;
        final String address;
        final HttpServer server;
        final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
        final LinkedHashMap<String, Long> images = new LinkedHashMap<>();
        final java.util.Set<String> results = new java.util.HashSet<>();
        final Random random;
        long session = 1;
        long seq;
        long token;
        long renewed = now();
        int node;
        volatile int changes;
        volatile boolean dead;
        volatile long hungUntil;
        volatile long cutUntil;
        /** Until then answers and commands to it are lost, while its reports arrive. */
        volatile long deafUntil;
        /** Until then it reaches no controller, while commands reach it. */
        volatile long muteUntil;
        /** Until then some commands are held up, unanswered, and carried out once, 2 to 16 s late. */
        volatile long lateUntil;
        /** Until then copies of some reports arrive again, much later. */
        volatile long copiesUntil;

        Worker(World world, String name, String type, String zone, boolean spot) throws IOException {
            this.world = world;
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            random = new Random(name.hashCode());
            node = random.nextInt(world.nodes.size());
            int port = freePort();
            address = "127.0.0.1:" + port;
            server = serve(port, this::handle);
            spawn(this::reportAll);
            spawn(() -> {
                while (!over && !dead) {
                    synchronized (this) {
                        advance();
                    }
                    sleep(20);
                }
            });
        }

        boolean silent() {
            return dead || now() < hungUntil;
        }

        void advance() {
            if (silent()) return;
            if (now() - renewed > world.leaseMs) {
                for (Task t : tasks.values()) if (t.live()) left(t, "lease");
                if (!tasks.isEmpty()) log("%s: lease ran out, session %d", name, session + 1);
                tasks.clear();
                session++;
                renewed = now();
                changes++;
            }
            for (Task t : tasks.values()) {
                if (t.stage.equals("fetching")) {
                    Long at = images.get(t.spec.image);
                    if (at == null) images.put(t.spec.image, at = now() + (long) (1000 * t.spec.imageGb / world.fetchGbPerS));
                    if (now() >= at) {
                        changes++;
                        t.since = now();
                        if (results.contains(t.cell)) {
                            t.stage = "ended";
                            t.cause = "done";
                        } else {
                            t.stage = t.gang() ? "gathering" : "running";
                            world.entered(this, t);
                        }
                    }
                } else if (t.stage.equals("gathering") && now() - t.since > world.gangWaitMs) {
                    exit(t, "incomplete");
                } else if (t.stage.equals("running") && !t.gang() && !t.spec.kind.equals("standing") && now() - t.since >= t.spec.runS * 1000) {
                    if (!t.spec.fails) results.add(t.cell);
                    exit(t, t.spec.fails ? "error" : "done");
                }
            }
        }

        void exit(Task t, String cause) {
            changes++;
            left(t, cause);
            t.stage = "ended";
            t.cause = cause;
        }

        void left(Task t, String cause) {
            if (t.onMachine()) world.left(this, t, cause);
        }

        synchronized ObjectNode report() {
            advance();
            ObjectNode o = obj().put("Hive", name).put("Address", address).put("HiveKind", type).put("Meadow", zone).put("BorrowedHives", spot);
            o.put("Flight", session).put("Waggle", ++seq).put("Crown", token).putNull("SwarmWarningS");
            ArrayNode cells = o.putArray("Cells");
            List<Task> all = new ArrayList<>(tasks.values());
            if (liveFirst) all.sort(java.util.Comparator.comparing(t -> !t.live()));
            for (Task t : all) {
                ObjectNode c = cells.addObject().put("Cell", t.cell).put("Sortie", t.attempt).put("Stage", t.stage);
                if (t.cause != null) c.put("Cause", t.cause);
            }
            return o;
        }

        Reply handle(String method, String target, byte[] body) throws IOException {
            while (!dead && (silent() || now() < cutUntil)) sleep(20);
            if (dead) return null;
            if (target.equals("/status")) return new Reply(200, report());
            JsonNode call = JSON.readTree(body);
            if (!call.has("Crown") || !call.has("Flight")) return new Reply(400, null);
            if (now() < deafUntil) {
                sleep(4000);
                return null;
            }
            if (now() < lateUntil && random.nextInt(3) == 0) {
                log("%s: command held up: %s", name, call);
                sleep(2000 + random.nextInt(14_000));
                if (dead) return null;
                synchronized (this) {
                    advance();
                    if (call.get("Crown").asLong() >= token && call.get("Flight").asLong() == session) execute(call);
                }
                return null;
            }
            synchronized (this) {
                advance();
                boolean done = call.get("Crown").asLong() >= token && call.get("Flight").asLong() == session;
                if (done) execute(call);
                return new Reply(done ? 200 : 409, report());
            }
        }

        private void execute(JsonNode call) {
            long t = call.get("Crown").asLong();
            if (t > token) changes++;
            token = Math.max(token, t);
            for (JsonNode c : call.path("Dances")) {
                String cell = c.get("Cell").asText();
                long attempt = c.get("Sortie").asLong();
                String key = cell + "#" + attempt;
                Task task = tasks.get(key);
                switch (c.get("Dance").asText()) {
                    case "start" -> start(cell, attempt, key, task);
                    case "kill" -> {
                        if (task != null && task.live()) exit(task, "halted");
                    }
                    case "reap" -> {
                        if (task != null && !task.live()) tasks.remove(key);
                    }
                    default -> log("unknown command %s", c);
                }
            }
        }

        private void start(String cell, long attempt, String key, Task known) {
            if (known != null) return;
            Spec spec = specs.get(cell.substring(0, cell.lastIndexOf('/')));
            Task task = new Task(spec, cell, attempt, "fetching");
            tasks.put(key, task);
            changes++;
            String refusal = null;
            if (spec == null) refusal = "no_such";
            else if (tasks.values().stream().anyMatch(t -> t != task && t.live() && t.cell.equals(cell))) refusal = "busy";
            else if (!world.fits(this)) refusal = "full";
            if (refusal != null) {
                task.stage = "ended";
                task.cause = refusal;
            }
            world.commanded(this, cell, attempt, refusal);
        }

        void reportAll() {
            while (!over && !dead) {
                long from = now();
                long until = from + world.reportMs * 3 / 4 + random.nextInt((int) (world.reportMs / 2));
                int seen = changes;
                while (!over && !dead && now() < until && (changes == seen || now() - from < 500)) sleep(10);
                while (!over && !dead && (silent() || now() < cutUntil)) sleep(20);
                if (dead || over) return;
                if (!send()) {
                    sleep(1000);
                    node = (node + 1) % world.nodes.size();
                }
            }
        }

        /** False: the next node is tried. */
        private boolean send() {
            long sentAt = now();
            if (now() < muteUntil) return false;
            ObjectNode report = report();
            if (now() < copiesUntil && random.nextInt(3) == 0) {
                int to = random.nextInt(world.nodes.size());
                long after = 2000 + random.nextInt((int) world.leaseMs + 10_000);
                spawn(() -> {
                    sleep(after);
                    call(world.nodes.get(to).api, "POST", "/hello", report, 4000);
                });
            }
            Reply r = call(world.nodes.get(node).api, "POST", "/hello", report, 4000);
            if (silent()) return true;
            if (r.status == 421) {
                String to = r.body == null || r.body.get("Queen") == null ? null : r.body.get("Queen").asText();
                for (int i = 0; i < world.nodes.size(); i++) {
                    if (world.nodes.get(i).name.equals(to) && i != node) {
                        node = i;
                        sleep(random.nextInt(300));
                        return send();
                    }
                }
                return false;
            }
            if (now() < deafUntil) {
                sleepUntil(sentAt + 4000);
                return false;
            }
            if (r.status != 200 || now() < cutUntil) return false;
            synchronized (this) {
                if (!r.body.has("Crown") || r.body.get("Crown").asLong() < token || report.get("Flight").asLong() != session) return true;
                renewed = Math.max(renewed, sentAt);
                execute(r.body);
            }
            return true;
        }

        synchronized void kill() {
            for (Task t : tasks.values()) if (t.live()) left(t, "machine gone");
            dead = true;
            spawn(() -> server.stop(0));
        }
    }

    // ---------------------------------------------------------------- proxy

    /** Forwards TCP connections; can refuse new ones, reset all, or hold what is sent until later. */
    static final class Proxy {
        final int port;
        final String to;
        volatile boolean refuse;
        volatile boolean hold;
        final List<java.net.Socket> open = new ArrayList<>();
        private java.net.ServerSocket listener;

        Proxy(String to) throws IOException {
            this.to = to;
            listener = new ServerSocket(0, 100, java.net.InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            spawn(this::acceptAll);
        }

        private void acceptAll() {
            while (!over) {
                try {
                    java.net.Socket client = listener.accept();
                    if (refuse) {
                        client.setSoLinger(true, 0);
                        client.close();
                        continue;
                    }
                    synchronized (open) {
                        open.add(client);
                    }
                    spawn(() -> connect(client));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void connect(java.net.Socket client) {
            // A connection attempt during a cut gets no answer, and is not completed later if it was given up.
            while (hold && !over) sleep(20);
            try {
                java.net.Socket server = new java.net.Socket("127.0.0.1", Integer.parseInt(to.substring(to.indexOf(':') + 1)));
                server.setTcpNoDelay(true);
                client.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(server);
                }
                spawn(() -> copy(client, server));
                copy(server, client);
            } catch (IOException e) {
                reset(client);
            }
        }

        private void copy(java.net.Socket from, java.net.Socket into) {
            byte[] buffer = new byte[16384];
            try {
                while (true) {
                    int n = from.getInputStream().read(buffer);
                    while (hold && !over) sleep(20);
                    if (n < 0) break;
                    into.getOutputStream().write(buffer, 0, n);
                }
                into.shutdownOutput();
            } catch (IOException e) {
                reset(from);
                reset(into);
            }
        }

        private static void reset(java.net.Socket s) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        void resetAll() {
            synchronized (open) {
                open.forEach(Proxy::reset);
                open.clear();
            }
        }
    }

    // ---------------------------------------------------------------- the world

    record Node(String name, String zone, String api, String peer) {}

    static final class World {
        final List<Node> nodes = new ArrayList<>();
        final List<Process> processes = new ArrayList<>();
        final List<ProcessBuilder> builders = new ArrayList<>();
        final Map<String, Worker> workers = new ConcurrentHashMap<>();
        final Map<String, List<String>> rentals = new HashMap<>();
        final Map<String, long[]> rentedAt = new ConcurrentHashMap<>();
        final Map<String, String[]> rented = new java.util.concurrent.ConcurrentSkipListMap<>();
        final Path dir;
        Store store;
        String cloud;
        long reportMs;
        long leaseMs;
        long cancelMs;
        long gangWaitMs;
        long gangPeerMs;
        long listLagMs;
        double fetchGbPerS = 4;
        double cpus;
        double gpus;
        double memory;
        String type;
        List<String> zones;
        long bootMs;
        int capacity;
        int names;
        Bucket cloudRequests;

        /** Task to machine to attempt, while it is on that machine. */
        final Map<String, Map<String, Long>> on = new HashMap<>();
        final List<String> broken = new ArrayList<>();
        /** How often each task has been started. */
        final Map<String, Integer> starts = new ConcurrentHashMap<>();
        int started;
        /** Called when a task has its image and so is on its machine from now on. */
        java.util.function.BiConsumer<Worker, Task> onEnter = (w, t) -> {};

        World() throws IOException {
            dir = Files.createTempDirectory("review-case");
        }

        synchronized void entered(Worker w, Task t) {
            Map<String, Long> where = on.computeIfAbsent(t.cell, k -> new HashMap<>());
            where.keySet().removeIf(m -> gone(m));
            if (!where.isEmpty()) {
                broken.add("ran_twice: " + t.cell + " starts on " + w.name + " while it is on " + where);
                log("RAN_TWICE %s starts on %s while it is on %s", t.cell, w.name, where);
            }
            where.put(w.name, t.attempt);
            starts.merge(t.cell, 1, Integer::sum);
            started++;
            onEnter.accept(w, t);
            if (started <= 400) log("%s: %s attempt %d runs", w.name, t.cell, t.attempt);
        }

        private boolean gone(String machine) {
            Worker w = workers.get(machine);
            return w == null || w.dead || now() - w.renewed > leaseMs;
        }

        synchronized void left(Worker w, Task t, String cause) {
            Map<String, Long> where = on.get(t.cell);
            if (where != null) where.remove(w.name);
            if (started <= 400) log("%s: %s attempt %d exits: %s", w.name, t.cell, t.attempt, cause);
        }

        /** Tasks of a gang start together once all have their image, complete together, and exit when one of a running gang is gone. */
        private void gangs() {
            Map<String, Long> incompleteSince = new HashMap<>();
            while (!over) {
                Map<String, List<Object[]>> members = new HashMap<>();
                for (Worker w : workers.values()) {
                    if (w.silent()) continue;
                    synchronized (w) {
                        for (Task t : w.tasks.values()) {
                            if (t.spec == null || !t.gang() || !t.onMachine()) continue;
                            members.computeIfAbsent(t.spec.id + "#" + t.attempt, k -> new ArrayList<>()).add(new Object[] {w, t});
                        }
                    }
                }
                for (var e : members.entrySet()) {
                    List<Object[]> all = e.getValue();
                    Spec spec = ((Task) all.get(0)[1]).spec;
                    boolean whole = all.size() == spec.cells;
                    boolean running = all.stream().anyMatch(m -> ((Task) m[1]).stage.equals("running"));
                    if (whole) incompleteSince.remove(e.getKey());
                    if (whole && !running) {
                        for (Object[] m : all) gangStep((Worker) m[0], (Task) m[1], "running");
                        log("gang %s runs", e.getKey());
                    } else if (whole && now() - ((Task) all.get(0)[1]).since >= spec.runS * 1000) {
                        for (Object[] m : all) gangStep((Worker) m[0], (Task) m[1], "done");
                    } else if (!whole && running && now() - incompleteSince.computeIfAbsent(e.getKey(), k -> now()) > gangPeerMs / 2) {
                        for (Object[] m : all) gangStep((Worker) m[0], (Task) m[1], "peers");
                    }
                }
                sleep(50);
            }
        }

        private void gangStep(Worker w, Task t, String to) {
            synchronized (w) {
                if (w.dead || !t.live()) return;
                if (!to.equals("running")) {
                    if (to.equals("done")) w.results.add(t.cell);
                    w.exit(t, to);
                    return;
                }
                t.stage = "running";
                t.since = now();
                w.changes++;
            }
        }

        /** When the first start command of a task was carried out. */
        final Map<String, Long> firstStart = new ConcurrentHashMap<>();

        void commanded(Worker w, String cell, long attempt, String refusal) {
            if (refusal == null) firstStart.putIfAbsent(cell, now());
            if (started <= 400) log("%s: start %s attempt %d%s", w.name, cell, attempt, refusal == null ? "" : " refused: " + refusal);
        }

        boolean fits(Worker w) {
            double c = 0;
            double g = 0;
            double m = 0;
            for (Task t : w.tasks.values()) {
                if (!t.live() || t.spec == null) continue;
                c += t.spec.cpus;
                g += t.spec.gpus;
                m += t.spec.memory;
            }
            return c <= cpus + 1e-6 && g <= gpus + 1e-6 && m <= memory + 1e-6;
        }

        // Cloud

        Reply cloud(String method, String target, byte[] body) throws IOException {
            if (!cloudRequests.take(1)) return new Reply(429, null);
            String path = target.split("\\?")[0];
            if (path.equals("/machine_types")) {
                ObjectNode o = obj();
                ObjectNode t = o.putArray("HiveKinds").addObject();
                t.put("Sku", type).put("Vcpus", cpus).put("Gpus", gpus).put("MemoryGb", memory).put("CacheGb", 100.0).put("FetchGbPerS", fetchGbPerS);
                t.put("Hourly", 8.0).put("LowPrice", 3.2).put("StartupS", bootMs / 1000.0);
                ArrayNode z = t.putArray("Meadows");
                zones.forEach(z::add);
                return new Reply(200, o);
            }
            if (path.equals("/rentals/release")) {
                for (JsonNode n : JSON.readTree(body).get("Hives")) {
                    if (rented.remove(n.asText()) == null) continue;
                    log("cloud: %s released", n.asText());
                    Worker w = workers.remove(n.asText());
                    if (w != null) w.kill();
                }
                return new Reply(200, obj());
            }
            if (!path.equals("/rentals")) return new Reply(404, null);
            return method.equals("POST") ? rent(JSON.readTree(body)) : list(query(target));
        }

        private synchronized Reply rent(JsonNode call) {
            String name = call.get("SwarmCall").asText();
            ObjectNode o = obj();
            ArrayNode out = o.putArray("Hives");
            List<String> known = rentals.get(name);
            if (known != null) {
                known.forEach(out::add);
                return new Reply(200, o);
            }
            boolean spot = call.get("BorrowedHives").asBoolean();
            int count = Math.min(call.get("Count").asInt(), capacity - rented.size());
            if (count <= 0 || spot) return new Reply(503, obj().put("error", "no capacity"));
            List<String> list = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String vm = String.format("vm-%06d", ++names);
                String zone = call.get("Meadow").asText();
                rented.put(vm, new String[] {zone, null});
                rentedAt.put(vm, new long[] {now()});
                list.add(vm);
                out.add(vm);
                spawn(() -> {
                    sleep(bootMs);
                    try {
                        if (!rented.containsKey(vm)) return;
                        Worker w = new Worker(this, vm, type, zone, false);
                        workers.put(vm, w);
                        rented.put(vm, new String[] {zone, w.address});
                        log("cloud: %s is up in %s", vm, zone);
                    } catch (IOException e) {
                        log("cloud: %s", e);
                    }
                });
            }
            rentals.put(name, list);
            log("cloud: %s rents %s", name, list.size() > 4 ? list.size() + " machines" : list);
            return new Reply(200, o);
        }

        private Reply list(Map<String, String> q) {
            String since = q.getOrDefault("Since", "");
            ObjectNode o = obj();
            ArrayNode rows = o.putArray("Hives");
            for (var e : rented.entrySet()) {
                long age = now() - rentedAt.get(e.getKey())[0];
                if (e.getKey().compareTo(since) <= 0 || age < listLagMs) continue;
                ObjectNode row = rows.addObject().put("Ref", e.getKey()).put("HiveKind", type).put("Meadow", e.getValue()[0]);
                row.put("BorrowedHives", false).put("Stage", e.getValue()[1] == null ? "booting" : "running").put("HeldS", (age - listLagMs) / 1000.0);
                if (e.getValue()[1] != null) row.put("Address", e.getValue()[1]);
            }
            return new Reply(200, o.put("More", false));
        }

        // Controllers

        void start(ObjectNode params, int count, List<String> nodeZones, String logLevel) throws IOException {
            JsonNode w = params.get("workers");
            reportMs = (long) (w.get("report_s").asDouble() * 1000);
            leaseMs = (long) (w.get("lease_s").asDouble() * 1000);
            cancelMs = (long) (w.get("cancel_s").asDouble() * 1000);
            gangWaitMs = (long) (w.get("gang_wait_s").asDouble() * 1000);
            gangPeerMs = (long) (w.get("gang_peer_s").asDouble() * 1000);
            spawn(this::gangs);
            listLagMs = (long) (params.get("cloud").get("list_lag_s").asDouble() * 1000);
            zones = new ArrayList<>();
            params.get("zones").forEach(z -> zones.add(z.asText()));
            JsonNode s = params.get("state");
            store = new Store(count, s.get("rps").asDouble(), s.get("write_rps").asDouble(), s.get("txn_ops").asInt(), s.get("value_kb").asDouble());
            cloudRequests = new Bucket(params.get("cloud").get("rps").asDouble() * 2);
            int cloudPort = freePort();
            cloud = "127.0.0.1:" + cloudPort;
            serve(cloudPort, this::cloud);
            for (int i = 0; i < count; i++) {
                nodes.add(new Node("hive-" + i, nodeZones.get(i % nodeZones.size()), "127.0.0.1:" + freePort(), "127.0.0.1:" + freePort()));
            }
            for (int i = 0; i < count; i++) {
                Node n = nodes.get(i);
                ObjectNode o = obj().put("host_name", n.name).put("zone", n.zone).put("api_addr", n.api).put("peer_listen", n.peer);
                ArrayNode seeds = o.putArray("seeds");
                for (Node p : nodes) if (p != n) seeds.addObject().put("host_name", p.name).put("zone", p.zone).put("address", peerAddress(n, p));
                o.putObject("external").put("cloud", cloud).put("state", stateProxy.apply(i, store.addresses.get(i)));
                o.set("params", params);
                Path file = dir.resolve(n.name + ".json");
                JSON.writeValue(file.toFile(), o);
                List<String> command = new ArrayList<>(runCommand());
                command.add(file.toString());
                ProcessBuilder b = new ProcessBuilder(command);
                b.environment().put("LOG_LEVEL", logLevel);
                b.redirectErrorStream(true);
                b.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(i)));
                builders.add(b);
                processes.add(b.start());
            }
            Runtime.getRuntime().addShutdownHook(new Thread(this::end));
            spawn(() -> {
                sleepUntil(MOST_MS);
                exit(this, 2, "the script's time is over");
            });
        }

        /** The address at which [from] reaches [to]; a case may put a proxy there. */
        Function<Node[], String> peerProxy = pair -> pair[1].peer;
        java.util.function.BiFunction<Integer, String, String> stateProxy = (node, address) -> address;

        private String peerAddress(Node from, Node to) {
            return peerProxy.apply(new Node[] {from, to});
        }

        File logFile(int node) {
            return dir.resolve("hive-" + node + ".log").toFile();
        }

        static List<String> runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
                if (line.startsWith("run")) {
                    String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                    return List.of(text.trim().split("\\s+"));
                }
            }
            throw new IOException("no run in deploy/service.toml");
        }

        /** Ends the controllers, copies what matters of their logs to the record, and removes the temporary folder. */
        void end() {
            // A lock of its own: the end must not wait for a stand-in that stands still.
            synchronized (processes) {
                if (over) return;
                over = true;
                for (Process p : processes) p.destroyForcibly();
            }
            try {
                for (Process p : processes) p.waitFor();
                for (int i = 0; i < nodes.size(); i++) {
                    for (String line : Files.readAllLines(logFile(i).toPath())) {
                        if (line.matches(".*(elected|ready|stepped-down|paused|Exception|Error|WARN|ERROR).*")) {
                            record.println("log of " + nodes.get(i).name + ": " + line.substring(0, Math.min(220, line.length())));
                        }
                    }
                }
                record.flush();
                for (File f : dir.toFile().listFiles()) f.delete();
                Files.delete(dir);
            } catch (IOException | InterruptedException e) {
                record.println("the temporary folder is left: " + e);
            }
        }

        void crash(int node) {
            log("%s is killed", nodes.get(node).name);
            processes.get(node).destroyForcibly();
            try {
                processes.get(node).waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void restart(int node) throws IOException {
            synchronized (processes) {
                if (over) return;
                processes.set(node, builders.get(node).start());
            }
            log("%s is started again", nodes.get(node).name);
        }

        void signal(int node, String signal) throws Exception {
            log("%s gets %s", nodes.get(node).name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid())).inheritIO().start().waitFor();
        }

        int leaderNode() {
            String leader = store.leader();
            for (int i = 0; i < nodes.size(); i++) if (nodes.get(i).name.equals(leader)) return i;
            return -1;
        }

        boolean awaitUp(long ms) {
            long until = now() + ms;
            while (now() < until) {
                boolean all = leaderNode() >= 0;
                for (Node n : nodes) all &= call(n.api, "GET", "/up", null, 1000).status == 200;
                if (all) return true;
                sleep(100);
            }
            return false;
        }

        // Users

        /** Submits until it is accepted or given up; returns the last reply. */
        Reply submit(Spec spec, int node, long forMs) {
            specs.put(spec.id, spec);
            long until = now() + forMs;
            Reply r;
            do {
                r = call(nodes.get(node).api, "POST", "/v2/runs", spec.json, 5000);
                log("user: POST /v2/runs %s (%s) at hive-%d: %d %s", spec.id, spec.kind, node, r.status, r.body);
                if (r.ok() || r.status == 400 || r.status == 422) return r;
                sleep(1000);
                node = (node + 1) % nodes.size();
            } while (now() < until);
            return r;
        }

        Reply status(String id, int node) {
            return call(nodes.get(node).api, "GET", "/v2/runs/" + id, null, 2000);
        }

        Reply cancel(String id, int node) {
            return call(nodes.get(node).api, "POST", "/v2/runs/" + id + "/cancel", null, 5000);
        }
    }

    static ObjectNode params(String json) throws IOException {
        return (ObjectNode) JSON.readTree(json);
    }

    /** Ends the case: 0 held, 1 broken, 2 could not run. */
    static void exit(World world, int status, String why) {
        log("result %d: %s", status, why);
        world.end();
        record.flush();
        System.out.println(why);
        Runtime.getRuntime().halt(status);
    }
}
