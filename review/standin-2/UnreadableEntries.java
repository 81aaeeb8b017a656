import java.util.concurrent.atomic.AtomicInteger;

/** RECOVER: all processes are killed while the store holds entries of another writer that cannot be read. */
final class UnreadableEntries {
    private static final int GATEWAYS = 3;

    /** Entries of just under value_bytes, which is 1,048,576. */
    private static final int ENTRIES = 13;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int REQUESTS = 30;

    private final AtomicInteger attempts = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, (site, trouble) -> new UnreadableEntries().holds(site, trouble));
    }

    private boolean holds(Site site, boolean trouble) throws Exception {
        for (int number = 0; number < 3; number++) {
            site.server("desk-" + number, "desk", "abc".substring(number, number + 1), run -> run.respond(200, Http.bytes("ok")));
        }
        site.configure(1, Configuration.small());
        site.startGateways(GATEWAYS);
        Threads.sleep(3_500);
        site.record.line("before the entries: " + servedPart(site) + " of the requests served");
        for (int number = 0; trouble && number < ENTRIES; number++) {
            site.store.write("servers/i-other" + number, "\u0001".repeat(ENTRY_BYTES));
            Threads.sleep(200);
        }
        site.record.line((trouble ? ENTRIES : 0) + " entries of another writer are in the store, " + ENTRY_BYTES + " bytes each");
        Threads.sleep(3_500);
        double before = servedPart(site);
        site.record.say("before the final fault: " + before + " of the requests served");
        for (Gateway gateway : site.gateways) gateway.kill();
        Threads.sleep(1_000);
        for (Gateway gateway : site.gateways) gateway.start();
        site.record.line("all processes were killed and are started again");
        Threads.sleep(RECOVERY_MILLIS + 500);
        double after = servedPart(site);
        site.record.say("later than recovery_s after the final fault: " + after + " of the requests served");
        for (Gateway gateway : site.gateways) {
            site.record.line(gateway.name + (gateway.isReady() ? " is ready" : " is not ready") + lastPlatformError(gateway));
        }
        return before < 0.25 || after >= 0.25;
    }

    private double servedPart(Site site) {
        int served = 0;
        for (int number = 0; number < REQUESTS; number++) {
            Gateway gateway = site.gateways.get(number % GATEWAYS);
            String attempt = "stock-" + attempts.incrementAndGet();
            int status = 0;
            try (Caller caller = new Caller(gateway)) {
                caller.socket.setSoTimeout(3_000);
                caller.send("GET", "/stock/1", attempt, 1_500, "", null);
                status = caller.receive().status();
            } catch (java.io.IOException failed) {
                site.record.line(attempt + " at " + gateway.name + ": " + failed.getMessage());
            }
            if (status == 200) served++;
            else site.record.line(attempt + " at " + gateway.name + ": " + status);
            Threads.sleep(30);
        }
        return served / (double) REQUESTS;
    }

    private static String lastPlatformError(Gateway gateway) throws java.io.IOException {
        String last = "";
        for (String line : gateway.log().split("\n")) if (line.contains("\"platform-lost\"")) last = "; " + line;
        return last;
    }
}
