import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback: a store, servers and gateways. */
final class Site {
    final CaseRecord record;
    final Store store = new Store();
    final List<Server> servers = new ArrayList<>();
    final List<Gateway> gateways = new ArrayList<>();
    final Path root = Path.of("").toAbsolutePath();
    final Path directory = Files.createTempDirectory("primrosesill-review");
    final int gossipPort = Gateway.freeUdpPort();

    Site(CaseRecord record) throws Exception {
        this.record = record;
    }

    Server server(String id, String service, String zone, Server.Work work) throws Exception {
        Server server = new Server(id, service, zone, record, work);
        servers.add(server);
        store.write("servers/" + id, server.entry("ready"));
        return server;
    }

    void configure(int version, Configuration configuration) {
        store.write("op/config", configuration.json(version));
        record.line("the operator has written configuration " + version);
    }

    /** Starts gateways in turn in the zones a, b and c, the first three of which are seeds, and waits until they are ready. */
    void startGateways(int count) throws Exception {
        for (int number = 0; number < count; number++) {
            gateways.add(new Gateway("gateway-" + number, "127.0.0." + (2 + number), root, directory));
        }
        List<String> seeds = new ArrayList<>();
        for (Gateway gateway : gateways.subList(0, Math.min(3, count))) seeds.add(gateway.peerAddress);
        for (int number = 0; number < count; number++) {
            String zone = "abc".substring(number % 3, number % 3 + 1);
            gateways.get(number).writeSettings(zone, store.address(), seeds, gossipPort, true);
            gateways.get(number).start();
        }
        for (Gateway gateway : gateways) gateway.awaitReady();
        record.line(count + " gateways are ready");
    }

    void close() throws Exception {
        for (Gateway gateway : gateways) if (gateway != null) gateway.kill();
        try (var files = Files.walk(directory)) {
            for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) Files.delete(path);
        }
    }
}
