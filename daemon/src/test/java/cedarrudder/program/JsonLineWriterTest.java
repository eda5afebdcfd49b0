package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.logging.LogSettings;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests of the log in JSON form with arbitrary field values. */
public class JsonLineWriterTest {

    private static final int LINES = 200;

    @Test
    public void everyLineIsOneBoundedObjectWhateverItsFieldValues() {
        long seed = 20261201;
        SplittableRandom random = new SplittableRandom(seed);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Logger log = new Logger(new PrintStream(out, true, StandardCharsets.UTF_8));
        log.lineWriter(new JsonLineWriter());
        log.settings(new LogSettings(LogSettings.DEFAULT.level(), LINES, 300));
        for (int i = 0; i < LINES; i++) {
            StringBuilder garbage = new StringBuilder();
            for (int length = random.nextInt(1000); length > 0; length--) {
                garbage.append((char) random.nextInt(i % 2 == 0 ? 128 : 0x10000));
            }
            log.warn("a.b").with("count", i).with("garbage", garbage).write();
        }
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(lines.size(), LINES, "seed " + seed);
        for (int i = 0; i < LINES; i++) {
            JsonObject line = JsonObject.parse(lines.get(i));
            assertEquals(line.integer("count"), i);
            assertEquals(line.text("event", null), "a.b");
            assertEquals(line.text("level", null), "warn");
            assertTrue(line.number("seconds", -1) >= 0);
            assertTrue(line.text("time", null).endsWith("Z"));
            assertTrue(line.text("garbage", null).length() <= 300, "seed " + seed);
            assertTrue(lines.get(i).length() < 800, lines.get(i));
        }
    }
}
