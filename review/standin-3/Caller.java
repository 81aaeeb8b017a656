import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request on a new connection. */
final class Caller {
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** The answer to one request; status 0 if the connection ended without one, and whole only if its framing says so. */
    record Answer(int status, String body, boolean whole, String signature) {}

    static Answer send(Gateways.Gateway gateway, String method, String target, String attempt, int deadlineMillis) {
        return send(gateway, method, target, attempt, deadlineMillis, "");
    }

    /** Sends a request with further header fields, each of them with its line end. */
    static Answer send(
        Gateways.Gateway gateway, String method, String target, String attempt, int deadlineMillis, String fields) {
        String request = requestOf(method, target, attempt, deadlineMillis, fields);
        try (Socket socket = new Socket(gateway.ip, gateway.callerPort)) {
            socket.setSoTimeout(deadlineMillis + 1_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return receive(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException exception) {
            return new Answer(0, exception.toString(), false, "");
        }
    }

    static String requestOf(String method, String target, String attempt, int deadlineMillis, String fields) {
        String body = method.equals("POST") ? "one tent" : "";
        return method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: "
            + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n" + fields + "Content-Length: " + body.length()
            + "\r\n\r\n" + body;
    }

    static Answer receive(BufferedInputStream input) throws IOException {
        Http.Head head = Http.readHead(input);
        if (head == null) return new Answer(0, "closed without an answer", false, "");
        int status = Integer.parseInt(head.word(1));
        String signature = head.field("x-server-signature");
        try {
            return new Answer(status, new String(Http.readBody(head, input), StandardCharsets.ISO_8859_1), true, signature);
        } catch (IOException exception) {
            return new Answer(status, exception.toString(), false, signature);
        }
    }

    private Caller() {}
}
