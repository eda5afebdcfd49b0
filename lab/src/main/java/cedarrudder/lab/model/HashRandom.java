package cedarrudder.lab.model;

/**
 * Numbers that look random and follow from what they are of: the work of a given attempt of a given
 * request is the same whatever else happened before, so that two variants of one seed see the same
 * requests.
 *
 * <p>The finaliser is that of MurmurHash3 with the constants of "mix13" (Stafford), as in
 * SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators, OOPSLA 2014).
 */
public final class HashRandom {

    private static final long GOLDEN = 0x9E3779B97F4A7C15L;

    private HashRandom() {}

    /** One number of two. */
    public static long of(long a, long b) {
        return mix(mix(a + GOLDEN) + (b + 1) * GOLDEN);
    }

    private static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** Evenly from 0, inclusive, to 1, exclusive. */
    public static double unit(long bits) {
        return (mix(bits) >>> 11) * 0x1p-53;
    }

    /** From the normal distribution of mean 0 and deviation 1 (Box and Muller 1958). */
    static double normal(long bits) {
        double radius = Math.sqrt(-2 * StrictMath.log(1 - unit(bits)));
        return radius * StrictMath.cos(2 * Math.PI * unit(bits + GOLDEN));
    }
}
