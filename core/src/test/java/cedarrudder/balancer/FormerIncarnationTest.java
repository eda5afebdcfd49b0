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
 * An endpoint that restarts under its id: nothing that is known of its former life counts for this
 * one.
 */
public class FormerIncarnationTest {

    private static final long MS = Site.MS;
    private static final int REQUESTS = 40;

    private Recorder did;
    private PrequalBalancer decide;
    private long now;
    private long id;

    @BeforeMethod
    public void start() {
        did = new Recorder();
        decide = new PrequalBalancer(new Site().settings(), new SplittableRandom(1), did);
        now = 1000 * MS;
        id = 0;
        decide.onEndpoints(now, EndpointListKind.FULL, Site.readyUpTo(2));
    }

    /** Sends a request and serves it at once; returns where it went. */
    private long request() {
        did.clear();
        decide.onRequest(now, new Request(++id, 0, 0, now + Site.SECOND, 0, false, false, 0));
        long to = did.sent.get(0).endpoint();
        decide.onAttemptEnded(now + MS, id, 0, to, Outcome.OK, MS, true, null);
        now += 50 * MS;
        return to;
    }

    private void answerProbes(Outcome outcome) {
        for (long probed : List.copyOf(did.probed)) {
            decide.onProbeEnded(
                    now, probed, outcome, 0, Site.load(probed == 1 ? 0 : 5, probed == 1 ? 1 : 90));
        }
        did.probed.clear();
    }

    /** Until both have been asked for their load and have said it: the first is quick and empty. */
    private void learn() {
        for (int i = 0; i < REQUESTS; i++) {
            request();
            now -= 50 * MS;
            answerProbes(Outcome.OK);
            now += 50 * MS;
        }
        assertEquals(request(), 1, "the quick one is picked");
    }

    private void restartTheQuickOne() {
        decide.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.READY, now)));
        now += 900 * MS; // its cold budget would allow a request by now
    }

    /** Detects an endpoint that has just started being picked by what it reported before. */
    @Test
    public void whatAnEndpointReportedBeforeItsRestartIsForgotten() {
        learn();
        restartTheQuickOne();
        assertEquals(request(), 2, "only what is known of the other counts");
    }

    /** Detects the same, where the report was on its way. */
    @Test
    public void anAnswerToAProbeFromBeforeTheRestartIsNotTaken() {
        learn();
        did.clear();
        while (!did.probed.contains(1L)) {
            now += 1000 * MS;
            decide.onTimer(now, 0); // a tick: an idle copy asks now and then
        }
        long asked = now;
        answerOnly(2);
        restartTheQuickOne();
        decide.onProbeEnded(now, 1, Outcome.OK, now - asked, Site.load(0, 1));
        assertEquals(request(), 2);
    }

    private void answerOnly(long endpoint) {
        while (!did.probed.contains(endpoint)) {
            now += 1000 * MS;
            decide.onTimer(now, 0);
        }
        decide.onProbeEnded(now, endpoint, Outcome.OK, 0, Site.load(5, 90));
    }
}
