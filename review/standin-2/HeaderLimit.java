import java.util.ArrayList;
import java.util.List;

/** DENIED: requests on kept connections after a configuration has raised the limit of header bytes. */
final class HeaderLimit {
    private static final int CONNECTIONS = 20;
    private static final int RAISED_LIMIT = 32_768;
    private static final String LONG_FIELD = "X-Note: " + "n".repeat(20_000) + "\r\n";

    private HeaderLimit() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, HeaderLimit::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        site.server("desk-0", "desk", "a", run -> run.respond(200, Http.bytes("in stock")));
        site.configure(1, trouble ? Configuration.small() : Configuration.small().maximumHeaderBytes(RAISED_LIMIT));
        site.startGateways(1);
        Threads.sleep(3_500);
        Gateway gateway = site.gateways.get(0);
        List<Caller> kept = new ArrayList<>();
        for (int number = 0; number < CONNECTIONS; number++) {
            Caller caller = new Caller(gateway);
            int status = stock(caller, "short-" + number, "");
            if (status != 200) throw new Unable("a request with a short head got " + status);
            kept.add(caller);
        }
        site.record.line(CONNECTIONS + " connections are kept open");
        if (trouble) site.configure(2, Configuration.small().maximumHeaderBytes(RAISED_LIMIT));
        Threads.sleep(4_000);
        int denied = 0;
        for (int number = 0; number < CONNECTIONS; number++) {
            int onNew = stock(new Caller(gateway), "new-" + number, LONG_FIELD);
            int onKept = stock(kept.get(number), "kept-" + number, LONG_FIELD);
            site.record.line("head of 20 kB: " + onNew + " on a new connection, " + onKept + " on a kept one");
            if (onNew >= 400 && onNew < 500) denied++;
            if (onKept >= 400 && onKept < 500) denied++;
        }
        double allowed = 5 + 3 * CONNECTIONS / 500.0;
        site.record.say(denied + " proper requests were ended with a 4xx of the gateway, " + allowed + " are allowed");
        return denied <= allowed;
    }

    private static int stock(Caller caller, String attempt, String fields) throws Exception {
        caller.socket.setSoTimeout(3_000);
        caller.send("GET", "/stock/1", attempt, 1_500, fields, null);
        return caller.receive().status();
    }
}
