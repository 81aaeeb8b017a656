import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Another writer has entries of a megabyte that can't be read, and goes on to write some of them anew. Servers leave meanwhile.
 * Bookings must not reach them later than drain_ms after the store has acknowledged that their entries are removed.
 */
final class UnreadableEntries {
    private static final String SERVICE = "hema-desk";
    private static final List<String> ZONES = List.of("arusha-a", "arusha-b", "arusha-c");
    private static final int SERVERS = 7;
    private static final int LEAVING = 3;
    private static final int ENTRIES = 220;
    private static final int ENTRY_BYTES = 1_040_000;
    private static final int FIRST_WRITES_PER_SECOND = 30;
    private static final int WRITES_PER_SECOND = 6;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int BOOKINGS_PER_SECOND = 40;
    private static final long BETWEEN_LEAVES_MILLIS = 7_000;

    /** drain_ms of the deployment. */
    private static final long DRAIN_MILLIS = 2_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
            System.exit(new UnreadableEntries(record).run(trouble) ? 1 : 0);
        } catch (Unable unable) {
            System.out.println("could not run: " + unable.getMessage());
            System.exit(2);
        }
    }

    private final CaseRecord record;
    private final Store store = new Store();
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    private final Map<Server, Long> removedAt = new ConcurrentHashMap<>();
    private volatile boolean ended;

    private UnreadableEntries(CaseRecord record) throws Exception {
        this.record = record;
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new Server("i-7f3a91c" + number, SERVICE, ZONES.get(number % ZONES.size()), record));
        }
        heartbeat();
        store.put("op/config", Configuration.of(7, Configuration.route("book", "unsafe", SERVICE, 1), Configuration.service(SERVICE)));
        Threads.start("heartbeats", () -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                heartbeat();
            }
        });
    }

    private synchronized void heartbeat() {
        for (Server server : servers) if (!removedAt.containsKey(server)) store.put("servers/" + server.id, server.entry());
    }

    /** The server leaves without having reported that it drains; it goes on serving to the end of the case. */
    private synchronized void remove(Server server) {
        store.put("servers/" + server.id, null);
        removedAt.put(server, record.millis());
        record.line("the store has acknowledged that the entry of %s is removed", server.id);
    }

    /** Returns whether the rule was broken. */
    private boolean run(boolean trouble) throws Exception {
        try (Gateways gateways = new Gateways(store, ZONES)) {
            if (trouble) Threads.start("other-writer", this::writeEntries);
            Thread bookings = Threads.start("bookings", () -> sendBookings(gateways));
            Threads.sleep(1_000 * ENTRIES / FIRST_WRITES_PER_SECOND + 3_000);
            for (int number = 0; number < LEAVING; number++) {
                remove(servers.get(number));
                Threads.sleep(BETWEEN_LEAVES_MILLIS);
            }
            ended = true;
            bookings.join();
        }
        return report();
    }

    private void writeEntries() throws InterruptedException {
        byte[] unreadable = new byte[ENTRY_BYTES];
        Arrays.fill(unreadable, (byte) 0xff);
        byte[] base64 = Base64.getEncoder().encode(unreadable);
        record.line("another writer begins to write %d entries of %d bytes", ENTRIES, ENTRY_BYTES);
        for (int write = 0; !ended; write++) {
            store.putBase64("servers/a-" + write % ENTRIES, base64);
            if (write == ENTRIES) record.line("all are written; it writes %d of them a second anew", WRITES_PER_SECOND);
            Thread.sleep(1_000 / (write < ENTRIES ? FIRST_WRITES_PER_SECOND : WRITES_PER_SECOND));
        }
    }

    private void sendBookings(Gateways gateways) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; !ended; number++) {
            Gateways.Gateway gateway = gateways.all.get(ThreadLocalRandom.current().nextInt(gateways.all.size()));
            String attempt = String.format("9c41d07be2a3%04x", number);
            callers.add(Threads.start("caller", () -> {
                record.line("sent %s POST /book/2f to %s", attempt, gateway.ip);
                Caller.Answer answer = Caller.send(gateway, "POST", "/book/2f", attempt, 1_500);
                answers.put(attempt, answer);
                record.line("answered %s: %d, %s", attempt, answer.status(), answer.body());
            }));
            Thread.sleep(1_000 / BOOKINGS_PER_SECOND);
        }
        for (Thread caller : callers) caller.join();
    }

    private boolean report() {
        Map<String, Integer> statuses = new TreeMap<>();
        for (Caller.Answer answer : answers.values()) statuses.merge("" + answer.status(), 1, Integer::sum);
        record.result("%d bookings, answers by status %s", answers.size(), statuses);
        if (statuses.getOrDefault("200", 0) < answers.size() / 2) throw new Unable("under half of the bookings were served");
        int late = 0;
        for (Server server : servers) {
            Long removed = removedAt.get(server);
            if (removed == null) continue;
            List<Long> delays = server.arrivals.stream().map(at -> at - removed).filter(delay -> delay > DRAIN_MILLIS).toList();
            late += delays.size();
            record.result("%s: %d bookings later than %d ms after the removal of its entry, the last one after %d ms", server.id,
                delays.size(), DRAIN_MILLIS, delays.stream().mapToLong(Long::longValue).max().orElse(0));
        }
        record.result(late == 0 ? "held" : "broken: DRAIN, %d bookings", late);
        return late > 0;
    }
}
