package cedarrudder.lab.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tiers, calls, clients, connections, peers and arrivals, on days without trouble. */
public class PlatformTest {

    private static final Policy FIRST =
            Policies.of("first", (settings, random, actions) -> new Policies.First(actions));

    private Scenarios site;
    private Notes notes;

    @BeforeMethod
    public void quiet() {
        site = new Scenarios();
        notes = new Notes();
    }

    private RunResult play(Scenario scenario, Policy policy) throws InterruptedException {
        RunResult result = Model.run(scenario, 1, policy, "v", notes, Guard.usual()).result();
        assertEquals(result.finding(), "");
        return result;
    }

    @Test
    public void eachRequestCallsTheNextTierAsOftenAsDrawn() throws InterruptedException {
        site.tiers = 3;
        site.calls = 1.5;
        site.perSecond = 20;
        site.seconds = 60;
        RunResult result = play(site.make(), Policies.DECIDE);
        double served = result.tiers().get(0).outcomes().get(Outcome.OK.ordinal());
        assertEquals(result.tiers().get(1).rpcs() / served, 1.5, 0.1);
        assertEquals(result.tiers().get(2).rpcs() / served, 2.25, 0.2);
        assertEquals(result.tiers().get(1).proxies(), site.nodes, "each node has its own proxy");
        assertTrue(result.whole() > 0.9, result.toString());
    }

    @Test
    public void aCallCarriesTheTimeLeftOrItsClassesWhole() throws InterruptedException {
        site.tiers = 2;
        for (double passes : new double[] {1, 0}) {
            site.passesDeadline = passes;
            notes = new Notes();
            play(site.make(), Policies.DECIDE);
            double longest = 0;
            for (Notes.Note below : notes.find("taken", n -> n.proxy() >= site.proxies)) {
                longest = Math.max(longest, below.figure() - Model.START - below.at() * 1e9);
            }
            // Clients give this class's tries up after 0.6 s of its whole second.
            assertTrue(
                    passes == 1 ? longest < 0.6e9 : Math.abs(longest - 1e9) < 1,
                    "passes " + passes + ": " + longest);
        }
    }

