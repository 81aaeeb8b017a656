import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** SIGTERM of a gateway while engines pause once within each run of a stream, and go on long before the deadline. */
final class SilentStream {
    private static final int CLIENTS = 8;
    private static final int EVENTS = 18;
    private static final int EVENT_MILLIS = 30;
    private static final int PAUSE_AFTER_EVENTS = 4;
    private static final int PAUSE_MILLIS = 1_000;
    private static final int DEADLINE_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        int broken;
        try (Site site = new Site(Path.of(arguments[0], "record.txt"))) {
            broken = run(site);
        } catch (Exception failure) {
            Site.record("failed", "case", "-", failure.toString());
            System.exit(2);
            return;
        }
        System.out.println(broken + " of " + CLIENTS + " streams ended without a complete answer");
        System.exit(broken > 0 ? 1 : 0);
    }

    private static int run(Site site) throws Exception {
        for (int number = 0; number < 3; number++) {
            site.add(new Upstream("engine-" + number, "engine", Site.ZONES[number], 96, (exchange, body) -> stream(exchange)));
        }
        site.configure(1, List.of(Site.route("query", "stream", "engine", DEADLINE_MILLIS, 2, true)),
            List.of(Site.service("engine")), List.of(Site.tenant("tenant", "key")));
        site.startGateways(2);
        Gateway gateway = site.gateways.get(0);
        var clients = Executors.newCachedThreadPool(Site.daemonThreads());
        List<Future<Boolean>> complete = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            String attempt = "stream-" + number;
            complete.add(clients.submit(() -> receive(gateway, attempt)));
        }
        Thread.sleep(100);
        if (Site.hasTrouble()) gateway.terminate();
        int broken = 0;
        for (Future<Boolean> each : complete) if (!each.get()) broken++;
        return broken;
    }

    private static void stream(HttpExchange exchange) throws IOException, InterruptedException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        for (int number = first; number <= EVENTS; number++) {
            Thread.sleep(EVENT_MILLIS);
            if (Site.hasTrouble() && number == first + PAUSE_AFTER_EVENTS) Thread.sleep(PAUSE_MILLIS);
            exchange.getResponseBody().write(("id: " + number + "\ndata: x\n\n").getBytes(StandardCharsets.US_ASCII));
            exchange.getResponseBody().flush();
        }
    }

    private static boolean receive(Gateway gateway, String attempt) throws IOException {
        try (Caller caller = new Caller(gateway.callers)) {
            long startedAt = System.currentTimeMillis();
            caller.send("POST", "/query/1", Site.HOST, List.of("X-Attempt-Id: " + attempt, "X-Model: m", "X-Token-Usage: 100,90",
                "X-Prefix-Hash: a1:80,b" + attempt.hashCode() + ":20", "X-Deadline-Ms: " + DEADLINE_MILLIS, "Authorization: Bearer key"),
                "prompt".getBytes());
            Site.record("sent", gateway.name, attempt, "POST /query/1");
            Caller.Response response = caller.receive(DEADLINE_MILLIS);
            Site.record(response.complete() ? "answered" : "BROKEN", gateway.name, attempt, "status " + response.status() + ", "
                + new String(response.body()).split("id: ").length + " - 1 events, " + response.end() + ", after "
                + (System.currentTimeMillis() - startedAt) + " ms");
            return response.complete();
        }
    }
}
