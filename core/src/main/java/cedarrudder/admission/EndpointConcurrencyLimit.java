package cedarrudder.admission;

/**
 * How many requests one endpoint may hold, learned from how long its answers take for their work.
 *
 * <p>An endpoint that holds far more than it can work on is driven past what it does best: it may
 * slow down as a whole, and stay slow while the same load comes. So the limit begins at a safe
 * value. It grows only while the endpoint is at it and still answers in hardly more than the time
 * that the work was said to take, so that nothing waits there; and it goes back when answers take
 * clearly longer. A small endpoint keeps the safe value; one of many processors comes to hold many.
 *
 * <p>This is TCP Vegas (Brakmo and Peterson, 1995), as in Netflix' concurrency-limits, with the
 * work that a request was said to need in place of the least time seen. An endpoint that is full
 * from the first moment on never shows its least time, and a least time that is too long drives the
 * limit up without end.
 */
public final class EndpointConcurrencyLimit {

    /**
     * Answers that count, about, and that must have been seen before the limit moves: samples, no
     * time.
     */
    private static final int ANSWERS = 20;

    /** Up to this many times the work said, nothing waits: the way there takes its time, too. */
    private static final double EASY = 1.25;

    /** Past this many times the work said, much waits. */
    private static final double BUSY = 2;

    /** The endpoint is at its limit when it holds no less than the limit, less this. */
    private static final double NEAR = 1;

    /**
     * So few copies see the same part of the calls, each. With more, a copy has one or two calls at
     * an endpoint whatever the site, and its own figure says little of the others'.
     */
    private static final int FEW_REPLICAS = 3;

    /**
     * For this long, in nanoseconds, a report tells of what others have at an endpoint. No setting
     * tells how old reports are; they are refreshed some times a second where there are any.
     */
    private static final long REPORT_TELLS = 2_000_000_000L;

    private final double start;
    private double others;
    private long othersAt;
    private double limit;
    private double time;
    private double work;
    private int answers;

    /**
     * @param start the safe number of requests, to begin with and always; 0: there is no limit
     */
    public EndpointConcurrencyLimit(double start) {
        this.start = start;
        this.limit = start > 0 ? start : Double.POSITIVE_INFINITY;
    }

    /**
     * Takes in a good answer. One whose work is not known ends the limit: it could not be learned.
     *
     * @param held requests that the endpoint held, this one among them
     * @param latency how long the answer took, in nanoseconds
     * @param said the work that the request was said to need, in nanoseconds; 0: not known
     */
    public void answered(double held, double latency, double said) {
        if (said <= 0) {
            limit = Double.POSITIVE_INFINITY;
        }
        double kept = 1 - 1.0 / ANSWERS;
        time = time * kept + latency;
        work = work * kept + said;
        if (++answers >= ANSWERS && time < EASY * work && held >= limit - NEAR) {
            limit += 1 / limit;
        } else if (answers >= ANSWERS && time > BUSY * work) {
            limit = Math.max(Math.min(start, limit), limit - 1 / limit);
        }
    }

    /** Whether an endpoint that holds this many requests may be given another. */
    public boolean room(double held) {
        return held < limit;
    }

    /** Takes in how many requests of others the endpoint reported to hold at an instant. */
    public void reported(long now, double ofOthers) {
        others = Math.max(0, ofOthers);
        othersAt = now;
    }

    /**
     * How many requests the endpoint holds now. Where few copies send, each has an equal part of
     * the calls, and its own figure is newer than any report. Where many do, each has one or two
     * calls out here, and only a report tells of the others'.
     *
     * @param own how many of this copy's it holds
     */
    public double held(long now, int own, int replicas) {
        double told = now - othersAt < REPORT_TELLS ? others : 0;
        return own + (replicas <= FEW_REPLICAS ? own * (replicas - 1) : told);
    }

    /** Requests that the endpoint may hold. */
    public double limit() {
        return limit;
    }
}
