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

/**
 * Endpoints receive no more requests than their concurrency limit; queued requests are ordered by
 * priority.
 */
public class OverloadTest {

    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;
    private static final RequestClass SAFE = Site.SAFE;
    private static final RequestClass HIGH_PRIORITY =
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
    private Recorder recorder;
    private long now;

    @BeforeMethod
    public void setUp() {
        site = new Site();
        site.classes = List.of(SAFE, HIGH_PRIORITY);
        recorder = new Recorder();
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
        BalancerParameters withoutHedging =
                BalancerParameters.DEFAULTS.with(Parameter.HEDGE_STRETCH, 0);
        PrequalBalancer balancer =
                new PrequalBalancer(byWork, withoutHedging, new SplittableRandom(7), recorder);
        balancer.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(endpoints));
        return balancer;
    }

    private void sendRequest(PrequalBalancer balancer, long id, int classIndex) {
        balancer.onRequest(
                now, new Request(id, classIndex, 0, now + 10 * SECOND, 0, false, false, 20 * MS));
    }

    /** Fires the timer that was scheduled last, at which the queue is checked again. */
    private void fireLastTimer(PrequalBalancer balancer) {
        Recorder.Timer next = recorder.timers.get(recorder.timers.size() - 1);
        now = next.at();
        balancer.onTimer(now, next.token());
    }

    private void endAttempt(PrequalBalancer balancer, int sent, Outcome outcome) {
        Recorder.Sent attempt = recorder.sent.get(sent);
        balancer.onAttemptEnded(
                now,
                attempt.request(),
                0,
                attempt.endpoint(),
                outcome,
                MS,
                outcome == Outcome.OK,
                null);
    }

    @Test
    public void sendsNoEndpointMoreThanItsConcurrencyLimit() {
        PrequalBalancer balancer = start(2);
        for (int id = 1; id <= 20; id++) {
            sendRequest(balancer, id, 0);
        }
        assertEquals(recorder.sent.size(), 8);
        assertEquals(recorder.sent.stream().filter(s -> s.endpoint() == 1).count(), 4);
        assertTrue(recorder.rejected.isEmpty(), "the others are queued");
    }

    @Test
    public void eachOfFewReplicasUsesItsFractionOfTheLimit() {
        site.replicas = 2;
        PrequalBalancer balancer = start(2);
        for (int id = 1; id <= 20; id++) {
            sendRequest(balancer, id, 0);
        }
        assertEquals(recorder.sent.size(), 4);
    }

    @Test
    public void requestsOfOtherReplicasAreKnownFromLoadReports() {
        site.replicas = 10;
        PrequalBalancer balancer = start(1);
        sendRequest(balancer, 1, 0);
        long probed = recorder.probed.get(0);
        balancer.onProbeEnded(
                now,
                probed,
                Outcome.OK,
                0,
                new LoadReport(3, Double.NaN, 0.9, 5, Double.NaN, Double.NaN));
        sendRequest(balancer, 2, 0);
        assertEquals(recorder.sent.size(), 1, "three of other replicas and one of its own");
        now += 3 * SECOND;
        sendRequest(balancer, 3, 0);
        assertEquals(
                recorder.sent.size(),
                3,
                "the report has aged, and the two queued requests are sent");
    }

    @Test
    public void queuedRequestIsRejectedWellBeforeItsDeadline() {
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 5; id++) {
            sendRequest(balancer, id, 0);
        }
        long arrivedAt = now;
        while (recorder.rejected.isEmpty()) {
            fireLastTimer(balancer);
        }
        assertEquals(recorder.rejected, List.of(5L));
        assertTrue(
                now - arrivedAt >= 20 * MS && now - arrivedAt <= 45 * MS,
                "rejected after " + (now - arrivedAt) / MS + " ms");
    }

    @Test
    public void lowerPriorityIsRejectedInTimeBehindMorePatientRequests() {
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
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 5; id++) {
            sendRequest(balancer, id, 1);
        }
        sendRequest(balancer, 6, 0);
        fireLastTimer(balancer);
        fireLastTimer(balancer);
        assertEquals(recorder.rejected, List.of(6L));
    }

    @Test
    public void highestPriorityLeavesTheQueueFirst() {
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 4; id++) {
            sendRequest(balancer, id, 1);
        }
        sendRequest(balancer, 5, 0);
        sendRequest(balancer, 6, 1);
        endAttempt(balancer, 0, Outcome.OK);
        assertEquals(recorder.sent.get(4).request(), 6L);
    }

    @Test
    public void requestAboveTenantQuotaWaitsLongest() {
        site.tenants = List.of(new Tenant("a", 0.5, 0.5), new Tenant("b", 0.5, 1000));
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 4; id++) {
            sendRequest(balancer, id, 1);
        }
        sendRequest(balancer, 5, 1);
        balancer.onRequest(now, new Request(6, 0, 1, now + SECOND, 0, false, false, 20 * MS));
        endAttempt(balancer, 0, Outcome.OK);
        assertEquals(recorder.sent.get(4).request(), 6L, "lower priority, but within its quota");
    }

    @Test
    public void requestWithoutEligibleEndpointDelaysNoOther() {
        site.classes = List.of(Site.KEYED_IN_CELL, Site.SAFE);
        PrequalBalancer balancer = start(0);
        balancer.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 1, EndpointStatus.READY, 0)));
        sendRequest(balancer, 1, 0);
        endAttempt(balancer, 0, Outcome.ERROR);
        assertEquals(recorder.sent.size(), 1, "no other endpoint in its cell");
        sendRequest(balancer, 2, 1);
        assertEquals(recorder.sent.size(), 2);
    }

    @Test
    public void requestWhoseClientLeftUsesNoCapacity() {
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 6; id++) {
            sendRequest(balancer, id, 0);
        }
        balancer.onClientLeft(now, 5);
        endAttempt(balancer, 0, Outcome.OK);
        assertEquals(recorder.sent.get(4).request(), 6L);
        fireLastTimer(balancer);
        fireLastTimer(balancer);
        assertTrue(recorder.rejected.isEmpty() && recorder.failed.isEmpty());
    }

    @Test
    public void requestThatCannotWaitIsRejectedAtOnce() {
        PrequalBalancer balancer = start(1);
        for (int id = 1; id <= 4; id++) {
            sendRequest(balancer, id, 0);
        }
        balancer.onRequest(now, new Request(5, 0, 0, now + 30 * MS, 0, false, false, 0));
        assertEquals(recorder.rejected, List.of(5L), "too little time is left to check it again");
    }

    @Test
    public void rejectionCarriesTimeUntilCapacityIsExpected() {
        PrequalBalancer balancer = start(2);
        for (int id = 1; id <= 6; id++) {
            sendRequest(balancer, id, 0);
        }
        Recorder.Sent first = recorder.sent.get(0);
        balancer.onAttemptEnded(now, 1, 0, first.endpoint(), Outcome.OK, 100 * MS, true, null);
        balancer.onRequest(now, new Request(7, 0, 0, now, 0, false, false, 0));
        assertEquals(recorder.retryAfters, List.of(20 * MS), "five are in flight, each for 100 ms");
    }
}
