import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** FAILBACK: gateways whose seeds are all down, and a server that joins cold. */
final class SeedsDown {
    /** The machines and the chats a second (64.4) of the sheet; only the engines are fewer. */
    private static final int GATEWAYS = 8;
    private static final int CHATS_PER_SECOND_AND_GATEWAY = 8;
    private static final int COLD_MILLIS = 3_000;

    /** warmup_per_s x warmup_overage + warmup_tolerance = 10 x 1.5 + 5. */
    private static final int BOUND = 20;

    /** The rate at which the cold server crashes: three times warmup_per_s. */
    private static final int CRASH_RATE = 30;

    private final ConcurrentLinkedQueue<Long> coldArrivals = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean crashed = new AtomicBoolean();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger cutStreams = new AtomicInteger();
    private volatile long coldSince = Long.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, (site, trouble) -> new SeedsDown().holds(site, trouble));
    }

    private boolean holds(Site site, boolean trouble) throws Exception {
        site.server("engine-0", "engines", "a", this::stream);
        site.configure(1, Configuration.small());
        startGateways(site, trouble);
        Threads.sleep(5_000);
        AtomicBoolean stopped = new AtomicBoolean();
        for (Gateway gateway : site.gateways) Threads.start("clients", () -> sendUntil(stopped, gateway, site.record));
        Threads.sleep(3_000);
        Server cold = new Server("engine-cold", "engines", "b", site.record, this::stream);
        coldSince = System.nanoTime() / 1_000_000;
        site.store.write("servers/engine-cold",
            cold.entry("ready").replace("\"warmup_left_ms\":0", "\"warmup_left_ms\":" + COLD_MILLIS));
        site.record.line("engine-cold has started and registered, cold for " + COLD_MILLIS + " ms");
        Threads.sleep(COLD_MILLIS);
        stopped.set(true);
        Threads.sleep(1_500);
        for (Gateway gateway : site.gateways) site.record.line(gateway.name + " counts " + members(gateway));
        int most = mostInOneSecond();
        site.record.say("the cold server got " + most + " requests in one second, " + BOUND + " are allowed");
        site.record.say("it " + (crashed.get() ? "crashed, and cut " + cutStreams.get() + " chats" : "did not crash"));
        return most <= BOUND;
    }

    private void startGateways(Site site, boolean trouble) throws Exception {
        for (int number = 0; number < GATEWAYS; number++) {
            site.gateways.add(new Gateway("gateway-" + number, "127.0.0." + (2 + number), site.root, site.directory));
        }
        List<String> seeds = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            seeds.add(trouble ? "127.0.0." + (100 + number) + ":" + Gateway.freePort() : site.gateways.get(number).peerAddress);
        }
        site.record.line("the seeds of all gateways are " + seeds + (trouble ? ", which are down" : ""));
        for (int number = 0; number < GATEWAYS; number++) {
            Gateway gateway = site.gateways.get(number);
            String zone = "abc".substring(number % 3, number % 3 + 1);
            gateway.writeSettings(zone, site.store.address(), seeds, site.gossipPort, true);
            gateway.start();
        }
        for (Gateway gateway : site.gateways) gateway.awaitReady();
        site.record.line("all gateways are ready");
    }

    /** Serves a chat of ten events in 0.2 s; counts the arrivals at the cold server, which crashes at CRASH_RATE. */
    private void stream(Server.Run run) throws Exception {
        if (run.server().id.equals("engine-cold")) recordColdArrival(run.server());
        run.startStream();
        for (int number = 1; number <= 10; number++) {
            run.event(number, "token");
            Threads.sleep(20);
        }
        run.endStream();
    }

    private void recordColdArrival(Server server) throws Exception {
        long now = System.nanoTime() / 1_000_000;
        if (now > coldSince + COLD_MILLIS) return;
        coldArrivals.add(now);
        long inLastSecond = coldArrivals.stream().filter(at -> at > now - 1_000).count();
        if (inLastSecond >= CRASH_RATE && crashed.compareAndSet(false, true)) server.crash();
    }

    private int mostInOneSecond() {
        List<Long> arrivals = new ArrayList<>(coldArrivals);
        arrivals.sort(null);
        int most = 0;
        for (int first = 0; first < arrivals.size(); first++) {
            int next = first;
            while (next < arrivals.size() && arrivals.get(next) < arrivals.get(first) + 1_000) next++;
            most = Math.max(most, next - first);
        }
        return most;
    }

    private void sendUntil(AtomicBoolean stopped, Gateway gateway, CaseRecord record) throws Exception {
        while (!stopped.get()) {
            int number = requests.incrementAndGet();
            Threads.start("client", () -> sendChat(gateway, number, record));
            Thread.sleep(1_000 / CHATS_PER_SECOND_AND_GATEWAY);
        }
    }

    /** Each chat has a shared part of its own, as those of different customers. */
    private void sendChat(Gateway gateway, int number, CaseRecord record) {
        String prompt = "X-Model: m\r\nX-Token-Usage: 700,80\r\nX-Prefix-Hash: aa" + number + ":600,bb" + number + ":100\r\n";
        try (Caller caller = new Caller(gateway)) {
            caller.socket.setSoTimeout(15_000);
            caller.send("POST", "/chat/1", "chat-" + number, 15_000, prompt, Http.bytes("{}"));
            Http.Head head = Http.readHead(caller.in);
            if (head == null) throw new java.io.EOFException("no answer");
            if (head.status() != 200) record.line("chat-" + number + " at " + gateway.name + ": " + head.status());
            Http.readBody(head, caller.in);
        } catch (java.io.IOException cut) {
            cutStreams.incrementAndGet();
            record.line("chat-" + number + " at " + gateway.name + " was cut: " + cut.getMessage());
        }
    }

    private String members(Gateway gateway) {
        for (String line : gateway.metrics().split("\n")) {
            if (line.startsWith("primrosesill_members ")) return line.substring(21) + " members";
        }
        return "unknown members";
    }
}
