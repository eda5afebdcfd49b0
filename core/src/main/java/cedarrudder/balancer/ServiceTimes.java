package cedarrudder.balancer;

import cedarrudder.admission.MovingAverage;
import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;

/** How long endpoints take for requests, as this replica has measured it. */
final class ServiceTimes {

    /** Work below this counts as this much: the network and the queue take their time anyway. */
    private static final long MIN_WORK_NANOS = 20_000_000L;

    /** Answers after which it is known how much longer they take than the work said. */
    private static final int MIN_STRETCH_SAMPLES = 20;

    /** The shortest silence after which an endpoint counts as unresponsive. */
    private static final long MIN_UNRESPONSIVE_NANOS = 100_000_000L;

    private static final double MIN_COST = 0.25;
    private static final double MAX_COST = 4;

    private final BalancerParameters parameters;
    private final MovingAverage[] byClass;
    private final MovingAverage overall;

    /** The longest that one core takes for a mean request, in nanoseconds. */
    private final MovingAverage coreTime;

    /** How many times longer an answer takes than the work it was said to need. */
    private final MovingAverage stretch;

    ServiceTimes(int classes, BalancerParameters parameters) {
        this.parameters = parameters;
        this.byClass = new MovingAverage[classes];
        Arrays.setAll(byClass, i -> newAverage());
        this.overall = newAverage();
        this.coreTime = newAverage();
        this.stretch = newAverage();
    }

    private MovingAverage newAverage() {
        return new MovingAverage(parameters.get(Parameter.LATENCY_WEIGHT));
    }

    /**
     * Takes a request that was admitted. Two processes of a replica run during an upgrade, so a
     * core is given twice the work said; before anything is known, the latency objective stands for
     * it.
     */
    void onRequest(RequestState request) {
        if (request.hasExpectedWork()) {
            coreTime.add(2 * request.expectedWorkNanos());
        } else if (coreTime.count() == 0) {
            coreTime.add(request.requestClass().latencyObjectiveNanos());
        }
    }

    /** Takes a good answer. */
    void onServed(RequestState request, long latency) {
        byClass[request.classIndex()].add(latency);
        overall.add(latency);
        if (request.hasExpectedWork()) {
            stretch.add(latency / (double) Math.max(MIN_WORK_NANOS, request.expectedWorkNanos()));
        } else {
            coreTime.add(latency);
        }
    }

    /** The mean latency of a class, in nanoseconds; 0 before the first answer. */
    double classMean(int classIndex) {
        return byClass[classIndex].mean();
    }

    /** The mean latency of all classes, in nanoseconds; 0 before the first answer. */
    double overallMean() {
        return overall.mean();
    }

    /** The longest that one core takes for a mean request, in nanoseconds. */
    double coreTimeMean() {
        return coreTime.mean();
    }

    /** What a request of this class costs, in mean requests. */
    double cost(RequestState request) {
        double mean = classMean(request.classIndex());
        if (mean == 0 || overall.mean() == 0) {
            return 1;
        }
        return Math.min(MAX_COST, Math.max(MIN_COST, mean / overall.mean()));
    }

    /** After how long without a word an endpoint counts as unresponsive, in nanoseconds. */
    long unresponsiveAfterNanos() {
        double latencies = parameters.get(Parameter.UNRESPONSIVE_LATENCIES);
        double nanos = latencies * (overall.mean() + overall.deviation());
        return Math.max(MIN_UNRESPONSIVE_NANOS, (long) nanos);
    }

    /**
     * After how long an answer is so late for its work that something must be wrong, in
     * nanoseconds; 0 where that is not known.
     */
    long lateAfterNanos(RequestState request) {
        if (!request.hasExpectedWork() || stretch.count() < MIN_STRETCH_SAMPLES) {
            return 0;
        }
        double factor = parameters.get(Parameter.HEDGE_STRETCH) * stretch.mean();
        return (long) (factor * Math.max(MIN_WORK_NANOS, request.expectedWorkNanos()));
    }
}
