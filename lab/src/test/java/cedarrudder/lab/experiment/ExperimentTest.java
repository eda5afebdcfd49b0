package cedarrudder.lab.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.Await;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Experiments that are cut short, disturbed or mixed up lose no finished run. */
public class ExperimentTest {

    private static final int SEEDS = 5;
    private static final Plan PLAN = Fakes.plan(SEEDS);
    private static final int RUNS = PLAN.jobs().size();

    private Path folder;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("experiment");
    }

    @AfterMethod
    public void end() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
    }

    private static Manifest manifest(Plan plan) {
        return Manifest.of(plan, "code");
    }

    private static Experiment.End run(Path at, Runner runner, int threads) throws Exception {
        try (ResultDirectory directory = ResultDirectory.open(at, manifest(PLAN))) {
            return new Experiment(PLAN, runner, threads, line -> {}).run(directory);
        }
    }

    private static List<String> lines(Path at) throws IOException {
        return Files.readAllLines(at.resolve("results.jsonl")).stream().sorted().toList();
    }

    private static Map<String, String> contents(Path at) throws IOException {
        Map<String, String> contents = new TreeMap<>();
        try (Stream<Path> files = Files.list(at)) {
            for (Path file : files.toList()) {
                contents.put(file.getFileName().toString(), Files.readString(file));
            }
        }
        return contents;
    }

    @Test
    public void theSameBytesComeFromOneThreadAndFromEight() throws Exception {
        Path one = folder.resolve("one");
        Path eight = folder.resolve("eight");
        assertEquals(run(one, Fakes::run, 1), new Experiment.End(RUNS, RUNS, List.of(), false));
        assertEquals(run(eight, Fakes::run, 8).finished(), RUNS);
        assertEquals(lines(one), lines(eight));
        assertEquals(lines(one).size(), RUNS);
    }

    @Test
    public void anExperimentStoppedInTheMiddleGoesOnWithWhatItLacks() throws Exception {
        int before = RUNS / 2;
        AtomicInteger started = new AtomicInteger();
        CountDownLatch never = new CountDownLatch(1);
        Experiment.End end;
        try (ResultDirectory directory = ResultDirectory.open(folder, manifest(PLAN))) {
            Experiment[] cut = new Experiment[1];
            // The run in the middle hangs for good; once all before it are written, it is stopped.
            cut[0] =
                    new Experiment(
                            PLAN,
                            job -> {
                                if (started.incrementAndGet() > before) {
                                    await(never);
                                }
                                return Fakes.run(job);
                            },
                            1,
                            line -> {
                                if (directory.size() == before) {
                                    cut[0].stop();
                                }
                            });
            end = cut[0].run(directory);
        }
        assertEquals(end, new Experiment.End(before, RUNS, List.of(), true));
        List<String> kept = lines(folder);
        assertEquals(kept.size(), before);

        Set<RunKey> again = ConcurrentHashMap.newKeySet();
        run(
                folder,
                job -> {
                    again.add(job.key());
                    return Fakes.run(job);
                },
                2);
        assertEquals(again.size(), RUNS - before);
        assertTrue(lines(folder).containsAll(kept));
        Path whole = folder.resolve("whole");
        run(whole, Fakes::run, 2);
        assertEquals(lines(folder), lines(whole));
    }

    private static void await(CountDownLatch latch) {
        try {
            Await.open("what the test waits for", latch);
        } catch (InterruptedException e) {
            throw new IllegalStateException("dropped", e);
        }
    }

    @Test
    public void aTornLastLineIsTakenAwayAndItsRunMadeAgain() throws Exception {
        run(folder, Fakes::run, 2);
        List<String> whole = lines(folder);
        Path results = folder.resolve("results.jsonl");
        byte[] bytes = Files.readAllBytes(results);
        // Every way to tear the last line: at its first byte, in the middle, and before its end.
        int last = new String(bytes, 0, bytes.length - 1).lastIndexOf('\n') + 1;
        for (int cut : new int[] {last + 1, (last + bytes.length) / 2, bytes.length - 1}) {
            Files.write(results, Arrays.copyOf(bytes, cut));
            assertEquals(ResultDirectory.read(folder).runs().size(), RUNS - 1);
            AtomicInteger made = new AtomicInteger();
            run(
                    folder,
                    job -> {
                        made.incrementAndGet();
                        return Fakes.run(job);
                    },
                    1);
            assertEquals(made.get(), 1);
            assertEquals(lines(folder), whole);
        }
    }

    @Test
    public void aBrokenLineBeforeOthersIsNamedAndNothingIsTakenAway() throws Exception {
        run(folder, Fakes::run, 1);
        Path results = folder.resolve("results.jsonl");
        Files.writeString(results, "{\"scen\n" + Files.readString(results));
        String before = Files.readString(results);
        IOException refused = expectThrows(IOException.class, () -> run(folder, Fakes::run, 1));
        assertTrue(refused.getMessage().contains("results.jsonl:1: "), refused.getMessage());
        assertEquals(Files.readString(results), before);
    }

    @Test
    public void theDirectoryOfAnotherPlanOrBuildIsRefusedAndStaysAsItIs() throws Exception {
        run(folder, Fakes::run, 2);
        Map<String, String> before = contents(folder);
        for (Manifest other :
                List.of(manifest(Fakes.plan(SEEDS + 1)), Manifest.of(PLAN, "other code"))) {
            Exception refused =
                    expectThrows(
                            ResultDirectory.OtherPlanException.class,
                            () -> ResultDirectory.open(folder, other));
            assertTrue(
                    refused.getMessage().contains(folder + " holds results of "),
                    refused.getMessage());
            assertEquals(contents(folder), before);
        }
        Path foreign = Files.createDirectory(folder.resolve("foreign"));
        Files.writeString(foreign.resolve("letter.txt"), "Dear all");
        expectThrows(
                ResultDirectory.OtherPlanException.class,
                () -> ResultDirectory.open(foreign, manifest(PLAN)));
        assertEquals(contents(foreign), Map.of("letter.txt", "Dear all"));
    }

    @Test
    public void aChangeOfTheReportAloneKeepsTheResults() throws Exception {
        run(folder, Fakes::run, 2);
        Plan told =
                new Plan(
                        "small",
                        "Told otherwise",
                        PLAN.entries(),
                        PLAN.variants(),
                        "oracle",
                        PLAN.firstSeed(),
                        PLAN.lastSeed(),
                        List.of(Metric.P50),
                        false);
        try (ResultDirectory directory = ResultDirectory.open(folder, manifest(told))) {
            assertEquals(directory.size(), RUNS);
        }
        assertEquals(ResultDirectory.read(folder).manifest().baseline(), "oracle");
    }

    @Test
    public void twoExperimentsDoNotShareADirectory() throws Exception {
        try (ResultDirectory first = ResultDirectory.open(folder, manifest(PLAN))) {
            IOException refused =
                    expectThrows(
                            IOException.class, () -> ResultDirectory.open(folder, manifest(PLAN)));
            assertTrue(refused.getMessage().contains("in use"), refused.getMessage());
            first.add(Fakes.run(PLAN.jobs().get(0)));
        }
        assertEquals(ResultDirectory.read(folder).runs().size(), 1);
    }

    @Test
    public void aPathThatCannotBeADirectoryIsAnError() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "x", StandardOpenOption.CREATE);
        expectThrows(
                IOException.class, () -> ResultDirectory.open(file.resolve("out"), manifest(PLAN)));
        assertEquals(Files.readString(file), "x");
    }

    @Test
    public void aRunThatTheModelCannotMakeIsToldAndTheOthersGoOn() throws Exception {
        RunKey bad = PLAN.jobs().get(3).key();
        Experiment.End end =
                run(
                        folder,
                        job -> {
                            if (job.key().equals(bad)) {
                                throw new IllegalStateException("no such node");
                            }
                            return Fakes.run(job);
                        },
                        2);
        assertEquals(end.finished(), RUNS - 1);
        assertEquals(end.failed().size(), 1);
        assertTrue(end.failed().get(0).startsWith(bad + ": "), end.failed().get(0));
        assertFalse(ResultDirectory.read(folder).runs().containsKey(bad));
    }
}
