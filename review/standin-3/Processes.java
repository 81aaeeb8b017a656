/** Processes that a case has started. */
final class Processes {
    /** Kills process when the case ends, also by a signal. */
    static void endWithCase(Process process) {
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private Processes() {}
}
