package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Settings of any customer: an invalid setting is reported with its place, the value found and the
 * values allowed.
 */
public class SettingsReaderTest {

    /** A text in the example's configuration, its replacement, and the expected message. */
    @DataProvider
    private Object[][] wrong() {
        return new Object[][] {
            {
                "\"balancers\": 1",
                "\"balancers\": 0",
                "'settings.balancers': found 0; allowed: 1 to 1000000"
            },
            {"\"balancers\": 1", "\"other\": 1", "'settings.balancers' is missing"},
            {"\"ordinal\": 0", "\"ordinal\": 1", "'settings.ordinal': found 1; allowed: 0 to 0"},
            {"\"zone\": 0", "\"zone\": 1", "'settings.zone': found 1; allowed: 0 to 0"},
            {"\"layer\": 0", "\"layer\": -1", "'settings.layer': found -1; allowed: 0 to 0"},
            {
                "\"discovery\": \"ask\"",
                "\"discovery\": \"pull\"",
                "'settings.discovery': found 'pull'; allowed: push, ask"
            },
            {
                "\"name\": \"order\"",
                "\"name\": \"lookup\"",
                "'settings.request-classes[1].name':"
                        + " found 'lookup' once more; allowed: a name of its own for each class"
            },
            {
                "\"fragile\"",
                "\"frail\"",
                "'settings.request-classes[1].idempotency':"
                        + " found 'frail'; allowed: dedup, fragile, retryable"
            },
            {
                "\"key-scope\": \"all\"",
                "\"key-scope\": \"pod\"",
                "'settings.request-classes[0].key-scope': found 'pod'; allowed: all, cell, zone"
            },
            {
                "\"give-up-ns\": 1000000000",
                "\"give-up-ns\": 0",
                "'settings.request-classes[0].give-up-ns': found 0; allowed: 1 to 604800000000000"
            },
            {
                "\"repeat-window-ns\": 5000000000",
                "\"repeat-window-ns\": -1",
                "'settings.request-classes[0].repeat-window-ns': found -1; allowed: 0 to"
                        + " 604800000000000"
            },
            {
                "\"max-attempts\": 3",
                "\"max-attempts\": 0",
                "'settings.limits.max-attempts': found 0; allowed: 1 to 1000000"
            },
            {
                "\"cold-share\": 0.2",
                "\"cold-share\": 1.5",
                "'settings.safety.cold-share': found 1.5; allowed: 0 to 1"
            },
            {
                "\"fall-multiple\": 3.0",
                "\"fall-multiple\": -3",
                "'settings.safety.fall-multiple': found -3; allowed: 0 or more"
            },
            {
                "\"stop-sending-within-ns\": 2000000000, ",
                "",
                "'settings.safety.stop-sending-within-ns' is missing"
            },
            {
                "\"via\": \"probe\"",
                "\"via\": \"post\"",
                "'settings.report.via': found 'post'; allowed: answers, none, probe"
            },
        };
    }

    @Test(dataProvider = "wrong")
    public void invalidSettingIsReportedWithPlaceAndAllowedValues(
            String text, String replacement, String message) throws IOException {
        String example = example();
        assertEquals(example.contains(text), true, text);
        JsonObject changed = JsonObject.parse(example.replace(text, replacement)).child("settings");
        assertEquals(
                expectThrows(IllegalArgumentException.class, () -> SettingsReader.read(changed))
                        .getMessage(),
                message);
    }

    /**
     * Optional settings must not be required because one customer's configuration has them: here
     * all of them are absent.
     */
    @Test
    public void absentOptionalSettingsDisableTheirFeatures() throws IOException {
        SiteSettings site =
                SettingsReader.read(
                        JsonObject.parse(
                                "{\"balancers\": 3, \"ordinal\": 2, \"request-classes\":"
                                        + " [{\"name\": \"a\", \"idempotency\": \"fragile\","
                                        + " \"goal-time-ns\": 1, \"give-up-ns\": 2}], \"safety\":"
                                        + " {\"stop-sending-within-ns\": 0}}"));
        assertEquals(site.reports(), SiteSettings.Reports.NONE);
        assertEquals(site.module().pollsEndpoints(), false);
        assertEquals(site.module().limits().probing(), false);
        assertEquals(site.module().limits().cancellation(), false);
        assertEquals(site.module().limits().hedging(), false);
        assertEquals(site.module().limits().retryAfterAdvice(), false);
        assertEquals(site.module().limits().maxAttempts(), 1);
        assertEquals(site.module().tenants().size(), 0);
        assertEquals(site.module().tierCount(), 1);
    }

    private static String example() throws IOException {
        return Files.readString(Path.of("example", "config.json"));
    }
}
