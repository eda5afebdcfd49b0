package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** How many probes calls pay for: few while they go well, more where they fail. */
public class ProbeSchedulerTest {

    private static final int CALLS = 1000;

    /**
     * Probes of the last of many calls, every {@code period}th of which ends so; the others are
     * served.
     */
    private static int probes(BalancerParameters tuning, int period, Outcome outcome) {
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        Recorder did = new Recorder();
        PrequalBalancer decide =
                new PrequalBalancer(site.settings(), tuning, new SplittableRandom(5), did);
        long now = 100 * Site.SECOND;
        decide.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(8));
        int sent = 0;
        for (int id = 1; id <= 2 * CALLS; id++) {
            now += 10 * Site.MS;
            decide.onRequest(now, new Request(id, 0, 0, now + Site.SECOND, 0, false, false, 0));
            sent += id > CALLS ? did.probed.size() : 0;
            for (long endpoint : List.copyOf(did.probed)) {
                decide.onProbeEnded(now, endpoint, Outcome.OK, 0, Site.load(0, 1));
            }
            did.probed.clear();
            Recorder.Sent last = did.sent.get(did.sent.size() - 1);
            Outcome how = id % period == 0 ? outcome : Outcome.OK;
            decide.onAttemptEnded(
                    now, id, 0, last.endpoint(), how, Site.MS, how == Outcome.OK, null);
        }
        return sent;
    }

    @Test
    public void callsThatGoWellPayForFewProbes() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 1, Outcome.OK), CALLS / 10, 1);
    }

    @Test
    public void callsPayForMoreWhereSomeFail() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 5, Outcome.RESET), 0.3 * CALLS, 5);
        assertEquals(probes(BalancerParameters.DEFAULTS, 20, Outcome.ERROR), 0.2 * CALLS, 10);
    }

    @Test
    public void whatThisCopyCalledOffIsNoFailure() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 5, Outcome.CANCELLED), CALLS / 10, 1);
    }

    @Test
    public void failuresNeverMeanFewerProbes() {
        BalancerParameters eager =
                BalancerParameters.DEFAULTS.with(
                        BalancerParameters.Parameter.PROBES_PER_REQUEST, 1);
        assertEquals(probes(eager, 5, Outcome.RESET), CALLS);
    }
}
