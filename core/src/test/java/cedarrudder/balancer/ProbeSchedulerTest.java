package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests how many probes are sent: few while requests succeed, more while some fail. */
public class ProbeSchedulerTest {

    private static final int REQUESTS = 1000;

    /**
     * Returns the number of probes sent during the last {@link #REQUESTS} requests. Every {@code
     * period}th request ends with the outcome; the others are served.
     */
    private static int probes(BalancerParameters parameters, int period, Outcome outcome) {
        Site site = new Site();
        site.classes = List.of(Site.UNSAFE);
        Recorder recorder = new Recorder();
        PrequalBalancer balancer =
                new PrequalBalancer(site.settings(), parameters, new SplittableRandom(5), recorder);
        long now = 100 * Site.SECOND;
        balancer.onEndpoints(now, EndpointListKind.CACHED, Site.readyUpTo(8));
        int sent = 0;
        for (int id = 1; id <= 2 * REQUESTS; id++) {
            now += 10 * Site.MS;
            balancer.onRequest(now, new Request(id, 0, 0, now + Site.SECOND, 0, false, false, 0));
            sent += id > REQUESTS ? recorder.probed.size() : 0;
            for (long endpoint : List.copyOf(recorder.probed)) {
                balancer.onProbeEnded(now, endpoint, Outcome.OK, 0, Site.load(0, 1));
            }
            recorder.probed.clear();
            Recorder.Sent last = recorder.sent.get(recorder.sent.size() - 1);
            Outcome result = id % period == 0 ? outcome : Outcome.OK;
            balancer.onAttemptEnded(
                    now, id, 0, last.endpoint(), result, Site.MS, result == Outcome.OK, null);
        }
        return sent;
    }

    @Test
    public void servedRequestsCauseFewProbes() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 1, Outcome.OK), REQUESTS / 10, 1);
    }

    @Test
    public void failedRequestsCauseMoreProbes() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 5, Outcome.RESET), 0.3 * REQUESTS, 5);
        assertEquals(probes(BalancerParameters.DEFAULTS, 20, Outcome.ERROR), 0.2 * REQUESTS, 10);
    }

    @Test
    public void cancelledRequestsAreNoFailures() {
        assertEquals(probes(BalancerParameters.DEFAULTS, 5, Outcome.CANCELLED), REQUESTS / 10, 1);
    }

    @Test
    public void failuresNeverReduceProbes() {
        BalancerParameters oneProbePerRequest =
                BalancerParameters.DEFAULTS.with(
                        BalancerParameters.Parameter.PROBES_PER_REQUEST, 1);
        assertEquals(probes(oneProbePerRequest, 5, Outcome.RESET), REQUESTS);
    }
}
