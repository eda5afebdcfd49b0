package cedarrudder.lab.cluster;

import java.util.random.RandomGenerator;

/**
 * Makes datagrams that no sound copy sends now: garbage, what was said long ago, and what is too
 * long.
 */
final class MessageCorruption {

    private static final int RETAINED = 64;
    private static final int MAX_BYTES = 256;
    private static final int MAX_OVERSIZED = 1_400;

    private final RandomGenerator random;
    private final byte[][] former = new byte[RETAINED][];
    private int seen;

    MessageCorruption(RandomGenerator random) {
        this.random = random;
    }

    /** Keeps one that passed, to be said again. */
    void saw(byte[] datagram) {
        if (seen < RETAINED) {
            former[seen++] = datagram; // the first ones: the oldest lives
        }
    }

    byte[] next() {
        int kind = random.nextInt(3);
        if (kind == 0 && seen > 0) {
            return former[random.nextInt(seen)];
        }
        byte[] bytes =
                new byte
                        [kind == 1
                                ? MAX_BYTES + 1 + random.nextInt(MAX_OVERSIZED - MAX_BYTES)
                                : random.nextInt(MAX_BYTES + 1)];
        random.nextBytes(bytes);
        return bytes;
    }
}
