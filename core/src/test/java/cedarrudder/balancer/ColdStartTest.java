package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many independent replicas together must not overload an endpoint that has just started. */
class ColdStartTest {
    private static final long MS = Site.MS;
    private static final int WARM = 5;
    private static final long COLD = 99;

    /** Duration of a request, in nanoseconds. */
    private static final long REQUEST_DURATION = 50 * MS;

    private record InFlight(long until, PrequalBalancer balancer, Recorder.Sent sent) {}

    @ParameterizedTest
    @CsvSource({
        "1, 1, 400",
        "5, 1, 400",
        "40, 1, 400",
        "40, 1, 4000",
        "200, 1, 400",
        "1, 2, 400",
        "5, 2, 400",
        "40, 2, 4000"
    })
    void manyReplicasTogetherStayWithinTheBudget(
            int replicas, int processes, int requestsPerSecond) {
        long start = 1000 * Site.SECOND;
        List<PrequalBalancer> balancers = new ArrayList<>();
        List<Recorder> recorders = new ArrayList<>();
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        site.replicas = replicas;
        // Where a replica has two processes, as in an upgrade, the second receives its fraction of
        // the requests from a second before the endpoint starts. The two must not use two whole
        // budgets, since the settings count one proxy.
        for (int i = 0; i < replicas * processes; i++) {
            site.self = i % replicas;
            recorders.add(new Recorder());
            balancers.add(
                    new PrequalBalancer(
                            site.settings(), new SplittableRandom(i), recorders.get(i)));
            balancers.get(i).onEndpoints(start, EndpointListKind.CACHED, Site.readyUpTo(WARM));
        }
        SafetyRules safety = site.settings().safety();
        long coldFrom = start + 5 * Site.SECOND;
        long step = Site.SECOND / requestsPerSecond;
        ArrayDeque<Long> toCold = new ArrayDeque<>();
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        int sentToCold = 0;
        SplittableRandom random = new SplittableRandom(3);
        boolean announced = false;
        long id = 0;
        for (long now = start; now < coldFrom + 12 * Site.SECOND; now += step) {
            if (!announced && now >= coldFrom) {
                announced = true;
                Endpoint cold = Site.endpoint(COLD, 0, 0, EndpointStatus.READY, coldFrom);
                for (PrequalBalancer balancer : balancers) {
                    balancer.onEndpoints(now, EndpointListKind.DELTA, List.of(cold));
                }
            }
            int at = random.nextInt(now < coldFrom - Site.SECOND ? replicas : balancers.size());
            PrequalBalancer balancer = balancers.get(at);
            Recorder recorder = recorders.get(at);
            recorder.clear();
            balancer.onRequest(now, new Request(++id, 0, 0, now + Site.SECOND, 0, false, false, 0));
            for (long probe : List.copyOf(recorder.probed)) {
                // The endpoint that has just started reports itself empty and fast.
                boolean isCold = probe == COLD;
                balancer.onProbeEnded(
                        now, probe, Outcome.OK, 0, Site.load(isCold ? 0 : 4, isCold ? 1 : 20));
            }
            for (Recorder.Sent sent : List.copyOf(recorder.sent)) {
                if (sent.endpoint() == COLD) {
                    toCold.add(now);
                    sentToCold++;
                }
                inFlight.add(new InFlight(now + REQUEST_DURATION, balancer, sent));
            }
            while (!inFlight.isEmpty() && inFlight.peek().until <= now) {
                InFlight done = inFlight.remove();
                Recorder.Sent sent = done.sent;
                done.balancer.onAttemptEnded(
                        now,
                        sent.request(),
                        0,
                        sent.endpoint(),
                        Outcome.OK,
                        REQUEST_DURATION,
                        true,
                        null);
            }
            while (!toCold.isEmpty() && toCold.peek() <= now - safety.overloadWindowNanos()) {
                toCold.remove();
            }
            if (announced && now < coldFrom + safety.slowStartNanos()) {
                double ramp = (now - coldFrom) / (double) safety.slowStartNanos();
                double capacityShare =
                        safety.coldCapacityShare() + (1 - safety.coldCapacityShare()) * ramp;
                // Each warm endpoint receives this many requests, so its capacity is at least that.
                double capacity = requestsPerSecond / (double) WARM * capacityShare;
                double max =
                        safety.overloadMultiple() * capacity * safety.overloadWindowNanos() / 1e9;
                assertTrue(
                        toCold.size() <= max,
                        toCold.size()
                                + " requests sent in a window, "
                                + max
                                + " allowed, "
                                + (now - coldFrom) / MS
                                + " ms after the start of the endpoint");
            }
        }
        assertTrue(
                sentToCold > requestsPerSecond / 10,
                "the endpoint is used while it warms up: " + sentToCold);
    }
}
