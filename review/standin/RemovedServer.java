import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * All gateways lose power and start again within 0.3 s of each other, while a server leaves without having reported that it
 * drains. Later than drain_ms after the removal of its entry no request may reach it.
 */
final class RemovedServer {
    private static final int FIRST = 3;

    /** All machines start within 0.3 s of each other; starting a process takes some milliseconds. */
    private static final int START_OFFSET_MILLIS = 230;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int LINGER_MILLIS = 14_000;

    public static void main(String[] arguments) throws Exception {
        int broken;
        try (Site site = new Site(Path.of(arguments[0], "record.txt"))) {
            broken = run(site);
        } catch (Exception failure) {
            Site.record("failed", "case", "-", failure.toString());
            System.exit(2);
            return;
        }
        System.out.println(broken + " requests reached the server that has left");
        System.exit(broken > 0 ? 1 : 0);
    }

    private static int run(Site site) throws Exception {
        byte[] answer = "answer".getBytes(StandardCharsets.US_ASCII);
        Upstream.Work work = (exchange, body) -> {
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
        };
        for (int number = 0; number < 3; number++) site.add(new Upstream("desk-" + number, "desk", Site.ZONES[number], 6, work));
        Upstream leaving = new Upstream("leaving", "desk", Site.ZONES[0], 6, work);
        site.add(leaving);
        site.configure(1, List.of(Site.route("book", "unsafe", "desk", 1_500, 1, false)),
            List.of(Site.service("desk")), List.of(Site.tenant("tenant", "key")));
        site.startGateways(6);
        send(site, "before", 4);
        if (Site.hasTrouble()) {
            for (Gateway gateway : site.gateways) gateway.kill();
            int ranges = site.store.ranges.get();
            site.gateways.get(FIRST).start();
            Thread.sleep(START_OFFSET_MILLIS);
            for (Gateway gateway : site.gateways) if (gateway != site.gateways.get(FIRST)) gateway.start();
            while (site.store.ranges.get() == ranges) Thread.sleep(1);
        }
        site.remove(leaving);
        long acknowledgedAt = System.currentTimeMillis();
        site.awaitReady();
        Thread.sleep(Math.max(CONTACT_MILLIS, DRAIN_MILLIS) + 500);
        int before = leaving.runs.size();
        while (System.currentTimeMillis() - acknowledgedAt < LINGER_MILLIS) {
            send(site, "after" + System.currentTimeMillis(), 2);
            Thread.sleep(300);
        }
        return leaving.runs.size() - before;
    }

    /** Sends requests to each gateway, one after the other. */
    private static void send(Site site, String phase, int count) throws IOException {
        for (Gateway gateway : site.gateways) {
            for (int number = 0; number < count; number++) {
                String attempt = phase + "-" + gateway.name + "-" + number;
                try (Caller caller = new Caller(gateway.callers)) {
                    caller.send("POST", "/book/1", Site.HOST,
                        List.of("X-Attempt-Id: " + attempt, "X-Deadline-Ms: 1500", "Authorization: Bearer key"), new byte[600]);
                    Caller.Response response = caller.receive(2_000);
                    Site.record("answered", gateway.name, attempt, "status " + response.status() + " "
                        + response.fields().get("x-server-signature"));
                }
            }
        }
    }
}
