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

/** Tests how balancer parameters are parsed and applied. */
public class BalancerParametersTest {

    private static String rejectionMessage(String assignment) {
        return expectThrows(
                        IllegalArgumentException.class,
                        () -> BalancerParametersParser.parse(List.of(assignment)))
                .getMessage();
    }

    @Test
    public void parameterIsSetByItsExternalName() {
        BalancerParameters parameters =
                BalancerParametersParser.parse(
                        List.of("max-age-ms=9", "rif-quantile=0.9", "max-age-ms=1500"));
        assertEquals(parameters.get(Parameter.PROBE_MAX_AGE_MS), 1500.0);
        assertEquals(parameters.nanos(Parameter.PROBE_MAX_AGE_MS), 1500 * Site.MS);
        assertEquals(
                BalancerParametersParser.differences(parameters),
                "max-age-ms=1500 rif-quantile=0.9");
        assertEquals(
                BalancerParametersParser.differences(
                        BalancerParametersParser.parse(List.of("rif-quantile=0.25"))),
                "");
        assertEquals(BalancerParametersParser.differences(BalancerParameters.DEFAULTS), "");
    }

    @Test
    public void invalidValueIsRejectedWithTheAllowedRange() {
        assertTrue(
                rejectionMessage("pool=3")
                        .startsWith("unknown parameter 'pool'; known are probes-per-call, "));
        for (String invalid : List.of("x", "", "NaN", "-1", "Infinity", "1.01")) {
            String message = rejectionMessage("hold-share=" + invalid);
            assertTrue(message.startsWith("hold-share: found "), message);
            assertTrue(message.endsWith(", allowed is a number from 0 to 1"), message);
        }
        assertEquals(
                rejectionMessage("pool-size"),
                "pool-size: found '', allowed is a number from 1 to 256");
    }

    @Test
    public void everyParameterAcceptsTheEndsOfItsRange() {
        Site site = new Site();
        for (Parameter parameter : Parameter.values()) {
            for (double value : new double[] {parameter.min(), parameter.max()}) {
                Recorder recorder = new Recorder();
                PrequalBalancer balancer =
                        new PrequalBalancer(
                                site.settings(),
                                BalancerParameters.DEFAULTS.with(parameter, value),
                                new SplittableRandom(1),
                                recorder);
                balancer.onEndpoints(Site.SECOND, EndpointListKind.CACHED, Site.readyUpTo(4));
                balancer.onRequest(
                        Site.SECOND, new Request(1, 0, 0, 3 * Site.SECOND, 0, false, false, 0));
                assertEquals(recorder.sent.size(), 1, parameter + "=" + value);
            }
        }
    }
}
