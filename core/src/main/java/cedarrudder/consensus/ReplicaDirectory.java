package cedarrudder.consensus;

import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * What a copy knows of the others of its tier: where they are, their lives, and when it heard of
 * them.
 */
final class ReplicaDirectory {

    private static final int TRIES = 16;

    private final int self;
    private final int[] zones;
    private final long[] lives;
    private final long[] heardAt;
    private final BitSet dead = new BitSet();

    ReplicaDirectory(int self, int[] zones, long now) {
        this.self = self;
        this.zones = zones.clone();
        this.lives = new long[zones.length];
        this.heardAt = new long[zones.length];
        Arrays.fill(heardAt, now - Long.MAX_VALUE / 4);
    }

    int copies() {
        return zones.length;
    }

    int zone(int copy) {
        return zones[copy];
    }

    /** The largest life of a copy that was heard of. */
    long life(int copy) {
        return lives[copy];
    }

    long heardAt(int copy) {
        return heardAt[copy];
    }

    void heard(long now, int copy, long life) {
        lives[copy] = life;
        heardAt[copy] = now;
    }

    /** Voters are reckoned from now on: those who were not heard of get the same time as all. */
    void expect(long now, int copy) {
        heardAt[copy] = Math.max(heardAt[copy], now);
    }

    void lives(int copy, boolean lives) {
        dead.set(copy, !lives);
    }

    boolean lives(int copy) {
        return !dead.get(copy);
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
            if (lives(found)) {
                break;
            }
        }
        return found;
    }
}
