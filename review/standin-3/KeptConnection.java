import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A new version of the configuration raises the limit on the header fields of a request. Requests within the new limit must be
 * served also on connections that were opened before.
 */
final class KeptConnection {
    private static final String SERVICE = "hema-desk";
    private static final List<String> ZONES = List.of("arusha-a", "arusha-b", "arusha-c");
    private static final int CLIENTS = 30;
    private static final int OLD_LIMIT = 8_192;
    private static final int NEW_LIMIT = 16_384;
    private static final int LONG_FIELD = 11_000;
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** Longer than config_apply_ms, which is 2,000, and shorter than four fifths of idle_timeout_ms, which is 15,000. */
    private static final long AFTER_CHANGE_MILLIS = 4_000;

    /** A client that keeps its connection. */
    private static final class Client {
        private final Socket socket;
        private final BufferedInputStream input;

        Client(Gateways.Gateway gateway) throws IOException {
            socket = new Socket(gateway.ip, gateway.callerPort);
            socket.setSoTimeout(3_000);
            input = new BufferedInputStream(socket.getInputStream());
        }

        Caller.Answer send(String attempt, String fields) {
            String request = Caller.requestOf("GET", "/stock/2f", attempt, 1_500, fields);
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                return Caller.receive(input);
            } catch (IOException exception) {
                return new Caller.Answer(0, exception.toString(), false, "");
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
            System.exit(new KeptConnection(record).run(trouble) ? 1 : 0);
        } catch (Unable unable) {
            System.out.println("could not run: " + unable.getMessage());
            System.exit(2);
        }
    }

    private final CaseRecord record;
    private final Store store = new Store();
    private final List<Server> servers = new ArrayList<>();
    private int requests;

    private KeptConnection(CaseRecord record) throws Exception {
        this.record = record;
        for (int number = 0; number < 3; number++) servers.add(new Server("i-7f3a91c" + number, SERVICE, ZONES.get(number), record));
        heartbeat();
        Threads.start("heartbeats", () -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                heartbeat();
            }
        });
    }

    private synchronized void heartbeat() {
        for (Server server : servers) store.put("servers/" + server.id, server.entry());
    }

    private void configure(int version, int limit) {
        String routes = Configuration.route("stock", "safe", SERVICE, 2);
        store.put("op/config", Configuration.of(version, routes, Configuration.service(SERVICE), limit));
        record.line("version %d is acknowledged, max_header_bytes %d", version, limit);
    }

    /** Returns whether the rule was broken. */
    private boolean run(boolean trouble) throws Exception {
        configure(7, trouble ? OLD_LIMIT : NEW_LIMIT);
        try (Gateways gateways = new Gateways(store, ZONES)) {
            List<Client> kept = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) kept.add(new Client(gateways.all.get(number % ZONES.size())));
            int served = sendAll(kept, "");
            if (served < CLIENTS) throw new Unable("only " + served + " of the first requests were served");
            configure(11, NEW_LIMIT);
            Threads.sleep(AFTER_CHANGE_MILLIS);
            String fields = "Cookie: " + "c".repeat(LONG_FIELD) + "\r\n";
            int servedKept = sendAll(kept, fields);
            List<Client> opened = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) opened.add(new Client(gateways.all.get(number % ZONES.size())));
            int servedNew = sendAll(opened, fields);
            return report(CLIENTS - servedKept, CLIENTS - servedNew);
        }
    }

    /** Sends one request of each client, and returns how many were served. */
    private int sendAll(List<Client> clients, String fields) {
        int served = 0;
        for (Client client : clients) {
            String attempt = String.format("9c41d07be2a3%04x", ++requests);
            Caller.Answer answer = client.send(attempt, fields);
            record.line("sent %s with %d bytes of further header fields, answered %d", attempt, fields.length(), answer.status());
            if (answer.status() == 200) served++;
        }
        return served;
    }

    private boolean report(int deniedKept, int deniedNew) {
        double allowed = 5 + requests / 500.0;
        record.result("of %d requests each: %d denied on kept connections, %d on new ones; all versions in force allow them", CLIENTS,
            deniedKept, deniedNew);
        boolean isBroken = deniedKept + deniedNew > allowed;
        record.result(isBroken ? "broken: DENIED, more than %.2f" : "held, at most %.2f", allowed);
        return isBroken;
    }
}
