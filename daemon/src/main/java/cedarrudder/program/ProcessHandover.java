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
 * Registry of the processes that run for one proxy, based on locks on bytes of one file: each
 * process claims a slot, writes its start time there, and locks one byte while it runs and another
 * once it is ready; one more byte is locked by the process that communicates with the peers. The
 * kernel releases the locks when a process ends, in whatever way.
 *
 * <p>A process opens the file only once: closing any descriptor of the file would release all its
 * locks. Where the file has been removed, {@link #rejoinIfReplaced} claims a slot in the current
 * file.
 */
final class ProcessHandover {

    /** The maximum number of processes of one proxy at once; an upgrade has two. */
    private static final int SLOTS = 8;

    /**
     * Offsets of the bytes that a running process, a ready process, and a process that claims a
     * slot lock: those of running processes start at 0.
     */
    private static final int READY_OFFSET = SLOTS;

    private static final int CLAIMED_OFFSET = 2 * SLOTS;

    /** Offset of the byte that is locked while the state in the folder is restored. */
    private static final int RESTORING_OFFSET = 3 * SLOTS;

    /** Offset of the byte that the process with the peer role locks. */
    private static final int PEER_ROLE_OFFSET = RESTORING_OFFSET + 1;

    /**
     * Offsets in the content of the file: a byte that is set once the folder has been restored, and
     * then the start time of each process.
     */
    private static final int RESTORED_FLAG_OFFSET = 0;

    private static final int START_TIMES_OFFSET = 8;

    /**
     * The maximum number of attempts to lock a byte. Another process's check locks a byte for a
     * moment, so a single failed attempt does not show that the byte is locked permanently.
     */
    private static final int LOCK_TRIES = 5;

    /**
     * The other processes that run.
     *
     * @param predecessor whether one started before this one
     * @param successor whether one started later
     * @param successorReady whether a successor is ready to serve
     */
    record SiblingProcesses(boolean predecessor, boolean successor, boolean successorReady) {

        static final SiblingProcesses NONE = new SiblingProcesses(false, false, false);

        boolean any() {
            return predecessor || successor;
        }
    }

    /** Restores the state that this process has of a folder that has been cleared. */
    interface FolderRestorer {
        void run() throws IOException;
    }

    private final Path folder;

    /**
     * The start time of this process, in nanoseconds of the monotonic clock, which all processes of
     * a machine share and nobody sets.
     */
    private final long startedAt = System.nanoTime();

    private FileChannel file;
    private Object fileKey;
    private int ownSlot = -1;
    private boolean ready;
    private FileLock peerRoleLock;

    /** Remains true while the file is replaced by another one. */
    private boolean hasPeerRole;

    ProcessHandover(Path folder) {
        this.folder = folder;
    }

    /**
     * Claims a slot among the processes.
     *
     * @throws IOException if that fails; this process then acts as the only one
     */
    void join() throws IOException, InterruptedException {
        open();
        claimSlot();
    }

    /**
     * Claims a slot in the current file if the file was removed and replaced. One of the processes
     * that had a slot before restores the state of the folder before any of them is visible again,
     * so that a process that starts afterwards finds the others and the disabled endpoints.
     *
     * @param mayRestore whether this process may restore the folder; otherwise an IOException says
     *     that the caller has to try again
     * @return whether the file was replaced
     */
    boolean rejoinIfReplaced(boolean mayRestore, FolderRestorer restorer)
            throws IOException, InterruptedException {
        if (file == null || ownSlot >= 0 && fileKey.equals(currentFileKey())) {
            return false;
        }
        // Reset until a slot is claimed, so that the next call tries again after a failure.
        ownSlot = -1;
        file.close();
        open();
        FileLock lock = lock(RESTORING_OFFSET);
        if (lock == null) {
            throw new IOException("another process is restoring " + folder + " now");
        }
        try {
            if (hasPeerRole) {
                // Locked before the flag is set below, after which other processes could lock it.
                peerRoleLock = lock(PEER_ROLE_OFFSET);
            }
            ByteBuffer flag = ByteBuffer.allocate(1);
            if (file.read(flag, RESTORED_FLAG_OFFSET) < 1 || flag.get(0) == 0) {
                if (!mayRestore) {
                    throw new IOException("the predecessor has to restore " + folder + " first");
                }
                restorer.run();
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

    /**
     * Returns the key of the current file; a new object, equal to no other key, where there is
     * none.
     */
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
            if (isLocked(i)) {
                // A process of an earlier version, which locks no claim byte, uses the slot.
                claim.release();
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

    /** Returns whether another process locks this byte permanently. */
    private boolean isLocked(long at) throws IOException, InterruptedException {
        FileLock lock = lock(at);
        if (lock != null) {
            lock.release();
        }
        return lock == null;
    }

    /**
     * Locks a byte, which another process's check may lock for a moment; returns null where another
     * process locks it permanently.
     */
    private FileLock lock(long at) throws IOException, InterruptedException {
        FileLock lock = file.tryLock(at, 1, false);
        for (int i = 1; i < LOCK_TRIES && lock == null; i++) {
            Thread.sleep(1);
            lock = file.tryLock(at, 1, false);
        }
        return lock;
    }

    /** Returns the number of this process's slot; -1 if it has none. */
    int ownSlot() {
        return ownSlot;
    }

    /** Notifies the other processes that this one can serve. */
    void markReady() throws IOException, InterruptedException {
        ready = ready || ownSlot >= 0 && lock((long) READY_OFFSET + ownSlot) != null;
    }

    /**
     * Acquires the right to communicate with the peers, which one process has at a time; returns
     * false where another process has it. Otherwise two incarnations would use one replica number,
     * each would receive half of the answers, and they would contradict each other.
     */
    boolean claimPeerRole() throws IOException {
        if (ownSlot >= 0 && !hasPeerRole) {
            peerRoleLock = file.tryLock(PEER_ROLE_OFFSET, 1, false);
            hasPeerRole = peerRoleLock != null;
        }
        return ownSlot < 0 || hasPeerRole;
    }

    /** Releases that right. */
    void releasePeerRole() throws IOException {
        hasPeerRole = false;
        if (peerRoleLock != null && peerRoleLock.isValid()) {
            peerRoleLock.release();
        }
        peerRoleLock = null;
    }

    /** Returns the other processes that run now; takes some microseconds. */
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
                FileLock readyLock = file.tryLock((long) READY_OFFSET + i, 1, false);
                successorReady |= readyLock == null;
                if (readyLock != null) {
                    readyLock.release();
                }
            }
        }
        return new SiblingProcesses(predecessor, successor, successorReady);
    }

    /**
     * Returns whether the process in a slot started before this one; a process that writes no start
     * time is of an earlier version.
     */
    private boolean startedBefore(int slot) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES);
        return file.read(buffer, startTimeOffset(slot)) < Long.BYTES
                || buffer.getLong(0) - startedAt < 0;
    }
}
