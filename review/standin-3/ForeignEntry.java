import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Another writer writes entries with fields missing, or of another type, under the id of a server of the counting service.
 * They call it a server of the booking service. Bookings must not reach it.
 */
final class ForeignEntry {
    private static final String BOOKING = "hema-desk";
    private static final String COUNTING = "stock-count";
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int BOOKINGS_PER_SECOND = 25;
    private static final int SECONDS = 16;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
            System.exit(new ForeignEntry(record).run(trouble) ? 1 : 0);
        } catch (Unable unable) {
            System.out.println("could not run: " + unable.getMessage());
            System.exit(2);
        }
    }

    private final CaseRecord record;
    private final Store store = new Store();
    private final List<Server> servers = new ArrayList<>();
    private final Server counter;
    private final Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();

    private ForeignEntry(CaseRecord record) throws Exception {
        this.record = record;
        servers.add(new Server("i-7f3a91c1", BOOKING, "arusha-a", record));
        servers.add(new Server("i-7f3a91c2", BOOKING, "arusha-b", record));
        servers.add(new Server("i-7f3a91c3", BOOKING, "arusha-c", record));
        counter = new Server("i-0c55d2e8", COUNTING, "arusha-a", record);
        servers.add(counter);
        String routes =
            Configuration.route("book", "unsafe", BOOKING, 1) + "," + Configuration.route("count", "safe", COUNTING, 2);
        store.put("op/config", Configuration.of(7, routes, Configuration.service(BOOKING) + "," + Configuration.service(COUNTING)));
        heartbeat();
    }

    /** Returns whether the rule was broken. */
    private boolean run(boolean trouble) throws Exception {
        Thread heartbeats = Threads.start("heartbeats", () -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                heartbeat();
            }
        });
        try (Gateways gateways = new Gateways(store, List.of("arusha-a", "arusha-b", "arusha-c"))) {
            record.line("traffic starts");
            if (trouble) Threads.start("other-writer", this::writeForeignEntries);
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < BOOKINGS_PER_SECOND * SECONDS; number++) {
                callers.add(book(gateways, number));
                Threads.sleep(1_000 / BOOKINGS_PER_SECOND);
            }
            for (Thread caller : callers) caller.join();
        }
        return report();
    }

    private synchronized void heartbeat() {
        for (Server server : servers) store.put("servers/" + server.id, server.entry());
    }

    /** Three entries, four seconds apart. Each is in the store until the next heartbeat of the server that has the id. */
    private void writeForeignEntries() throws InterruptedException {
        String known = "\"service\":\"" + BOOKING + "\",\"address\":\"" + counter.address() + "\",\"zone\":\"arusha-a\",";
        List<String> entries =
            List.of(
                "{" + known + "\"max_batch\":6,\"state\":\"ready\"}",
                "{" + known + "\"version\":\"v1\",\"max_batch\":6,\"state\":\"ready\",\"warmup_left_ms\":0}",
                "{" + known + "\"version\":\"v1\",\"max_batch\":6,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":\"four\"}");
        for (String entry : entries) {
            Thread.sleep(3_000);
            store.put("servers/" + counter.id, entry);
            record.line("another writer has written servers/%s: %s", counter.id, entry);
        }
    }

    private Thread book(Gateways gateways, int number) {
        Gateways.Gateway gateway = gateways.all.get(ThreadLocalRandom.current().nextInt(gateways.all.size()));
        String attempt = String.format("9c41d07be2a3%04x", number);
        return Threads.start("caller", () -> {
            record.line("sent %s POST /book/2f to %s", attempt, gateway.ip);
            Caller.Answer answer = Caller.send(gateway, "POST", "/book/2f", attempt, 1_500);
            answers.put(attempt, answer);
            record.line("answered %s: %d, %s", attempt, answer.status(), answer.body());
        });
    }

    private boolean report() {
        Map<String, Integer> statuses = new TreeMap<>();
        for (Caller.Answer answer : answers.values()) statuses.merge("" + answer.status(), 1, Integer::sum);
        record.result("%d bookings, answers by status %s", answers.size(), statuses);
        if (statuses.getOrDefault("200", 0) < answers.size() / 2) throw new Unable("under half of the bookings were served");
        for (String attempt : counter.ran) {
            Caller.Answer answer = answers.get(attempt);
            record.result("ROUTE: booking %s was run by %s of %s, its client got %d '%s'", attempt, counter.id, COUNTING,
                answer.status(), answer.body());
        }
        record.result(counter.ran.isEmpty() ? "held" : "broken: %d bookings were run by the service %s", counter.ran.size(), COUNTING);
        return !counter.ran.isEmpty();
    }
}