    @Test
    public void aFailedCallFailsTheRequestThatMadeIt() throws InterruptedException {
        site.tiers = 2;
        site.attempts = 1;
        site.retries = 0;
        Policy refusesBelow =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onRequest(long now, Request request) {
                                        if (settings.tier() == 1) {
                                            actions.reject(request.id(), 0);
                                        } else {
                                            super.onRequest(now, request);
                                        }
                                    }
                                });
        RunResult result = play(site.make(), refusesBelow);
        RunResult.ClassResult kind = result.classes().get(0);
        assertEquals(kind.failed(), kind.requests());
        assertEquals(
                (long) result.tiers().get(0).outcomes().get(Outcome.ERROR.ordinal()),
                kind.requests());
        assertEquals(result.tiers().get(0).wasted(), 1.0, 1e-9);
    }

    @Test
    public void aCancelledRequestStopsAndDropsItsCall() throws InterruptedException {
        site.tiers = 2;
        site.work = 400 * Scenarios.MS;
        site.spread = Scenario.Spread.FIXED;
        site.perSecond = 1;
        site.retries = 0;
        // A client leaves while the second tier works: after 0.1 s of the first tier's 0.2 s.
        site.classes =
                List.of(site.kind(Idempotency.UNSAFE, 100 * Scenarios.MS, 200 * Scenarios.MS));
        RunResult stopped = play(site.make(), FIRST);
        site.stopsCancelled = false;
        RunResult ran = play(site.make(), FIRST);
        assertEquals(stopped.whole(), 0.0);
        assertTrue(busy(ran) > 1.4 * busy(stopped), busy(ran) + " against " + busy(stopped));
    }

    private static double busy(RunResult result) {
        return result.nodes().stream().mapToDouble(RunResult.NodeResult::busy).sum();
    }

    @Test
    public void clientsComeBackWhenTheyWereTold() throws InterruptedException {
        site.perSecond = 5;
        site.classes =
                List.of(site.kind(Idempotency.UNSAFE, Scenarios.SECOND, 3 * Scenarios.SECOND));
        Policy later =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    private int count;

                                    @Override
                                    public void onRequest(long now, Request request) {
                                        if (count++ == 0) {
                                            actions.reject(request.id(), 1500 * Scenarios.MS);
                                        } else {
                                            super.onRequest(now, request);
                                        }
                                    }
                                });
        site.trace = List.of(new Scenario.Recorded(0, 0, 0, 0));
        play(site.make(), later);
        List<Double> taken = notes.find("taken", n -> true).stream().map(Notes.Note::at).toList();
        assertEquals(taken.size(), 2);
        assertEquals(taken.get(1) - taken.get(0), 1.5, 0.005);
    }

    @Test
    public void aFullTableOfConnectionsRefusesMore() throws InterruptedException {
        site.nodes = 1;
        site.connections = 2;
        site.work = 300 * Scenarios.MS;
        site.perSecond = 30;
        RunResult result = play(site.make(), FIRST);
        assertTrue(
                result.tiers().get(0).outcomes().get(Outcome.CONNECT_FAILED.ordinal()) > 50,
                result.tiers().toString());
        assertTrue(result.nodes().get(0).meanHeld() <= 2, result.nodes().toString());
    }

    @Test
    public void aFullNodeDeclinesUnseen() throws InterruptedException {
        site.nodes = 1;
        site.slots = 2;
        site.queue = 1;
        site.work = 100 * Scenarios.MS;
        site.perSecond = 60;
        RunResult result = play(site.make(), FIRST);
        long declined = result.tiers().get(0).outcomes().get(Outcome.REJECTED.ordinal());
        assertTrue(declined > 100, result.tiers().toString());
        assertEquals(result.nodes().get(0).declined(), declined);
        assertTrue(result.nodes().get(0).meanHeld() <= 3);
    }

    @Test
    public void probesAreAnsweredBesideTheQueueUpToTheirCap() throws InterruptedException {
        site.nodes = 1;
        site.probesPerCore = 10;
        site.work = 100 * Scenarios.MS;
        site.perSecond = 50;
        List<LoadReport> loads = new ArrayList<>();
        int[] turnedDown = new int[1];
        Policy probes =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onRequest(long now, Request request) {
                                        super.onRequest(now, request);
                                        actions.sendProbe(first);
                                    }

                                    @Override
                                    public void onProbeEnded(
                                            long now,
                                            long endpoint,
                                            Outcome outcome,
                                            long latency,
                                            LoadReport load) {
                                        if (outcome == Outcome.OK) {
                                            assertTrue(
                                                    latency < 10 * Scenarios.MS,
                                                    "latency " + latency);
                                            loads.add(load);
                                        } else {
                                            turnedDown[0]++;
                                        }
                                    }
                                });
        RunResult result = play(site.make(), probes);
        assertTrue(
                loads.size() > 90 && loads.size() < 150, loads.size() + " of " + result.probes());
        assertTrue(turnedDown[0] > 250, turnedDown[0] + " turned down");
        LoadReport last = loads.get(loads.size() - 1);
        assertTrue(last.inFlight() > 5 && last.utilization() > 0.9, last.toString());
        assertTrue(
                last.latencyMillis() > 0 && last.latencyMillis() < 100, "without waiting: " + last);
    }

    @Test
    public void peersHearOneAnotherLate() throws InterruptedException {
        site.proxies = 3;
        List<String> heard = new ArrayList<>();
        Policy tells =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    @Override
                                    public void onEndpoints(
                                            long now,
                                            EndpointListKind kind,
                                            List<Endpoint> entries) {
                                        super.onEndpoints(now, kind, entries);
                                        if (settings.self() == 0
                                                && kind == EndpointListKind.CACHED) {
                                            actions.sendToPeers(-1, new byte[] {7});
                                            actions.sendToPeers(2, new byte[256]);
                                        }
                                    }

                                    @Override
                                    public void onPeerMessage(long now, int from, byte[] message) {
                                        assertTrue(
                                                now - Model.START >= 5 * Scenarios.MS
                                                        && now - Model.START < 6 * Scenarios.MS);
                                        heard.add(
                                                from
                                                        + " to "
                                                        + settings.self()
                                                        + ": "
                                                        + message.length);
                                    }
                                });
        RunResult result = play(site.make(), tells);
        assertEquals(new TreeSet<>(heard), Set.of("0 to 1: 1", "0 to 2: 1", "0 to 2: 256"));
        assertEquals(result.charges().peer(), 0.01 * 258 / 256 / result.requests(), 1e-12);
    }

    @Test
    public void settingsAreThePlatforms() throws InterruptedException {
        site.proxies = 2;
        site.tiers = 2;
        site.ask = true;
        site.tenants =
                List.of(
                        new Scenario.Customer("one", 0.6, Draw.fixed(0.5), Draw.fixed(1)),
                        new Scenario.Customer("two", 0.4, Draw.fixed(0.5), Draw.fixed(2)));
        List<BalancerSettings> told = new ArrayList<>();
        Policy listens =
                Policies.of(
                        "v",
                        (settings, random, actions) -> {
                            told.add(settings);
                            return new Policies.First(actions);
                        });
        RunResult result = play(site.make(), listens);
        assertEquals(told.size(), 2 + site.nodes);
        BalancerSettings last = told.get(told.size() - 1);
        assertEquals(
                List.of(last.replicas(), last.self(), last.tier(), last.tierCount()),
                List.of(site.nodes, site.nodes - 1, 1, 2));
        assertTrue(last.pollsEndpoints());
        assertEquals(last.safety().coldCapacityShare(), site.coldFrom);
        assertEquals(last.safety().slowStartNanos(), (long) site.coldTime);
        // Four cores, 5 ms of work for each request at either tier.
        assertEquals(last.tenants().get(0).quotaPerSecond(), 0.6 * 0.5 * 800, 1e-6);
        double one = result.tenants().get(0).requests();
        assertEquals(result.tenants().get(1).requests() / one, 0.8 / 0.6, 0.3);
    }

    @Test
    public void whatATenantSendsBeyondItsShareIsWorthLittle() throws InterruptedException {
        site.perSecond = 40;
        site.seconds = 30;
        site.spread = Scenario.Spread.FIXED;
        // Capacity is 400 a second: a quota of 10 and 30; one sends twice its quota.
        site.tenants =
                List.of(
                        new Scenario.Customer("over", 0.5, Draw.fixed(0.05), Draw.fixed(1)),
                        new Scenario.Customer("within", 0.5, Draw.fixed(0.15), Draw.fixed(1)));
        Policy refusesOne =
                Policies.of(
                        "v",
                        (settings, random, actions) ->
                                new Policies.First(actions) {
                                    private int count;

                                    @Override
                                    public void onRequest(long now, Request request) {
                                        if (request.tenant() == 0 && count++ % 2 == 0) {
                                            actions.fail(request.id());
                                        } else {
                                            super.onRequest(now, request);
                                        }
                                    }
                                });
        site.retries = 0;
        RunResult result = play(site.make(), refusesOne);
        assertEquals(result.tenants().get(1).goodput(), 1.0, 0.001);
        // Half of its requests are lost, and hardly any of its share.
        assertTrue(result.tenants().get(0).goodput() > 0.85, result.tenants().toString());
        assertTrue(result.whole() > 0.9 && result.whole() < 1, "whole " + result.whole());
    }

    @Test
    public void aPaydayRisesAndFalls() throws InterruptedException {
        site.seconds = 60;
        Scenario base = site.make();
        Draw ten = Scenarios.seconds(10);
        Scenario payday =
                new Scenario(
                        base.name(),
                        base.about(),
                        base.run(),
                        new Scenario.Arrivals(
                                Scenario.Shape.PAYDAY,
                                null,
                                Draw.fixed(50),
                                null,
                                null,
                                Draw.fixed(4),
                                ten,
                                ten,
                                Scenarios.seconds(20),
                                List.of(),
                                0.1),
                        base.network(),
                        base.front(),
                        base.clients(),
                        base.discovery(),
                        base.allowed(),
                        base.rules(),
                        base.goal(),
                        base.prices(),
                        base.tiers(),
                        base.classes(),
                        base.tenants(),
                        base.faults());
        play(payday, FIRST);
        assertEquals(notes.between("taken", 0, 10).size(), 500, 100);
        assertTrue(notes.between("taken", 20, 40).size() > 2 * 20 * 50);
        int late = notes.between("taken", 52, 60).size();
        assertTrue(late > 250 && late < 550, "back to what it was: " + late);
        assertFalse(notes.between("taken", 10, 20).isEmpty());
    }
}
