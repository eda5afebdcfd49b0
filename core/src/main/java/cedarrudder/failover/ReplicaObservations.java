package cedarrudder.failover;

import cedarrudder.failover.ZoneObservations.ZoneObservation;
import java.util.Arrays;

/**
 * What one replica observed, put together from the parts of its reports. Later reports replace
 * earlier ones, those of an older incarnation count nothing.
 */
final class ReplicaObservations {

    /** What is left, each period, of what was counted before. */
    private static final double FADE_FACTOR = 0.6;

    /** Rates are smoothed by this weight of the newest. */
    private static final double NEWEST_WEIGHT = 0.25;

    /** Attempts in flight without a response for this many periods count as failed. */
    private static final int STALLED_PERIODS = 2;

    /** A zone rejects where this much of the requests sent there is rejected. */
    private static final double REJECTED_SHARE = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** What the replica last reported of a zone, with what it reported before fading away. */
    static final class ZoneReport {
        private long sequence = -1;

        /** The period that was reported last. */
        private long lastPeriod = -1;

        private long observedAt;
        private double served;
        private double failed;
        private double rejected;
        private double rate;
        private double ended;
        private ZoneObservation latest;

        /** The newest observation; null before the first. */
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

        /** Requests that the zone served this replica, a second. */
        double rate() {
            return rate;
        }

        /** Attempts that failed, or are in flight without any response. */
        double unhealthy(long period) {
            boolean stalled =
                    latest.age() == 0
                            && latest.unanswered() * NANOS_PER_MILLI >= STALLED_PERIODS * period;
            return failed + (stalled ? latest.inFlight() : 0);
        }

        private void add(
                long now, long newSequence, ZoneObservation seen, double seconds, long period) {
            if (newSequence <= sequence) {
                return;
            }
            long observedPeriod = newSequence - seen.age();
            if (observedPeriod > lastPeriod) {
                addPeriod(observedPeriod, seen, seconds);
            } else {
                rate *= 1 - NEWEST_WEIGHT; // nothing was sent there since
            }
            sequence = newSequence;
            latest = seen;
            observedAt = now - seen.age() * period;
        }

        private void addPeriod(long observedPeriod, ZoneObservation seen, double seconds) {
            boolean first = lastPeriod < 0;
            double fade = first ? 0 : fade(observedPeriod - lastPeriod);
            served = fade * served + seen.served();
            failed = fade * failed + seen.failed() + seen.silent();
            rejected = fade * rejected + seen.rejected();
            ended = fade * ended + seen.ended();
            rate = smoothed(first, rate, seen.served() / seconds);
            lastPeriod = observedPeriod;
        }

        /** A period of which no report came fades what was counted as one that came does. */
        private static double fade(long periods) {
            return StrictMath.pow(FADE_FACTOR, Math.min(ZoneObservations.MAX_AGE, periods));
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
     * Before the first report.
     *
     * @param zone the replica's own
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

    /** A part of a report has come; an outdated one changes nothing. */
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
        for (ZoneObservation seen : report.observations()) {
            if (seen.zone() < reports.length) {
                reports[seen.zone()].add(now, report.sequence(), seen, seconds, period);
            }
        }
    }

    private static double smoothed(boolean first, double average, double newest) {
        return first ? newest : average + NEWEST_WEIGHT * (newest - average);
    }

    /** The replica's own zone. */
    int zone() {
        return zone;
    }

    /** The newest reports of all zones, by their numbers. */
    ZoneReport[] reports() {
        return reports;
    }

    /** Requests a second that come to this replica. */
    double arrivalRate() {
        return arrivalRate;
    }

    /** The number of the route table that the replica used last. */
    long table() {
        return table;
    }

    /** Its requests are counted no longer. */
    void forgetArrivals() {
        arrivalRate = 0;
    }

    /** Whether any report came of the present incarnation, or of one before it. */
    boolean isKnown() {
        return incarnation >= 0;
    }

    /** Whether a report came within a time. */
    boolean isFresh(long now, long maxAge) {
        return isKnown() && sequence >= 0 && now - lastReceivedAt <= maxAge;
    }

    /** Whether its requests, or those that it sends to a zone, are rejected there. */
    boolean isStrained(ZoneReport report, double minRequests) {
        boolean unserved = arrivalRate >= 1 && unservedRate > REJECTED_SHARE * arrivalRate;
        boolean rejected =
                report.ended >= minRequests && report.rejected > REJECTED_SHARE * report.ended;
        return unserved || rejected;
    }
}
