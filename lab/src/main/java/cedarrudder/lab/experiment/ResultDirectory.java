package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The directory of an experiment's results: {@code experiment.json} tells what they belong to,
 * {@code results.jsonl} has a line for each run as it finished, and {@code costs.jsonl} what it
 * cost this machine. Results depend on scenario, variant and seed alone; costs don't, so they stand
 * apart.
 *
 * <p>A run counts as finished once its result's line is whole. For one thread.
 */
public final class ResultDirectory implements Closeable {

    /** A directory that holds something else; it is left as it was. */
    public static final class OtherPlanException extends Exception {
        private static final long serialVersionUID = 1;

        OtherPlanException(String message) {
            super(message);
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MANIFEST = "experiment.json";
    private static final String RESULTS = "results.jsonl";
    private static final String COSTS = "costs.jsonl";
    private static final String LOCK = "lock";

    private final FileChannel lock;
    private final Set<RunKey> finished = new HashSet<>();
    private final JsonLines results;
    private final JsonLines costs;

    private ResultDirectory(Path folder, FileChannel lock) throws IOException {
        this.lock = lock;
        results =
                JsonLines.open(
                        folder.resolve(RESULTS), RunResult.class, r -> finished.add(RunKey.of(r)));
        try {
            costs = JsonLines.open(folder.resolve(COSTS), CostLine.class, line -> {});
        } catch (IOException e) {
            results.close();
            throw e;
        }
    }

    /**
     * Opens a directory to go on with its experiment, or to begin it where the directory is new or
     * empty.
     *
     * @throws OtherPlanException if it holds the results of another plan or of other code, or
     *     anything else
     * @throws IOException if it can't be read or written, or another process writes to it
     */
    public static ResultDirectory open(Path folder, Manifest manifest)
            throws IOException, OtherPlanException {
        Files.createDirectories(folder);
        Path file = folder.resolve(MANIFEST);
        boolean begun = Files.exists(file);
        if (begun) {
            check(folder, manifest(folder), manifest);
        } else if (!isEmpty(folder)) {
            throw new OtherPlanException(
                    folder + " holds other files and no experiment; name a new directory");
        }
        FileChannel lock = lock(folder);
        try {
            if (!begun || !manifest(folder).equals(manifest)) {
                Path draft = folder.resolve(MANIFEST + ".new");
                Files.write(
                        draft, JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(manifest));
                // This avoids a manifest of which a crash left only a part.
                Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
            }
            return new ResultDirectory(folder, lock);
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    private static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        boolean free = false;
        try {
            free = channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            free = false;
        } finally {
            if (!free) {
                channel.close();
            }
        }
        if (!free) {
            throw new IOException(folder + " is in use by another experiment that runs now");
        }
        return channel;
    }

    private static boolean isEmpty(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            // What a start that ended before its manifest stood may have left.
            return files.map(f -> f.getFileName().toString())
                    .allMatch(name -> name.equals(LOCK) || name.equals(MANIFEST + ".new"));
        }
    }

    private static void check(Path folder, Manifest there, Manifest ours)
            throws OtherPlanException {
        String differs =
                !there.planHash().equals(ours.planHash())
                        ? "another plan, \""
                                + there.name()
                                + "\" (or its scenarios have changed since)"
                        : !there.codeHash().equals(ours.codeHash())
                                ? "this plan from another build of the program"
                                : null;
        if (differs != null) {
            throw new OtherPlanException(
                    folder
                            + " holds results of "
                            + differs
                            + "; it is left as it is: name a new directory");
        }
    }

    private static Manifest manifest(Path folder) throws IOException {
        try {
            return JSON.readValue(Files.readAllBytes(folder.resolve(MANIFEST)), Manifest.class);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    folder.resolve(MANIFEST) + " can't be read: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads the results that a directory holds, also while they are being added to.
     *
     * @throws IOException if there are none, or they can't be read
     */
    public static Results read(Path folder) throws IOException {
        if (!Files.exists(folder.resolve(MANIFEST))) {
            throw new IOException(folder + " holds no experiment");
        }
        SortedMap<RunKey, RunResult> runs = new TreeMap<>();
        if (Files.exists(folder.resolve(RESULTS))) {
            JsonLines.read(
                    folder.resolve(RESULTS), RunResult.class, r -> runs.put(RunKey.of(r), r));
        }
        SortedMap<RunKey, RunResult.Cost> costs = new TreeMap<>();
        if (Files.exists(folder.resolve(COSTS))) {
            JsonLines.read(
                    folder.resolve(COSTS),
                    CostLine.class,
                    c -> costs.put(new RunKey(c.scenario(), c.variant(), c.seed()), c.cost()));
        }
        return new Results(manifest(folder), runs, costs);
    }

    /** Whether a run's result is here. */
    public boolean has(RunKey run) {
        return finished.contains(run);
    }

    /** How many runs are finished. */
    public int size() {
        return finished.size();
    }

    /**
     * Adds a run. The cost goes first: a result without a cost would stay without one.
     *
     * @throws IOException if it can't be written; what was here before stays whole
     */
    public void add(Runner.Measured run) throws IOException {
        RunResult result = run.result();
        costs.add(
                new CostLine(
                        result.scenario(),
                        result.variant(),
                        result.seed(),
                        result.requests(),
                        run.cost()));
        results.add(result);
        finished.add(RunKey.of(result));
    }

    /** Waits until all that was added is on the disk. */
    public void force() throws IOException {
        costs.force();
        results.force();
    }

    @Override
    public void close() throws IOException {
        try (lock;
                results;
                costs) {
            force();
        }
    }
}
