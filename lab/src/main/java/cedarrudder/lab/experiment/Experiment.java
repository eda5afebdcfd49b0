package cedarrudder.lab.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes the runs of a plan that are not finished yet, by several threads. Runs are made by worker
 * threads; one thread, the client of {@link #run}, writes their results. {@link #stop} may be
 * called by any thread.
 */
public final class Experiment {

    /** Results are on the disk at the latest this long after they were written. */
    private static final long FORCE_EVERY = TimeUnit.SECONDS.toNanos(2);

    private static final long LOOK_EVERY_MS = 500;

    /**
     * How an experiment ended.
     *
     * @param finished runs that are in the directory now
     * @param all runs of the plan
     * @param failed runs that the model itself could not make, each with the cause; they have no
     *     result
     * @param stopped whether it was stopped before its end
     */
    public record End(long finished, long all, List<String> failed, boolean stopped) {}

    /** What a worker hands over: a run, or why there is none. */
    private record Done(Job job, Runner.Measured run, double seconds, Throwable failure) {}

    private final Plan plan;
    private final Runner runner;
    private final int threads;
    private final Consumer<String> progress;
    private volatile boolean stopped;

    /**
     * Sets an experiment up; nothing runs yet.
     *
     * @param threads that make runs at the same time, at least 1
     * @param progress is told how far it is once a run is finished, and often from then on
     */
    public Experiment(Plan plan, Runner runner, int threads, Consumer<String> progress) {
        this.plan = plan;
        this.runner = runner;
        this.threads = threads;
        this.progress = progress;
    }

    /** Ends the experiment soon: what is finished is kept, runs that are under way are dropped. */
    public void stop() {
        stopped = true;
    }

    /**
     * Makes the runs that the directory lacks, and returns when all are there or {@link #stop} was
     * called.
     *
     * @throws IOException if a result can't be written; those finished before are whole, and
     *     another experiment on the same directory goes on from there
     */
    public End run(ResultDirectory directory) throws IOException {
        List<Job> open = plan.jobs().stream().filter(job -> !directory.has(job.key())).toList();
        long all = directory.size() + open.size();
        TimeLeft timeLeft = new TimeLeft(open, threads);
        List<String> failed = new ArrayList<>();
        BlockingQueue<Done> done = new LinkedBlockingQueue<>();
        ExecutorService workers =
                Executors.newFixedThreadPool(
                        threads,
                        task -> {
                            Thread thread = new Thread(task, "run");
                            // This avoids a run that hangs and keeps a stopped program alive.
                            thread.setDaemon(true);
                            return thread;
                        });
        try {
            open.forEach(job -> workers.execute(() -> done.add(make(job))));
            long forced = System.nanoTime();
            int left = open.size();
            while (left > 0 && !stopped) {
                Done next = done.poll(LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
                if (next != null) {
                    left--;
                    timeLeft.finished(next.job(), next.seconds());
                    if (next.failure() == null) {
                        directory.add(next.run());
                    } else {
                        failed.add(next.job().key() + ": " + next.failure());
                    }
                }
                if (System.nanoTime() - forced > FORCE_EVERY) {
                    directory.force();
                    forced = System.nanoTime();
                }
                if (left < open.size()) {
                    progress.accept(timeLeft.line(directory.size(), all, failed.size()));
                }
            }
            return new End(directory.size(), all, failed, left > 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new End(directory.size(), all, failed, true);
        } finally {
            workers.shutdownNow();
            directory.force();
        }
    }

    private Done make(Job job) {
        long start = System.nanoTime();
        Runner.Measured run = null;
        Throwable failure = null;
        try {
            run = runner.run(job);
            RunKey key = RunKey.of(run.result());
            if (!key.equals(job.key())) {
                failure = new IllegalStateException("its result says that it is " + key);
            }
        } catch (RuntimeException | Error e) {
            // This avoids a fault of the model that would hide in a thread: it is told, others
            // go on.
            failure = e;
        }
        return new Done(job, run, (System.nanoTime() - start) / 1e9, failure);
    }
}
