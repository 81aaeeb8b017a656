import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An HTTP/1.1 client on one connection. */
final class Caller implements AutoCloseable {
    /** A response; `complete` is false if the connection ended before the end of the body, and the status is 0 without a head. */
    record Response(int status, Map<String, String> fields, byte[] body, boolean complete, String end) {}

    /** Called after each read with the number of body bytes so far; may pause, as a client on a slow link does. */
    interface Pace {
        void read(int bytes) throws InterruptedException;
    }

    private final Socket socket = new Socket();
    private final InputStream input;

    Caller(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        input = socket.getInputStream();
    }

    void send(String method, String target, String host, List<String> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
        fields.forEach(it -> head.append(it).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) message.writeBytes(body);
        socket.getOutputStream().write(message.toByteArray());
        socket.getOutputStream().flush();
    }

    Response receive(int timeoutMillis) throws IOException {
        return receive(timeoutMillis, bytes -> {});
    }

    Response receive(int timeoutMillis, Pace pace) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Map<String, String> fields = new HashMap<>();
        int status = 0;
        try {
            socket.setSoTimeout(timeoutMillis);
            status = Integer.parseInt(line().split(" ")[1]);
            for (String line = line(); !line.isEmpty(); line = line()) {
                fields.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
            }
            if ("chunked".equals(fields.get("transfer-encoding"))) {
                for (int size = chunkSize(); size > 0; size = chunkSize()) {
                    copy(size, body, pace);
                    line();
                }
                line();
            } else {
                copy(Integer.parseInt(fields.getOrDefault("content-length", "0")), body, pace);
            }
            return new Response(status, fields, body.toByteArray(), true, "complete");
        } catch (IOException | InterruptedException end) {
            return new Response(status, fields, body.toByteArray(), false, end.toString());
        }
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(line().trim(), 16);
    }

    private void copy(int size, ByteArrayOutputStream body, Pace pace) throws IOException, InterruptedException {
        byte[] buffer = new byte[64 * 1024];
        for (int left = size; left > 0; ) {
            int count = input.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new IOException("the connection ended within the body");
            body.write(buffer, 0, count);
            left -= count;
            pace.read(body.size());
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) throw new IOException("the connection ended without a complete response");
            if (next != '\r') line.append((char) next);
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
