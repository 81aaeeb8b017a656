import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run of a case: each line with the seconds since its start. */
final class CaseRecord {
    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    CaseRecord(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        file.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }

    /** Writes text to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
