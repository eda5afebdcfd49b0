package cedarrudder.lab.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where a run takes place on this machine.
 *
 * @param root the checkout whose daemon is run, with {@code deploy/balancer.toml}
 * @param folder takes the configurations, the logs and the record
 * @param command what {@code run} names there, to be started by a shell from the root
 * @param cpus processors that daemons are dealt to, one each; empty: the system deals them
 * @param memoryMb a daemon that holds more is killed, as the platform would; 0: none is
 * @param sockets descriptors of a daemon at most
 */
public record HostEnvironment(
        Path root, Path folder, String command, List<Integer> cpus, int memoryMb, int sockets) {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Path DEPLOY = Path.of("deploy", "balancer.toml");

    /**
     * A place for a checkout.
     *
     * @throws IOException if it has no deploy file that names {@code run}, or no built daemon
     */
    public static HostEnvironment of(
            Path root, Path folder, List<Integer> cpus, int memoryMb, int sockets)
            throws IOException {
        Path whole = root.toAbsolutePath().normalize();
        Matcher run = RUN.matcher(Files.readString(whole.resolve(DEPLOY)));
        if (!run.find()) {
            throw new IOException(whole.resolve(DEPLOY) + " names no run");
        }
        if (!Files.exists(whole.resolve("daemon/target/cedarrudder.jar"))) {
            throw new IOException(
                    "the daemon is not built: no daemon/target/cedarrudder.jar in " + whole);
        }
        Files.createDirectories(folder);
        return new HostEnvironment(
                whole, folder.toAbsolutePath(), run.group(1), List.copyOf(cpus), memoryMb, sockets);
    }

    /** The command line of a daemon, on the processor that is its turn. */
    List<String> commandOf(int number) {
        List<String> shell = List.of("/bin/sh", "-c", command);
        if (cpus.isEmpty()) {
            return shell;
        }
        return List.of(
                "taskset",
                "-c",
                Integer.toString(cpus.get(number % cpus.size())),
                shell.get(0),
                shell.get(1),
                shell.get(2));
    }
}
