package cedarrudder;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.Balancer.ListKind;
import cedarrudder.Balancer.Request;
import cedarrudder.Tuning.Figure;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The module's figures as a value. */
public class TuningTest {

    private static String complaint(String assignment) {
        return expectThrows(
                        IllegalArgumentException.class, () -> TuningText.read(List.of(assignment)))
                .getMessage();
    }

    @Test
    public void aFigureIsSetByItsWrittenName() {
        Tuning tuning =
                TuningText.read(List.of("max-age-ms=9", "rif-quantile=0.9", "max-age-ms=1500"));
        assertEquals(tuning.get(Figure.MAX_AGE_MS), 1500.0);
        assertEquals(tuning.nanos(Figure.MAX_AGE_MS), 1500 * Site.MS);
        assertEquals(TuningText.differences(tuning), "max-age-ms=1500 rif-quantile=0.9");
        assertEquals(TuningText.differences(TuningText.read(List.of("rif-quantile=0.25"))), "");
        assertEquals(TuningText.differences(Tuning.DEFAULTS), "");
    }

    @Test
    public void aWrongOneIsRefusedWithWhatIsAllowed() {
        assertTrue(
                complaint("pool=3")
                        .startsWith("no figure is named 'pool'; known are probes-per-call, "));
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
        for (Figure figure : Figure.values()) {
            for (double value : new double[] {figure.least, figure.most}) {
                Recorder did = new Recorder();
                Decide decide =
                        new Decide(
                                site.settings(),
                                Tuning.DEFAULTS.with(figure, value),
                                new SplittableRandom(1),
                                did);
                decide.endpoints(Site.SECOND, ListKind.CACHED, Site.readyUpTo(4));
                decide.request(
                        Site.SECOND, new Request(1, 0, 0, 3 * Site.SECOND, 0, false, false, 0));
                assertEquals(did.sent.size(), 1, figure + "=" + value);
            }
        }
    }
}
