import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One gateway process, started with the command of the deploy file and with the settings that its template gives. */
final class Gateway implements AutoCloseable {
    final String name;
    final String callers;
    final String readiness;
    private final Path settings;
    private final Path log;
    private Process process;

    Gateway(String name, String zone, String peer, int gossipPort, List<String> peers, String store, Path folder) throws IOException {
        this.name = name;
        callers = Site.freeAddress("127.0.0.1");
        readiness = Site.freeAddress("127.0.0.1");
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        String list = String.join(",", peers.stream().map(it -> "\"" + it + "\"").toList());
        Files.writeString(settings, """
            {"name":"%s","availabilityZone":"%s","callerAddress":"%s","readinessAddress":"%s","peerAddress":"%s",
            "metricsAddress":"%s","gossipPort":%d,"platformAddress":"%s","peers":[%s],"firstStart":true,
            "retryRatio":0.2,"retryFixed":56,"coldStartOverage":1.5,"drainMillis":2000,"coldStartTolerance":5}
            """.formatted(name, zone, callers, readiness, peer, Site.freeAddress("127.0.0.1"), gossipPort, store, list));
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            for (String word : line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")) {
                command.add(word.startsWith("--settings=") ? "--settings=" + settings : word);
            }
        }
        process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        Site.record("start", name, "-", "process " + process.pid());
    }

    boolean isReady() {
        try (Caller caller = new Caller(readiness)) {
            caller.send("GET", "/api/readyz", "x", List.of(), null);
            return caller.receive(1_000).status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Kills the process, as a loss of power does, and prepares the settings for a start that is not the first one. */
    void kill() throws IOException, InterruptedException {
        Site.record("SIGKILL", name, "-", "process " + process.pid());
        process.destroyForcibly().waitFor();
        Files.writeString(settings, Files.readString(settings).replace("\"firstStart\":true", "\"firstStart\":false"));
    }

    void terminate() {
        Site.record("SIGTERM", name, "-", "process " + process.pid());
        process.destroy();
    }

    /** Returns the lines of the log that contain the text. */
    List<String> logged(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(it -> it.contains(text)).toList();
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
