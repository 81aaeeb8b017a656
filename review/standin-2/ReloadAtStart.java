/** Fault: SIGHUP, which announces changed settings, while a gateway starts. */
final class ReloadAtStart {
    private static final int GATEWAYS = 2;
    private static final int ROUNDS = 3;
    private static final int SIGNAL_AFTER_MILLIS = 150;

    private ReloadAtStart() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, ReloadAtStart::holds);
    }

    /** The rule: on two machines, processes end by themselves three times with no disruption there. */
    private static boolean holds(Site site, boolean trouble) throws Exception {
        site.server("desk-0", "desk", "a", run -> run.respond(200, Http.bytes("in stock")));
        site.configure(1, Configuration.small());
        site.startGateways(GATEWAYS);
        int machinesWithThreeEnds = 0;
        for (Gateway gateway : site.gateways) {
            if (endsOf(gateway, site.record, trouble) >= ROUNDS) machinesWithThreeEnds++;
        }
        site.record.say("on " + machinesWithThreeEnds + " of " + GATEWAYS + " machines the process ended " + ROUNDS + " times");
        return machinesWithThreeEnds < 2;
    }

    private static int endsOf(Gateway gateway, CaseRecord record, boolean trouble) throws Exception {
        int ends = 0;
        for (int round = 0; round < ROUNDS; round++) {
            gateway.signal("TERM");
            gateway.awaitEnd();
            gateway.start();
            record.line(gateway.name + " was stopped in order and starts again");
            Threads.sleep(SIGNAL_AFTER_MILLIS);
            if (trouble) {
                gateway.signal("HUP");
                record.line(gateway.name + " got SIGHUP " + SIGNAL_AFTER_MILLIS + " ms after its start");
            }
            Threads.sleep(1_000);
            if (gateway.isAlive()) {
                gateway.awaitReady();
                record.line(gateway.name + " is ready");
            } else {
                ends++;
                record.line(gateway.name + " ended by itself with status " + gateway.exitCode());
                gateway.start();
                gateway.awaitReady();
            }
        }
        return ends;
    }
}
