package cedarrudder.lab.emulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A process that ends when this one does, whatever ends this one: a shell beside it holds the
 * reading end of a pipe from here, and kills it when the pipe closes. It gets no more descriptors
 * than it may have.
 */
public final class SupervisedProcess {

    /** Descriptor 3 is the pipe; the process itself gets neither it nor our standard output. */
    private static final String SCRIPT =
            """
            exec 3<&0
            ulimit -n "$1"
            shift
            "$@" </dev/null 3<&- >&2 &
            child=$!
            echo "$child"
            { read -r _ <&3; kill -KILL "$child"; } >/dev/null 2>&1 &
            guard=$!
            wait "$child"
            code=$?
            kill "$guard" 2>/dev/null
            exit "$code"
            """;

    private final Process shell;
    private final long pid;

    private SupervisedProcess(Process shell, long pid) {
        this.shell = shell;
        this.pid = pid;
    }

    /**
     * Starts a process.
     *
     * @param log takes what it writes, behind what is there
     * @param descriptors the most that it may have
     * @throws IOException if it can't be started
     */
    public static SupervisedProcess start(
            List<String> command,
            Path folder,
            Map<String, String> environment,
            Path log,
            int descriptors)
            throws IOException {
        List<String> all =
                new ArrayList<>(
                        List.of(
                                "/bin/sh",
                                "-c",
                                SCRIPT,
                                "supervised",
                                Integer.toString(descriptors)));
        all.addAll(command);
        ProcessBuilder builder =
                new ProcessBuilder(all)
                        .directory(folder.toFile())
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        Process shell = builder.start();
        String line =
                new BufferedReader(
                                new InputStreamReader(
                                        shell.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
        if (line == null) {
            shell.destroyForcibly();
            throw new IOException("no process was started: " + String.join(" ", command));
        }
        return new SupervisedProcess(shell, Long.parseLong(line.strip()));
    }

    /** The process's id. */
    public long pid() {
        return pid;
    }

    /** Its exit code when it has ended; 128 and the signal's number where one ended it. */
    public CompletableFuture<Integer> onExit() {
        return shell.onExit().thenApply(Process::exitValue);
    }

    /** Sends SIGTERM. */
    public void terminate() {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
    }

    /** Sends SIGKILL. */
    public void kill() {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    /** Sends SIGHUP. */
    void hangUp() throws IOException {
        signal("HUP");
    }

    /**
     * Sends a signal that Java knows none of.
     *
     * @param name such as STOP
     * @return ends once it is sent
     */
    public Process signal(String name) throws IOException {
        return new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pid).inheritIO().start();
    }

    /** Kills it and waits until it and its shell are gone. */
    public void end() throws InterruptedException {
        kill();
        shell.waitFor(10, TimeUnit.SECONDS);
    }

    /** Its resident memory in KiB; 0 where it is gone or the system doesn't tell. */
    public long residentKib() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            // it is gone
        }
        return 0;
    }

    /** Its open descriptors; 0 where it is gone or the system doesn't tell. */
    public long descriptors() {
        String[] open = Path.of("/proc/" + pid + "/fd").toFile().list();
        return open == null ? 0 : open.length;
    }

    /** Its processor time in seconds; 0 where it is gone or the system doesn't tell. */
    public double cpuSeconds() {
        return ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .map(time -> time.toNanos() / 1e9)
                .orElse(0.0);
    }
}
