package cedarrudder.program;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The daemon with a thread beside it that collects without end once a file is there, and says each
 * time that more lives than ever. The program moves on for a millisecond between two collections,
 * so that hardly a peak is missed.
 */
final class Collecting {

    /** Names the file. */
    static final String FILE = "collecting.file";

    private static final String SAYS = "most ";

    private Collecting() {}

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
                                    Thread.sleep(1); // or a list of 10,000 takes minutes
                                    long now = ProcessMemoryEstimate.liveHeapBytes();
                                    if (now > max) {
                                        max = now;
                                        System.err.println(SAYS + now);
                                    }
                                }
                            } catch (InterruptedException e) {
                                // nobody does
                            }
                        });
        collecting.setDaemon(true);
        collecting.start();
        Main.main(args);
    }

    /** What a line says; 0 where it is another one. */
    static long max(String line) {
        return line.startsWith(SAYS) ? Long.parseLong(line.substring(SAYS.length())) : 0;
    }
}
