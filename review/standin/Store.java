import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for the platform's metadata store: linearizable reads, paged ranges, watches with a history of 20 s. Each write is
 * one event of a watch.
 */
final class Store {
    private record Item(String key, byte[] value, long revision, long created, long atMillis) {}

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final long HISTORY_MILLIS = 20_000;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Item> history = new ArrayDeque<>();
    private long revision = 1;
    private long droppedUpTo = 0;
    private final HttpServer server;
    final String address;

    /** Delay of each response; models a slow store. */
    volatile long delayMillis = 0;

    /** Number of ranges that were answered. */
    final AtomicInteger ranges = new AtomicInteger();

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(Executors.newCachedThreadPool(Site.daemonThreads()));
        server.createContext("/", this::handle);
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes the value, or deletes the key if the value is null. The return is the acknowledgement. */
    synchronized void write(String key, String value) {
        long now = System.nanoTime() / 1_000_000;
        Item before = items.get(key);
        byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
        Item item = new Item(key, bytes, ++revision, before == null ? revision : before.created, now);
        if (value == null) items.remove(key);
        else items.put(key, item);
        history.addLast(item);
        while (now - history.peekFirst().atMillis > HISTORY_MILLIS) droppedUpTo = history.removeFirst().revision;
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            for (String pair : (text == null ? "" : text).split("&")) {
                int at = pair.indexOf('=');
                if (at > 0) query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
            if (delayMillis > 0) Thread.sleep(delayMillis);
            String body =
                switch (exchange.getRequestURI().getPath()) {
                    case "/api/kv-range" -> range(query);
                    case "/api/kv-watch" -> watch(query);
                    default -> null;
                };
            if (body == null) {
                exchange.sendResponseHeaders(exchange.getRequestURI().getPath().equals("/api/kv-watch") ? 410 : 404, -1);
                return;
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            if (exchange.getRequestURI().getPath().equals("/api/kv-range")) ranges.incrementAndGet();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String range(Map<String, String> query) {
        StringBuilder entries = new StringBuilder();
        int count = 0;
        int bytes = 0;
        boolean more = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key.startsWith(query.getOrDefault("path_prefix", ""))) continue;
            if (count > 0 && (count >= PAGE_ITEMS || bytes + item.value.length > PAGE_BYTES)) {
                more = true;
                break;
            }
            entries.append(count++ == 0 ? "" : ",").append(json(item));
            bytes += item.value.length;
        }
        return "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"at\":" + revision + "}";
    }

    /** Returns the events after the requested revision, or null if the history no longer has them. */
    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        if (after < droppedUpTo) return null;
        while (revision <= after) {
            long left = until - System.nanoTime() / 1_000_000;
            if (left <= 0) break;
            wait(left);
        }
        StringBuilder events = new StringBuilder();
        for (Item item : history) {
            if (item.revision > after) events.append(events.isEmpty() ? "" : ",").append(json(item));
        }
        return "{\"events\":[" + events + "],\"at\":" + revision + "}";
    }

    private static String json(Item item) {
        if (item.value == null) return "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision + ",\"deleted\":true}";
        String value = Base64.getEncoder().encodeToString(item.value);
        return "{\"key\":\"" + item.key + "\",\"value\":\"" + value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.created + ",\"lease\":0}";
    }
}
