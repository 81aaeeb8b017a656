import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A sound server as a process of its own. Its answers have no length and end with their connections. It prints its address, and the id
 * of each request that it runs. With the argument "stream" it answers with events, otherwise with a body in two halves.
 */
final class UnframedServer {
    /** Time before the first and before the second half of an answer. */
    private static final long HALF_MILLIS = 100;
    static final int EVENTS = 12;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long EVENT_MILLIS = 150;

    public static void main(String[] arguments) throws Exception {
        String id = arguments[0];
        boolean streams = arguments.length > 1 && arguments[1].equals("stream");
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        System.out.println("address 127.0.0.1:" + listener.getLocalPort());
        while (true) {
            Socket socket = listener.accept();
            Threads.start("connection", () -> serve(id, streams, socket));
        }
    }

    /** The whole answer to a request. */
    static String bodyOf(String id, String attempt) {
        return "begin " + id + " " + attempt + " " + "x".repeat(700) + " end";
    }

    private static void serve(String id, boolean streams, Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head = Http.readHead(input);
            if (head == null) return;
            Http.readBody(head, input);
            String attempt = head.field("x-attempt-id");
            String echo = "X-Attempt-Id: " + attempt + "\r\nConnection: close\r\n";
            if (!head.field("x-expect-instance").equals(id)) {
                write(output, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            System.out.println("runs " + attempt);
            String start = "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Signature: " + id + "." + attempt + "\r\n";
            if (streams) {
                String last = head.field("last-event-id");
                writeEvents(output, start, attempt, last.isEmpty() ? 1 : Integer.parseInt(last) + 1);
                return;
            }
            Thread.sleep(HALF_MILLIS);
            String body = bodyOf(id, attempt);
            start += "\r\n";
            write(output, start + body.substring(0, body.length() / 2));
            Thread.sleep(HALF_MILLIS);
            write(output, body.substring(body.length() / 2));
        }
    }

    /** Writes the events from the one with the id first on, each of them at once. */
    private static void writeEvents(OutputStream output, String start, String attempt, int first) throws Exception {
        for (int event = first; event <= EVENTS; event++) {
            Thread.sleep(event == first ? FIRST_EVENT_MILLIS : EVENT_MILLIS);
            if (event == first) write(output, start + "Content-Type: text/event-stream\r\n\r\n");
            write(output, eventOf(attempt, event));
        }
    }

    static String eventOf(String attempt, int event) {
        return "id: " + event + "\ndata: " + attempt + " piece " + event + "\n\n";
    }

    private static void write(OutputStream output, String text) throws Exception {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
