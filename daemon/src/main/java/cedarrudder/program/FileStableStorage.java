package cedarrudder.program;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.StoredLog;
import cedarrudder.logging.Logger;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * Stores the durable state of a replica in one file: a header, and a batch for each sync with all
 * records written since the previous one. A batch is applied as a whole or not at all. What follows
 * the last complete batch is cut off if it is the rest of an interrupted write; otherwise the file
 * is rejected and set aside, and the replica counts as one that lost its state.
 *
 * <p>Big-endian. Header: {@value #MAGIC}, version (4), the replica (4), the maximum number of
 * replicas (4), checksum (4). Batch: length (4), its checksum (4), this many bytes, their checksum
 * (4). Checksums are CRC32C. Belongs to the loop's thread, which waits for the disk at most once an
 * event.
 */
final class FileStableStorage implements StableStorage, Closeable {

    private static final String FILE = "agreement";
    private static final String NEXT_FILE = "agreement.next";
    private static final String REJECTED_FILE = "agreement.refused";
    private static final String LOCK_FILE = "lock";
    private static final String MAGIC = "cedaragr";
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 24;
    private static final int BATCH_HEADER_BYTES = 8;
    private static final int FRAME_BYTES = BATCH_HEADER_BYTES + Integer.BYTES;

    /**
     * The minimum size of a file that is compacted; the file must also have grown to four times the
     * size of its last compaction.
     */
    private static final long MIN_COMPACTION_BYTES = 1 << 20;

    private static final int COMPACTION_FACTOR = 4;

    /** Upper limit of a batch: a snapshot and all entries that may be uncommitted need less. */
    private static final int MAX_BATCH_BYTES = 16 << 20;

    /** Thrown for a file that can't be read; states the reason and the position. */
    private static final class CorruptFileException extends Exception {
        private static final long serialVersionUID = 1;

        CorruptFileException(long at, String found, String allowed) {
            super("byte " + at + ": found " + found + "; allowed: " + allowed);
        }
    }

    private final Path folder;
    private final Path file;
    private final int replica;
    private final int replicas;
    private final FileChannel lockFile;
    private FileChannel channel;
    private long size;
    private long compactAtBytes;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final StoredLog log = new StoredLog();
    private Recovered recovered;

    /**
     * Opens the state that an earlier process of this replica stored in a folder, or starts with
     * none.
     *
     * @throws UncheckedIOException if the folder can't be used, or another process uses it
     */
    FileStableStorage(Path folder, int replica, int replicas, Logger logger) {
        this.folder = folder;
        this.file = folder.resolve(FILE);
        this.replica = replica;
        this.replicas = replicas;
        try {
            Files.createDirectories(folder);
            lockFile =
                    FileChannel.open(
                            folder.resolve(LOCK_FILE),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (!tryLock()) {
                lockFile.close();
                throw new IOException(
                        folder + ": found another process that uses it; allowed: one");
            }
            open(logger);
        } catch (IOException e) {
            throw new UncheckedIOException(e.getMessage(), e);
        }
    }

    private boolean tryLock() throws IOException {
        try {
            FileLock lock = lockFile.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    private void open(Logger logger) throws IOException {
        try {
            byte[] bytes = Files.readAllBytes(file);
            long end = replay(ByteBuffer.wrap(bytes));
            channel = FileChannel.open(file, StandardOpenOption.WRITE);
            channel.truncate(end);
            channel.position(end);
            size = end;
            recovered = log.recovered();
            if (end < bytes.length) {
                logger.info("consensus.storage_truncated")
                        .with("file", file)
                        .with("from", end)
                        .with("bytes", bytes.length - end)
                        .write();
            }
        } catch (NoSuchFileException e) {
            rewrite();
        } catch (CorruptFileException e) {
            Path aside = folder.resolve(REJECTED_FILE);
            logger.warn("consensus.storage_rejected")
                    .with("file", file)
                    .with("why", e.getMessage())
                    .with("moved_to", aside)
                    .write();
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            log.reset(null);
            rewrite();
        }
        compactAtBytes = Math.max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * size);
    }

    // ---- reading ----

    /** Applies all complete batches; returns the offset at which they end. */
    private long replay(ByteBuffer in) throws CorruptFileException {
        checkHeader(in);
        while (in.hasRemaining()) {
            int at = in.position();
            int length = completeBatchLength(in);
            if (length < 0) {
                return at;
            }
            int from = at + BATCH_HEADER_BYTES;
            try {
                StorageRecords.apply(in.slice(from, length), log);
            } catch (BufferUnderflowException
                    | IllegalArgumentException
                    | IndexOutOfBoundsException e) {
                throw new CorruptFileException(
                        from, "a batch that can't be read", "one of this version");
            }
            in.position(from + length + Integer.BYTES);
        }
        return in.position();
    }

    private void checkHeader(ByteBuffer in) throws CorruptFileException {
        if (in.remaining() < HEADER_BYTES) {
            throw new CorruptFileException(
                    0, in.remaining() + " bytes", "a header of " + HEADER_BYTES);
        }
        byte[] magic = new byte[MAGIC.length()];
        in.get(magic);
        if (!new String(magic, StandardCharsets.ISO_8859_1).equals(MAGIC)) {
            throw new CorruptFileException(0, "another kind of file", MAGIC);
        }
        check(8, "version", in.getInt(), VERSION);
        check(12, "a file of replica", in.getInt(), replica);
        check(16, "a tier of replicas", in.getInt(), replicas);
        if (in.getInt() != checksum(in.array(), 0, HEADER_BYTES - Integer.BYTES)) {
            throw new CorruptFileException(
                    20, "a header whose checksum does not fit", "one that does");
        }
    }

    /** Returns the length of the next batch; -1 where it is the rest of an interrupted write. */
    private static int completeBatchLength(ByteBuffer in) throws CorruptFileException {
        int at = in.position();
        if (in.remaining() < FRAME_BYTES || isZeroFilled(in.array(), at)) {
            return -1;
        }
        int length = in.getInt();
        if (in.getInt() != checksum(in.array(), at, Integer.BYTES)
                || length < 0
                || length > MAX_BATCH_BYTES) {
            throw new CorruptFileException(
                    at, "a length whose checksum does not fit", "one that does");
        }
        if (length > in.remaining() - Integer.BYTES) {
            return -1;
        }
        int from = in.position();
        int end = from + length + Integer.BYTES;
        if (in.getInt(from + length) != checksum(in.array(), from, length)) {
            if (end == in.limit() || isZeroFilled(in.array(), end)) {
                return -1;
            }
            throw new CorruptFileException(
                    from, "a batch whose checksum does not fit", "one that does");
        }
        return length;
    }

    private static void check(long at, String what, int found, int allowed)
            throws CorruptFileException {
        if (found != allowed) {
            throw new CorruptFileException(at, what + " " + found, Integer.toString(allowed));
        }
    }

    /**
     * Returns whether only zeros are left: the file had been extended when the process ended, but
     * not written.
     */
    private static boolean isZeroFilled(byte[] bytes, int from) {
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] != 0) {
                return false;
            }
        }
        return true;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    // ---- writing ----

    private void bufferRecord(StorageRecords.RecordWriter record) {
        try {
            record.writeTo(new DataOutputStream(pending));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public Recovered recovered() {
        return recovered;
    }

    @Override
    public void writeHardState(HardState next) {
        log.setHardState(next);
        bufferRecord(out -> StorageRecords.write(out, next));
    }

    @Override
    public void append(long index, LogEntry entry) {
        StorageRecords.appendInOrder(log, index, entry);
        bufferRecord(out -> StorageRecords.write(out, index, entry));
    }

    @Override
    public void truncateFrom(long from) {
        log.truncateFrom(from);
        bufferRecord(out -> StorageRecords.writeTruncation(out, from));
    }

    @Override
    public void writeSnapshot(Snapshot next) {
        log.install(next);
        bufferRecord(out -> StorageRecords.write(out, next));
    }

    @Override
    public void sync() {
        if (pending.size() == 0 || log.hardState() == null) {
            return;
        }
        try {
            if (size + FRAME_BYTES + pending.size() > compactAtBytes) {
                rewrite();
            } else {
                ByteBuffer batch = batch(pending.toByteArray());
                size += batch.remaining();
                while (batch.hasRemaining()) {
                    channel.write(batch);
                }
                channel.force(false);
            }
            pending.reset();
        } catch (IOException e) {
            throw new UncheckedIOException(file + ": " + e.getMessage(), e);
        }
    }

    private static ByteBuffer batch(byte[] bytes) {
        ByteBuffer out = ByteBuffer.allocate(FRAME_BYTES + bytes.length).putInt(bytes.length);
        out.putInt(checksum(out.array(), 0, Integer.BYTES))
                .put(bytes)
                .putInt(checksum(bytes, 0, bytes.length));
        return out.flip();
    }

    /** Writes the whole state into a new file that replaces the current one. */
    private void rewrite() throws IOException {
        Path next = folder.resolve(NEXT_FILE);
        FileChannel made =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        size = HEADER_BYTES;
        made.write(header());
        byte[] records = StorageRecords.all(log);
        if (records.length > 0) {
            ByteBuffer batch = batch(records);
            size += batch.remaining();
            while (batch.hasRemaining()) {
                made.write(batch);
            }
        }
        made.force(true);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true); // makes the new name of the file durable
        }
        if (channel != null) {
            channel.close();
        }
        channel = made;
        compactAtBytes = Math.max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * size);
    }

    private ByteBuffer header() {
        ByteBuffer header =
                ByteBuffer.allocate(HEADER_BYTES)
                        .put(MAGIC.getBytes(StandardCharsets.ISO_8859_1))
                        .putInt(VERSION)
                        .putInt(replica)
                        .putInt(replicas);
        header.putInt(checksum(header.array(), 0, HEADER_BYTES - Integer.BYTES));
        return header.flip();
    }

    /** Closes the files; another process may use the folder from now on. */
    @Override
    public void close() {
        try {
            channel.close();
            lockFile.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e.getMessage(), e);
        }
    }
}
