import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 parser for the stand-ins of this review. */
final class Http {
    /** The head of a request or a response: its first line and its fields, with names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        String word(int index) {
            String[] words = firstLine.split(" ");
            return index < words.length ? words[index] : "";
        }
    }

    /** Returns the next head, or null if the connection ended before its first byte. */
    static Head readHead(BufferedInputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) return null;
        Map<String, String> fields = new TreeMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) return new Head(first, fields);
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Returns the body that [head] announces by a length or by chunks. */
    static byte[] readBody(Head head, InputStream input) throws IOException {
        if (!head.field("transfer-encoding").equals("chunked")) {
            String length = head.field("content-length");
            return exactly(input, length.isEmpty() ? 0 : Integer.parseInt(length));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(input);
            if (line == null) throw new EOFException("the connection ended before the last chunk");
            int size = Integer.parseInt(line.trim(), 16);
            if (size > 0) body.write(exactly(input, size));
            readLine(input);
            if (size == 0) return body.toByteArray();
        }
    }

    private static byte[] exactly(InputStream input, int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) throw new EOFException(bytes.length + " of " + count + " bytes");
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
    }

    private Http() {}
}
