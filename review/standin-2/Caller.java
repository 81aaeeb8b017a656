import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One connection of a client to a gateway. */
final class Caller implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;
    private final String key;

    Caller(Gateway gateway) throws IOException {
        this(gateway, Configuration.KEY);
    }

    Caller(Gateway gateway, String key) throws IOException {
        this.key = key;
        socket.connect(new InetSocketAddress("127.0.0.1", gateway.callerPort), 1_000);
        socket.setTcpNoDelay(true);
        in = new java.io.BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request; fields are further lines of its head, each with its line end. */
    void send(String method, String path, String attempt, long deadlineMillis, String fields, byte[] body) throws IOException {
        String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
        out.write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + fields
            + length + "\r\n"));
        if (body != null) out.write(body);
        out.flush();
    }

    /** Reads a whole answer and returns its head; throws if it is incomplete. */
    Http.Head receive() throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) throw new java.io.EOFException("the connection ended without an answer");
        Http.readBody(head, in);
        return head;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
