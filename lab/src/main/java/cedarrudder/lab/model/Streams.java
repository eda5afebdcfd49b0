package cedarrudder.lab.model;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The sources of random numbers of a run, one for each concern, all from the run's seed. Two
 * variants of one seed take the same numbers from those of the world, the arrivals and the faults,
 * whatever they do: runs stay paired.
 */
public final class Streams {

    /** What a source is for. The order is part of what a seed means. */
    public enum Concern {
        WORLD,
        MACHINE,
        ARRIVALS,
        FAULTS,
        NETWORK,
        REPORTS,
        DISCOVERY,
        PEERS,
        REQUESTS,
        MODULE
    }

    private static final RandomGeneratorFactory<RandomGenerator> ALGORITHM =
            RandomGeneratorFactory.of("L64X128MixRandom");

    private final long seed;

    Streams(long seed) {
        this.seed = seed;
    }

    /** A source of its own; {@code index} tells those of one concern apart. */
    public RandomGenerator of(Concern concern, long index) {
        return ALGORITHM.create(seedOf(concern, index));
    }

    /** The seed of such a source. */
    public long seedOf(Concern concern, long index) {
        return HashRandom.of(HashRandom.of(seed, concern.ordinal()), index);
    }
}
