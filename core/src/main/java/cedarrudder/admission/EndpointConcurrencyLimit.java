package cedarrudder.admission;

/**
 * How many requests one endpoint may hold, learned from how long its answers take for their work.
 *
 * <p>An endpoint that holds far more than it can work on may slow down as a whole, and stay slow
 * while the same load comes. So the limit begins at a safe value. It grows only while the endpoint
 * is at it and still answers in hardly more than the time that the work was said to take, so that
 * nothing waits there; and it shrinks when answers take clearly longer. A small endpoint keeps the
 * safe value; one of many processors comes to hold many.
 *
 * <p>This is TCP Vegas (Brakmo and Peterson, 1995), as in Netflix' concurrency-limits, with the
 * work that a request was said to need in place of the least time seen. An endpoint that is full
 * from the first moment on never shows its least time, and one that is too long drives the limit up
 * without end.
 */
public final class EndpointConcurrencyLimit {

    /** Answers that count, about, and that must have been seen before the limit moves. */
    private static final int WINDOW_ANSWERS = 20;

    /** Up to this many times the work said, nothing waits: the network takes its time, too. */
    private static final double NO_QUEUE_STRETCH = 1.25;

    /** Past this many times the work said, much waits. */
    private static final double LONG_QUEUE_STRETCH = 2;

    /** The endpoint is at its limit when it holds no less than the limit, less this. */
    private static final double AT_LIMIT_MARGIN = 1;

    /**
     * Up to this many replicas each see an equal part of the requests. With more, a replica has one
     * or two requests at an endpoint, and its own number says little of the others'.
     */
    private static final int FEW_REPLICAS = 3;

    /**
     * For this long, in nanoseconds, a report tells what others have in flight. No setting tells
     * how old reports are; they are refreshed some times a second where there are any.
     */
    private static final long REPORT_VALIDITY_NANOS = 2_000_000_000L;

    private static final double RETAINED = 1 - 1.0 / WINDOW_ANSWERS;

    private final double initialLimit;
    private double inFlightOfOthers;
    private long reportedAt;
    private double limit;
    private double latencySum;
    private double expectedSum;
    private int answers;

    /**
     * A limit for one endpoint.
     *
     * @param initialLimit the safe number of requests, to begin with and always; 0: there is no
     *     limit
     */
    public EndpointConcurrencyLimit(double initialLimit) {
        this.initialLimit = initialLimit;
        this.limit = initialLimit > 0 ? initialLimit : Double.POSITIVE_INFINITY;
    }

    /**
     * Takes a good answer. One whose work is not known removes the limit: it can't be learned.
     *
     * @param inFlight requests that the endpoint held, this one among them
     * @param latencyNanos how long the answer took
     * @param expectedWorkNanos the work that the request was said to need; 0: not known
     */
    public void onResponse(double inFlight, double latencyNanos, double expectedWorkNanos) {
        if (expectedWorkNanos <= 0) {
            limit = Double.POSITIVE_INFINITY;
        }
        latencySum = latencySum * RETAINED + latencyNanos;
        expectedSum = expectedSum * RETAINED + expectedWorkNanos;
        answers++;
        if (answers < WINDOW_ANSWERS) {
            return;
        }
        boolean atLimit = inFlight >= limit - AT_LIMIT_MARGIN;
        if (latencySum < NO_QUEUE_STRETCH * expectedSum && atLimit) {
            limit += 1 / limit;
        } else if (latencySum > LONG_QUEUE_STRETCH * expectedSum) {
            limit = Math.max(Math.min(initialLimit, limit), limit - 1 / limit);
        }
    }

    /** Whether an endpoint that holds this many requests may be given another. */
    public boolean hasCapacity(double inFlight) {
        return inFlight < limit;
    }

    /** Takes how many requests of other replicas the endpoint reported to hold at an instant. */
    public void onLoadReport(long now, double ofOthers) {
        inFlightOfOthers = Math.max(0, ofOthers);
        reportedAt = now;
    }

    /**
     * How many requests the endpoint holds now. Where few replicas send, each has an equal part of
     * the requests, and its own number is newer than any report. Where many do, each has one or two
     * requests there, and only a report tells of the others'.
     *
     * @param own how many of this replica's it holds
     */
    public double inFlight(long now, int own, int replicas) {
        if (replicas <= FEW_REPLICAS) {
            return own + own * (replicas - 1);
        }
        return own + (now - reportedAt < REPORT_VALIDITY_NANOS ? inFlightOfOthers : 0);
    }

    /** Requests that the endpoint may hold. */
    public double limit() {
        return limit;
    }
}
