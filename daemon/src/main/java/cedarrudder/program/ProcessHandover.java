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
 * Which other processes run for this proxy, told by locks on bytes of one file: each process claims
 * a place, writes there since when it runs, holds a byte as long as it lives, and another once it
 * is ready; one more byte is held by the one that speaks to the peers. The kernel frees them when
 * it dies, however it does.
 *
 * <p>The file is open once in a process: closing any descriptor of it would free the locks of all.
 * Where somebody has removed it, {@link #renew} takes a place in the one that is there now.
 */
final class ProcessHandover {

    /** Processes of one proxy at once; an upgrade has two. */
    private static final int SLOTS = 8;

    /**
     * Where a process that lives, one that is ready, and one that takes a place, hold their bytes.
     */
    private static final int READY = SLOTS;

    private static final int CLAIMED = 2 * SLOTS;

    /** Held while what the folder said is written anew. */
    private static final int RESTORING = 3 * SLOTS;

    /** Held by the process that speaks to the peers. */
    private static final int SPEAKING = RESTORING + 1;

    /**
     * What the file holds: a byte that says whether that was done, and then since when each process
     * runs.
     */
    private static final int RESTORED = 0;

    private static final int SINCE = 8;

    /**
     * Another process's look at a byte locks it for a moment: this many tries tell that from a
     * process.
     */
    private static final int TRIES = 5;

    /**
     * Who else runs.
     *
     * @param predecessor one that ran before this one
     * @param successor one that was started later
     * @param successorReady and can serve
     */
    record Others(boolean predecessor, boolean successor, boolean successorReady) {

        static final Others NONE = new Others(false, false, false);

        boolean any() {
            return predecessor || successor;
        }
    }

    /** Writes what this process holds of the folder, which somebody has emptied. */
    interface Restoring {
        void run() throws IOException;
    }

    private final Path folder;

    /** By the clock that all processes of a machine share and nobody sets. */
    private final long since = System.nanoTime();

    private FileChannel file;
    private Object identity;
    private int own = -1;
    private boolean ready;
    private FileLock speaks;

    /** Whether this process is the one that speaks, also while the file is another one. */
    private boolean spoke;

    ProcessHandover(Path folder) {
        this.folder = folder;
    }

    /**
     * Takes a place among the processes; an IOException leaves this process alone, for all that it
     * knows.
     */
    void join() throws IOException, InterruptedException {
        open();
        takePlace();
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
    boolean renew(boolean may, Restoring restoring) throws IOException, InterruptedException {
        if (file == null || own >= 0 && identity.equals(identity())) {
            return false;
        }
        own = -1; // until it has a place: this avoids a failure here being the last look at it
        file.close();
        open();
        FileLock lock = lock(RESTORING);
        if (lock == null) {
            throw new IOException("another process writes " + folder + " anew");
        }
        try {
            if (spoke) {
                speaks = lock(SPEAKING); // before others can: see the flag below
            }
            ByteBuffer flag = ByteBuffer.allocate(1);
            if (file.read(flag, RESTORED) < 1 || flag.get(0) == 0) {
                if (!may) {
                    throw new IOException(
                            "the process before this one is to write " + folder + " anew");
                }
                restoring.run();
                file.write(ByteBuffer.wrap(new byte[] {1}), RESTORED);
            }
        } finally {
            lock.release();
        }
        takePlace();
        if (ready) {
            ready = false;
            ready();
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
        identity = identity();
    }

    /** Which file is there now; another object than any other's where there is none. */
    private Object identity() throws IOException {
        try {
            return Files.readAttributes(folder.resolve("processes"), BasicFileAttributes.class)
                    .fileKey();
        } catch (NoSuchFileException e) {
            return new Object();
        }
    }

    private void takePlace() throws IOException, InterruptedException {
        for (int i = 0; i < SLOTS && own < 0; i++) {
            FileLock claim = lock(CLAIMED + i);
            if (claim == null) {
                continue;
            }
            if (held(i)) {
                claim.release(); // by a version that makes no claims
                continue;
            }
            file.write(ByteBuffer.allocate(Long.BYTES).putLong(0, since), at(i));
            if (lock(i) == null) {
                claim.release();
            } else {
                own = i;
            }
        }
        if (own < 0) {
            throw new IOException("there are " + SLOTS + " processes already");
        }
    }

    private static long at(int slot) {
        return SINCE + (long) slot * Long.BYTES;
    }

    /** Whether another process holds this byte for good. */
    private boolean held(long at) throws IOException, InterruptedException {
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
        for (int i = 1; i < TRIES && lock == null; i++) {
            Thread.sleep(1);
            lock = file.tryLock(at, 1, false);
        }
        return lock;
    }

    /** Tells the others that this process can serve. */
    void ready() throws IOException, InterruptedException {
        ready = ready || own >= 0 && lock((long) READY + own) != null;
    }

    /**
     * Takes the right to speak to the peers, which one process has at a time; false where another
     * has it. This avoids two lives under one number, of which each hears half of the answers and
     * contradicts the other.
     */
    boolean speak() throws IOException {
        if (own >= 0 && !spoke) {
            speaks = file.tryLock(SPEAKING, 1, false);
            spoke = speaks != null;
        }
        return own < 0 || spoke;
    }

    /** Gives that right away. */
    void hush() throws IOException {
        spoke = false;
        if (speaks != null && speaks.isValid()) {
            speaks.release();
        }
        speaks = null;
    }

    /** Looks who else runs now: some microseconds. */
    Others look() throws IOException {
        if (own < 0) {
            return Others.NONE;
        }
        boolean predecessor = false;
        boolean successor = false;
        boolean successorReady = false;
        for (int i = 0; i < SLOTS; i++) {
            if (i == own) {
                continue;
            }
            FileLock lock = file.tryLock(i, 1, false);
            if (lock != null) {
                lock.release();
            } else if (ranBefore(i)) {
                predecessor = true;
            } else {
                successor = true;
                FileLock told = file.tryLock((long) READY + i, 1, false);
                successorReady |= told == null;
                if (told != null) {
                    told.release();
                }
            }
        }
        return new Others(predecessor, successor, successorReady);
    }

    /**
     * Whether the process at a place began before this one; one that writes nothing is of a version
     * before.
     */
    private boolean ranBefore(int slot) throws IOException {
        ByteBuffer told = ByteBuffer.allocate(Long.BYTES);
        return file.read(told, at(slot)) < Long.BYTES || told.getLong(0) - since < 0;
    }
}
