package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares the probe pool step by step with the reference pool, through unusual responses and
 * endpoint lists.
 */
public class ProbePoolTest {

    private static final long MS = Site.MS;
    private static final int NODES = 24;
    private static final int STEPS = 500;
    private static final int SEEDS = 20;

    /** A probe that was sent and may be answered at any time: once, twice or never. */
    private record OutstandingProbe(long at, EndpointState server) {}

    /** Both pools, and the events that they receive. */
    private static final class Pools {
        final SplittableRandom random;
        final ReferenceProbePool reference = new ReferenceProbePool();
        final Recorder recorder = new Recorder();
        final List<EndpointState> servers = new ArrayList<>();
        final List<OutstandingProbe> outstanding = new ArrayList<>();
        final ProbePool pool;
        final EndpointSubset subset;
        final ProbeScheduler probes;
        long now = 5000 * MS;
        final boolean ignoresSendTime;
        int filled;
        int picked;

        /**
         * @param ignoresSendTime whether the real pool takes each response for one to the last
         *     probe
         */
        Pools(long seed, boolean ignoresSendTime) {
            this.ignoresSendTime = ignoresSendTime;
            random = new SplittableRandom(seed);
            Site site = new Site();
            site.replicas = 1 + random.nextInt(3);
            pool = new ProbePool(BalancerParameters.DEFAULTS);
            subset = new EndpointSubset(site.settings(), BalancerParameters.DEFAULTS, pool::remove);
            probes =
                    new ProbeScheduler(
                            site.settings(),
                            BalancerParameters.DEFAULTS,
                            random.split(),
                            recorder,
                            subset,
                            pool);
            for (int i = 1; i <= NODES; i++) {
                servers.add(
                        new EndpointState(
                                Site.endpoint(i, i % 4 / 3, 0, EndpointStatus.READY, 0),
                                now,
                                4,
                                0));
                updateSubset(servers.get(i - 1), true);
            }
        }

        void step() {
            now += random.nextLong(300 * MS);
            EndpointState server = servers.get(random.nextInt(NODES));
            switch (random.nextInt(12)) {
                case 0 -> restart(server);
                case 1 ->
                        updateStatus(
                                server,
                                random.nextBoolean()
                                        ? EndpointStatus.READY
                                        : EndpointStatus.DRAINING);
                case 2 -> server.onAttemptSent(now, 1);
                case 3 -> {
                    if (server.inFlight() > 0) {
                        server.onAttemptEnded(now, Outcome.values()[random.nextInt(6)]);
                    }
                }
                case 4 -> subset.resize(random.nextInt(40));
                case 5, 6 -> probes.onRequest(now);
                case 7 -> probes.onTick(now);
                default -> answer();
            }
            for (long probed : recorder.probed) {
                EndpointState probedServer =
                        servers.stream().filter(s -> s.id() == probed).findFirst().orElseThrow();
                reference.probeSent(now, probedServer, probedServer.inFlight());
                outstanding.add(new OutstandingProbe(now, probedServer));
            }
            recorder.clear();
            reference.membersChanged(now, new HashSet<>(subset.members()));
        }

        /**
         * Updates the subset as the endpoint directory does: an endpoint that is not ready is
         * removed from the pool at once.
         */
        private void updateSubset(EndpointState server, boolean ready) {
            subset.update(server, ready);
            if (!ready) {
                pool.remove(server);
            }
        }

        /**
         * Replaces an endpoint by a new incarnation with the same id; probes of the former one are
         * still answered.
         */
        private void restart(EndpointState server) {
            updateSubset(server, false);
            reference.unlisted(now, server);
            EndpointState next =
                    new EndpointState(
                            Site.endpoint(server.id(), server.zone(), 0, EndpointStatus.READY, now),
                            now,
                            4,
                            0);
            servers.set(servers.indexOf(server), next);
            updateSubset(next, true);
        }

        private void updateStatus(EndpointState server, EndpointStatus state) {
            server.setEndpoint(
                    Site.endpoint(
                            server.id(), server.zone(), 0, state, server.endpoint().startedAt()));
            updateSubset(server, state == EndpointStatus.READY);
            if (state != EndpointStatus.READY) {
                reference.unlisted(now, server);
            }
        }

        private void answer() {
            if (outstanding.isEmpty()) {
                return;
            }
            OutstandingProbe probe = outstanding.get(random.nextInt(outstanding.size()));
            if (random.nextInt(4) > 0) {
                outstanding.remove(probe); // otherwise it is answered once more later
            }
            Outcome outcome =
                    switch (random.nextInt(12)) {
                        case 0, 1 -> Outcome.TIMEOUT;
                        case 2 -> Outcome.NOT_STARTED;
                        default -> Outcome.OK;
                    };
            LoadReport load =
                    outcome == Outcome.OK && random.nextInt(10) > 0
                            ? Site.load(random.nextInt(6), 1 + random.nextInt(80))
                            : null;
            // As the balancer does: by id, so that a response reaches the current incarnation.
            EndpointState current =
                    servers.stream()
                            .filter(s -> s.id() == probe.server().id())
                            .findFirst()
                            .orElseThrow();
            probes.onProbeEnded(now, current, outcome, ignoresSendTime ? now : probe.at(), load);
            reference.probeAnswered(
                    now, current, probe.at(), outcome, current.isReady() ? load : null);
        }

        void compare(long seed, int step) {
            String where = "seed " + seed + ", first " + step + " steps";
            Predicate<EndpointState> eligible = s -> (s.id() + step) % 3 > 0;
            Predicate<EndpointState> suspect = s -> (s.id() * 7 + step) % 5 == 0;
            // Long enough that no report ages so far that two entries differ only by rounding.
            double turnover = 3000 * MS;
            EndpointState real = pool.pick(now, turnover, eligible, suspect);
            List<EndpointState> expected = reference.picks(now, turnover, eligible, suspect);
            assertTrue(
                    real == null ? expected.isEmpty() : expected.contains(real),
                    where
                            + ": picked "
                            + id(real)
                            + " of "
                            + expected.stream().map(Pools::id).toList());
            assertEquals(pool.size(), reference.valid(now).size(), where);
            filled = Math.max(filled, pool.size());
            picked += real == null ? 0 : 1;
        }

        private static Object id(EndpointState server) {
            return server == null ? "none" : server.id();
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /**
     * The pool must match what endpoints reported. It must not let an old report replace a newer
     * one, count a report twice, use one of a former incarnation, or use one that has expired, was
     * displaced or belongs to an endpoint that is no longer listed.
     */
    @Test(dataProvider = "seeds")
    public void poolMatchesTheReferencePool(long seed) {
        Pools pools = new Pools(seed, false);
        for (int step = 1; step <= STEPS; step++) {
            pools.step();
            pools.compare(seed, step);
        }
        assertTrue(
                pools.filled >= 4 && pools.picked > STEPS / 4, pools.filled + " " + pools.picked);
    }

    /** The comparison must be able to fail. */
    @Test(
            expectedExceptions = AssertionError.class,
            expectedExceptionsMessageRegExp = "seed \\d+, first .*")
    public void poolThatAcceptsOutdatedResponsesIsCaught() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Pools pools = new Pools(seed, true);
            for (int step = 1; step <= STEPS; step++) {
                pools.step();
                pools.compare(seed, step);
            }
        }
    }
}
