package cedarrudder.membership;

/**
 * The fraction of round trips that the network loses, as one instance observes it: of the probes
 * that were answered in the end, those whose first ping was not. Dead instances, which never
 * answer, are not counted.
 */
final class LossEstimate {

    /** The average covers about the last 32 answers. */
    private static final double NEWEST_WEIGHT = 1.0 / 32;

    private double missRate;

    /**
     * Records an answered probe.
     *
     * @param byFirstPing whether its first ping was answered, or a later one
     */
    void onAnswer(boolean byFirstPing) {
        missRate += ((byFirstPing ? 0 : 1) - missRate) * NEWEST_WEIGHT;
    }

    /**
     * Returns the number of consecutive misses that loss alone hardly explains.
     *
     * @param chance the accepted probability of that many losses in a row
     */
    int missesBeforeSuspicion(double chance) {
        return missRate <= 0 ? 1 : (int) Math.ceil(Math.log(chance) / Math.log(missRate));
    }
}
