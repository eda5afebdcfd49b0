package cedarrudder.program;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage.HardState;
import cedarrudder.consensus.StoredLog;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The records of {@link FileStableStorage}, big-endian; the first byte of each is its kind. */
final class StorageRecords {

    private static final byte HARD_STATE = 1;
    private static final byte ENTRY = 2;
    private static final byte TRUNCATION = 3;
    private static final byte SNAPSHOT = 4;

    private StorageRecords() {}

    /** Writes a record into memory, which never fails. */
    interface RecordWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }

    // ---- writing ----

    static void write(DataOutputStream out, HardState state) throws IOException {
        out.writeByte(HARD_STATE);
        out.writeInt(state.group().era());
        out.writeInt(state.group().founder());
        out.writeLong(state.group().incarnation());
        out.writeLong(state.incarnation());
        out.writeLong(state.term());
        out.writeByte(state.vote() == null ? 0 : 1);
        if (state.vote() != null) {
            out.writeInt(state.vote().replica());
            out.writeLong(state.vote().incarnation());
        }
        out.writeByte(state.admitted() ? 1 : 0);
    }

    static void write(DataOutputStream out, long index, LogEntry entry) throws IOException {
        out.writeByte(ENTRY);
        out.writeLong(index);
        out.writeLong(entry.term());
        out.writeByte(entry.kind().ordinal());
        out.writeInt(entry.bytes().length);
        out.write(entry.bytes());
    }

    static void write(DataOutputStream out, Snapshot snapshot) throws IOException {
        out.writeByte(SNAPSHOT);
        out.writeLong(snapshot.index());
        out.writeLong(snapshot.term());
        out.writeByte(snapshot.voters().size());
        for (Voter voter : snapshot.voters().all()) {
            out.writeInt(voter.replica());
            out.writeLong(voter.incarnation());
        }
        out.writeInt(snapshot.state().length);
        out.write(snapshot.state());
    }

    static void writeTruncation(DataOutputStream out, long from) throws IOException {
        out.writeByte(TRUNCATION);
        out.writeLong(from);
    }

    /**
     * Returns the whole content of a log as the minimum number of records; none before the first
     * hard state.
     */
    static byte[] all(StoredLog log) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        if (log.hardState() == null) {
            return records.toByteArray();
        }
        try {
            DataOutputStream out = new DataOutputStream(records);
            write(out, log.hardState());
            write(out, log.snapshot());
            for (int i = 0; i < log.entries().size(); i++) {
                write(out, log.snapshot().index() + 1 + i, log.entries().get(i));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing into memory does not fail
        }
        return records.toByteArray();
    }

    // ---- reading ----

    /**
     * Applies a batch of records.
     *
     * @throws BufferUnderflowException if a record is truncated
     * @throws IllegalArgumentException if a record is of an unknown kind, or leaves a gap in the
     *     log
     */
    static void apply(ByteBuffer in, StoredLog log) {
        while (in.hasRemaining()) {
            switch (in.get()) {
                case HARD_STATE -> log.setHardState(hardState(in));
                case ENTRY -> appendInOrder(log, in.getLong(), entry(in));
                case TRUNCATION -> log.truncateFrom(in.getLong());
                case SNAPSHOT -> log.install(snapshot(in));
                default -> throw new IllegalArgumentException("kind");
            }
        }
    }

    private static HardState hardState(ByteBuffer in) {
        VoterGroup group = new VoterGroup(in.getInt(), in.getInt(), in.getLong());
        long incarnation = in.getLong();
        long term = in.getLong();
        Voter vote = in.get() == 0 ? null : new Voter(in.getInt(), in.getLong());
        return new HardState(group, incarnation, term, vote, in.get() != 0);
    }

    private static Snapshot snapshot(ByteBuffer in) {
        return new Snapshot(in.getLong(), in.getLong(), voters(in), bytes(in));
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

    /** Appends an entry that must follow the last entry or replace one. */
    static void appendInOrder(StoredLog log, long index, LogEntry entry) {
        log.truncateFrom(index);
        if (index != log.nextIndex()) {
            throw new IllegalArgumentException("an entry that leaves a gap in the log");
        }
        log.append(index, entry);
    }
}
