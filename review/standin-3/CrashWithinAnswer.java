import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A server whose answers end with their connections is killed while it answers. What its clients receive must not look like
 * whole answers.
 */
final class CrashWithinAnswer {
    private static final String SERVICE = "hema-desk";
    private static final List<String> ZONES = List.of("arusha-a", "arusha-b", "arusha-c");
    private static final int SERVERS = 7;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int REQUESTS_PER_SECOND = 140;
    private static final int SECONDS = 18;
    private static final int CRASHES = 3;
    private static final long BETWEEN_CRASHES_MILLIS = 5_000;
    private static final long DOWN_MILLIS = 2_000;

    /** One incarnation of a server, in a process of its own. */
    private final class ServerProcess {
        final String id;
        final String zone;
        final long born = System.currentTimeMillis();
        final Queue<String> ran = new ConcurrentLinkedQueue<>();
        private final Process process;
        private final String address;
        private int sequence;

        ServerProcess(int number, String zone) throws Exception {
            id = "i-7f3a9" + number;
            this.zone = zone;
            process =
                new ProcessBuilder("java", "-Xmx32m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", "target/review-3",
                    "UnframedServer", id).redirectError(ProcessBuilder.Redirect.INHERIT).start();
            Processes.endWithCase(process);
            BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
            address = output.readLine().substring("address ".length());
            Threads.start(id, () -> {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                    String attempt = line.substring("runs ".length());
                    ran.add(attempt);
                    record.line("server %s runs %s", id, attempt);
                }
            });
        }

        void writeEntry() {
            store.put("servers/" + id, String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"max_batch\":6,\"state\":\"ready\","
                    + "\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%d}", SERVICE, address, zone, ++sequence, born));
        }

        void kill() {
            process.destroyForcibly();
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
            System.exit(new CrashWithinAnswer(record).run(trouble) ? 1 : 0);
        } catch (Unable unable) {
            System.out.println("could not run: " + unable.getMessage());
            System.exit(2);
        }
    }

    private final CaseRecord record;
    private final Store store = new Store();
    private final List<ServerProcess> alive = new ArrayList<>();
    private final Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    private int started;

    private CrashWithinAnswer(CaseRecord record) throws Exception {
        this.record = record;
    }

    /** Returns whether the rule was broken. */
    private boolean run(boolean trouble) throws Exception {
        try {
            for (int number = 0; number < SERVERS; number++) startServer();
            String routes =
                Configuration.route("book", "unsafe", SERVICE, 1) + "," + Configuration.route("stock", "safe", SERVICE, 2);
            store.put("op/config", Configuration.of(7, routes, Configuration.service(SERVICE)));
            Threads.start("heartbeats", () -> {
                while (true) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    synchronized (alive) {
                        alive.forEach(ServerProcess::writeEntry);
                    }
                }
            });
            try (Gateways gateways = new Gateways(store, ZONES)) {
                sendRequests(gateways, trouble);
            }
            return report();
        } finally {
            synchronized (alive) {
                alive.forEach(ServerProcess::kill);
            }
        }
    }

    private void sendRequests(Gateways gateways, boolean trouble) throws Exception {
        record.line("traffic starts");
        Thread crashes = trouble ? Threads.start("crashes", this::crashServers) : null;
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < REQUESTS_PER_SECOND * SECONDS; number++) {
            callers.add(send(gateways, number));
            Threads.sleep(1_000 / REQUESTS_PER_SECOND);
        }
        for (Thread caller : callers) caller.join();
        if (crashes != null) crashes.join();
    }

    private void startServer() throws Exception {
        ServerProcess server = new ServerProcess(started, ZONES.get(started % ZONES.size()));
        started++;
        synchronized (alive) {
            alive.add(server);
            server.writeEntry();
        }
    }

    /** Kills one of the seven servers at a time; the next one starts two seconds later, under another id. */
    private void crashServers() throws Exception {
        for (int crash = 0; crash < CRASHES; crash++) {
            Thread.sleep(BETWEEN_CRASHES_MILLIS - DOWN_MILLIS);
            ServerProcess killed;
            synchronized (alive) {
                killed = alive.remove(0);
            }
            killed.kill();
            record.line("server %s is killed", killed.id);
            Threads.start("lapse", () -> {
                Thread.sleep(3 * HEARTBEAT_MILLIS);
                store.put("servers/" + killed.id, null);
                record.line("the entry of %s has lapsed", killed.id);
            });
            Thread.sleep(DOWN_MILLIS);
            startServer();
        }
    }

    private Thread send(Gateways gateways, int number) {
        Gateways.Gateway gateway = gateways.all.get(ThreadLocalRandom.current().nextInt(gateways.all.size()));
        boolean isBooking = number % 2 == 0;
        String attempt = String.format("9c41d07be2a3%04x", number);
        return Threads.start("caller", () -> {
            String method = isBooking ? "POST" : "GET";
            String target = isBooking ? "/book/2f" : "/stock/2f";
            record.line("sent %s %s %s to %s", attempt, method, target, gateway.ip);
            Caller.Answer answer = Caller.send(gateway, method, target, attempt, 1_500);
            answers.put(attempt, answer);
            record.line("answered %s: %d, %d bytes, %s", attempt, answer.status(), answer.body().length(),
                answer.whole() ? "whole by its framing" : "cut");
        });
    }

    private boolean report() {
        Map<String, Integer> statuses = new TreeMap<>();
        for (Caller.Answer answer : answers.values()) statuses.merge("" + answer.status(), 1, Integer::sum);
        record.result("%d requests, answers by status %s", answers.size(), statuses);
        if (statuses.getOrDefault("200", 0) < answers.size() / 2) throw new Unable("under half of the requests were served");
        int broken = 0;
        for (var entry : new TreeMap<>(answers).entrySet()) {
            Caller.Answer answer = entry.getValue();
            if (answer.status() != 200 || !answer.whole()) continue;
            String id = answer.signature().substring(0, Math.max(0, answer.signature().indexOf('.')));
            String whole = UnframedServer.bodyOf(id, entry.getKey());
            if (answer.body().equals(whole)) continue;
            broken++;
            record.result("MIXED: the client of %s got a whole 200 with the signature of %s and %d of the %d bytes of its body",
                entry.getKey(), id, answer.body().length(), whole.length());
        }
        record.result(broken == 0 ? "held" : "broken: %d answers that ended early looked whole", broken);
        return broken > 0;
    }
}
