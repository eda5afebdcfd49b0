package cedarrudder.program;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Which other processes run for this proxy, known by locks on bytes of one file: each process
 * claims a place, writes there since when it runs, holds a byte as long as it lives, and another
 * once it is ready; one more byte is held by the one that speaks to the peers. The kernel frees
 * them when it dies, however it does.
 *
 * <p>The file is open once in a process: closing any descriptor of it would free the locks of all.
 * Where somebody has removed it, {@link #rejoinIfReplaced} takes a place in the one that is there
 * now.
 */
final class ProcessHandover {

    /** Processes of one proxy at once; an upgrade has two. */
    private static final int SLOTS = 8;

    /**
     * Where a process that lives, one that is ready, and one that takes a place, hold their bytes.
     */
    private static final int READY_OFFSET = SLOTS;

    private static final int CLAIMED_OFFSET = 2 * SLOTS;

    /** Held while what the folder said is written anew. */
    private static final int RESTORING_OFFSET = 3 * SLOTS;

    /** Held by the process that speaks to the peers. */
    private static final int SPEAKER_OFFSET = RESTORING_OFFSET + 1;

    /**
     * What the file holds: a byte that says whether that was done, and then since when each process
     * runs.
     */
    private static final int RESTORED_FLAG_OFFSET = 0;

    private static final int START_TIMES_OFFSET = 8;

    /**
     * Another process's look at a byte locks it for a moment: this many tries tell that from a
     * process.
     */
    private static final int LOCK_TRIES = 5;

    /**
     * Who else runs.
     *
     * @param predecessor one that ran before this one
     * @param successor one that was started later
     * @param successorReady and can serve
     */
    record SiblingProcesses(boolean predecessor, boolean successor, boolean successorReady) {

        static final SiblingProcesses NONE = new SiblingProcesses(false, false, false);

        boolean any() {
            return predecessor || successor;
        }
    }

    /** Writes what this process holds of the folder, which somebody has emptied. */
    interface FolderRestorer {
        void run() throws IOException;
    }

    private final Path folder;

    /** By the clock that all processes of a machine share and nobody sets. */
    private final long startedAt = System.nanoTime();

    private FileChannel file;
    private Object fileKey;
    private int ownSlot = -1;
    private boolean ready;
    private FileLock speakerLock;

    /** Whether this process is the one that speaks, also while the file is another one. */
    private boolean isSpeaker;

    ProcessHandover(Path folder) {
        this.folder = folder;
    }

    /**
     * Takes a place among the processes; an IOException leaves this process alone, for all that it
     * knows.
     */
    void join() throws IOException, InterruptedException {
        open();
        claimSlot();
    }

    /**
     * Takes a place in the file that is there now where it is another than the one it was, since
     * somebody has removed that. Of the processes that had a place before one has what the folder
     * said written anew, before any of them can be seen again. This avoids those that start
     * afterwards finding nobody and no ban.
     *
     * @param may whether this process may be the one; else an IOException says that it is to come
     *     again
     * @return whether it was another file
     */
    boolean rejoinIfReplaced(boolean may, FolderRestorer restoring)
            throws IOException, InterruptedException {
        if (file == null || ownSlot >= 0 && fileKey.equals(currentFileKey())) {
            return false;
        }
        ownSlot = -1; // until it has a place: this avoids a failure here being the last look at it
        file.close();
        open();
        FileLock lock = lock(RESTORING_OFFSET);
        if (lock == null) {
            throw new IOException("another process writes " + folder + " anew");
        }
        try {
            if (isSpeaker) {
                speakerLock = lock(SPEAKER_OFFSET); // before others can: see the flag below
            }
            ByteBuffer flag = ByteBuffer.allocate(1);
            if (file.read(flag, RESTORED_FLAG_OFFSET) < 1 || flag.get(0) == 0) {
                if (!may) {
                    throw new IOException(
                            "the process before this one is to write " + folder + " anew");
                }
                restoring.run();
                file.write(ByteBuffer.wrap(new byte[] {1}), RESTORED_FLAG_OFFSET);
            }
        } finally {
            lock.release();
        }
        claimSlot();
        if (ready) {
            ready = false;
            markReady();
        }
        return true;
    }

    private void open() throws IOException {
        Files.createDirectories(folder);
        file =
                FileChannel.open(
                        folder.resolve("processes"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        fileKey = currentFileKey();
    }

    /** Which file is there now; another object than any other's where there is none. */
    private Object currentFileKey() throws IOException {
        try {
            return Files.readAttributes(folder.resolve("processes"), BasicFileAttributes.class)
                    .fileKey();
        } catch (NoSuchFileException e) {
            return new Object();
        }
    }

    private void claimSlot() throws IOException, InterruptedException {
        for (int i = 0; i < SLOTS && ownSlot < 0; i++) {
            FileLock claim = lock(CLAIMED_OFFSET + i);
            if (claim == null) {
                continue;
            }
            if (isHeld(i)) {
                claim.release(); // by a version that makes no claims
                continue;
            }
            file.write(ByteBuffer.allocate(Long.BYTES).putLong(0, startedAt), startTimeOffset(i));
            if (lock(i) == null) {
                claim.release();
            } else {
                ownSlot = i;
            }
        }
        if (ownSlot < 0) {
            throw new IOException("there are " + SLOTS + " processes already");
        }
    }

    private static long startTimeOffset(int slot) {
        return START_TIMES_OFFSET + (long) slot * Long.BYTES;
    }

    /** Whether another process holds this byte for good. */
    private boolean isHeld(long at) throws IOException, InterruptedException {
        FileLock lock = lock(at);
        if (lock != null) {
            lock.release();
        }
        return lock == null;
    }

    /**
     * Locks a byte, which another process's look may hold for a moment; null where one holds it for
     * good.
     */
    private FileLock lock(long at) throws IOException, InterruptedException {
        FileLock lock = file.tryLock(at, 1, false);
        for (int i = 1; i < LOCK_TRIES && lock == null; i++) {
            Thread.sleep(1);
            lock = file.tryLock(at, 1, false);
        }
        return lock;
    }

    /** Tells the others that this process can serve. */
    void markReady() throws IOException, InterruptedException {
        ready = ready || ownSlot >= 0 && lock((long) READY_OFFSET + ownSlot) != null;
    }

    /**
     * Takes the right to speak to the peers, which one process has at a time; false where another
     * has it. This avoids two lives under one number, of which each hears half of the answers and
     * contradicts the other.
     */
    boolean claimSpeaker() throws IOException {
        if (ownSlot >= 0 && !isSpeaker) {
            speakerLock = file.tryLock(SPEAKER_OFFSET, 1, false);
            isSpeaker = speakerLock != null;
        }
        return ownSlot < 0 || isSpeaker;
    }

    /** Gives that right away. */
    void releaseSpeaker() throws IOException {
        isSpeaker = false;
        if (speakerLock != null && speakerLock.isValid()) {
            speakerLock.release();
        }
        speakerLock = null;
    }

    /** Looks who else runs now: some microseconds. */
    SiblingProcesses siblingProcesses() throws IOException {
        if (ownSlot < 0) {
            return SiblingProcesses.NONE;
        }
        boolean predecessor = false;
        boolean successor = false;
        boolean successorReady = false;
        for (int i = 0; i < SLOTS; i++) {
            if (i == ownSlot) {
                continue;
            }
            FileLock lock = file.tryLock(i, 1, false);
            if (lock != null) {
                lock.release();
            } else if (startedBefore(i)) {
                predecessor = true;
            } else {
                successor = true;
                FileLock probe = file.tryLock((long) READY_OFFSET + i, 1, false);
                successorReady |= probe == null;
                if (probe != null) {
                    probe.release();
                }
            }
        }
        return new SiblingProcesses(predecessor, successor, successorReady);
    }

    /**
     * Whether the process at a place began before this one; one that writes nothing is of a version
     * before.
     */
    private boolean startedBefore(int slot) throws IOException {
        ByteBuffer probe = ByteBuffer.allocate(Long.BYTES);
        return file.read(probe, startTimeOffset(slot)) < Long.BYTES
                || probe.getLong(0) - startedAt < 0;
    }
}
