import java.nio.file.Path;

/** Runs one case, and exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. */
final class Case {
    private Case() {}

    interface Check {
        /** Plays the case and returns whether the rule held. trouble says whether the disruption takes place. */
        boolean holds(Site site, boolean trouble) throws Exception;
    }

    /** arguments holds the folder of the case. */
    static void run(String[] arguments, Check check) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
        record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        Site site = new Site(record);
        int status;
        try {
            boolean holds = check.holds(site, trouble);
            record.say(holds ? "the rule held" : "the rule was broken");
            status = holds ? 0 : 1;
        } catch (Exception fault) {
            record.say("the case could not run: " + fault);
            status = 2;
        }
        site.close();
        System.exit(status);
    }
}
