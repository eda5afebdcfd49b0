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

/**
 * Many replicas, each alone, and an endpoint that has just started: together they must not push it
 * over.
 */
class ColdStartTest {
    private static final long MS = Site.MS;
    private static final int WARM = 5;
    private static final long COLD = 99;

    /** How long a request lasts. */
    private static final long LASTS = 50 * MS;

    private record Out(long until, PrequalBalancer at, Recorder.Sent sent) {}

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
    void manyCopiesTogetherStayWithinTheBudget(int replicas, int processes, int requestsPerSecond) {
        long start = 1000 * Site.SECOND;
        List<PrequalBalancer> decides = new ArrayList<>();
        List<Recorder> did = new ArrayList<>();
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        site.replicas = replicas;
        // Of two processes of a replica, as in an upgrade, the second gets its part of the calls a
        // second before
        // the endpoint starts. Detects two whole budgets where the users count one proxy.
        for (int i = 0; i < replicas * processes; i++) {
            site.self = i % replicas;
            did.add(new Recorder());
            decides.add(new PrequalBalancer(site.settings(), new SplittableRandom(i), did.get(i)));
            decides.get(i).onEndpoints(start, EndpointListKind.CACHED, Site.readyUpTo(WARM));
        }
        SafetyRules safety = site.settings().safety();
        long coldFrom = start + 5 * Site.SECOND;
        long step = Site.SECOND / requestsPerSecond;
        ArrayDeque<Long> toCold = new ArrayDeque<>();
        ArrayDeque<Out> out = new ArrayDeque<>();
        int sentToCold = 0;
        SplittableRandom random = new SplittableRandom(3);
        boolean told = false;
        long id = 0;
        for (long now = start; now < coldFrom + 12 * Site.SECOND; now += step) {
            if (!told && now >= coldFrom) {
                told = true;
                Endpoint cold = Site.endpoint(COLD, 0, 0, EndpointStatus.READY, coldFrom);
                for (PrequalBalancer decide : decides) {
                    decide.onEndpoints(now, EndpointListKind.DELTA, List.of(cold));
                }
            }
            int at = random.nextInt(now < coldFrom - Site.SECOND ? replicas : decides.size());
            PrequalBalancer decide = decides.get(at);
            Recorder recorder = did.get(at);
            recorder.clear();
            decide.onRequest(now, new Request(++id, 0, 0, now + Site.SECOND, 0, false, false, 0));
            for (long probe : List.copyOf(recorder.probed)) {
                // The fresh endpoint reads empty and quick, as fresh ones do.
                boolean fresh = probe == COLD;
                decide.onProbeEnded(
                        now, probe, Outcome.OK, 0, Site.load(fresh ? 0 : 4, fresh ? 1 : 20));
            }
            for (Recorder.Sent sent : List.copyOf(recorder.sent)) {
                if (sent.endpoint() == COLD) {
                    toCold.add(now);
                    sentToCold++;
                }
                out.add(new Out(now + LASTS, decide, sent));
            }
            while (!out.isEmpty() && out.peek().until <= now) {
                Out done = out.remove();
                Recorder.Sent sent = done.sent;
                done.at.onAttemptEnded(
                        now, sent.request(), 0, sent.endpoint(), Outcome.OK, LASTS, true, null);
            }
            while (!toCold.isEmpty() && toCold.peek() <= now - safety.overloadWindowNanos()) {
                toCold.remove();
            }
            if (told && now < coldFrom + safety.slowStartNanos()) {
                double ramp = (now - coldFrom) / (double) safety.slowStartNanos();
                double part = safety.coldCapacityShare() + (1 - safety.coldCapacityShare()) * ramp;
                // Warm endpoints bear this much each, so they can do that at least.
                double canDo = requestsPerSecond / (double) WARM * part;
                double max = safety.overloadMultiple() * canDo * safety.overloadWindowNanos() / 1e9;
                assertTrue(
                        toCold.size() <= max,
                        toCold.size()
                                + " sent in a window, "
                                + max
                                + " allowed, "
                                + (now - coldFrom) / MS
                                + " ms after its start");
            }
        }
        assertTrue(
                sentToCold > requestsPerSecond / 10,
                "and it is used while it warms: " + sentToCold);
    }
}
