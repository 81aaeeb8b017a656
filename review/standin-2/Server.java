import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One server of a service. How it answers a request that it runs is given by its work. */
final class Server {
    /** One request that runs. */
    record Run(String attempt, Http.Head head, Server server, Socket socket, OutputStream out) {
        /** Answers with status and body, and keeps the connection. */
        void respond(int status, byte[] body) throws IOException {
            out.write(Http.bytes("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Signature: "
                + server.id + "." + attempt + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
            out.write(body);
            out.flush();
        }

        void startStream() throws IOException {
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Signature: " + server.id + "." + attempt + "\r\nX-Server-Load: "
                + server.sockets.size() + ",0,96\r\nTransfer-Encoding: chunked\r\n\r\n"));
            out.flush();
        }

        void event(int number, String data) throws IOException {
            byte[] bytes = Http.bytes("id: " + number + "\ndata: " + data + "\n\n");
            out.write(Http.bytes(Integer.toHexString(bytes.length) + "\r\n"));
            out.write(bytes);
            out.write(Http.bytes("\r\n"));
            out.flush();
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void endStream() throws IOException {
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
        }
    }

    interface Work {
        void run(Run run) throws Exception;
    }

    final String id;
    final String service;
    final String zone;
    private final Work work;
    private final CaseRecord record;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private int port;

    Server(String id, String service, String zone, CaseRecord record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.record = record;
        this.work = work;
        listen();
    }

    private synchronized void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
        port = socket.getLocalPort();
        listener = socket;
        Threads.start(id, () -> accept(socket));
    }

    /** Crashes: its port refuses connections and all open ones are reset. */
    synchronized void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Starts again at the address that it had. */
    synchronized void restart() throws IOException {
        listen();
    }

    String entry(String state) {
        int slots = service.equals("desk") ? 6 : 96;
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"max_batch\":" + slots + ",\"state\":\"" + state
            + "\",\"warmup_left_ms\":0,\"phase\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"sequence\":1}";
    }

    private void accept(ServerSocket from) throws IOException {
        while (true) {
            Socket socket = from.accept();
            sockets.add(socket);
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = new java.io.BufferedOutputStream(socket.getOutputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                Http.readBody(head, in);
                serve(head, socket, out);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private void serve(Http.Head head, Socket socket, OutputStream out) throws Exception {
        String attempt = head.field("X-Attempt-Id");
        if (attempt == null) {
            String text = head.target().startsWith("/api/kv-list") ? "{\"epoch\":1,\"next_token\":0,\"held\":[]}" : "{}";
            out.write(Http.bytes("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: " + text.length()
                + "\r\n\r\n" + text));
            out.flush();
            return;
        }
        if (!id.equals(head.field("X-Expect-Instance"))) {
            out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + attempt + "\r\nX-Instance-Id: "
                + id + "\r\nContent-Length: 0\r\n\r\n"));
            out.flush();
            return;
        }
        record.line("server " + id + " receives " + attempt + " " + head.method() + " " + head.target());
        work.run(new Run(attempt, head, this, socket, out));
    }
}
