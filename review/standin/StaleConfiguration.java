import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration grows by many routes, and then changes in quick succession. The last change takes a key away, moves a
 * route to another service and adds a route. Probes each gateway from config_apply_ms after its acknowledgement on.
 */
final class StaleConfiguration {
    private static final int ROUTES_PER_GROWTH = 350;
    private static final int GROWTHS = Integer.getInteger("growths", 10);
    private static final long STORM_MILLIS = 1_500;
    private static final long STORM_GAP_MILLIS = 60;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long PROBED_MILLIS = 12_000;

    public static void main(String[] arguments) throws Exception {
        int broken;
        try (Site site = new Site(Path.of(arguments[0], "record.txt"))) {
            broken = run(site);
        } catch (Exception failure) {
            Site.record("failed", "case", "-", failure.toString());
            System.exit(2);
            return;
        }
        System.out.println(broken + " requests were handled as only an older version allows");
        System.exit(broken > 0 ? 1 : 0);
    }

    private static int run(Site site) throws Exception {
        Upstream.Work work = (exchange, body) -> {
            byte[] answer = "answer".getBytes();
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
        };
        for (int number = 0; number < 3; number++) {
            site.add(new Upstream("old-" + number, "desk-old", Site.ZONES[number], 6, work));
            site.add(new Upstream("new-" + number, "desk-new", Site.ZONES[number], 6, work));
        }
        List<String> services = List.of(Site.service("desk-old"), Site.service("desk-new"));
        List<String> routes = new ArrayList<>();
        for (int number = 0; number < 110; number++) routes.add(idleRoute(number));
        routes.add(Site.route("kept", "safe", "desk-old", 1_500, 2, false));
        routes.add(Site.route("moved", "safe", "desk-old", 1_500, 2, false));
        List<String> before = List.of(Site.tenant("tenant", "key-kept", "key-revoked"));
        List<String> after = List.of(Site.tenant("tenant", "key-kept"));
        long version = 1;
        site.configure(version, routes, services, before);
        site.startGateways(6);
        for (int growth = 0; growth < GROWTHS; growth++) {
            for (int number = 0; number < ROUTES_PER_GROWTH; number++) routes.add(idleRoute(routes.size()));
            site.configure(version += 3, routes, services, before);
            Thread.sleep(2_000);
        }
        Thread.sleep(3_000);
        probe(site, "key-revoked", "/moved/1", 200, "old", "before");
        List<String> storm = new ArrayList<>();
        for (long at = 0; at < STORM_MILLIS; at += STORM_GAP_MILLIS) {
            routes.set(0, Site.route("changed", "safe", "desk-old", 1_000 + (int) at, 2, false));
            storm.add(Site.configuration(version + 2L * storm.size() + 2, routes, services, before));
        }
        if (Site.hasTrouble()) {
            long startedAt = System.currentTimeMillis();
            for (String value : storm) {
                site.configure(version += 2, value);
                Thread.sleep(STORM_GAP_MILLIS);
                if (System.currentTimeMillis() - startedAt >= STORM_MILLIS) break;
            }
        }
        routes.set(111, Site.route("moved", "safe", "desk-new", 1_500, 2, false));
        routes.add(Site.route("added", "safe", "desk-new", 1_500, 2, false));
        site.configure(version += 2, routes, services, after);
        long acknowledgedAt = System.currentTimeMillis();
        Thread.sleep(CONFIG_APPLY_MILLIS + 100);
        int broken = 0;
        while (System.currentTimeMillis() - acknowledgedAt < PROBED_MILLIS) {
            broken += probe(site, "key-kept", "/moved/2", 200, "new", "after");
            broken += probe(site, "key-kept", "/added/1", 200, "new", "after");
            broken += probe(site, "key-revoked", "/kept/1", 401, "", "after");
            Thread.sleep(500);
        }
        for (Gateway gateway : site.gateways) {
            for (String line : gateway.logged("platform-lost")) Site.record("log", gateway.name, "-", line);
        }
        return broken;
    }

    private static String idleRoute(int number) {
        return Site.route("idle%05d".formatted(number), "safe", "desk-old", 1_500, 2, false);
    }

    private static int attempts = 0;

    /** Sends one request to each gateway, and returns how many were handled otherwise than expected. */
    private static int probe(Site site, String key, String target, int status, String server, String phase) throws IOException {
        int broken = 0;
        for (Gateway gateway : site.gateways) {
            String attempt = "%s-%05d".formatted(phase, ++attempts);
            try (Caller caller = new Caller(gateway.callers)) {
                List<String> fields = List.of("X-Attempt-Id: " + attempt, "X-Deadline-Ms: 1500", "Authorization: Bearer " + key);
                caller.send("GET", target, Site.HOST, fields, null);
                Caller.Response response = caller.receive(2_000);
                String signature = response.fields().getOrDefault("x-server-signature", "");
                // 408, 429 and 503 refuse for other reasons, at any version.
                boolean refused = response.status() == 503 || response.status() == 429 || response.status() == 408;
                boolean expected = refused || (response.status() == status && signature.startsWith(server));
                if (!expected) broken++;
                Site.record(expected ? "answered" : "BROKEN", gateway.name, attempt,
                    target + " " + key + " status " + response.status() + " signature '" + signature + "'");
            }
        }
        return broken;
    }
}
