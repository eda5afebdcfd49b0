package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.lab.policy.GroundTruth;

/**
 * The bound: sees the true state of all nodes of its tier, at no cost and at once, and sends where
 * this request is done first, among nodes that take it and are sound. No real balancer can do that.
 * It keeps the rules like the others and doesn't know what comes next: it shows what a pick could
 * do, and is no proven upper bound. Where clients enter it rejects by worth, see {@link Admission}.
 *
 * <p>Cores share their time among the requests in work: one of work w waits for no more than w of
 * each request that is there, so it is done in (min(backlog, held w) + w) / capacity. Source:
 * shortest expected delay, Banawan and Zahorjan, "Load sharing in heterogeneous queueing systems",
 * INFOCOM 1989, for shared cores and with full knowledge.
 */
final class Oracle implements Pick<Oracle.Way> {

    /** A request that has gone out this long ago has reached its node and stands in its backlog. */
    private static final long WAY = 1_000_000L;

    /** Work that is taken where there is no hint, in nanoseconds. */
    private static final double UNKNOWN_WORK = 50e6;

    /** What is on its way to a node from this replica. */
    static final class Way {
        private double work;
        private long at;
    }

    private final GroundTruth truth;

    /** Null behind the first tier: work has gone into each request there. */
    private final Admission admission;

    Oracle(BalancerSettings settings, GroundTruth truth) {
        this.truth = truth;
        this.admission = settings.tier() == 0 ? new Admission(settings) : null;
    }

    @Override
    public Way fresh(long now) {
        return new Way();
    }

    @Override
    public boolean admits(long now, BaselineRequest call, Candidates<Way> choice) {
        return admission == null || admission.admits(now, call);
    }

    @Override
    public EndpointView<Way> choose(long now, BaselineRequest call, Candidates<Way> choice) {
        EndpointView<Way> best = null;
        double bestTime = Double.POSITIVE_INFINITY;
        double work = work(call);
        for (EndpointView<Way> member : choice.ready()) {
            if (!truth.takes(member.id) || !truth.sound(member.id)) {
                continue;
            }
            double before =
                    Math.min(truth.backlog(member.id), truth.held(member.id) * work)
                            + (now - member.notes.at < WAY ? member.notes.work : 0);
            double time = (before + work) / truth.capacity(member.id);
            if (time < bestTime && choice.may(member)) {
                best = member;
                bestTime = time;
            }
        }
        return best;
    }

    private static double work(BaselineRequest call) {
        return call.request.expectedWorkNanos() > 0
                ? call.request.expectedWorkNanos()
                : UNKNOWN_WORK;
    }

    @Override
    public void sent(long now, BaselineRequest call, EndpointView<Way> to) {
        to.notes.work = now - to.notes.at < WAY ? to.notes.work + work(call) : work(call);
        to.notes.at = now;
    }

    @Override
    public void ended(long now, BaselineRequest call, EndpointView<Way> from, long latency) {
        if (admission != null) {
            admission.ended(now, call);
        }
    }
}
