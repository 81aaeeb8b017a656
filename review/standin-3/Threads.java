/** Daemon threads whose bodies may throw: a connection that ends is no error of a stand-in. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception expected) {
                // The other side has closed its connection, or the case has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private Threads() {}
}
