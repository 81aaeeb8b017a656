import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway process, started by the command of the deploy file. */
final class Gateway {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String SETTINGS_PATH = "/etc/primrosesill/node.json";

    final String name;
    final int callerPort = freePort();
    final int readinessPort = freePort();
    final int metricsPort = freePort();
    final String peerAddress;
    private final Path settings;
    private final Path log;
    private final Path root;
    private Process process;

    /** peerIp differs for each gateway of a fleet, as all use the same gossip port. */
    Gateway(String name, String peerIp, Path root, Path directory) throws IOException {
        this.name = name;
        this.root = root;
        peerAddress = peerIp + ":" + freePort();
        settings = directory.resolve(name + ".json");
        log = directory.resolve(name + ".log");
    }

    /** Writes the settings file in the layout of deploy/gateway-settings.json. */
    void writeSettings(String zone, String storeAddress, List<String> seeds, int gossipPort, boolean firstStart)
        throws IOException {
        List<String> quoted = new ArrayList<>();
        for (String seed : seeds) quoted.add("\"" + seed + "\"");
        Files.writeString(settings, "{\"name\":\"" + name + "\",\"availabilityZone\":\"" + zone
            + "\",\"callerAddress\":\"127.0.0.1:" + callerPort + "\",\"readinessAddress\":\"127.0.0.1:" + readinessPort
            + "\",\"peerAddress\":\"" + peerAddress + "\",\"metricsAddress\":\"127.0.0.1:" + metricsPort
            + "\",\"gossipPort\":" + gossipPort + ",\"platformAddress\":\"" + storeAddress + "\",\"peers\":["
            + String.join(",", quoted) + "],\"firstStart\":" + firstStart + ",\"retryRatio\":0.2,\"retryFixed\":56,"
            + "\"coldStartOverage\":1.5,\"drainMillis\":2000,\"platformFeatures\":[\"base\",\"drain\",\"config\",\"cost\","
            + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\"],\"coldStartTolerance\":5}");
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in the deploy file");
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) command.add(word.replace(SETTINGS_PATH, settings.toString()));
        process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Waits until the process has ended. */
    void awaitEnd() throws Exception {
        if (!process.waitFor(15, TimeUnit.SECONDS)) throw new Unable(name + " did not end");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Waits until the readiness address answers 200, as the platform asks once a second. */
    void awaitReady() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < deadline) {
            if (isReady()) return;
            if (!isAlive()) break;
            Thread.sleep(50);
        }
        throw new Unable(name + " did not become ready");
    }

    boolean isReady() {
        return get(readinessPort, "/api/readyz").startsWith("200");
    }

    String metrics() {
        return get(metricsPort, "/metrics");
    }

    /** Returns the status and the body, or an empty text if there is no answer. */
    static String get(int port, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(Http.bytes("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head == null ? "" : head.status() + " " + new String(Http.readBody(head, socket.getInputStream()));
        } catch (IOException unreachable) {
            return "";
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
