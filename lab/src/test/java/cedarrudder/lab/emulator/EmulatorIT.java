package cedarrudder.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.referee.RuleChecker;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.lab.trace.TraceReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The built daemon in a short scenario on sockets. Waits are so long that a busy machine changes no
 * verdict; how well it served is not asked here.
 */
public class EmulatorIT {

    private static final long SEED = 7;
    private static final String SCENARIO =
            """
            about = "Two tiers on a machine that may be busy."

            [run]
            length_s = 3
            window_s = 1

            [arrivals]
            rate_per_s = 15

            [network]
            zones = ["a"]
            same_ms = 0.2
            client_ms = 0.5

            [front]
            notice_s = 0.5

            [clients]
            retries = 2
            backoff_ms = 50

            [discovery]
            ask = true
            notice_s = 0.3
            silent_notice_s = 1
            add_s = 0.2
            period_ms = 100
            calls_per_s = 100
            call_lines = 40
            ask_within_s = 10

            [allowed]
            attempts = 4

            [rules]
            drain_grace_ms = 5000
            answer_grace_ms = 3000
            fall_multiple = 10
            fall_window_ms = 3000

            [goal]
            whole = 1

            [[tier]]
            name = "shop"
            nodes = 2
            proxies = 1
            work_share = 0.5
            calls = 1

            [[tier.kind]]
            name = "shop-node"
            cores = 4

            [[tier]]
            name = "store"
            nodes = 3
            work_share = 0.5

            [[tier.kind]]
            name = "store-node"
            cores = 4

            [[class]]
            name = "look"
            effect = "safe"
            share = 0.6
            work_ms = 5
            aim_ms = 2000
            deadline_ms = 4000

            [[class]]
            name = "buy"
            effect = "unsafe"
            share = 0.4
            work_ms = 5
            aim_ms = 2000
            deadline_ms = 4000

            [[fault]]
            trouble = "crash"
            tier = "store"
            at_s = 1
            length_s = 1
            part = 0.3

            [[wire]]
            trouble = "garble"
            tier = "store"
            at_s = 1.5
            length_s = 1
            part = 0.3

            [[wire]]
            trouble = "hang-up"
            at_s = 1.5
            length_s = 1
            """;

    @Test
    public void rulesAreKeptItsRecordSaysSoTooAndNothingIsLeft() throws Exception {
        Path folder = Files.createTempDirectory("emulator");
        Path file = folder.resolve("two.toml");
        Files.writeString(file, SCENARIO);
        Scenario scenario = ScenarioReader.read(file);
        long before = ProcessHandle.current().descendants().count();
        EmulationResult emulated =
                Emulator.play(
                        scenario,
                        SEED,
                        HostEnvironment.of(Path.of(""), folder.resolve("run"), List.of(), 0, 1024),
                        second -> {});
        RunResult result = emulated.result();
        assertEquals(result.finding(), "");
        assertEquals(result.breaches(), List.of(), "seed " + SEED);
        assertTrue(result.requests() > 10, result.toString());
        assertTrue(result.tiers().get(1).attempts() > 10, result.toString());
        assertEquals(ProcessHandle.current().descendants().count(), before);

        Path record = Path.of(emulated.record());
        RuleChecker again = new RuleChecker(Emulator.figures(scenario), 0);
        TraceReader.Read read = TraceReader.read(record, again);
        again.finish(read.last());
        assertEquals(again.breaches(), List.of());

        // Cut off in the middle of a line: what is whole is read.
        byte[] bytes = Files.readAllBytes(record);
        Path part = folder.resolve("part.jsonl");
        Files.write(part, Arrays.copyOf(bytes, bytes.length - 10));
        TraceReader.Read cut =
                TraceReader.read(part, new RuleChecker(Emulator.figures(scenario), 0));
        assertTrue(cut.cut());
        assertEquals(cut.events(), read.events() - 1);
    }
}
