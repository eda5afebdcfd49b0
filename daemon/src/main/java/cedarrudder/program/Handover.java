package cedarrudder.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Set;

/**
 * Which other processes run for this proxy, told by locks on bytes of one file: each process holds a byte as
 * long as it lives, and a second one once it is ready; one more byte is held by the one that speaks to the
 * peers. The kernel frees them when it dies, however it does.
 *
 * <p>The file is opened once in a process: closing any descriptor of it would free the locks of all.
 */
final class Handover {

    /** Processes of one proxy at once; an upgrade has two. */
    private static final int SLOTS = 8;

    /** Another process's look at a byte locks it for a moment: so many tries tell that from a process. */
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

    private final Path folder;
    private final Set<Integer> before = new HashSet<>();
    private FileChannel file;
    private int own = -1;
    private boolean ready;
    private FileLock speaks;

    Handover(Path folder) {
        this.folder = folder;
    }

    /** Takes a place among the processes; an IOException leaves this process alone, for all that it knows. */
    void join() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        file = FileChannel.open(folder.resolve("processes"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        for (int i = 0; i < SLOTS; i++) {
            if (held(i)) {
                before.add(i);
            }
        }
        // The place after the last that is held: guards against one that a predecessor has just left being
        // taken for the predecessor.
        int last = before.stream().mapToInt(Integer::intValue).max().orElse(-1);
        for (int i = 1; i <= SLOTS && own < 0; i++) {
            int place = (last + i) % SLOTS;
            if (!before.contains(place) && file.tryLock(place, 1, false) != null) {
                own = place;
            }
        }
        if (own < 0) {
            throw new IOException("there are " + SLOTS + " processes already");
        }
    }

    /** Whether another process holds this byte for good. */
    private boolean held(long at) throws IOException, InterruptedException {
        for (int i = 0; i < TRIES; i++) {
            FileLock lock = file.tryLock(at, 1, false);
            if (lock != null) {
                lock.release();
                return false;
            }
            Thread.sleep(1);
        }
        return true;
    }

    /** Tells the others that this process can serve. */
    void ready() throws IOException, InterruptedException {
        // Another process's look may hold it for a moment.
        for (int i = 0; own >= 0 && i < TRIES && !ready; i++) {
            ready = file.tryLock((long) SLOTS + own, 1, false) != null;
            if (!ready) {
                Thread.sleep(1);
            }
        }
    }

    /**
     * Takes the right to speak to the peers, which one process has at a time; false where another has it.
     * Guards against two lives under one number, of which each hears half of the answers and contradicts
     * the other.
     */
    boolean speak() throws IOException {
        if (own >= 0 && speaks == null) {
            speaks = file.tryLock(2L * SLOTS, 1, false);
        }
        return own < 0 || speaks != null;
    }

    /** Gives that right away. */
    void hush() throws IOException {
        if (speaks != null) {
            speaks.release();
            speaks = null;
        }
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
                before.remove(i);
            } else if (before.contains(i)) {
                predecessor = true;
            } else {
                successor = true;
                FileLock told = file.tryLock((long) SLOTS + i, 1, false);
                successorReady |= told == null;
                if (told != null) {
                    told.release();
                }
            }
        }
        return new Others(predecessor, successor, successorReady);
    }
}
