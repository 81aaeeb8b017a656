import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound model server. It runs max_batch requests at a time, queues a few more, and answers 503 with X-Not-Executed to those beyond.
 * Its streams are sent in chunks. It goes on at Last-Event-Id.
 */
final class Engine {
    static final int MAX_BATCH = 5;
    static final int QUEUE = 2;
    private static final long EVENT_MILLIS = 100;

    final String id;
    final String zone;
    private final AtomicInteger accepted = new AtomicInteger();
    private final Semaphore slots = new Semaphore(MAX_BATCH, true);
    final AtomicInteger rejected = new AtomicInteger();

    /** Requests that it ran, with the last event that it could write. */
    final Map<String, Integer> lastEvents = new ConcurrentHashMap<>();

    /** How long a stream rests once, after its fourth event, as its request is preempted and read in again. */
    volatile long preemptionMillis;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final long born = System.currentTimeMillis();
    private final CaseRecord record;
    private int sequence;

    Engine(String id, String zone, CaseRecord record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.record = record;
        Threads.start(id, () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start(id + "-connection", () -> serve(socket));
            }
        });
    }

    String entry(String service) {
        return String.format(
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"max_batch\":%d,\"state\":\"ready\","
                + "\"warmup_left_ms\":0,\"phase\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                + "\"sequence\":%d,\"born\":%d}",
            service, listener.getLocalPort(), zone, MAX_BATCH, ++sequence, born);
    }

    static String eventOf(String attempt, int event) {
        return "id: " + event + "\ndata: " + attempt + " piece " + event + "\n\n";
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(input);
                if (head == null) return;
                Http.readBody(head, input);
                answer(head, output);
            }
        }
    }

    private void answer(Http.Head head, OutputStream output) throws Exception {
        String attempt = head.field("x-attempt-id");
        String echo = "X-Attempt-Id: " + attempt + "\r\n";
        if (attempt.isEmpty()) {
            write(output, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (!head.field("x-expect-instance").equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (accepted.incrementAndGet() > MAX_BATCH + QUEUE) {
            accepted.decrementAndGet();
            rejected.incrementAndGet();
            record.line("engine %s is full and rejects %s", id, attempt);
            write(output, "HTTP/1.1 503 Service Unavailable\r\n" + echo + load() + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            try {
                run(head, attempt, echo, output);
            } catch (IOException exception) {
                record.line("engine %s drops %s after event %s, as its connection was closed", id, attempt, lastEvents.get(attempt));
                throw exception;
            } finally {
                accepted.decrementAndGet();
            }
        }
    }

    /** Waits for a slot until the deadline of the request, and runs it. */
    private void run(Http.Head head, String attempt, String echo, OutputStream output) throws Exception {
        if (!slots.tryAcquire(Long.parseLong(head.field("x-deadline-ms")), TimeUnit.MILLISECONDS)) {
            write(output, "HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        try {
            record.line("engine %s runs %s", id, attempt);
            stream(head, attempt, echo, output);
            record.line("engine %s has ended %s", id, attempt);
        } finally {
            slots.release();
        }
    }

    private void stream(Http.Head head, String attempt, String echo, OutputStream output) throws Exception {
        int events = Integer.parseInt(head.field("x-token-usage").split(",")[1]);
        String last = head.field("last-event-id");
        write(output, "HTTP/1.1 200 OK\r\n" + echo + load() + "X-Server-Signature: " + id + "." + attempt
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Thread.sleep(EVENT_MILLIS);
            if (event == 5 && preemptionMillis > 0) {
                record.line("engine %s preempts %s for %d ms", id, attempt, preemptionMillis);
                Thread.sleep(preemptionMillis);
            }
            String text = eventOf(attempt, event);
            write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            lastEvents.put(attempt, event);
        }
        write(output, "0\r\n\r\n");
    }

    private String load() {
        int running = MAX_BATCH - slots.availablePermits();
        return "X-Server-Load: " + running + "," + Math.max(0, accepted.get() - running) + "," + MAX_BATCH + "\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
