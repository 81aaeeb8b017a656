import java.util.ArrayList;
import java.util.List;

/** LOST: SIGTERM while clients on an ordinary network receive long answers. */
final class StopWhileSending {
    private static final int CLIENTS = 20;

    /** Rates at which the clients read, which differ a little, in bytes per second. */
    private static final int LOWEST_RATE = 90_000;
    private static final int RATE_STEP = 1_300;

    /** Time that each client takes for its answer. */
    private static final double SECONDS = 6.5;

    private StopWhileSending() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, StopWhileSending::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        site.server("desk-0", "desk", "a", run -> {
            int size = Integer.parseInt(run.head().target().replaceAll(".*/", ""));
            run.respond(200, "x".repeat(size).getBytes());
            site.record.line("server desk-0 has sent the answer to " + run.attempt());
        });
        site.configure(1, Configuration.small().route("report", "safe", "desk", 15_000, 500, 2, false));
        site.startGateways(1);
        Threads.sleep(3_500);
        Gateway gateway = site.gateways.get(0);
        List<Process> readers = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            readers.add(startReader(gateway, LOWEST_RATE + number * RATE_STEP));
        }
        Threads.sleep(500);
        if (trouble) {
            gateway.signal("TERM");
            site.record.line("SIGTERM, 0.5 s after the requests were sent");
        }
        int cut = 0;
        for (Process reader : readers) {
            String result = new String(reader.getInputStream().readAllBytes()).trim();
            if (reader.waitFor() == 2) throw new Unable("a reader failed: " + result);
            if (reader.exitValue() == 1) cut++;
            site.record.line(result);
        }
        site.record.say(cut + " of " + CLIENTS + " answers were cut");
        return cut == 0;
    }

    private static Process startReader(Gateway gateway, int rate) throws Exception {
        int size = (int) (rate * SECONDS);
        return new ProcessBuilder("python3", "review/standin-2/slow_reader.py", Integer.toString(gateway.callerPort),
            Integer.toString(size), Integer.toString(rate), Configuration.KEY).redirectErrorStream(true).start();
    }
}
