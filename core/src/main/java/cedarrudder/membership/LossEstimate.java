package cedarrudder.membership;

/**
 * The share of round trips that the network loses, as one instance sees it: of the probes that were
 * answered in the end, those whose first ping was not. The dead, which never answer, don't count.
 */
final class LossEstimate {

    /** An average over the last 32 answers or so. */
    private static final double NEWEST_WEIGHT = 1.0 / 32;

    private double missRate;

    /** A probe was answered, by its first ping or a later one. */
    void onAnswer(boolean byFirstPing) {
        missRate += ((byFirstPing ? 0 : 1) - missRate) * NEWEST_WEIGHT;
    }

    /**
     * How many silences in a row loss alone hardly explains.
     *
     * @param chance of that many losses in a row which is accepted
     */
    int silencesBeforeSuspicion(double chance) {
        return missRate <= 0 ? 1 : (int) Math.ceil(Math.log(chance) / Math.log(missRate));
    }
}
