package cedarrudder.balancer;

import cedarrudder.admission.MovingAverage;
import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;

/** The time that endpoints take for requests, as measured by this replica. */
final class ServiceTimes {

    /**
     * Work below this counts as this much, since the network and the queue take time in any case.
     */
    private static final long MIN_WORK_NANOS = 20_000_000L;

    /**
     * Number of responses after which the stretch is known: how much longer responses take than the
     * declared work.
     */
    private static final int MIN_STRETCH_SAMPLES = 20;

    /** Minimum time without any response after which an endpoint counts as unresponsive. */
    private static final long MIN_UNRESPONSIVE_NANOS = 100_000_000L;

    private static final double MIN_COST = 0.25;
    private static final double MAX_COST = 4;

    private final BalancerParameters parameters;
    private final MovingAverage[] byClass;
    private final MovingAverage overall;

    /** The maximum time that one core needs for a mean request, in nanoseconds. */
    private final MovingAverage coreTime;

    /** The ratio of a response's latency to the declared work of its request. */
    private final MovingAverage stretch;

    ServiceTimes(int classCount, BalancerParameters parameters) {
        this.parameters = parameters;
        this.byClass = new MovingAverage[classCount];
        Arrays.setAll(byClass, i -> newAverage());
        this.overall = newAverage();
        this.coreTime = newAverage();
        this.stretch = newAverage();
    }

    private MovingAverage newAverage() {
        return new MovingAverage(parameters.get(Parameter.LATENCY_WEIGHT));
    }

    /**
     * Records an admitted request. During an upgrade two processes of a replica run, so a core is
     * assumed to take twice the declared work. Until anything is known, the latency objective is
     * used instead.
     */
    void onRequest(RequestState request) {
        if (request.hasExpectedWork()) {
            coreTime.add(2 * request.expectedWorkNanos());
        } else if (coreTime.count() == 0) {
            coreTime.add(request.requestClass().latencyObjectiveNanos());
        }
    }

    /** Records a successful response. */
    void onServed(RequestState request, long latency) {
        byClass[request.classIndex()].add(latency);
        overall.add(latency);
        if (request.hasExpectedWork()) {
            stretch.add(latency / (double) Math.max(MIN_WORK_NANOS, request.expectedWorkNanos()));
        } else {
            coreTime.add(latency);
        }
    }

    /** Returns the mean latency of a class, in nanoseconds; 0 before the first response. */
    double classMean(int classIndex) {
        return byClass[classIndex].mean();
    }

    /** Returns the mean latency of all classes, in nanoseconds; 0 before the first response. */
    double overallMean() {
        return overall.mean();
    }

    /** Returns the maximum time that one core needs for a mean request, in nanoseconds. */
    double coreTimeMean() {
        return coreTime.mean();
    }

    /** Returns the cost of a request of this class, in mean requests. */
    double cost(RequestState request) {
        double mean = classMean(request.classIndex());
        if (mean == 0 || overall.mean() == 0) {
            return 1;
        }
        return Math.min(MAX_COST, Math.max(MIN_COST, mean / overall.mean()));
    }

    /**
     * Returns the time without any response after which an endpoint counts as unresponsive, in
     * nanoseconds.
     */
    long unresponsiveAfterNanos() {
        double latencies = parameters.get(Parameter.UNRESPONSIVE_LATENCIES);
        double nanos = latencies * (overall.mean() + overall.deviation());
        return Math.max(MIN_UNRESPONSIVE_NANOS, (long) nanos);
    }

    /**
     * Returns the time after which a response is so late for its work that something must be wrong,
     * in nanoseconds; 0 if that is not known.
     */
    long lateAfterNanos(RequestState request) {
        if (!request.hasExpectedWork() || stretch.count() < MIN_STRETCH_SAMPLES) {
            return 0;
        }
        double factor = parameters.get(Parameter.HEDGE_STRETCH) * stretch.mean();
        return (long) (factor * Math.max(MIN_WORK_NANOS, request.expectedWorkNanos()));
    }
}
