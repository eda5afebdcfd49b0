package cedarrudder.lab.model;

import java.util.random.RandomGenerator;

/** How long messages take, one way, in nanoseconds. */
public final class Network {

    private final World world;
    private final RandomGenerator random;

    Network(World world, RandomGenerator random) {
        this.world = world;
        this.random = random;
    }

    /** Between a proxy and a node, or discovery. */
    public long nodes(int zone, int other) {
        return jittered(zone == other ? world.same : world.cross);
    }

    /** Between a client and a proxy. */
    public long clients() {
        return jittered(world.client);
    }

    /** Between proxies. */
    public long peers() {
        return jittered(world.peer);
    }

    private long jittered(double delay) {
        return (long) (delay * (1 + world.jitter * random.nextDouble()));
    }
}
