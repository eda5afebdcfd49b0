package cedarrudder.lab.cluster;

/**
 * What the wire between replicas does to datagrams.
 *
 * @param loss the share that is lost, from 0 to 1
 * @param doubled the share that comes twice
 * @param late the share that comes so late that others overtake it
 * @param corrupted the share of which bits are turned
 * @param minDelay of all, in nanoseconds
 * @param maxDelay the longest but for those that are late; delays are even between the two
 */
public record NetworkConditions(
        double loss, double doubled, double late, double corrupted, long minDelay, long maxDelay) {

    /** Nothing is lost, and what comes takes as long as within a building. */
    public static final NetworkConditions CALM =
            new NetworkConditions(0, 0, 0, 0, 100_000, 1_000_000);

    /** Whether nothing is done to datagrams but a delay. */
    boolean calm() {
        return loss == 0 && doubled == 0 && late == 0 && corrupted == 0;
    }
}
