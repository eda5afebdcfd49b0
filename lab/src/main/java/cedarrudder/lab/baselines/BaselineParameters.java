package cedarrudder.lab.baselines;

/**
 * What the rivals share besides the rules. The budget of further attempts is Finagle's {@code
 * RetryBudget} with its defaults: a fifth of the calls and 10 a second, saved up for 10 seconds.
 *
 * @param retries further attempts of one request at most
 * @param perCall further attempts that each call pays for
 * @param perSecond further attempts that are free each second
 * @param saved further attempts that may be saved up
 * @param holdShare a request that no node may take now is kept for this share of its aim at most
 */
record BaselineParameters(
        int retries, double perCall, double perSecond, double saved, double holdShare) {

    static final BaselineParameters USUAL = new BaselineParameters(1, 0.2, 10, 100, 0.5);
}
