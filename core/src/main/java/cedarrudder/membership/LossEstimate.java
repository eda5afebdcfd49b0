package cedarrudder.membership;

/**
 * How often a question that was answered in the end was not answered at once: what the network
 * loses there and back, as one instance sees it. The dead, who never answer, don't count.
 */
final class LossEstimate {

    /** The last 32 answers or so. */
    private static final double NEWEST = 1.0 / 32;

    private double missed;

    /** A question was answered, at once or only when asked again. */
    void onAnswer(boolean atOnce) {
        missed += ((atOnce ? 0 : 1) - missed) * NEWEST;
    }

    /**
     * How often one must have stayed silent until that is hardly the network's doing.
     *
     * @param chance that all of it was lost
     */
    int maxSilences(double chance) {
        return missed <= 0 ? 1 : (int) Math.ceil(Math.log(chance) / Math.log(missed));
    }
}
