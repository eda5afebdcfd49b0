package cedarrudder.lab.attack;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Floods a daemon of our own beside 20 good clients, half of which keep their connections. */
public final class FloodRun {

    private static final int GOOD = 10;
    private static final int LOOK_MILLIS = 50;

    private FloodRun() {}

    /**
     * Floods for this many seconds.
     *
     * @param rate connections of the flood a second
     */
    public static FloodResult play(OwnDaemon daemon, FloodKind kind, int rate, int seconds)
            throws IOException, InterruptedException {
        Flood flood = kind.text() == null ? null : new Flood(daemon.address(), kind, rate);
        Watch watch = new Watch(daemon.handle().pid());
        try (WellBehavedClients kept =
                        new WellBehavedClients(daemon.address(), GOOD, true, kind.name(), seconds);
                WellBehavedClients fresh =
                        new WellBehavedClients(
                                daemon.address(), GOOD, false, kind.name(), seconds)) {
            watch.start();
            FloodResult.Served ofRetained = kept.result();
            FloodResult.Served ofFresh = fresh.result();
            watch.interrupt();
            watch.join();
            return new FloodResult(
                    kind,
                    ofRetained,
                    ofFresh,
                    flood == null ? 0 : flood.opened(),
                    flood == null ? 0 : flood.unopened(),
                    watch.maxOpen,
                    watch.maxMemory);
        } finally {
            if (flood != null) {
                flood.close();
            }
        }
    }

    /** Looks now and then at what a process has; a system that doesn't tell leaves it at -1. */
    private static final class Watch extends Thread {
        private final Path process;
        private int maxOpen = -1;
        private long maxMemory = -1;

        Watch(long pid) {
            super("watch");
            setDaemon(true);
            process = Path.of("/proc", String.valueOf(pid));
        }

        @Override
        public void run() {
            try {
                while (true) {
                    try (Stream<Path> open = Files.list(process.resolve("fd"))) {
                        maxOpen = Math.max(maxOpen, (int) open.count());
                    }
                    maxMemory =
                            Math.max(
                                    maxMemory,
                                    Files.readAllLines(process.resolve("status")).stream()
                                            .filter(line -> line.startsWith("VmRSS:"))
                                            .mapToLong(
                                                    line ->
                                                            Long.parseLong(
                                                                    line.replaceAll("\\D", "")))
                                            .findFirst()
                                            .orElse(-1));
                    Thread.sleep(LOOK_MILLIS);
                }
            } catch (IOException e) {
                // not a system that tells, or the process has ended
            } catch (InterruptedException e) {
                // the run is over
            }
        }
    }
}
