import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: a store, servers that write their heartbeats to it, and gateways in three zones. */
final class Site implements AutoCloseable {
    static final String HOST = "h.example";
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    private static final int HEARTBEAT_MILLIS = 1_200;

    private static PrintWriter recorder;
    private static final long startedAt = System.nanoTime();

    final Store store = new Store();
    final List<Upstream> upstreams = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    private final Path folder = Files.createTempDirectory("review");
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor(daemonThreads());

    Site(Path record) throws IOException {
        recorder = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Whether the case runs with its disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Writes one line: milliseconds since the start, what, where, the id of the request, details. */
    static synchronized void record(String what, String where, String request, String details) {
        if (recorder != null) recorder.println((System.nanoTime() - startedAt) / 1_000_000 + " " + what + " " + where + " " + request + " " + details);
    }

    static ThreadFactory daemonThreads() {
        return task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        };
    }

    private static final Set<Integer> usedPorts = new HashSet<>();

    /** Returns an address with a port that is free, was not returned before, and is outside the range of outgoing connections. */
    static synchronized String freeAddress(String host) throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (!usedPorts.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return host + ":" + socket.getLocalPort();
            } catch (BindException inUse) {
                // Another port is tried.
            }
        }
    }

    void add(Upstream upstream) {
        upstreams.add(upstream);
        Runnable heartbeat = () -> {
            synchronized (upstream) {
                if (!upstream.left) store.write("servers/" + upstream.id, upstream.entry("ready"));
            }
        };
        heartbeats.scheduleAtFixedRate(heartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Removes the entry of a server that leaves without having reported that it drains. It goes on serving. */
    void remove(Upstream upstream) {
        synchronized (upstream) {
            upstream.left = true;
            store.write("servers/" + upstream.id, null);
        }
        record("acknowledged", "store", "-", "entry of " + upstream.id + " removed");
    }

    /** Starts the gateways, at the same time, and waits until all are ready and have settled. */
    void startGateways(int count) throws IOException, InterruptedException {
        int gossipPort = Integer.parseInt(freeAddress("127.0.0.1").split(":")[1]);
        List<String> peers = new ArrayList<>();
        for (int number = 0; number < count; number++) peers.add(freeAddress("127.0.0." + (number + 2)));
        List<String> seeds = peers.subList(0, Math.min(3, count));
        for (int number = 0; number < count; number++) {
            String zone = ZONES[number % ZONES.length];
            gateways.add(new Gateway("gateway-" + number, zone, peers.get(number), gossipPort, seeds, store.address, folder));
        }
        for (Gateway gateway : gateways) gateway.start();
        awaitReady();
        Thread.sleep(4_000);
    }

    void awaitReady() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + 30_000;
        while (!gateways.stream().allMatch(Gateway::isReady)) {
            if (System.currentTimeMillis() > until) throw new IOException("the gateways are not ready after 30 s");
            Thread.sleep(50);
        }
    }

    static String route(String name, String kind, String service, int timeoutMillis, int attempts, boolean resumable) {
        return """
            {"name":"r-%s","host":"h.example","path_prefix":"/%s/","type":"%s","timeout_ms":%d,"target_latency_ms":600,\
            "priority":1,"service":"%s","attempts":%d,"anonymous":false,"affinity":false,"resumable":%b,"gap_target_ms":400}"""
            .formatted(name, name, kind, timeoutMillis, service, attempts, resumable);
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":110,\"warmup_s\":0.0,\"warmup_per_s\":0.0}";
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys) + "\"]}";
    }

    /** Writes a version of the configuration and returns when the store has acknowledged it. */
    void configure(long version, List<String> routes, List<String> services, List<String> tenants) {
        configure(version, configuration(version, routes, services, tenants));
    }

    void configure(long version, String value) {
        store.write("op/config", value);
        record("acknowledged", "store", "-", "version " + version + " of " + value.length() + " bytes");
    }

    static String configuration(long version, List<String> routes, List<String> services, List<String> tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" + String.join(",", tenants) + "]}";
    }

    @Override
    public synchronized void close() {
        gateways.forEach(Gateway::close);
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) file.delete();
        folder.toFile().delete();
    }
}
