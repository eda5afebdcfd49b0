package cedarrudder.program;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
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
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * What a replica must not forget, in one file: a head, and a batch for each sync, which has all
 * that was written since the one before. A batch counts whole or not at all. What follows the last
 * whole one is cut off where it is the rest of a write that did not end; else the file is refused,
 * set aside, and the replica counts as one that forgot.
 *
 * <p>Big-endian. Head: {@value #MAGIC}, version (4), the replica (4), how many there may be (4),
 * checksum (4). Batch: length (4), its checksum (4), this many bytes, their checksum (4). Checksums
 * are CRC32C. It belongs to the loop's thread, which waits for the disk once an event at most.
 */
final class FileStableStorage implements StableStorage, Closeable {

    private static final String MAGIC = "cedaragr";
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 24;
    private static final int FRAME_BYTES = 12;

    /**
     * The file is written anew once it is larger than this, and than four times what it has to
     * hold.
     */
    private static final long MIN_COMPACTION_BYTES = 1 << 20;

    private static final int COMPACTION_FACTOR = 4;

    /** No batch is larger: a snapshot and all entries that may be open are less. */
    private static final int MAX_BATCH_BYTES = 16 << 20;

    private static final byte HARD_STATE = 1;
    private static final byte ENTRY = 2;
    private static final byte TRUNCATION = 3;
    private static final byte SNAPSHOT = 4;

    /** Why a file is no good, and where. */
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
    private HardState hardState;
    private Snapshot snapshot = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);
    private final List<LogEntry> entries = new ArrayList<>();
    private Recovered recovered;

    /**
     * Opens what an earlier process of this replica left in a folder, or begins with nothing.
     *
     * @throws UncheckedIOException if the folder can't be used, or another process uses it
     */
    FileStableStorage(Path folder, int replica, int replicas, Logger log) {
        this.folder = folder;
        this.file = folder.resolve("agreement");
        this.replica = replica;
        this.replicas = replicas;
        try {
            Files.createDirectories(folder);
            lockFile =
                    FileChannel.open(
                            folder.resolve("lock"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (!tryLock()) {
                lockFile.close();
                throw new IOException(
                        folder + ": found another process that uses it; allowed: one");
            }
            open(log);
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

    private void open(Logger log) throws IOException {
        try {
            byte[] bytes = Files.readAllBytes(file);
            long end = replay(ByteBuffer.wrap(bytes));
            channel = FileChannel.open(file, StandardOpenOption.WRITE);
            channel.truncate(end);
            channel.position(end);
            size = end;
            if (hardState != null) {
                recovered = new Recovered(hardState, snapshot, entries);
            }
            if (end < bytes.length) {
                log.info("agreement.cut")
                        .with("file", file)
                        .with("from", end)
                        .with("bytes", bytes.length - end)
                        .write();
            }
        } catch (NoSuchFileException e) {
            rewrite();
        } catch (CorruptFileException e) {
            Path aside = folder.resolve("agreement.refused");
            log.warn("agreement.refused")
                    .with("file", file)
                    .with("why", e.getMessage())
                    .with("kept", aside)
                    .write();
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            hardState = null;
            snapshot = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);
            entries.clear();
            rewrite();
        }
        compactAtBytes = Math.max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * size);
    }

    // ---- reading ----

    /** Plays all whole batches; returns where they end. */
    private long replay(ByteBuffer in) throws CorruptFileException {
        if (in.remaining() < HEADER_BYTES) {
            throw new CorruptFileException(
                    0, in.remaining() + " bytes", "a head of " + HEADER_BYTES);
        }
        byte[] magic = new byte[MAGIC.length()];
        in.get(magic);
        if (!new String(magic, StandardCharsets.ISO_8859_1).equals(MAGIC)) {
            throw new CorruptFileException(0, "another kind of file", MAGIC);
        }
        check(8, "version", in.getInt(), VERSION);
        check(12, "a file of copy", in.getInt(), replica);
        check(16, "a tier of copies", in.getInt(), replicas);
        if (in.getInt() != checksum(in.array(), 0, HEADER_BYTES - Integer.BYTES)) {
            throw new CorruptFileException(
                    20, "a head whose checksum does not fit", "one that does");
        }
        while (in.hasRemaining()) {
            int at = in.position();
            if (in.remaining() < FRAME_BYTES || isZeroFilled(in.array(), at)) {
                return at;
            }
            int length = in.getInt();
            if (in.getInt() != checksum(in.array(), at, Integer.BYTES)
                    || length < 0
                    || length > MAX_BATCH_BYTES) {
                throw new CorruptFileException(
                        at, "a length whose checksum does not fit", "one that does");
            }
            if (length > in.remaining() - Integer.BYTES) {
                return at;
            }
            int from = in.position();
            boolean last = from + length + Integer.BYTES == in.limit();
            if (in.getInt(from + length) != checksum(in.array(), from, length)) {
                if (last || isZeroFilled(in.array(), from + length + Integer.BYTES)) {
                    return at;
                }
                throw new CorruptFileException(
                        from, "a batch whose checksum does not fit", "one that does");
            }
            try {
                replayBatch(in.slice(from, length));
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

    private static void check(long at, String what, int found, int allowed)
            throws CorruptFileException {
        if (found != allowed) {
            throw new CorruptFileException(at, what + " " + found, Integer.toString(allowed));
        }
    }

    /**
     * Whether only zeros are left: the file had become longer when the process ended, and nothing
     * more.
     */
    private static boolean isZeroFilled(byte[] bytes, int from) {
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] != 0) {
                return false;
            }
        }
        return true;
    }

    private void replayBatch(ByteBuffer in) {
        while (in.hasRemaining()) {
            switch (in.get()) {
                case HARD_STATE -> {
                    VoterGroup group = new VoterGroup(in.getInt(), in.getInt(), in.getLong());
                    long incarnation = in.getLong();
                    long term = in.getLong();
                    Voter vote = in.get() == 0 ? null : new Voter(in.getInt(), in.getLong());
                    hardState = new HardState(group, incarnation, term, vote, in.get() != 0);
                }
                case ENTRY -> applyRecord(in.getLong(), entry(in));
                case TRUNCATION -> truncate(in.getLong());
                case SNAPSHOT ->
                        applyRecord(
                                new Snapshot(in.getLong(), in.getLong(), voters(in), bytes(in)));
                default -> throw new IllegalArgumentException("kind");
            }
        }
    }

    private static byte[] bytes(ByteBuffer in) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private static LogEntry entry(ByteBuffer in) {
        long term = in.getLong();
        LogEntry.Kind kind = LogEntry.Kind.values()[in.get()];
        byte[] content = bytes(in);
        if (kind == LogEntry.Kind.VOTERS && VoterSet.decode(content) == null) {
            throw new IllegalArgumentException("voters");
        }
        return new LogEntry(term, kind, content);
    }

    private static VoterSet voters(ByteBuffer in) {
        int count = in.get();
        List<Voter> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Voter(in.getInt(), in.getLong()));
        }
        return new VoterSet(all);
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }

    // ---- what is held ----

    private void applyRecord(long index, LogEntry entry) {
        truncate(index);
        if (index != snapshot.index() + entries.size() + 1) {
            throw new IllegalArgumentException("an entry that follows none");
        }
        entries.add(entry);
    }

    private void truncate(long from) {
        int keep = (int) Math.max(0, from - snapshot.index() - 1);
        if (keep < entries.size()) {
            entries.subList(keep, entries.size()).clear();
        }
    }

    private void applyRecord(Snapshot of) {
        if (of.index() < snapshot.index()) {
            entries.clear();
        } else {
            entries.subList(0, (int) Math.min(entries.size(), of.index() - snapshot.index()))
                    .clear();
        }
        snapshot = of;
    }

    // ---- writing ----

    /** What writes into memory, which fails nobody. */
    private interface RecordWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private void bufferRecord(RecordWriter what) {
        try {
            what.writeTo(new DataOutputStream(pending));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void put(DataOutputStream out, HardState made) throws IOException {
        out.writeByte(HARD_STATE);
        out.writeInt(made.group().era());
        out.writeInt(made.group().founder());
        out.writeLong(made.group().incarnation());
        out.writeLong(made.incarnation());
        out.writeLong(made.term());
        out.writeByte(made.vote() == null ? 0 : 1);
        if (made.vote() != null) {
            out.writeInt(made.vote().replica());
            out.writeLong(made.vote().incarnation());
        }
        out.writeByte(made.admitted() ? 1 : 0);
    }

    private static void put(DataOutputStream out, long index, LogEntry entry) throws IOException {
        out.writeByte(ENTRY);
        out.writeLong(index);
        out.writeLong(entry.term());
        out.writeByte(entry.kind().ordinal());
        out.writeInt(entry.bytes().length);
        out.write(entry.bytes());
    }

    private static void put(DataOutputStream out, Snapshot of) throws IOException {
        out.writeByte(SNAPSHOT);
        out.writeLong(of.index());
        out.writeLong(of.term());
        out.writeByte(of.voters().size());
        for (Voter voter : of.voters().all()) {
            out.writeInt(voter.replica());
            out.writeLong(voter.incarnation());
        }
        out.writeInt(of.state().length);
        out.write(of.state());
    }

    @Override
    public Recovered recovered() {
        return recovered;
    }

    @Override
    public void hardState(HardState made) {
        hardState = made;
        bufferRecord(out -> put(out, made));
    }

    @Override
    public void append(long index, LogEntry entry) {
        applyRecord(index, entry);
        bufferRecord(out -> put(out, index, entry));
    }

    @Override
    public void truncateFrom(long from) {
        truncate(from);
        bufferRecord(
                out -> {
                    out.writeByte(TRUNCATION);
                    out.writeLong(from);
                });
    }

    @Override
    public void snapshot(Snapshot of) {
        applyRecord(of);
        bufferRecord(out -> put(out, of));
    }

    @Override
    public void sync() {
        if (pending.size() == 0 || hardState == null) {
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

    /** Writes all that is held into a file that takes the place of the one that is there. */
    private void rewrite() throws IOException {
        ByteBuffer head =
                ByteBuffer.allocate(HEADER_BYTES)
                        .put(MAGIC.getBytes(StandardCharsets.ISO_8859_1))
                        .putInt(VERSION)
                        .putInt(replica)
                        .putInt(replicas);
        head.putInt(checksum(head.array(), 0, HEADER_BYTES - Integer.BYTES)).flip();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        if (hardState != null) {
            DataOutputStream out = new DataOutputStream(all);
            put(out, hardState);
            put(out, snapshot);
            for (int i = 0; i < entries.size(); i++) {
                put(out, snapshot.index() + 1 + i, entries.get(i));
            }
        }
        Path next = folder.resolve("agreement.next");
        FileChannel made =
                FileChannel.open(
                        next,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        size = HEADER_BYTES;
        made.write(head);
        if (all.size() > 0) {
            ByteBuffer batch = batch(all.toByteArray());
            size += batch.remaining();
            while (batch.hasRemaining()) {
                made.write(batch);
            }
        }
        made.force(true);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true); // the file's new name is on the disk too
        }
        if (channel != null) {
            channel.close();
        }
        channel = made;
        compactAtBytes = Math.max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * size);
    }

    /** Another process may use the folder from now on. */
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
