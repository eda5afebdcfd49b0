package cedarrudder.lab.baselines;

/**
 * Of two different nodes at random the one of lower cost: a moving average of latency, sensitive to
 * peaks, times the attempts out there and the one to come. Source: Finagle's {@code PeakEwma} under
 * its {@code p2c} balancer.
 *
 * <p>For a latency r that comes a time t after the last, with w = exp(-t / {@link #DECAY}), the
 * average c becomes r where r is above c, and c w + r (1 - w) otherwise; a look counts as r = 0.
 * The cost is c (out + 1); a node with attempts out of which none has ended costs {@link #PENALTY}
 * + out. Latencies of all outcomes count, as they do there.
 */
final class PeakEwma implements Pick<PeakEwma.Average> {

    /** The time over which a peak is forgotten, in nanoseconds; Finagle's default. */
    static final double DECAY = 10e9;

    /** What a node costs that holds attempts and has never answered; Finagle's. */
    static final double PENALTY = Long.MAX_VALUE >> 16;

    /** The latency of one node, in nanoseconds. */
    static final class Average {
        private double latency;
        private long at;

        private Average(long at) {
            this.at = at;
        }

        void add(long now, double newest) {
            double kept = StrictMath.exp(-(now - at) / DECAY);
            latency = newest > latency ? newest : latency * kept + newest * (1 - kept);
            at = now;
        }
    }

    @Override
    public Average fresh(long now) {
        return new Average(now);
    }

    @Override
    public EndpointView<Average> choose(
            long now, BaselineRequest call, Candidates<Average> choice) {
        EndpointView<Average> one = choice.draw(null);
        EndpointView<Average> other = one == null ? null : choice.draw(one);
        return other != null && cost(now, other) < cost(now, one) ? other : one;
    }

    static double cost(long now, EndpointView<Average> member) {
        Average average = member.notes;
        average.add(now, 0);
        return average.latency == 0 && member.inFlight != 0
                ? PENALTY + member.inFlight
                : average.latency * (member.inFlight + 1);
    }

    @Override
    public void ended(long now, BaselineRequest call, EndpointView<Average> from, long latency) {
        from.notes.add(now, latency);
    }
}
