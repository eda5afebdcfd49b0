package cedarrudder.consensus;

import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * The replicas of the tier as one of them knows the others: their zones and incarnations, whether
 * they are alive, and when their last message was received.
 */
final class ReplicaDirectory {

    private static final int MAX_RANDOM_TRIES = 16;

    private final int self;
    private final int[] zones;
    private final long[] incarnations;
    private final long[] lastReceivedAt;
    private final BitSet dead = new BitSet();

    ReplicaDirectory(int self, int[] zones, long now) {
        this.self = self;
        this.zones = zones.clone();
        this.incarnations = new long[zones.length];
        this.lastReceivedAt = new long[zones.length];
        Arrays.fill(lastReceivedAt, now - Long.MAX_VALUE / 4);
    }

    int replicas() {
        return zones.length;
    }

    int zone(int replica) {
        return zones[replica];
    }

    /** Returns the highest known incarnation of a replica; 0 if none is known. */
    long incarnation(int replica) {
        return incarnations[replica];
    }

    long lastReceivedAt(int replica) {
        return lastReceivedAt[replica];
    }

    void onMessageReceived(long now, int replica, long incarnation) {
        incarnations[replica] = incarnation;
        lastReceivedAt[replica] = now;
    }

    /** Records that a voter is expected to answer from now on, even if it never sent anything. */
    void expectAnswer(long now, int replica) {
        lastReceivedAt[replica] = Math.max(lastReceivedAt[replica], now);
    }

    void setAlive(int replica, boolean alive) {
        dead.set(replica, !alive);
    }

    boolean isAlive(int replica) {
        return !dead.get(replica);
    }

    int liveCount() {
        return zones.length - dead.cardinality();
    }

    /**
     * Returns one of the other replicas at random, preferably one that is alive; -1 if there are no
     * others.
     */
    int random(RandomGenerator random) {
        int found = -1;
        for (int i = 0; i < MAX_RANDOM_TRIES && zones.length > 1; i++) {
            found = random.nextInt(zones.length - 1);
            found += found >= self ? 1 : 0;
            if (isAlive(found)) {
                break;
            }
        }
        return found;
    }
}
