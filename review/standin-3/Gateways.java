import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateways as processes of their own, started with the command of deploy/system.toml on loopback addresses. */
final class Gateways implements AutoCloseable {
    /** One gateway. Gossip uses the same port everywhere, so that each gateway has an IP address of its own. */
    final class Gateway {
        final String ip;
        final int callerPort;
        final int readinessPort;
        final String peerAddress;
        final Path settings;
        final Path log;
        final String zone;
        Process process;

        Gateway(int number, String zone) throws IOException {
            ip = "127.0.0." + (number + 2);
            this.zone = zone;
            callerPort = freePort(ip);
            readinessPort = freePort(ip);
            peerAddress = ip + ":" + freePort(ip);
            settings = folder.resolve("gateway-" + number + ".json");
            log = folder.resolve("gateway-" + number + ".log");
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String word : runCommand().split(" ")) {
                command.add(word.startsWith("--settings=") ? "--settings=" + settings : word);
            }
            process =
                new ProcessBuilder(command)
                    .directory(repository.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            Processes.endWithCase(process);
        }

        /** Asks the readiness address as the platform does. */
        boolean isReady() {
            try {
                HttpURLConnection call =
                    (HttpURLConnection) URI.create("http://" + ip + ":" + readinessPort + "/api/readyz").toURL().openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        private void writeSettings(String storeAddress, List<String> seeds, int gossipPort) throws IOException {
            Files.writeString(
                settings,
                String.format(
                    """
                    {"name": "edge-%s-1", "availabilityZone": "%s", "callerAddress": "%s:%d", "readinessAddress": "%s:%d",
                     "peerAddress": "%s", "metricsAddress": "%s:%d", "gossipPort": %d, "platformAddress": "%s",
                     "peers": ["%s"], "firstStart": true, "retryRatio": 0.2, "retryFixed": 56, "coldStartOverage": 1.5,
                     "drainMillis": 2000,
                     "platformFeatures": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                       "places", "platform"],
                     "coldStartTolerance": 5}
                    """,
                    zone, zone, ip, callerPort, ip, readinessPort, peerAddress, ip, freePort(ip), gossipPort, storeAddress,
                    String.join("\", \"", seeds)));
        }
    }

    final List<Gateway> all = new ArrayList<>();
    private final Path repository = Path.of(System.getProperty("repository"));
    private final Path folder = Files.createTempDirectory("review-3");

    /** Starts one gateway in each of zones, and waits until all are ready. */
    Gateways(Store store, List<String> zones) throws IOException {
        for (int number = 0; number < zones.size(); number++) all.add(new Gateway(number, zones.get(number)));
        List<String> seeds = all.stream().map(gateway -> gateway.peerAddress).limit(3).toList();
        int gossipPort = freePort("127.0.0.1");
        for (Gateway gateway : all) {
            gateway.writeSettings(store.address(), seeds, gossipPort);
            gateway.start();
        }
        long end = System.currentTimeMillis() + 30_000;
        for (Gateway gateway : all) {
            while (!gateway.isReady()) {
                if (System.currentTimeMillis() > end) {
                    close();
                    throw new Unable("gateway " + gateway.ip + " is not ready after 30 s, see " + gateway.log);
                }
                Threads.sleep(50);
            }
        }
        // The member lists settle within three seconds.
        Threads.sleep(3_500);
    }

    private String runCommand() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!matcher.find()) throw new Unable("no run command in deploy/system.toml");
        return matcher.group(1);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Kills the gateways and removes their files. */
    @Override
    public void close() {
        for (Gateway gateway : all) if (gateway.process != null) gateway.process.destroyForcibly();
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        } catch (IOException exception) {
            System.out.println("cannot remove " + folder + ": " + exception);
        }
    }
}
