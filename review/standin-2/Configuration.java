import java.util.ArrayList;
import java.util.List;

/** The value of op/config, with the routes and services of a small deployment. */
final class Configuration {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    private final List<String> routes = new ArrayList<>();
    private int tenants = 1;

    /** The routes of the sheet: chats, resumable chats, bookings and stock reads. */
    static Configuration small() {
        Configuration configuration = new Configuration();
        configuration.route("chat", "stream", "engines", 15_000, 500, 1, false);
        configuration.route("query", "stream", "engines", 3_000, 600, 2, true);
        configuration.route("book", "unsafe", "desk", 800, 100, 1, false);
        configuration.route("stock", "safe", "desk", 800, 100, 2, false);
        return configuration;
    }

    Configuration route(String name, String type, String service, int timeout, int target, int attempts, boolean resumable) {
        routes.add("{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type
            + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":1,\"service\":\"" + service
            + "\",\"attempts\":" + attempts + ",\"anonymous\":false,\"affinity\":" + type.equals("stream")
            + ",\"resumable\":" + resumable + ",\"gap_target_ms\":400}");
        return this;
    }

    /** Drops the route with the given name. */
    Configuration without(String name) {
        routes.removeIf(route -> route.startsWith("{\"name\":\"" + name + "\""));
        return this;
    }

    /** Sets the number of tenants. The first one holds KEY. */
    Configuration tenants(int count) {
        tenants = count;
        return this;
    }

    /** Returns the key of the tenant with the given number. */
    static String keyOf(int tenant) {
        return tenant == 0 ? KEY : KEY + tenant;
    }

    private String tenantList() {
        List<String> list = new ArrayList<>();
        for (int tenant = 0; tenant < tenants; tenant++) {
            list.add("{\"name\":\"hule" + (930 + tenant) + "\",\"api_keys\":[\"" + keyOf(tenant) + "\"],\"priority\":1}");
        }
        return String.join(",", list);
    }

    String json(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + "{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_conns\":500,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup_s\":3.0,\"warmup_per_s\":10.0,\"engine\":{\"max_batch\":96,\"kv_capacity\":224153,"
            + "\"kv_bytes\":131072,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":2,"
            + "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup_s\":0.0,\"warmup_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[" + tenantList() + "]}";
    }
}
