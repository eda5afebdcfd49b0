package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Endpoints are not driven past what they hold, and who waits goes by worth. */
public class OverloadTest {

    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;
    private static final RequestClass SAFE = Site.SAFE;
    private static final RequestClass WORTHY =
            new RequestClass(
                    "worthy",
                    SAFE.idempotency(),
                    SAFE.keyScope(),
                    SAFE.latencyObjectiveNanos(),
                    SAFE.deadlineNanos(),
                    5,
                    0,
                    0,
                    false);

    private Site site;
    private Recorder did;
    private long now;

    @BeforeMethod
    public void begin() {
        site = new Site();
        site.classes = List.of(SAFE, WORTHY);
        did = new Recorder();
        now = 100 * SECOND;
    }

    private PrequalBalancer start(int endpoints) {
        BalancerSettings settings = site.settings();
        BalancerSettings byWork =
                new BalancerSettings(
                        settings.replicas(),
                        settings.self(),
                        0,
                        settings.tier(),
                        settings.tierCount(),
                        false,
                        settings.classes(),
                        settings.tenants(),
                        settings.limits(),
                        settings.safety(),
                        new ServiceGoal(0.9, 0.1, 0, 0, 0.1, true),
                        settings.prices());
        BalancerParameters noCopies = BalancerParameters.DEFAULTS.with(Parameter.HEDGE_STRETCH, 0);
        PrequalBalancer decide =
                new PrequalBalancer(byWork, noCopies, new SplittableRandom(7), did);
        decide.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(endpoints));
        return decide;
    }

    private void ask(PrequalBalancer decide, long id, int kind) {
        decide.onRequest(
                now, new Request(id, kind, 0, now + 10 * SECOND, 0, false, false, 20 * MS));
    }

    /** The line's next look at who waits. */
    private void ring(PrequalBalancer decide) {
        Recorder.Timer next = did.timers.get(did.timers.size() - 1);
        now = next.at();
        decide.onTimer(now, next.token());
    }

    private void ends(PrequalBalancer decide, int sent, Outcome outcome) {
        Recorder.Sent which = did.sent.get(sent);
        decide.onAttemptEnded(
                now,
                which.request(),
                0,
                which.endpoint(),
                outcome,
                MS,
                outcome == Outcome.OK,
                null);
    }

    @Test
    public void sendsNoEndpointMoreThanItMayHold() {
        PrequalBalancer decide = start(2);
        for (int id = 1; id <= 20; id++) {
            ask(decide, id, 0);
        }
        assertEquals(did.sent.size(), 8);
        assertEquals(did.sent.stream().filter(s -> s.endpoint() == 1).count(), 4);
        assertTrue(did.refused.isEmpty(), "the others wait");
    }

    @Test
    public void eachOfFewCopiesTakesItsPart() {
        site.replicas = 2;
        PrequalBalancer decide = start(2);
        for (int id = 1; id <= 20; id++) {
            ask(decide, id, 0);
        }
        assertEquals(did.sent.size(), 4);
    }

    @Test
    public void whatManyOthersHaveThereIsKnownFromReports() {
        site.replicas = 10;
        PrequalBalancer decide = start(1);
        ask(decide, 1, 0);
        long probed = did.probed.get(0);
        decide.onProbeEnded(
                now,
                probed,
                Outcome.OK,
                0,
                new LoadReport(3, Double.NaN, 0.9, 5, Double.NaN, Double.NaN));
        ask(decide, 2, 0);
        assertEquals(did.sent.size(), 1, "three of others and one of its own");
        now += 3 * SECOND;
        ask(decide, 3, 0);
        assertEquals(did.sent.size(), 3, "the report has aged, and the two that waited go");
    }

    @Test
    public void whoWaitsIsTurnedAwayWhileItStillHelps() {
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 5; id++) {
            ask(decide, id, 0);
        }
        long came = now;
        while (did.refused.isEmpty()) {
            ring(decide);
        }
        assertEquals(did.refused, List.of(5L));
        assertTrue(
                now - came >= 20 * MS && now - came <= 45 * MS,
                "after " + (now - came) / MS + " ms");
    }

    @Test
    public void theLessWorthyAreTurnedAwayInTimeThoughOthersWaitBeforeThem() {
        RequestClass patient =
                new RequestClass(
                        "patient",
                        SAFE.idempotency(),
                        SAFE.keyScope(),
                        20 * SAFE.latencyObjectiveNanos(),
                        20 * SAFE.deadlineNanos(),
                        5,
                        0,
                        0,
                        false);
        site.classes = List.of(SAFE, patient);
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 5; id++) {
            ask(decide, id, 1);
        }
        ask(decide, 6, 0);
        ring(decide);
        ring(decide);
        assertEquals(did.refused, List.of(6L));
    }

    @Test
    public void theWorthiestOfThoseWhoWaitGoesFirst() {
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 4; id++) {
            ask(decide, id, 1);
        }
        ask(decide, 5, 0);
        ask(decide, 6, 1);
        ends(decide, 0, Outcome.OK);
        assertEquals(did.sent.get(4).request(), 6L);
    }

    @Test
    public void whatIsPastATenantsShareWaitsLongest() {
        site.tenants = List.of(new Tenant("a", 0.5, 0.5), new Tenant("b", 0.5, 1000));
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 4; id++) {
            ask(decide, id, 1);
        }
        ask(decide, 5, 1);
        decide.onRequest(now, new Request(6, 0, 1, now + SECOND, 0, false, false, 20 * MS));
        ends(decide, 0, Outcome.OK);
        assertEquals(did.sent.get(4).request(), 6L, "worth less, but within its share");
    }

    @Test
    public void aRequestThatFitsNowhereHoldsUpNoOther() {
        site.classes = List.of(Site.KEYED_IN_CELL, Site.SAFE);
        PrequalBalancer decide = start(0);
        decide.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 1, EndpointStatus.READY, 0)));
        ask(decide, 1, 0);
        ends(decide, 0, Outcome.ERROR);
        assertEquals(did.sent.size(), 1, "no other endpoint in its cell");
        ask(decide, 2, 1);
        assertEquals(did.sent.size(), 2);
    }

    @Test
    public void whoLeftWhileWaitingTakesNoRoom() {
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 6; id++) {
            ask(decide, id, 0);
        }
        decide.onClientLeft(now, 5);
        ends(decide, 0, Outcome.OK);
        assertEquals(did.sent.get(4).request(), 6L);
        ring(decide);
        ring(decide);
        assertTrue(did.refused.isEmpty() && did.failed.isEmpty());
    }

    @Test
    public void nobodyWaitsPastItsDeadline() {
        PrequalBalancer decide = start(1);
        for (int id = 1; id <= 4; id++) {
            ask(decide, id, 0);
        }
        decide.onRequest(now, new Request(5, 0, 0, now + 30 * MS, 0, false, false, 0));
        assertEquals(did.refused, List.of(5L), "too little time is left to look at it again");
    }

    @Test
    public void whoIsTurnedAwayIsToldWhenTheNextPlaceShouldBeFree() {
        PrequalBalancer decide = start(2);
        for (int id = 1; id <= 6; id++) {
            ask(decide, id, 0);
        }
        Recorder.Sent first = did.sent.get(0);
        decide.onAttemptEnded(now, 1, 0, first.endpoint(), Outcome.OK, 100 * MS, true, null);
        decide.onRequest(now, new Request(7, 0, 0, now, 0, false, false, 0));
        assertEquals(did.comeBack, List.of(20 * MS), "five are out, each for 100 ms");
    }
}
