package cedarrudder.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.Scenario.Trouble;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;

/** Whole runs: equal from equal seeds, and what belongs to what in their results. */
public class ModelTest {

    /** Three tiers that ask, with every trouble there is. */
    private static Scenario rich() {
        Scenarios site = new Scenarios();
        site.tiers = 3;
        site.nodes = 6;
        site.proxies = 2;
        site.calls = 1.3;
        site.perSecond = 80;
        site.seconds = 20;
        site.ask = true;
        site.speedSpread = 0.2;
        site.attemptNoise = 0.3;
        site.reportNoise = 0.1;
        site.errorRate = 0.01;
        site.classes =
                List.of(
                        site.kind(Idempotency.SAFE, 300 * Scenarios.MS, Scenarios.SECOND),
                        site.kind(Idempotency.KEYED, 300 * Scenarios.MS, Scenarios.SECOND),
                        site.kind(Idempotency.UNSAFE, 300 * Scenarios.MS, Scenarios.SECOND));
        double at = 1;
        for (Trouble trouble : Trouble.values()) {
            site.fault(trouble, at, 3, 0.2, 4);
            at++;
        }
        return site.make();
    }

    private record Seen(RunResult result, List<Notes.Note> trace) {}

    private static Seen play(Scenario scenario, long seed, Policy policy)
            throws InterruptedException {
        Notes notes = new Notes();
        RunResult result = Model.run(scenario, seed, policy, "v", notes, Guard.usual()).result();
        assertEquals(result.finding(), "");
        return new Seen(result, notes.all);
    }

    @Test
    public void equalSeedsGiveEqualRuns() throws InterruptedException {
        Seen first = play(rich(), 5, Policies.DECIDE);
        Seen second = play(rich(), 5, Policies.DECIDE);
        assertEquals(second.result(), first.result());
        assertEquals(second.trace(), first.trace());
        assertNotEquals(play(rich(), 6, Policies.DECIDE).result(), first.result());
        assertTrue(first.result().requests() > 1000, first.result().toString());
    }

    @Test
    public void eightThreadsGiveWhatOneGives() throws Exception {
        List<Seen> alone = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            alone.add(play(rich(), seed, Policies.DECIDE));
        }
        ExecutorService threads = Executors.newFixedThreadPool(8);
        try {
            List<Callable<Seen>> runs = new ArrayList<>();
            for (long seed = 1; seed <= 8; seed++) {
                long own = seed;
                runs.add(() -> play(rich(), own, Policies.DECIDE));
            }
            List<Future<Seen>> together = threads.invokeAll(runs);
            for (int i = 0; i < 8; i++) {
                assertEquals(together.get(i).get(), alone.get(i), "seed " + (i + 1));
            }
        } finally {
            threads.shutdown();
        }
    }

    @Test
    public void variantsOfOneSeedMeetTheSameWorldAndFirstTries() throws InterruptedException {
        Policy first =
                Policies.of("first", (settings, random, actions) -> new Policies.First(actions));
        RunResult one = play(rich(), 9, Policies.DECIDE).result();
        RunResult other = play(rich(), 9, first).result();
        assertEquals(other.requests(), one.requests());
        assertEquals(other.faults(), one.faults());
        assertEquals(
                other.series().stream().map(RunResult.Second::asked).toList(),
                one.series().stream().map(RunResult.Second::asked).toList());
        assertEquals(
                other.nodes().stream().map(RunResult.NodeResult::speed).toList(),
                one.nodes().stream().map(RunResult.NodeResult::speed).toList());
        assertNotEquals(other.goodput(), one.goodput());
    }

    @Test
    public void repeatsOfAClientBelongToItsFirstTry() throws InterruptedException {
        Scenarios site = new Scenarios();
        site.marksRepeats = true;
        site.classes = List.of(site.kind(Idempotency.SAFE, 900 * Scenarios.MS, Scenarios.SECOND));
        Policy refusesFirstTries =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onRequest(long now, Request request) {
                                        if (request.repeat()) {
                                            super.onRequest(now, request);
                                        } else {
                                            actions.reject(request.id(), 100 * Scenarios.MS);
                                        }
                                    }
                                });
        Seen seen = play(site.make(), 2, refusesFirstTries);
        RunResult result = seen.result();
        long taken = seen.trace().stream().filter(n -> n.what().equals("taken")).count();
        assertEquals(taken, 2 * result.requests());
        assertEquals(result.classes().get(0).inAim(), result.requests());
        assertTrue(result.latency().p50() > 100, "counted from the first try: " + result.latency());
        assertEquals(result.goodput(), 1 - result.charges().sum(), 1e-9);
    }

    @Test
    public void whatClientsWaitForIsCountedOnce() throws InterruptedException {
        Policy never =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onRequest(long now, Request request) {}
                                });
        Seen seen = play(new Scenarios().make(), 2, never);
        RunResult.ClassResult kind = seen.result().classes().get(0);
        assertEquals(
                kind.refused(),
                kind.requests(),
                "the driver refuses what the module never sent on");
        assertEquals(seen.result().tiers().get(0).rpcs(), 2 * kind.requests());
        assertEquals(seen.result().whole(), 0.0);
    }

    @Test
    public void capacityIsThatOfTheTierThatRunsOutFirst() {
        Scenarios site = new Scenarios();
        site.tiers = 2;
        site.nodes = 4;
        site.calls = 1.5;
        site.share = 0.5;
        World world = new World(site.make(), new Streams(1));
        // 4 cores of speed 1; half of 10 ms here, 1.5 times half of 10 ms behind.
        assertEquals(world.capacity, 4 / 0.0075, 1e-6);
        assertEquals(world.perSecond, world.capacity / 2, 1e-6);
    }

    @Test
    public void aTraceIsPlayedAsRecorded() throws InterruptedException {
        Scenarios site = new Scenarios();
        site.trace =
                List.of(
                        new Scenario.Recorded(Scenarios.SECOND, 0, 0, 20 * Scenarios.MS),
                        new Scenario.Recorded(2 * Scenarios.SECOND, 0, 0, 30 * Scenarios.MS));
        Seen seen = play(site.make(), 1, Policies.DECIDE);
        assertEquals(seen.result().requests(), 2);
        assertEquals(
                seen.trace().stream()
                        .filter(n -> n.what().equals("sent"))
                        .mapToDouble(Notes.Note::figure)
                        .sum(),
                50e6,
                1);
    }
}
