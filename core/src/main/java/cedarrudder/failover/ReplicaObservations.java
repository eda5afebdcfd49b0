package cedarrudder.failover;

import cedarrudder.failover.ZoneObservations.ZoneObservation;
import java.util.Arrays;

/**
 * The observations of one replica, assembled from the parts of its reports. Later reports replace
 * earlier ones; reports of an older incarnation are ignored.
 */
final class ReplicaObservations {

    /** Factor by which earlier counts decay in each period. */
    private static final double DECAY_FACTOR = 0.6;

    /** Weight of the newest value in smoothed rates. */
    private static final double NEWEST_WEIGHT = 0.25;

    /** Attempts in flight without a response for this many periods count as failed. */
    private static final int STALLED_PERIODS = 2;

    /**
     * A zone counts as rejecting if more than this fraction of the requests sent there is rejected.
     */
    private static final double MAX_REJECTED_FRACTION = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The last report of the replica on a zone, with decaying counts of its earlier reports. */
    static final class ZoneReport {
        private long sequence = -1;

        /** The sequence number of the period that was observed last. */
        private long lastPeriod = -1;

        private long observedAt;
        private double served;
        private double failed;
        private double rejected;
        private double servedRate;
        private double ended;
        private ZoneObservation latest;

        /** Returns the newest observation; null before the first. */
        ZoneObservation latest() {
            return latest;
        }

        long observedAt() {
            return observedAt;
        }

        double served() {
            return served;
        }

        double failed() {
            return failed;
        }

        double rejected() {
            return rejected;
        }

        double ended() {
            return ended;
        }

        /** Returns the requests per second that the zone served for this replica. */
        double servedRate() {
            return servedRate;
        }

        /** Returns the number of attempts that failed, or are in flight without any response. */
        double unhealthyAttempts(long period) {
            boolean stalled =
                    latest.age() == 0
                            && latest.unansweredMillis() * NANOS_PER_MILLI
                                    >= STALLED_PERIODS * period;
            return failed + (stalled ? latest.inFlight() : 0);
        }

        private void add(
                long now,
                long newSequence,
                ZoneObservation observation,
                double seconds,
                long period) {
            if (newSequence <= sequence) {
                return;
            }
            long observedPeriod = newSequence - observation.age();
            if (observedPeriod > lastPeriod) {
                addPeriod(observedPeriod, observation, seconds);
            } else {
                servedRate *= 1 - NEWEST_WEIGHT; // no requests were sent there since
            }
            sequence = newSequence;
            latest = observation;
            observedAt = now - observation.age() * period;
        }

        private void addPeriod(long observedPeriod, ZoneObservation observation, double seconds) {
            boolean first = lastPeriod < 0;
            double decay = first ? 0 : decay(observedPeriod - lastPeriod);
            served = decay * served + observation.served();
            failed = decay * failed + observation.failed() + observation.silent();
            rejected = decay * rejected + observation.rejected();
            ended = decay * ended + observation.ended();
            servedRate = smoothed(first, servedRate, observation.served() / seconds);
            lastPeriod = observedPeriod;
        }

        /**
         * Returns the decay over a number of periods; a period without a report decays the counts
         * as one with a report does.
         */
        private static double decay(long periods) {
            return StrictMath.pow(DECAY_FACTOR, Math.min(ZoneObservations.MAX_AGE, periods));
        }
    }

    private final int zone;
    private final ZoneReport[] reports;
    private final long period;
    private long incarnation = -1;
    private long sequence = -1;
    private long lastReceivedAt;
    private double arrivalRate;
    private double unservedRate;
    private long table;

    /**
     * Creates the state before the first report.
     *
     * @param zone the replica's own zone
     * @param period nanoseconds between two reports
     */
    ReplicaObservations(int zone, int zones, long period) {
        this.zone = zone;
        this.reports = new ZoneReport[zones];
        this.period = period;
        reset();
    }

    private void reset() {
        Arrays.setAll(reports, i -> new ZoneReport());
        sequence = -1;
        arrivalRate = 0;
        unservedRate = 0;
    }

    /** Applies a part of a report; an outdated one changes nothing. */
    void onReport(long now, ZoneObservations report) {
        if (report.incarnation() < incarnation) {
            return;
        }
        if (report.incarnation() > incarnation) {
            reset();
            incarnation = report.incarnation();
        }
        double seconds = report.millis() / MILLIS_PER_SECOND;
        if (report.sequence() > sequence) {
            boolean first = sequence < 0;
            arrivalRate = smoothed(first, arrivalRate, report.requests() / seconds);
            unservedRate = smoothed(first, unservedRate, report.unserved() / seconds);
            sequence = report.sequence();
            lastReceivedAt = now;
            table = report.table();
        }
        for (ZoneObservation observation : report.observations()) {
            if (observation.zone() < reports.length) {
                reports[observation.zone()].add(
                        now, report.sequence(), observation, seconds, period);
            }
        }
    }

    private static double smoothed(boolean first, double average, double newest) {
        return first ? newest : average + NEWEST_WEIGHT * (newest - average);
    }

    /** Returns the replica's own zone. */
    int zone() {
        return zone;
    }

    /** Returns the newest reports on all zones, by zone number. */
    ZoneReport[] reports() {
        return reports;
    }

    /** Returns the requests per second that arrive at this replica. */
    double arrivalRate() {
        return arrivalRate;
    }

    /** Returns the number of the route table that the replica used last. */
    long table() {
        return table;
    }

    /** Stops counting the replica's requests. */
    void forgetArrivals() {
        arrivalRate = 0;
    }

    /** Returns whether any report arrived, of the present incarnation or an earlier one. */
    boolean isKnown() {
        return incarnation >= 0;
    }

    /** Returns whether a report arrived within this time. */
    boolean isFresh(long now, long maxAge) {
        return isKnown() && sequence >= 0 && now - lastReceivedAt <= maxAge;
    }

    /** Returns whether this replica's requests are rejected, in general or by the reported zone. */
    boolean isStrained(ZoneReport report, double minRequests) {
        boolean unserved = arrivalRate >= 1 && unservedRate > MAX_REJECTED_FRACTION * arrivalRate;
        boolean rejected =
                report.ended >= minRequests
                        && report.rejected > MAX_REJECTED_FRACTION * report.ended;
        return unserved || rejected;
    }
}
