package kit;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
public final class Http {
    private Http() {}

    /** A request that has arrived whole. */
    public static final class Request {
        public String method;
        public String target;
        public Map<String, String> fields;
        public byte[] body;
        public double firstByteAt;
        public double lastByteAt;

        public String id() {
            return fields.getOrDefault("req-id", "");
        }
    }

    /** What came back for a request; a status of 0 means no whole answer. */
    public static final class Answer {
        public int status;
        public Map<String, String> fields = Map.of();
        public byte[] body = new byte[0];
        public String problem = "";
        public double at;

        public static Answer none(String why) {
            Answer answer = new Answer();
            answer.problem = why;
            answer.at = Kit.now();
            return answer;
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        public boolean closes() {
            return "close".equalsIgnoreCase(fields.get("connection"));
        }
    }

    /** Reads a request; returns null where the connection ends before one begins. */
    public static Request readRequest(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Request request = new Request();
        request.firstByteAt = Kit.now();
        String[] line = ((char) first + readLine(in)).split(" ");
        request.method = line[0];
        request.target = line[1];
        request.fields = readFields(in);
        request.body = readBody(in, request.fields, false);
        request.lastByteAt = Kit.now();
        return request;
    }

    /** Reads an answer. */
    public static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        String[] line = readLine(in).split(" ");
        answer.status = Integer.parseInt(line[1]);
        answer.fields = readFields(in);
        answer.body = readBody(in, answer.fields, true);
        answer.at = Kit.now();
        return answer;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private static Map<String, String> readFields(InputStream in) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return fields;
    }

    private static byte[] readBody(InputStream in, Map<String, String> fields, boolean answer)
            throws IOException {
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(exactly(in, size));
                readLine(in);
            }
            readFields(in);
            return all.toByteArray();
        }
        String length = fields.get("content-length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection has ended in a body");
        }
        return bytes;
    }
}
