import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A sound server of a plain service. It answers 421 to a request for another instance, and otherwise runs it and answers with its
 * own id and that of the request.
 */
final class Server {
    final String id;
    final String service;
    final String zone;
    final Queue<String> ran = new ConcurrentLinkedQueue<>();

    /** When the requests in ran arrived, in milliseconds of the record. */
    final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final long born = System.currentTimeMillis();
    private final CaseRecord record;
    private int sequence;

    Server(String id, String service, String zone, CaseRecord record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
        Threads.start(id, () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start(id + "-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The entry that the server writes in each heartbeat, with all the fields of the page. */
    String entry() {
        return String.format(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"max_batch\":6,\"state\":\"ready\","
                + "\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%d}",
            service, address(), zone, ++sequence, born);
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(input);
                if (head == null) return;
                Http.readBody(head, input);
                output.write(answer(head).getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            }
        }
    }

    private String answer(Http.Head head) {
        String attempt = head.field("x-attempt-id");
        if (attempt.isEmpty()) return "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        String echo = "X-Attempt-Id: " + attempt + "\r\n";
        if (!head.field("x-expect-instance").equals(id)) {
            return "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        ran.add(attempt);
        arrivals.add(record.millis());
        record.line("server %s of %s runs %s %s %s", id, service, attempt, head.word(0), head.word(1));
        Threads.sleep(15);
        String body = id + " has run " + attempt;
        return "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Signature: " + id + "." + attempt + "\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body;
    }
}
