package cedarrudder.consensus;

import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * What a replica knows of the others of its tier: where they are, their lives, and when it heard of
 * them.
 */
final class ReplicaDirectory {

    private static final int TRIES = 16;

    private final int self;
    private final int[] zones;
    private final long[] incarnations;
    private final long[] heardAt;
    private final BitSet dead = new BitSet();

    ReplicaDirectory(int self, int[] zones, long now) {
        this.self = self;
        this.zones = zones.clone();
        this.incarnations = new long[zones.length];
        this.heardAt = new long[zones.length];
        Arrays.fill(heardAt, now - Long.MAX_VALUE / 4);
    }

    int replicas() {
        return zones.length;
    }

    int zone(int replica) {
        return zones[replica];
    }

    /** The largest life of a replica that was heard of. */
    long incarnation(int replica) {
        return incarnations[replica];
    }

    long heardAt(int replica) {
        return heardAt[replica];
    }

    void heard(long now, int replica, long incarnation) {
        incarnations[replica] = incarnation;
        heardAt[replica] = now;
    }

    /** Voters are reckoned from now on: those who were not heard of get the same time as all. */
    void expect(long now, int replica) {
        heardAt[replica] = Math.max(heardAt[replica], now);
    }

    void incarnations(int replica, boolean lives) {
        dead.set(replica, !lives);
    }

    boolean incarnations(int replica) {
        return !dead.get(replica);
    }

    int living() {
        return zones.length - dead.cardinality();
    }

    /** One of the others, of those that live where one is found soon; -1 where there is none. */
    int any(RandomGenerator random) {
        int found = -1;
        for (int i = 0; i < TRIES && zones.length > 1; i++) {
            found = random.nextInt(zones.length - 1);
            found += found >= self ? 1 : 0;
            if (incarnations(found)) {
                break;
            }
        }
        return found;
    }
}
