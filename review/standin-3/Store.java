import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/** The platform's store, as far as gateways use it: range and watch, linearizable, with one counter of revisions. */
final class Store {
    /** A value is kept as base64 text; null stands for a deletion. */
    private record Change(String key, byte[] value, long revision, long atMillis) {}

    private static final int PAGE_ITEMS = 500;

    /** About 1 MB of values, in base64. */
    private static final int PAGE_BYTES = 1_400_000;

    /** history_s of the deployment. */
    private static final long HISTORY_MILLIS = 20_000;

    private final TreeMap<String, Change> items = new TreeMap<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private long revision = 1;
    private long dropped;
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
    void put(String key, String value) {
        putBase64(key, value == null ? null : Base64.getEncoder().encode(value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes a value that is given as base64 text. */
    synchronized void putBase64(String key, byte[] value) {
        Change change = new Change(key, value, ++revision, System.currentTimeMillis());
        if (value == null) items.remove(key); else items.put(key, change);
        history.add(change);
        while (history.peek().atMillis < change.atMillis - HISTORY_MILLIS) dropped = history.remove().revision;
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = new BufferedOutputStream(socket.getOutputStream(), 65_536);
            while (true) {
                Http.Head head = Http.readHead(input);
                if (head == null) return;
                String target = head.word(1);
                List<byte[]> body = target.startsWith("/api/kv-watch") ? watch(target) : range(target);
                write(output, body);
            }
        }
    }

    private static void write(OutputStream output, List<byte[]> body) throws IOException {
        long length = 0;
        for (byte[] part : body == null ? List.<byte[]>of() : body) length += part.length;
        String status = body == null ? "410 Gone" : "200 OK";
        String head = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n";
        output.write(bytes(head));
        for (byte[] part : body == null ? List.<byte[]>of() : body) output.write(part);
        output.flush();
    }

    private synchronized List<byte[]> range(String target) {
        List<byte[]> body = new ArrayList<>(List.of(bytes("{\"entries\":[")));
        int count = 0;
        int size = 0;
        boolean hasMore = false;
        for (Change item : items.tailMap(parameter(target, "after"), false).values()) {
            if (count > 0 && (count == PAGE_ITEMS || size + item.value.length > PAGE_BYTES)) {
                hasMore = true;
                break;
            }
            size += item.value.length;
            addJson(body, item, count++ > 0);
        }
        body.add(bytes("],\"has_more\":" + hasMore + ",\"at\":" + revision + "}"));
        return body;
    }

    /** Returns all changes after the given revision, or null if they are no longer kept. */
    private synchronized List<byte[]> watch(String target) throws InterruptedException {
        long after = Long.parseLong(parameter(target, "after"));
        long end = System.currentTimeMillis() + Long.parseLong(parameter(target, "wait_ms"));
        if (after < dropped) return null;
        while (revision <= after && System.currentTimeMillis() < end) wait(Math.max(1, end - System.currentTimeMillis()));
        ArrayDeque<Change> events = new ArrayDeque<>();
        for (Iterator<Change> newest = history.descendingIterator(); newest.hasNext(); ) {
            Change change = newest.next();
            if (change.revision <= after) break;
            events.addFirst(change);
        }
        List<byte[]> body = new ArrayList<>(List.of(bytes("{\"events\":[")));
        boolean hasEarlier = false;
        for (Change change : events) {
            addJson(body, change, hasEarlier);
            hasEarlier = true;
        }
        body.add(bytes("],\"at\":" + revision + "}"));
        return body;
    }

    private static String parameter(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
        return "";
    }

    private static void addJson(List<byte[]> body, Change change, boolean hasEarlier) {
        String head = (hasEarlier ? "," : "") + "{\"key\":\"" + change.key + "\",\"revision\":" + change.revision;
        if (change.value == null) {
            body.add(bytes(head + ",\"deleted\":true}"));
            return;
        }
        body.add(bytes(head + ",\"created\":1,\"lease\":0,\"value\":\""));
        body.add(change.value);
        body.add(bytes("\"}"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
