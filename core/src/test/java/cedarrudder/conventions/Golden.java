package cedarrudder.conventions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Golden files: what an earlier build wrote, which the present one has to write and read unchanged.
 *
 * <p>The files lie in {@code src/test/resources/golden} of each module and were recorded by the
 * build of commit c6bf0d8. A file that is missing fails its test, unless {@code
 * -Dgolden.record=FOLDER} names a folder to record it in.
 */
public final class Golden {

    private static final HexFormat HEX = HexFormat.of();

    /** A digest over bytes and texts in the order added, each with its length in front. */
    public static final class Digest {
        private final MessageDigest sha256;
        private long count;

        public Digest() {
            try {
                sha256 = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("each Java platform has SHA-256", e);
            }
        }

        public Digest add(byte[] bytes) {
            count++;
            sha256.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
            sha256.update(bytes);
            return this;
        }

        public Digest add(Object value) {
            return add(String.valueOf(value).getBytes(StandardCharsets.UTF_8));
        }

        /** How many parts were added, and the digest in hexadecimal. */
        @Override
        public String toString() {
            return count + " " + HEX.formatHex(sha256.digest());
        }
    }

    private Golden() {}

    /** A line of hexadecimal digits. */
    public static String hex(byte[] bytes) {
        return HEX.formatHex(bytes) + "\n";
    }

    /** The bytes of such a line. */
    public static byte[] bytes(String line) {
        return HEX.parseHex(line.strip());
    }

    /** Holds a text against the golden file of this name. */
    public static void check(String name, String actual) {
        String folder = System.getProperty("golden.record");
        if (folder != null) {
            record(Path.of(folder, name), actual);
        }
        assertEquals(read(name), actual, "golden/" + name);
    }

    /** The text of the golden file of this name. */
    public static String read(String name) {
        try (InputStream in = Golden.class.getResourceAsStream("/golden/" + name)) {
            return in == null
                    ? fail("no golden/" + name)
                    : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void record(Path file, String actual) {
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(file, actual);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
