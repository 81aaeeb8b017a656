import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: each line with the milliseconds since the start of the case. */
final class CaseRecord implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter file;

    CaseRecord(Path folder) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        file.printf("%6d ms  %s%n", millis(), String.format(format, arguments));
        file.flush();
    }

    /** Writes a line to the record and to standard output. */
    void result(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public void close() {
        file.close();
    }
}
