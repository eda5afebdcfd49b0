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

/** The real pool, step by step beside the naive one, through odd answers and lists. */
public class ProbePoolTest {

    private static final long MS = Site.MS;
    private static final int NODES = 24;
    private static final int STEPS = 500;
    private static final int SEEDS = 20;

    /** A probe that was sent, to be answered some time, once, twice or never. */
    private record Out(long at, EndpointState server) {}

    /** Both pools, and the world that they are told of. */
    private static final class Pools {
        final SplittableRandom random;
        final ReferenceProbePool naive = new ReferenceProbePool();
        final Recorder did = new Recorder();
        final List<EndpointState> servers = new ArrayList<>();
        final List<Out> out = new ArrayList<>();
        final ProbePool pool;
        final EndpointSubset subset;
        final ProbeScheduler probes;
        long now = 5000 * MS;
        final boolean wrong;
        int filled;
        int picked;

        /**
         * @param wrong the real pool takes each answer for one to the last probe
         */
        Pools(long seed, boolean wrong) {
            this.wrong = wrong;
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
                            did,
                            subset,
                            pool);
            for (int i = 1; i <= NODES; i++) {
                servers.add(
                        new EndpointState(
                                Site.endpoint(i, i % 4 / 3, 0, EndpointStatus.READY, 0),
                                now,
                                4,
                                0));
                show(servers.get(i - 1), true);
            }
        }

        void step() {
            now += random.nextLong(300 * MS);
            EndpointState server = servers.get(random.nextInt(NODES));
            switch (random.nextInt(12)) {
                case 0 -> restart(server);
                case 1 ->
                        list(
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
            for (long probed : did.probed) {
                EndpointState asked =
                        servers.stream().filter(s -> s.id() == probed).findFirst().orElseThrow();
                naive.asked(now, asked, asked.inFlight());
                out.add(new Out(now, asked));
            }
            did.clear();
            naive.roster(now, new HashSet<>(subset.members()));
        }

        /** As the directory does: an endpoint that is not ready leaves the pool at once. */
        private void show(EndpointState server, boolean ready) {
            subset.update(server, ready);
            if (!ready) {
                pool.remove(server);
            }
        }

        /**
         * Another life under the same id: what was asked of the former one is answered all the
         * same.
         */
        private void restart(EndpointState server) {
            show(server, false);
            naive.unlisted(now, server);
            EndpointState next =
                    new EndpointState(
                            Site.endpoint(server.id(), server.zone(), 0, EndpointStatus.READY, now),
                            now,
                            4,
                            0);
            servers.set(servers.indexOf(server), next);
            show(next, true);
        }

        private void list(EndpointState server, EndpointStatus state) {
            server.setEndpoint(
                    Site.endpoint(
                            server.id(), server.zone(), 0, state, server.endpoint().startedAt()));
            show(server, state == EndpointStatus.READY);
            if (state != EndpointStatus.READY) {
                naive.unlisted(now, server);
            }
        }

        private void answer() {
            if (out.isEmpty()) {
                return;
            }
            Out probe = out.get(random.nextInt(out.size()));
            if (random.nextInt(4) > 0) {
                out.remove(probe); // else it is answered once more later
            }
            Outcome how =
                    switch (random.nextInt(12)) {
                        case 0, 1 -> Outcome.TIMEOUT;
                        case 2 -> Outcome.NOT_STARTED;
                        default -> Outcome.OK;
                    };
            LoadReport load =
                    how == Outcome.OK && random.nextInt(10) > 0
                            ? Site.load(random.nextInt(6), 1 + random.nextInt(80))
                            : null;
            // As Decide does: by the id, so that an answer meets whoever has it now.
            EndpointState life =
                    servers.stream()
                            .filter(s -> s.id() == probe.server().id())
                            .findFirst()
                            .orElseThrow();
            probes.onProbeEnded(now, life, how, wrong ? now : probe.at(), load);
            naive.told(now, life, probe.at(), how, life.isReady() ? load : null);
        }

        void compare(long seed, int step) {
            String where = "seed " + seed + ", first " + step + " steps";
            Predicate<EndpointState> may = s -> (s.id() + step) % 3 > 0;
            Predicate<EndpointState> suspect = s -> (s.id() * 7 + step) % 5 == 0;
            // Long enough that no report ages so far that two come to the same but for rounding.
            double turnover = 3000 * MS;
            EndpointState real = pool.pick(now, turnover, may, suspect);
            List<EndpointState> right = naive.picks(now, turnover, may, suspect);
            assertTrue(
                    real == null ? right.isEmpty() : right.contains(real),
                    where
                            + ": picked "
                            + id(real)
                            + " of "
                            + right.stream().map(Pools::id).toList());
            assertEquals(pool.size(), naive.valid(now).size(), where);
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
     * Detects a pool that is untrue to what endpoints reported: an old report over a newer one, one
     * that counts twice, one of a former life, one that outlives its age, its place or its
     * endpoint's listing.
     */
    @Test(dataProvider = "seeds")
    public void thePoolIsWhatTheReportsSay(long seed) {
        Pools pools = new Pools(seed, false);
        for (int step = 1; step <= STEPS; step++) {
            pools.step();
            pools.compare(seed, step);
        }
        assertTrue(
                pools.filled >= 4 && pools.picked > STEPS / 4, pools.filled + " " + pools.picked);
    }

    /** Detects a comparison that can't fail. */
    @Test(
            expectedExceptions = AssertionError.class,
            expectedExceptionsMessageRegExp = "seed \\d+, first .*")
    public void aPoolThatTakesOldAnswersForNewOnesIsCaught() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Pools pools = new Pools(seed, true);
            for (int step = 1; step <= STEPS; step++) {
                pools.step();
                pools.compare(seed, step);
            }
        }
    }
}
