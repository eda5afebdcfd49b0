package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests an endpoint that restarts under its id: nothing known of its former incarnation counts for
 * the new one.
 */
public class FormerIncarnationTest {

    private static final long MS = Site.MS;
    private static final int REQUESTS = 40;

    private Recorder recorder;
    private PrequalBalancer balancer;
    private long now;
    private long id;

    @BeforeMethod
    public void setUp() {
        recorder = new Recorder();
        balancer = new PrequalBalancer(new Site().settings(), new SplittableRandom(1), recorder);
        now = 1000 * MS;
        id = 0;
        balancer.onEndpoints(now, EndpointListKind.FULL, Site.readyUpTo(2));
    }

    /** Sends a request and serves it at once; returns its endpoint. */
    private long request() {
        recorder.clear();
        balancer.onRequest(now, new Request(++id, 0, 0, now + Site.SECOND, 0, false, false, 0));
        long to = recorder.sent.get(0).endpoint();
        balancer.onAttemptEnded(now + MS, id, 0, to, Outcome.OK, MS, true, null);
        now += 50 * MS;
        return to;
    }

    private void answerProbes(Outcome outcome) {
        for (long probed : List.copyOf(recorder.probed)) {
            balancer.onProbeEnded(
                    now, probed, outcome, 0, Site.load(probed == 1 ? 0 : 5, probed == 1 ? 1 : 90));
        }
        recorder.probed.clear();
    }

    /**
     * Sends requests and answers probes until both endpoints have reported their load: the first is
     * fast and empty.
     */
    private void probeBothEndpoints() {
        for (int i = 0; i < REQUESTS; i++) {
            request();
            now -= 50 * MS;
            answerProbes(Outcome.OK);
            now += 50 * MS;
        }
        assertEquals(request(), 1, "the fast endpoint is picked");
    }

    private void restartFastEndpoint() {
        balancer.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.READY, now)));
        now += 900 * MS; // its slow start budget would allow a request by now
    }

    /**
     * An endpoint that has just started must not be picked because of reports from before its
     * restart.
     */
    @Test
    public void reportFromBeforeTheRestartIsIgnored() {
        probeBothEndpoints();
        restartFastEndpoint();
        assertEquals(request(), 2, "only the report of the other endpoint counts");
    }

    /** The same must hold for a report that was in transit during the restart. */
    @Test
    public void responseToProbeFromBeforeTheRestartIsIgnored() {
        probeBothEndpoints();
        recorder.clear();
        while (!recorder.probed.contains(1L)) {
            now += 1000 * MS;
            balancer.onTimer(now, 0); // a tick: an idle replica sends a probe now and then
        }
        long probedAt = now;
        answerProbeOf(2);
        restartFastEndpoint();
        balancer.onProbeEnded(now, 1, Outcome.OK, now - probedAt, Site.load(0, 1));
        assertEquals(request(), 2);
    }

    private void answerProbeOf(long endpoint) {
        while (!recorder.probed.contains(endpoint)) {
            now += 1000 * MS;
            balancer.onTimer(now, 0);
        }
        balancer.onProbeEnded(now, endpoint, Outcome.OK, 0, Site.load(5, 90));
    }
}
