import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;

/** The platform's store, as far as gateways use it: range and watch, linearizable, with one counter of revisions. */
final class Store {
    private record Change(String key, String value, long revision) {}

    private final TreeMap<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));

    Store() throws IOException {
        Threads.start("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("store-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes value under key, or deletes the key if value is null. The return is the acknowledgement. */
    synchronized void put(String key, String value) {
        Change change = new Change(key, value, ++revision);
        if (value == null) items.remove(key); else items.put(key, change);
        history.add(change);
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(input);
                if (head == null) return;
                byte[] body = answer(head.word(1)).getBytes(StandardCharsets.UTF_8);
                String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
                output.write(answer.getBytes(StandardCharsets.UTF_8));
                output.write(body);
                output.flush();
            }
        }
    }

    private String answer(String target) throws InterruptedException {
        return target.startsWith("/api/kv-watch") ? watch(target) : range(target);
    }

    private synchronized String range(String target) {
        String after = parameter(target, "after");
        List<String> entries = new ArrayList<>();
        for (Change item : items.tailMap(after, false).values()) entries.add(json(item));
        return "{\"entries\":[" + String.join(",", entries) + "],\"has_more\":false,\"at\":" + revision + "}";
    }

    private synchronized String watch(String target) throws InterruptedException {
        long after = Long.parseLong(parameter(target, "after"));
        long end = System.currentTimeMillis() + Long.parseLong(parameter(target, "wait_ms"));
        while (revision <= after && System.currentTimeMillis() < end) wait(Math.max(1, end - System.currentTimeMillis()));
        List<String> events = new ArrayList<>();
        for (Change change : history) if (change.revision > after) events.add(json(change));
        return "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
    }

    private static String parameter(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
        return "";
    }

    private static String json(Change change) {
        String head = "{\"key\":\"" + change.key + "\",\"revision\":" + change.revision;
        if (change.value == null) return head + ",\"deleted\":true}";
        String value = Base64.getEncoder().encodeToString(change.value.getBytes(StandardCharsets.UTF_8));
        return head + ",\"value\":\"" + value + "\",\"created\":1,\"lease\":0}";
    }
}
