import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** The platform's store: keeps items, lists them in pages and answers watches. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_CHARACTERS = 1_000_000;

    /** value is encoded as base64. */
    private record Item(String value, long revision, long created) {}

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<String[]> history = new ArrayList<>();
    private long revision = 10;

    /** Called with the path of each answered call, after the answer was written. */
    volatile java.util.function.Consumer<String> onAnswered = path -> {};

    Store() throws IOException {
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes value under key. Its return is the acknowledgement. */
    void write(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes value under key, or deletes key if value is null. Its return is the acknowledgement. */
    synchronized void write(String key, byte[] value) {
        revision++;
        Item before = items.get(key);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, new Item(Base64.getEncoder().encodeToString(value), revision, before == null ? revision : before.created));
        }
        history.add(new String[] {Long.toString(revision), json(key, items.get(key))});
        notifyAll();
    }

    private String json(String key, Item item) {
        if (item == null) return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
            + ",\"created\":" + item.created + ",\"lease\":0}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("store connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                Http.readBody(head, in);
                String path = head.target().replaceAll("\\?.*", "");
                String body = answer(path, head.target());
                byte[] bytes = Http.bytes(body == null ? "{}" : body);
                String status = body == null ? "404 Not Found" : "200 OK";
                out.write(Http.bytes("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
                onAnswered.accept(path);
            }
        }
    }

    private String answer(String path, String target) throws InterruptedException {
        String prefix = parameter(target, "path_prefix", "");
        return switch (path) {
            case "/api/kv-range" -> range(prefix, parameter(target, "after", ""));
            case "/api/kv-watch" -> watch(prefix, Long.parseLong(parameter(target, "after", "0")),
                Long.parseLong(parameter(target, "wait_ms", "0")));
            default -> null;
        };
    }

    private static String parameter(String target, String name, String otherwise) {
        int query = target.indexOf('?');
        if (query < 0) return otherwise;
        for (String pair : target.substring(query + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return otherwise;
    }

    private synchronized String range(String prefix, String after) {
        List<String> entries = new ArrayList<>();
        boolean more = false;
        int characters = 0;
        for (var entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) continue;
            if (entries.size() == PAGE_ITEMS || characters >= PAGE_CHARACTERS) {
                more = true;
                break;
            }
            entries.add(json(entry.getKey(), entry.getValue()));
            characters += entry.getValue().value.length();
        }
        return "{\"entries\":[" + String.join(",", entries) + "],\"has_more\":" + more + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long deadline = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (String[] event : history) {
                if (Long.parseLong(event[0]) > after && event[1].startsWith("{\"key\":\"" + prefix)) events.add(event[1]);
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            wait(left);
        }
    }
}
