import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer uploads before they have read the whole body, without a length: the answer ends with its connection. For
 * some seconds, half of the servers break off a few of their answers, by a reset of the connection.
 */
final class EarlyAnswer {
    private static final int SERVERS = 4;
    private static final int CLIENTS = 4;
    private static final long RUN_MILLIS = 10_000;
    private static final int UPLOAD_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 20_000;

    /** As in the site file: garble, how = "unframed", share 0.5, x = 0.05, for_s = 5.0. */
    private static final int FAULTY_SERVERS = 2;
    private static final int BROKEN_OFF_ONE_IN = 20;
    private static final long GARBLE_FROM_MILLIS = 2_000;
    private static final long GARBLE_FOR_MILLIS = 5_000;

    private static final byte[] ANSWER = "0123456789abcdef".repeat(ANSWER_BYTES / 16).getBytes(StandardCharsets.US_ASCII);
    private static final Map<String, String> brokenOff = new ConcurrentHashMap<>();
    private static final AtomicInteger requests = new AtomicInteger();
    private static volatile long garbledFrom = Long.MAX_VALUE / 2;

    public static void main(String[] arguments) throws Exception {
        int broken;
        try (Site site = new Site(Path.of(arguments[0], "record.txt"))) {
            broken = run(site);
        } catch (Exception failure) {
            Site.record("failed", "case", "-", failure.toString());
            System.exit(2);
            return;
        }
        System.out.println(broken + " of " + brokenOff.size() + " answers that were broken off looked complete to the client");
        System.exit(broken > 0 ? 1 : 0);
    }

    private static int run(Site site) throws Exception {
        for (int number = 0; number < SERVERS; number++) start(site, number);
        site.configure(1, List.of(Site.route("upload", "unsafe", "desk", 5_000, 1, false)),
            List.of(Site.service("desk")), List.of(Site.tenant("tenant", "key")));
        site.startGateways(2);
        garbledFrom = System.currentTimeMillis() + GARBLE_FROM_MILLIS;
        var clients = Executors.newCachedThreadPool(Site.daemonThreads());
        List<Future<Integer>> broken = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Gateway gateway = site.gateways.get(client % site.gateways.size());
            broken.add(clients.submit(() -> upload(gateway)));
        }
        int sum = 0;
        for (Future<Integer> each : broken) sum += each.get();
        return sum;
    }

    /** Sends one upload after another, and returns how many broken answers looked complete. */
    private static int upload(Gateway gateway) throws IOException {
        byte[] body = new byte[UPLOAD_BYTES];
        int broken = 0;
        long until = System.currentTimeMillis() + RUN_MILLIS;
        while (System.currentTimeMillis() < until) {
            String attempt = "upload-" + requests.incrementAndGet();
            try (Caller caller = new Caller(gateway.callers)) {
                caller.send("POST", "/upload/1", Site.HOST,
                    List.of("X-Attempt-Id: " + attempt, "X-Deadline-Ms: 5000", "Authorization: Bearer key"), body);
                Caller.Response response = caller.receive(5_500);
                boolean success = response.status() == 200 && response.complete();
                boolean mixed = success && response.body().length != ANSWER.length;
                if (mixed) broken++;
                Site.record(mixed ? "BROKEN" : "answered", gateway.name, attempt, "status " + response.status() + ", "
                    + response.body().length + " of " + ANSWER.length + " bytes, " + response.end()
                    + (brokenOff.containsKey(attempt) ? ", broken off by " + brokenOff.get(attempt) : ""));
            } catch (IOException closed) {
                Site.record("closed", gateway.name, attempt, closed.toString());
            }
        }
        return broken;
    }

    private static void start(Site site, int number) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(16 * 1024);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
        String id = "desk-" + number;
        site.add(new Upstream(id, "desk", Site.ZONES[number % 3], 6, "127.0.0.1:" + listener.getLocalPort()));
        AtomicInteger answers = new AtomicInteger();
        var connections = Executors.newCachedThreadPool(Site.daemonThreads());
        connections.submit(() -> {
            while (true) {
                Socket socket = listener.accept();
                connections.submit(() -> {
                    serve(socket, id, number < FAULTY_SERVERS, answers);
                    return null;
                });
            }
        });
    }

    private static void serve(Socket socket, String id, boolean faulty, AtomicInteger answers) throws Exception {
        try (socket) {
            InputStream input = socket.getInputStream();
            String head = readHead(input);
            String attempt = field(head, "X-Attempt-Id");
            if (attempt == null) return;
            Site.record("run", id, attempt, head.lines().findFirst().orElse(""));
            String start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Signature: " + id + "." + attempt
                + "\r\nConnection: close\r\n\r\n";
            boolean breaksOff = faulty && isGarbled() && answers.incrementAndGet() % BROKEN_OFF_ONE_IN == 0;
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(ANSWER, 0, breaksOff ? ANSWER.length / 2 : ANSWER.length);
            socket.getOutputStream().flush();
            if (breaksOff) {
                brokenOff.put(attempt, id);
                Site.record("reset", id, attempt, "after half of the answer");
                Thread.sleep(100);
                socket.setSoLinger(true, 0);
                return;
            }
            Thread.sleep(20);
            long left = Long.parseLong(field(head, "Content-Length"));
            byte[] buffer = new byte[64 * 1024];
            while (left > 0) {
                int count = input.read(buffer);
                if (count < 0) return;
                left -= count;
            }
        } catch (IOException closed) {
            Site.record("closed", id, "-", closed.toString());
        }
    }

    private static boolean isGarbled() {
        long since = System.currentTimeMillis() - garbledFrom;
        return Site.hasTrouble() && since >= 0 && since < GARBLE_FOR_MILLIS;
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) throw new IOException("no request");
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static String field(String head, String name) {
        return head.lines().filter(it -> it.regionMatches(true, 0, name + ":", 0, name.length() + 1))
            .map(it -> it.substring(name.length() + 1).trim()).findFirst().orElse(null);
    }
}
