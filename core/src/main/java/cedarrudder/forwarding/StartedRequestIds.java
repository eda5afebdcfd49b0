package cedarrudder.forwarding;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;

/**
 * The ids of requests of which an attempt may have run, as hashes, and since when. The memory is
 * bounded: each process of a proxy writes to a region of its own, where a new id replaces the
 * oldest answered one of its bucket, or else the oldest; all processes read all regions. Entries
 * expire after {@link #RETENTION_NANOS}.
 *
 * <p>Clients send each request with a new id. One may send an id again on a new connection, if the
 * former one was closed before the answer; that answer may have been written, and the earlier copy
 * may be decoded after the later one.
 *
 * <p>Not thread-safe, but several processes may use the same memory.
 */
public final class StartedRequestIds {

    /** The maximum number of processes. */
    public static final int REGIONS = 8;

    /** The time after which an id is forgotten, longer than any client waits for an answer. */
    static final long RETENTION_NANOS = 60_000_000_000L;

    private static final int BUCKETS = 512;

    /** So many that buckets are about evenly full: some 300 ids a second are kept. */
    private static final int ENTRIES_PER_BUCKET = 64;

    private static final int ENTRY_BYTES = 2 * Long.BYTES;
    private static final int BUCKET_BYTES = ENTRIES_PER_BUCKET * ENTRY_BYTES;
    private static final int REGION_BYTES = BUCKETS * BUCKET_BYTES;

    /** The size of the memory of all regions. */
    public static final int SHARED_BYTES = REGIONS * REGION_BYTES;

    /** Set in the key of an id that is not marked as answered. */
    private static final long UNANSWERED_BIT = 1;

    private static final long FNV_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** Returned instead of an instant if an id was absent. */
    public static final long ABSENT = Long.MIN_VALUE;

    private ByteBuffer memory;
    private int ownRegion;

    /** Creates an empty set that no other process shares. */
    public StartedRequestIds() {
        this.memory = ByteBuffer.allocate(REGION_BYTES);
    }

    /**
     * Uses shared memory from now on and copies this process's ids into it.
     *
     * @param shared memory of {@link #SHARED_BYTES}, zero at first
     * @param region the region of this process, which no other process that runs has
     */
    public void share(ByteBuffer shared, int region, long now) {
        ByteBuffer former = memory;
        int formerRegion = ownRegion;
        memory = shared;
        ownRegion = region;
        int from = formerRegion * REGION_BYTES;
        for (int at = from; at < from + REGION_BYTES; at += ENTRY_BYTES) {
            if (isLive(former, at, now)) {
                put(former.getLong(at), former.getLong(at + Long.BYTES), now);
            }
        }
    }

    /**
     * Adds an id unless it is present, here or at another process. Of two processes that add one at
     * the same time, at most one gets {@link #ABSENT}.
     *
     * @return the instant since which it has been present; {@link #ABSENT} if it was added
     */
    public long addIfAbsent(String id, long now) {
        long hash = hash(id);
        long since = find(hash, now, -1);
        if (since != ABSENT) {
            return since;
        }
        put(hash, now, now);
        long sinceElsewhere = find(hash, now, ownRegion);
        if (sinceElsewhere != ABSENT) {
            remove(id);
        }
        return sinceElsewhere;
    }

    /** Removes an id that this process has added: it is proven not to have run. */
    public void remove(String id) {
        replaceKey(hash(id), 0);
    }

    /** Marks an id that this process has added as answered: it is replaced before others. */
    public void markAnswered(String id) {
        replaceKey(hash(id), hash(id) & ~UNANSWERED_BIT);
    }

    private void replaceKey(long hash, long key) {
        int bucket = bucket(ownRegion, hash);
        for (int at = bucket; at < bucket + BUCKET_BYTES; at += ENTRY_BYTES) {
            if (isKeyOf(memory.getLong(at), hash)) {
                memory.putLong(at, key);
            }
        }
    }

    /** Returns whether a key is that of a hash, answered or not; 0 is the key of none. */
    private static boolean isKeyOf(long key, long hash) {
        return key != 0 && (key | UNANSWERED_BIT) == hash;
    }

    private long find(long hash, long now, int exceptRegion) {
        VarHandle.fullFence();
        for (int region = 0; region * REGION_BYTES < memory.capacity(); region++) {
            int bucket = bucket(region, hash);
            int end = region == exceptRegion ? bucket : bucket + BUCKET_BYTES;
            for (int at = bucket; at < end; at += ENTRY_BYTES) {
                if (isKeyOf(memory.getLong(at), hash) && isLive(memory, at, now)) {
                    return memory.getLong(at + Long.BYTES);
                }
            }
        }
        return ABSENT;
    }

    private void put(long hash, long since, long now) {
        int bucket = bucket(ownRegion, hash);
        int chosen = bucket;
        for (int at = bucket; at < bucket + BUCKET_BYTES; at += ENTRY_BYTES) {
            if (!isLive(memory, at, now)) {
                chosen = at;
                break;
            }
            if (isReplacedBefore(at, chosen)) {
                chosen = at;
            }
        }
        memory.putLong(chosen + Long.BYTES, since);
        memory.putLong(chosen, hash);
        VarHandle.fullFence();
    }

    private boolean isReplacedBefore(int at, int other) {
        long unanswered = memory.getLong(at) & UNANSWERED_BIT;
        long otherUnanswered = memory.getLong(other) & UNANSWERED_BIT;
        return unanswered == otherUnanswered
                ? memory.getLong(at + Long.BYTES) < memory.getLong(other + Long.BYTES)
                : unanswered == 0;
    }

    /** Returns whether an entry is used and not expired; one from before a reboot may be later. */
    private static boolean isLive(ByteBuffer memory, int at, long now) {
        long age = now - memory.getLong(at + Long.BYTES);
        return memory.getLong(at) != 0 && age >= 0 && age < RETENTION_NANOS;
    }

    private static int bucket(int region, long hash) {
        return region * REGION_BYTES + (int) (hash >>> 1 & BUCKETS - 1) * BUCKET_BYTES;
    }

    /** Hashes an id, with {@link #UNANSWERED_BIT}: 0 marks an unused entry. */
    private static long hash(String id) {
        long hash = FNV_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        return (hash ^ hash >>> 27) | UNANSWERED_BIT;
    }
}
