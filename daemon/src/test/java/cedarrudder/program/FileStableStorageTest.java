package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.LogEntry.Kind;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage.HardState;
import cedarrudder.consensus.StableStorage.Recovered;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
import cedarrudder.conventions.Golden;
import cedarrudder.logging.Logger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the state that a replica recovers from its disk. */
public class FileStableStorageTest {

    private static final VoterGroup GROUP = new VoterGroup(3, 1, 77);
    private static final HardState FIRST = new HardState(GROUP, 9, 4, new Voter(2, 8), true);
    private static final HardState LATER = new HardState(GROUP, 9, 5, null, true);
    private static final Snapshot SNAPSHOT =
            new Snapshot(6, 2, new VoterSet(List.of(new Voter(1, 9))), new byte[] {1, 2, 3});

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private Path folder;
    private Path file;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("store");
        file = folder.resolve("agreement");
        log.reset();
    }

    private FileStableStorage open() {
        return new FileStableStorage(folder, 1, 5, new Logger(new PrintStream(log, true)));
    }

    private static LogEntry entry(int index) {
        return new LogEntry(4, Kind.CONTENT, new byte[] {(byte) index, 7});
    }

    /**
     * Writes two syncs: a vote, a snapshot and entries 7 to 9; then 9 and 10 with other content,
     * and a vote.
     */
    private void write() {
        try (FileStableStorage store = open()) {
            assertNull(store.recovered());
            store.writeHardState(FIRST);
            store.writeSnapshot(SNAPSHOT);
            for (int i = 7; i <= 9; i++) {
                store.append(i, entry(i));
            }
            store.sync();
            store.truncateFrom(9);
            store.append(9, entry(90));
            store.append(10, entry(10));
            store.writeHardState(LATER);
            store.sync();
        }
    }

    private static void assertRecovered(Recovered recovered, HardState hardState, int... entries) {
        assertNotNull(recovered);
        assertEquals(recovered.hardState(), hardState);
        assertEquals(recovered.snapshot().index(), 6);
        assertEquals(recovered.snapshot().state(), SNAPSHOT.state());
        assertEquals(recovered.snapshot().voters(), SNAPSHOT.voters());
        assertEquals(
                recovered.entries().stream().mapToInt(entry -> entry.bytes()[0]).toArray(),
                entries);
    }

    @Test
    public void syncedStateIsRecovered() {
        write();
        try (FileStableStorage store = open()) {
            assertRecovered(store.recovered(), LATER, 7, 8, 90, 10);
            store.append(11, entry(11)); // not synced
        }
        try (FileStableStorage store = open()) {
            assertRecovered(store.recovered(), LATER, 7, 8, 90, 10);
        }
        assertEquals(log.toString(), "");
    }

    /** This build and an earlier one must be able to read each other's files. */
    @Test
    public void theFileFormatMatchesTheEarlierBuild() throws IOException {
        write();
        Golden.check("consensus-store.txt", Golden.hex(Files.readAllBytes(file)));
        Files.write(file, Golden.bytes(Golden.read("consensus-store.txt")));
        try (FileStableStorage store = open()) {
            assertRecovered(store.recovered(), LATER, 7, 8, 90, 10);
        }
        assertEquals(log.toString(), "");
    }

    /**
     * Wherever the last write was cut off, all of it counts or none, and later writes are
     * recovered.
     */
    @Test
    public void aTornTailIsTruncatedAtAnyLength() throws IOException {
        write();
        byte[] whole = Files.readAllBytes(file);
        int second = 0;
        for (int length = whole.length - 1; length >= 24; length--) {
            Files.write(file, Arrays.copyOf(whole, length));
            try (FileStableStorage store = open()) {
                if (store.recovered() == null) {
                    break; // cut within the first sync
                }
                assertRecovered(store.recovered(), FIRST, 7, 8, 9);
                second++;
                store.writeHardState(LATER);
                store.sync();
            }
            try (FileStableStorage store = open()) {
                assertRecovered(store.recovered(), LATER, 7, 8, 9);
            }
        }
        assertTrue(second > 40, "only " + second);
        Files.write(file, Arrays.copyOf(whole, whole.length + 100)); // longer by 100 zero bytes
        try (FileStableStorage store = open()) {
            assertRecovered(store.recovered(), LATER, 7, 8, 90, 10);
        }
    }

    /**
     * After a bit flip anywhere before the last batch the replica starts without recovered state.
     */
    @Test
    public void aCorruptFileIsRejectedAndSetAside() throws IOException {
        write();
        byte[] whole = Files.readAllBytes(file);
        int last = whole.length;
        for (int at = 0; at < 80; at++) {
            byte[] corrupted = whole.clone();
            corrupted[at] ^= 16;
            Files.write(file, corrupted);
            log.reset();
            try (FileStableStorage store = open()) {
                assertNull(store.recovered(), "byte " + at + " of " + last);
                assertTrue(
                        log.toString().contains("consensus.storage_rejected"),
                        "byte " + at + ": " + log);
                assertTrue(
                        log.toString().contains("byte ") && log.toString().contains("allowed"),
                        "" + log);
                store.writeHardState(LATER);
                store.sync();
            }
            assertEquals(Files.readAllBytes(folder.resolve("agreement.refused")), corrupted);
            try (FileStableStorage store = open()) {
                assertEquals(store.recovered().hardState(), LATER);
            }
        }
    }

    @Test
    public void theFileOfAnotherReplicaIsRejected() throws IOException {
        write();
        try (FileStableStorage store =
                new FileStableStorage(folder, 2, 5, new Logger(new PrintStream(log, true)))) {
            assertNull(store.recovered());
            assertTrue(
                    log.toString().contains("found a file of replica 1; allowed: 2"),
                    log.toString());
        }
    }

    @Test
    public void aFolderIsLockedByOneProcess() {
        try (FileStableStorage store = open()) {
            assertNull(store.recovered());
            assertTrue(
                    expectThrows(UncheckedIOException.class, this::open)
                            .getMessage()
                            .contains("another process"));
        }
        open().close();
    }

    /**
     * Measures how long the loop blocks for a vote and an entry; {@code -Dstore.syncs} sets the
     * number of syncs.
     */
    @Test
    public void theMedianSyncTakesLessThanASecond() {
        int syncs = Integer.getInteger("store.syncs", 20);
        long[] durations = new long[syncs];
        try (FileStableStorage store = open()) {
            for (int i = 0; i < syncs; i++) {
                store.writeHardState(i % 2 == 0 ? FIRST : LATER);
                store.append(i + 1, new LogEntry(4, Kind.CONTENT, new byte[500]));
                long begun = System.nanoTime();
                store.sync();
                durations[i] = System.nanoTime() - begun;
            }
        }
        Arrays.sort(durations);
        Reporter.log(
                "syncs "
                        + syncs
                        + ", p50 "
                        + durations[syncs / 2] / 1_000
                        + " us, p99 "
                        + durations[syncs * 99 / 100] / 1_000
                        + " us, max "
                        + durations[syncs - 1] / 1_000
                        + " us",
                true);
        assertTrue(
                durations[syncs / 2] < 1_000_000_000L,
                "the median sync takes " + durations[syncs / 2] + " ns");
    }

    /** The file must not grow for as long as the replica runs. */
    @Test
    public void theFileSizeStaysBounded() throws IOException {
        try (FileStableStorage store = open()) {
            store.writeHardState(FIRST);
            for (int i = 1; i <= 3_000; i++) {
                store.append(i, new LogEntry(4, Kind.CONTENT, new byte[1_000]));
                if (i % 16 == 0) {
                    store.writeSnapshot(new Snapshot(i, 4, SNAPSHOT.voters(), new byte[5_000]));
                }
                if (i % 100 == 0) {
                    store.sync();
                }
            }
            store.sync();
        }
        assertTrue(Files.size(file) < 1_300_000, "size in bytes: " + Files.size(file));
        try (FileStableStorage store = open()) {
            assertEquals(store.recovered().snapshot().index(), 2_992);
            assertEquals(store.recovered().entries().size(), 8);
        }
    }
}
