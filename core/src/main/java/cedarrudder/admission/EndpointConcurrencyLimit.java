package cedarrudder.admission;

/**
 * The limit on the number of requests in flight at one endpoint, learned from the latency of its
 * responses compared with their expected work.
 *
 * <p>An endpoint with far more requests in flight than it can work on may slow down as a whole, and
 * stay slow under the same load. So the limit begins at a safe value. It is raised only while the
 * endpoint is at the limit and still responds in hardly more than the expected time, so that no
 * queue builds up there; and it is lowered when responses take clearly longer. A small endpoint
 * keeps the safe value; the limit of an endpoint with many processors becomes high.
 *
 * <p>This is TCP Vegas (Brakmo and Peterson, 1995), as in Netflix' concurrency-limits, with the
 * expected work of a request in place of the minimum latency observed. An endpoint that is full
 * from the start never shows its minimum latency, and an overestimated minimum would raise the
 * limit without end.
 */
public final class EndpointConcurrencyLimit {

    /**
     * The approximate number of latest responses that count, and the number that must have been
     * observed before the limit changes.
     */
    private static final int WINDOW_RESPONSES = 20;

    /** Up to this multiple of the expected work nothing queues; the network adds some latency. */
    private static final double NO_QUEUE_STRETCH = 1.25;

    /** Above this multiple of the expected work the queue is long. */
    private static final double LONG_QUEUE_STRETCH = 2;

    /** The endpoint is at its limit from the limit minus this many requests on. */
    private static final double AT_LIMIT_MARGIN = 1;

    /**
     * Up to this many replicas, each sends about an equal part of the requests. With more, a
     * replica has one or two requests in flight at an endpoint, and its own number says little
     * about those of the others.
     */
    private static final int FEW_REPLICAS = 3;

    /**
     * How long a report on the requests of other replicas is valid, in nanoseconds. No setting
     * gives the age of reports; where there are any, they are refreshed several times a second.
     */
    private static final long REPORT_VALIDITY_NANOS = 2_000_000_000L;

    private static final double RETAINED = 1 - 1.0 / WINDOW_RESPONSES;

    private final double initialLimit;
    private double inFlightOfOthers;
    private long reportedAt;
    private double limit;
    private double latencySum;
    private double expectedSum;
    private int responses;

    /**
     * Creates a limit for one endpoint.
     *
     * @param initialLimit the safe number of requests: the initial and the minimum limit; 0: there
     *     is no limit
     */
    public EndpointConcurrencyLimit(double initialLimit) {
        this.initialLimit = initialLimit;
        this.limit = initialLimit > 0 ? initialLimit : Double.POSITIVE_INFINITY;
    }

    /**
     * Adapts the limit to a successful response. If the expected work is not known, the limit is
     * removed, since it can't be learned.
     *
     * @param inFlight requests that were in flight at the endpoint, this one included
     * @param latencyNanos the latency of the response
     * @param expectedWorkNanos the expected work of the request; 0: not known
     */
    public void onResponse(double inFlight, double latencyNanos, double expectedWorkNanos) {
        if (expectedWorkNanos <= 0) {
            limit = Double.POSITIVE_INFINITY;
        }
        latencySum = latencySum * RETAINED + latencyNanos;
        expectedSum = expectedSum * RETAINED + expectedWorkNanos;
        responses++;
        if (responses < WINDOW_RESPONSES) {
            return;
        }
        boolean atLimit = inFlight >= limit - AT_LIMIT_MARGIN;
        if (latencySum < NO_QUEUE_STRETCH * expectedSum && atLimit) {
            limit += 1 / limit;
        } else if (latencySum > LONG_QUEUE_STRETCH * expectedSum) {
            limit = Math.max(Math.min(initialLimit, limit), limit - 1 / limit);
        }
    }

    /** Returns whether an endpoint with this many requests in flight may receive another. */
    public boolean hasCapacity(double inFlight) {
        return inFlight < limit;
    }

    /** Records how many requests of other replicas the endpoint reported as in flight. */
    public void onLoadReport(long now, double ofOthers) {
        inFlightOfOthers = Math.max(0, ofOthers);
        reportedAt = now;
    }

    /**
     * Returns the estimated number of requests in flight at the endpoint now. With few replicas,
     * each has an equal part of the requests, and its own number is newer than any report. With
     * many, each has one or two requests there, and only a report covers those of the others.
     *
     * @param own how many requests of this replica are in flight there
     */
    public double inFlight(long now, int own, int replicas) {
        if (replicas <= FEW_REPLICAS) {
            return own + own * (replicas - 1);
        }
        return own + (now - reportedAt < REPORT_VALIDITY_NANOS ? inFlightOfOthers : 0);
    }

    /** Returns the maximum number of requests in flight at the endpoint. */
    public double limit() {
        return limit;
    }
}
