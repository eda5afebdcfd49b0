package cedarrudder.lab.failover;

/** A call of one of two classes: one that may be repeated, and one of more worth that may not. */
final class SimulatedRequest {

    static final double SAFE_SHARE = 0.7;
    static final double DEAR = 4;
    static final long DEADLINE = 1_500 * Site.MILLI;
    static final int ATTEMPTS = 3;

    final boolean safe;
    final long came;
    int attempts;
    boolean over;

    SimulatedRequest(boolean safe, long came) {
        this.safe = safe;
        this.came = came;
    }

    double worth() {
        return safe ? 1 : DEAR;
    }

    long deadline() {
        return came + DEADLINE;
    }
}
