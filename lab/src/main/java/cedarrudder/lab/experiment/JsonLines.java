package cedarrudder.lab.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A file of JSON values, one a line, that is only ever added to. A program or machine that dies
 * while a line is written leaves a torn one behind; the next that opens the file takes it away. For
 * one thread.
 */
final class JsonLines implements Closeable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BUFFER = 1 << 16;

    private final Path file;
    private final FileChannel channel;
    private long complete;
    private boolean unforced;

    private JsonLines(Path file, FileChannel channel, long complete) {
        this.file = file;
        this.channel = channel;
        this.complete = complete;
    }

    /**
     * Opens a file for adding to it, and makes it where it isn't there.
     *
     * @param each is told each line that the file holds
     * @throws IOException if it can't be opened, or a line before the last one can't be read; then
     *     the file stays as it is
     */
    static <T> JsonLines open(Path file, Class<T> type, Consumer<T> each) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            long complete = read(file, type, each);
            channel.truncate(complete);
            channel.position(complete);
            return new JsonLines(file, channel, complete);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Reads what a file holds, without changing it.
     *
     * @return the bytes up to the end of the last whole line
     */
    static <T> long read(Path file, Class<T> type, Consumer<T> each) throws IOException {
        long complete = 0;
        int number = 0;
        try (LineBytes lines = new LineBytes(Files.newInputStream(file), BUFFER)) {
            for (byte[] line = lines.next(); line != null; line = lines.next()) {
                number++;
                T value = parsed(line, type);
                if (value == null) {
                    if (lines.next() != null) {
                        throw new IOException(
                                file
                                        + ":"
                                        + number
                                        + ": a line that can't be read, with others"
                                        + " behind it; take it out to go on without it");
                    }
                    return complete;
                }
                complete += line.length;
                each.accept(value);
            }
        }
        return complete;
    }

    /** The value of a line, or null where the line is torn. */
    private static <T> T parsed(byte[] line, Class<T> type) throws IOException {
        if (line[line.length - 1] != '\n') {
            return null;
        }
        try {
            return JSON.readValue(line, type);
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    /**
     * Adds a line. It is handed to the system at once, and to the disk with {@link #force}.
     *
     * @throws IOException if it can't be written; the file then ends with the line before, as far
     *     as the disk allows that
     */
    void add(Object value) throws IOException {
        byte[] json = JSON.writeValueAsBytes(value);
        byte[] line = Arrays.copyOf(json, json.length + 1);
        line[json.length] = '\n';
        ByteBuffer bytes = ByteBuffer.wrap(line);
        try {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            channel.truncate(complete);
            throw new IOException(file + " can't be written: " + e.getMessage(), e);
        }
        complete += line.length;
        unforced = true;
    }

    /** Waits until all that was added is on the disk. */
    void force() throws IOException {
        if (unforced) {
            channel.force(false);
            unforced = false;
        }
    }

    @Override
    public void close() throws IOException {
        try {
            force();
        } finally {
            channel.close();
        }
    }
}
