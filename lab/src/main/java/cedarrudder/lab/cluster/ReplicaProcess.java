package cedarrudder.lab.cluster;

import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.lab.emulator.Port;
import cedarrudder.lab.emulator.SupervisedProcess;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One replica: the built daemon on loopback addresses of its own, with a folder of its own for
 * temporary files, in one life after another. Each life writes its history and its log to files of
 * its own.
 */
final class ReplicaProcess implements AutoCloseable {

    private static final int SOCKETS = 1024;
    private static final int LOOK_MILLIS = 20;

    private final int number;
    private final HostEnvironment place;
    private final HistoryRecorder chronicle;
    private final Port listen;
    private final List<Port> admins = new ArrayList<>();
    private final InetSocketAddress peers;
    private final List<Path> histories = new ArrayList<>();
    private final List<String> crashes = new ArrayList<>();

    /** Processes that run, the one that was started first in front. */
    private final List<SupervisedProcess> processes = new ArrayList<>();

    private final List<Long> expected = new ArrayList<>();
    private String configuration;
    private String operator;
    private int incarnations;

    ReplicaProcess(int number, HostEnvironment place, HistoryRecorder chronicle)
            throws IOException {
        this.number = number;
        this.place = place;
        this.chronicle = chronicle;
        listen = Port.hold(host(number, 1));
        InetAddress own = InetAddress.getByName(host(number, 3));
        try (DatagramSocket free = new DatagramSocket(0, own)) {
            peers = new InetSocketAddress(own, free.getLocalPort());
        }
    }

    private static String host(int number, int which) {
        return "127.77." + (number + 1) + "." + which;
    }

    /** Where it hears its peers. */
    InetSocketAddress peers() {
        return peers;
    }

    /** Where clients find it. */
    InetSocketAddress address() {
        return listen.address();
    }

    String listenText() {
        return listen.text();
    }

    /**
     * What each of its lives starts with; in the operator's file {@code {history}} stands for the
     * history's name, and {@code {folder}} for a folder that it keeps from life to life.
     */
    void configure(String json, String toml) {
        configuration = json;
        operator = toml;
    }

    /** Files that its lives have written. */
    synchronized List<Path> histories() {
        return List.copyOf(histories);
    }

    /** What ended though nobody ended it. */
    synchronized List<String> crashes() {
        return List.copyOf(crashes);
    }

    /** Where operators call the process that was started last. */
    synchronized InetSocketAddress admin() {
        return admins.get(admins.size() - 1).address();
    }

    /** Whether a process of it runs. */
    synchronized boolean runs() {
        return !processes.isEmpty();
    }

    /** Whether all its processes were told to end, or killed. */
    synchronized boolean ends() {
        return processes.stream().allMatch(process -> expected.contains(process.pid()));
    }

    /**
     * Begins a life beside those that there are, with the folder for temporary files that all
     * share.
     */
    Path start() throws IOException {
        return start("tmp-" + number);
    }

    /** Begins a life that takes the others for another proxy's, since its folder is another. */
    Path startApart() throws IOException {
        return start("tmp-" + number + "-apart");
    }

    private synchronized Path start(String folder) throws IOException {
        Path temporary = place.folder().resolve(folder);
        String name = "copy-" + number + "-" + ++incarnations;
        Path history = place.folder().resolve(name + ".jsonl");
        Path log = place.folder().resolve(name + ".log");
        Path json = place.folder().resolve(name + ".json");
        Path toml = place.folder().resolve(name + ".toml");
        Files.writeString(json, configuration);
        Path kept = Files.createDirectories(place.folder().resolve("kept-" + number));
        Files.writeString(
                toml,
                operator.replace("{history}", history.toString())
                        .replace("{folder}", kept.toString()));
        Files.createFile(history);
        Port admin = Port.hold(host(number, 2)); // each process has its own
        admins.add(admin);
        histories.add(history);
        SupervisedProcess process =
                SupervisedProcess.start(
                        List.of("/bin/sh", "-c", place.command() + " --operator " + toml),
                        place.root(),
                        Map.of(
                                "BALANCER_NAME",
                                "c" + number,
                                "BALANCER_LISTEN",
                                listen.text(),
                                "BALANCER_CONFIG",
                                json.toString(),
                                "BALANCER_ADMIN_ADDR",
                                admin.text(),
                                "TMPDIR",
                                Files.createDirectories(temporary).toString()),
                        log,
                        SOCKETS);
        processes.add(process);
        chronicle.tell(number, process.pid(), "started", Map.of());
        process.onExit().thenAccept(code -> exited(process, code, log));
        return log;
    }

    private synchronized void exited(SupervisedProcess process, int code, Path log) {
        chronicle.tell(number, process.pid(), "ended", Map.of("code", Integer.toString(code)));
        processes.remove(process);
        if (!expected.contains(process.pid())) {
            crashes.add(
                    "copy "
                            + number
                            + " ended by itself with code "
                            + code
                            + "; its log is "
                            + log);
        }
        notifyAll();
    }

    /** Waits until the life with this log serves; false where it doesn't in time, or has ended. */
    boolean awaitServing(Path log, long until) throws IOException, InterruptedException {
        while (!Files.readString(log).contains("proxy.started")) {
            if (System.nanoTime() > until || !crashes().isEmpty() || !runs()) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
        return true;
    }

    /** Kills all its processes. */
    synchronized void kill() {
        for (SupervisedProcess process : processes) {
            chronicle.tell(number, process.pid(), "doomed", Map.of());
            expected.add(process.pid());
            process.kill();
        }
    }

    /** Tells its first process to end. */
    synchronized void terminate() {
        if (!processes.isEmpty()) {
            SupervisedProcess first = processes.get(0);
            chronicle.tell(number, first.pid(), "told", Map.of());
            expected.add(first.pid());
            first.terminate();
        }
    }

    /** Sends a signal to all its processes, and says before or after it what that means. */
    synchronized void signal(String name, String before, String after)
            throws IOException, InterruptedException {
        for (SupervisedProcess process : processes) {
            if (!before.isEmpty()) {
                chronicle.tell(number, process.pid(), before, Map.of());
            }
            process.signal(name).waitFor();
            if (!after.isEmpty()) {
                chronicle.tell(number, process.pid(), after, Map.of());
            }
        }
    }

    /** Waits until none of its processes is left. */
    synchronized void awaitEnd(long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!processes.isEmpty() && System.nanoTime() < until) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        }
    }

    @Override
    public void close() throws IOException {
        kill();
        listen.close();
        for (Port admin : admins) {
            admin.close();
        }
    }
}
