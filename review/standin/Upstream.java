import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** Stand-in for a server of a service. It checks ids like a sound server, and records which requests it ran. */
final class Upstream {
    /** Writes the response to a request that runs. The head fields that every response has are already set. */
    interface Work {
        void run(HttpExchange exchange, byte[] body) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String zone;
    final int slots;
    final String address;
    final long born = System.currentTimeMillis();
    private long sequence = 0;

    /** Whether its entry was removed; it writes no further heartbeat. */
    boolean left = false;

    /** Number of runs of each request, by its id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    Upstream(String id, String service, String zone, int slots, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(Executors.newCachedThreadPool(Site.daemonThreads()));
        server.createContext("/", exchange -> {
            try (exchange) {
                handle(exchange, work);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** A server that listens elsewhere in the script. */
    Upstream(String id, String service, String zone, int slots, String address) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.address = address;
    }

    private void handle(HttpExchange exchange, Work work) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        var fields = exchange.getResponseHeaders();
        if (attempt == null) {
            fields.set("X-Not-Executed", "1");
            exchange.sendResponseHeaders(400, -1);
            return;
        }
        fields.set("X-Attempt-Id", attempt);
        if (expected != null && !expected.equals(id)) {
            fields.set("X-Instance-Id", id);
            exchange.sendResponseHeaders(421, -1);
            return;
        }
        int number = runs.merge(attempt, 1, Integer::sum);
        Site.record("run", id, attempt, exchange.getRequestMethod() + " " + exchange.getRequestURI() + " run " + number);
        fields.set("X-Server-Signature", id + "." + attempt + "." + number);
        work.run(exchange, body);
    }

    /** The entry in the store, as this server writes it with each heartbeat. */
    synchronized String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"max_batch\":" + slots + ",\"state\":\"" + state
            + "\",\"warmup_left_ms\":0,\"born\":" + born + ",\"sequence\":" + (++sequence) + "}";
    }
}
