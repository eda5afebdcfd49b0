package cedarrudder.lab.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The way of datagrams from one replica to another: what becomes of each is decided here, by the
 * weather and a random source alone. What is under way is bounded; beyond that the newest is lost,
 * as in a full buffer.
 */
public final class Link {

    /** A datagram that arrives. */
    public record Delivery(long at, byte[] datagram) {}

    /** Datagrams under way at once; a replica sends some 40 a second to all others together. */
    static final int MAX_UNDER_WAY = 256;

    /** One that is late takes up to this much longer, in nanoseconds. */
    private static final long LATE = 300_000_000L;

    private static final int MAX_TURNED = 8;

    private final RandomGenerator random;
    private int underWay;
    private boolean cut;

    Link(RandomGenerator random) {
        this.random = random;
    }

    /** Whether nothing passes from now on. */
    void cut(boolean now) {
        cut = now;
    }

    /** What becomes of a datagram; each delivery is to be followed by {@link #arrived}. */
    List<Delivery> sent(long now, byte[] datagram, NetworkConditions weather) {
        List<Delivery> deliveries = new ArrayList<>(2);
        int times =
                cut || random.nextDouble() < weather.loss()
                        ? 0
                        : random.nextDouble() < weather.doubled() ? 2 : 1;
        for (int i = 0; i < times && underWay < MAX_UNDER_WAY; i++) {
            long delay =
                    weather.minDelay()
                            + (long)
                                    (random.nextDouble()
                                            * (weather.maxDelay() - weather.minDelay()));
            if (random.nextDouble() < weather.late()) {
                delay += (long) (random.nextDouble() * LATE);
            }
            boolean turned = random.nextDouble() < weather.corrupted();
            deliveries.add(new Delivery(now + delay, turned ? turned(datagram) : datagram));
            underWay++;
        }
        return deliveries;
    }

    /**
     * One of those has arrived; false where the way was cut meanwhile, and it must not be handed
     * over.
     */
    boolean arrived() {
        underWay--;
        return !cut;
    }

    private byte[] turned(byte[] datagram) {
        byte[] changed = datagram.clone();
        for (int i = 1 + random.nextInt(MAX_TURNED); i > 0 && changed.length > 0; i--) {
            changed[random.nextInt(changed.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return changed;
    }
}
