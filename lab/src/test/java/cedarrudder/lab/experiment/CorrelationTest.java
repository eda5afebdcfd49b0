package cedarrudder.lab.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Rank correlation of two files of means. */
public class CorrelationTest {

    private static final String FIRST =
            """
            variant,kind,mean
            a,calm,0.90
            b,calm,0.91
            c,calm,0.92
            a,storm,0.50
            b,storm,0.51
            c,storm,0.52
            """;

    private static List<Correlation> correlate(String first, String second) throws IOException {
        Path a = Files.writeString(Files.createTempFile("a", ".csv"), first);
        Path b = Files.writeString(Files.createTempFile("b", ".csv"), second);
        try {
            return Correlation.of(a, b);
        } finally {
            Files.delete(a);
            Files.delete(b);
        }
    }

    @Test
    public void kindsOfDifferentLevelsDoNotHideThatVariantsAreRankedOtherwise() throws IOException {
        List<Correlation> found =
                correlate(
                        FIRST,
                        """
                        mean, kind, variant
                        5.3, calm, a
                        5.2, calm, b
                        5.1, calm, c
                        1.3, storm, a
                        1.2, storm, b
                        1.1, storm, c
                        9.9, storm, unknown
                        """);
        assertEquals(
                found.stream().map(Correlation::over).toList(),
                List.of("all", "calm", "storm", "variants' means"));
        assertTrue(found.get(0).rho() > 0.5, found.toString());
        assertEquals(found.get(1).rho(), -1, 1e-12);
        assertEquals(found.get(3).rho(), -1, 1e-12);
        assertEquals(found.get(0).pairs(), 6);
        assertEquals(
                found.get(1).toString(),
                "calm: rho -1.000, 95 % interval -1.000 to -1.000, 3 pairs");
    }

    @Test
    public void badFilesAreNamedWithTheirLine() {
        for (String[] bad :
                new String[][] {
                    {"variant,mean\na,1\n", ":1: found [variant, mean]"},
                    {"variant,kind,mean\na,calm\n", ":2: found 2 columns"},
                    {"variant,kind,mean\na,calm,high\n", ":2: mean: found \"high\""},
                    {"variant,kind,mean\na,calm,1\na,calm,2\n", ":3: a second row for a, calm"},
                    {"variant,kind,mean\na,calm,1\nb,calm,2\n", "only 2 rows"}
                }) {
            IOException said = expectThrows(IOException.class, () -> correlate(bad[0], FIRST));
            assertTrue(said.getMessage().contains(bad[1]), said.getMessage());
        }
    }
}
