import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Starved: tenants whose first chats fall into four seconds in which the engines reset a part of all requests. */
final class SoundPrompts {
    private static final int ENGINES = 8;
    private static final int TENANTS = 40;
    private static final int CHATS = 15;
    private static final int CHAT_INTERVAL_MILLIS = 1_400;

    /** As the day trouble-1 has it for srv_grey: share 1.0, x 0.45, for_s 4.0. */
    private static final double FAILING_PART = 0.45;
    private static final int TROUBLE_MILLIS = 4_000;

    private final Random random = new Random();
    private final AtomicInteger[] served = new AtomicInteger[TENANTS];
    private volatile long troubleUntil;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, (site, trouble) -> new SoundPrompts().holds(site, trouble));
    }

    private boolean holds(Site site, boolean trouble) throws Exception {
        for (int number = 0; number < ENGINES; number++) {
            site.server("engine-" + number, "engines", "abc".substring(number % 3, number % 3 + 1), this::stream);
        }
        site.configure(1, Configuration.small().tenants(TENANTS));
        site.startGateways(3);
        Threads.sleep(4_000);
        if (trouble) troubleUntil = nowMillis() + TROUBLE_MILLIS;
        site.record.line(trouble ? "the engines begin to reset 45 of 100 requests, for 4 s" : "the chats begin");
        List<Thread> tenants = new ArrayList<>();
        for (int number = 0; number < TENANTS; number++) {
            int tenant = number;
            served[tenant] = new AtomicInteger();
            tenants.add(Threads.start("tenant", () -> chat(site, tenant)));
        }
        for (Thread tenant : tenants) tenant.join();
        return judge(site);
    }

    /** An engine answers with five events, or resets the connection while it is in trouble. */
    private void stream(Server.Run run) throws Exception {
        if (nowMillis() < troubleUntil && random.nextDouble() < FAILING_PART) {
            run.reset();
            return;
        }
        run.startStream();
        for (int number = 1; number <= 5; number++) {
            run.event(number, "token");
            Threads.sleep(20);
        }
        run.endStream();
    }

    /** Sends the chats of one tenant. They share a general part and the tenant's own one. */
    private void chat(Site site, int tenant) throws Exception {
        Thread.sleep(random.nextInt(1_000));
        // The platform selects the gateway by a hash of the client.
        Gateway gateway = site.gateways.get(tenant % site.gateways.size());
        for (int number = 0; number < CHATS; number++) {
            long next = nowMillis() + CHAT_INTERVAL_MILLIS;
            String attempt = "tenant-" + tenant + "-chat-" + number;
            String result = answer(gateway, tenant, attempt);
            if (result.equals("200")) served[tenant].incrementAndGet();
            site.record.line(attempt + " at " + gateway.name + ": " + result);
            Thread.sleep(Math.max(0, next - nowMillis()));
        }
    }

    private static String answer(Gateway gateway, int tenant, String attempt) {
        String prompt = "X-Model: m\r\nX-Token-Usage: 2401,25\r\nX-Prefix-Hash: 5c1e07a2:341,7e4a" + tenant + ":1700,"
            + Integer.toHexString(attempt.hashCode()) + ":360\r\n";
        try (Caller caller = new Caller(gateway, Configuration.keyOf(tenant))) {
            caller.socket.setSoTimeout(15_000);
            caller.send("POST", "/chat/1", attempt, 15_000, prompt, Http.bytes("{}"));
            return Integer.toString(caller.receive().status());
        } catch (java.io.IOException cut) {
            return "cut: " + cut.getMessage();
        }
    }

    /** The rule: no tenant's requests are served less than a quarter as often as all. */
    private boolean judge(Site site) {
        int all = 0;
        for (AtomicInteger count : served) all += count.get();
        double overall = all / (double) (TENANTS * CHATS);
        site.record.say(all + " of " + TENANTS * CHATS + " chats of all tenants were served");
        boolean holds = true;
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            if (served[tenant].get() / (double) CHATS >= overall / 4) continue;
            holds = false;
            site.record.say("tenant " + tenant + ": " + served[tenant] + " of " + CHATS + " chats were served");
        }
        return holds;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
