import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a socket and writes them. */
final class Http {
    private Http() {}

    /** The head of a message: its first line and its fields, in their order. */
    record Head(String line, List<String[]> fields) {
        String field(String name) {
            for (String[] field : fields) {
                if (field[0].equalsIgnoreCase(name)) return field[1];
            }
            return null;
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    /** Returns the next head, or null if the connection ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        List<String[]> fields = new ArrayList<>();
        while (true) {
            String field = readLine(in);
            if (field == null) throw new EOFException("the connection ended within a head");
            if (field.isEmpty()) return new Head(line, fields);
            int colon = field.indexOf(':');
            fields.add(new String[] {field.substring(0, colon).trim(), field.substring(colon + 1).trim()});
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Reads the body that follows head, by its length or its chunks. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        String encoding = head.field("Transfer-Encoding");
        if (encoding != null && encoding.equalsIgnoreCase("chunked")) return readChunks(in);
        String length = head.field("Content-Length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended between two chunks");
            int size = Integer.parseInt(line.trim(), 16);
            if (size == 0) {
                readLine(in);
                return body.toByteArray();
            }
            body.write(readExactly(in, size));
            readLine(in);
        }
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException(bytes.length + " of " + length + " bytes received");
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
