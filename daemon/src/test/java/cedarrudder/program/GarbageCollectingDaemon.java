package cedarrudder.program;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs the daemon beside a thread that collects garbage repeatedly once a file exists, and prints
 * each new maximum of the live heap bytes. The program runs for a millisecond between two
 * collections, so that hardly a peak is missed.
 */
final class GarbageCollectingDaemon {

    /** The system property that names the file. */
    static final String FILE = "collecting.file";

    private static final String MAX_PREFIX = "most ";

    private GarbageCollectingDaemon() {}

    public static void main(String[] args) throws Exception {
        Path file = Path.of(System.getProperty(FILE));
        Thread collecting =
                new Thread(
                        () -> {
                            try {
                                while (!Files.exists(file)) {
                                    Thread.sleep(10);
                                }
                                for (long max = 0; ; ) {
                                    Thread.sleep(
                                            1); // without a pause a list of 10,000 takes minutes
                                    long now = ProcessMemoryEstimate.liveHeapBytes();
                                    if (now > max) {
                                        max = now;
                                        System.err.println(MAX_PREFIX + now);
                                    }
                                }
                            } catch (InterruptedException e) {
                                // nobody interrupts this thread
                            }
                        });
        collecting.setDaemon(true);
        collecting.start();
        Main.main(args);
    }

    /** Returns the maximum that a line reports; 0 for any other line. */
    static long max(String line) {
        return line.startsWith(MAX_PREFIX)
                ? Long.parseLong(line.substring(MAX_PREFIX.length()))
                : 0;
    }
}
