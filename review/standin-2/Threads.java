import java.io.IOException;

/** Starts threads that end with the process. */
final class Threads {
    private Threads() {}

    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException expected) {
                // A peer that closes or resets its connection ends the thread that serves it.
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            } catch (Exception fault) {
                fault.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
