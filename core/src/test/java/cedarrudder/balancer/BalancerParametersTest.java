package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The balancer's figures as a value. */
public class BalancerParametersTest {

    private static String complaint(String assignment) {
        return expectThrows(
                        IllegalArgumentException.class,
                        () -> BalancerParametersParser.parse(List.of(assignment)))
                .getMessage();
    }

    @Test
    public void aFigureIsSetByItsWrittenName() {
        BalancerParameters tuning =
                BalancerParametersParser.parse(
                        List.of("max-age-ms=9", "rif-quantile=0.9", "max-age-ms=1500"));
        assertEquals(tuning.get(Parameter.PROBE_MAX_AGE_MS), 1500.0);
        assertEquals(tuning.nanos(Parameter.PROBE_MAX_AGE_MS), 1500 * Site.MS);
        assertEquals(
                BalancerParametersParser.differences(tuning), "max-age-ms=1500 rif-quantile=0.9");
        assertEquals(
                BalancerParametersParser.differences(
                        BalancerParametersParser.parse(List.of("rif-quantile=0.25"))),
                "");
        assertEquals(BalancerParametersParser.differences(BalancerParameters.DEFAULTS), "");
    }

    @Test
    public void aWrongOneIsRefusedWithWhatIsAllowed() {
        assertTrue(
                complaint("pool=3")
                        .startsWith("unknown parameter 'pool'; known are probes-per-call, "));
        for (String wrong : List.of("x", "", "NaN", "-1", "Infinity", "1.01")) {
            String message = complaint("hold-share=" + wrong);
            assertTrue(message.startsWith("hold-share: found "), message);
            assertTrue(message.endsWith(", allowed is a number from 0 to 1"), message);
        }
        assertEquals(
                complaint("pool-size"), "pool-size: found '', allowed is a number from 1 to 256");
    }

    @Test
    public void everyFigureTakesTheEndsOfItsRange() {
        Site site = new Site();
        for (Parameter figure : Parameter.values()) {
            for (double value : new double[] {figure.min(), figure.max()}) {
                Recorder did = new Recorder();
                PrequalBalancer decide =
                        new PrequalBalancer(
                                site.settings(),
                                BalancerParameters.DEFAULTS.with(figure, value),
                                new SplittableRandom(1),
                                did);
                decide.onEndpoints(Site.SECOND, EndpointListKind.CACHED, Site.readyUpTo(4));
                decide.onRequest(
                        Site.SECOND, new Request(1, 0, 0, 3 * Site.SECOND, 0, false, false, 0));
                assertEquals(did.sent.size(), 1, figure + "=" + value);
            }
        }
    }
}
