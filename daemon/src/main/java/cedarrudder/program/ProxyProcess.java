package cedarrudder.program;

import cedarrudder.logging.Logger;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs the proxy as a process: its files, its signals and its end. */
final class ProxyProcess {

    private static final int FAILED = 1;
    private static final String CONFIGURATION_VARIABLE = "BALANCER_CONFIG";
    private static final String ADMIN_ADDRESS_VARIABLE = "BALANCER_ADMIN_ADDR";

    private ProxyProcess() {}

    /**
     * Starts a proxy, which runs on after this method returns 0. Otherwise returns the exit code
     * and prints one line with the reason, or one for each problem of the operator's file.
     */
    static int serve(ServeOptions options) throws InterruptedException {
        try {
            OperatorFile operator = options.read();
            String file = System.getenv(CONFIGURATION_VARIABLE);
            if (file == null) {
                throw new IllegalArgumentException(CONFIGURATION_VARIABLE + " is not set");
            }
            configureNetty(); // first, since reading addresses initializes Netty
            ProxyConfiguration configuration = readConfiguration(file);
            AsyncLogWriter lines = AsyncLogWriter.replacingStandardError();
            ProxyServer proxy =
                    new ProxyServer(
                            configuration,
                            operator,
                            new Logger(lines::offer),
                            stateFolder(configuration));
            handleSignals(proxy, file, options, lines);
            start(proxy);
            return 0;
        } catch (IllegalArgumentException | IOException e) {
            printError(String.valueOf(e.getMessage()).replaceAll("\\R", " "));
            return FAILED;
        } catch (InvalidFileException e) {
            e.problems().forEach(ProxyProcess::printError);
            return FAILED;
        }
    }

    private static void printError(Object problem) {
        System.err.println("cedarrudder: " + problem);
    }

    /**
     * Turns off work that Netty does for larger programs. Each of these costs start-up time or
     * memory, which matter on one core: searching for a hardware address, sizing for all cores of
     * the machine, leak detection, and trying logging libraries that are not present.
     */
    private static void configureNetty() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.availableProcessors", "1");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        // Lets Netty count direct memory itself; the jar's manifest opens the package. Otherwise
        // the library would sleep for half a second at each allocation where none is left.
        System.setProperty("io.netty.tryReflectionSetAccessible", "true");
    }

    /**
     * Handles SIGHUP and SIGTERM, before anything listens. By default the virtual machine would end
     * the process at both; at SIGTERM it ends once this hook has returned, when all accepted
     * requests are answered.
     */
    private static void handleSignals(
            ProxyServer proxy, String file, ServeOptions options, AsyncLogWriter lines) {
        ReloadSignal reloads = new ReloadSignal();
        Signals.onHangup(
                () -> reloads.onSignal(() -> reload(proxy, file, options)),
                proxy::logIgnoredReloadSignal);
        Thread shutdown =
                new Thread(
                        () -> {
                            proxy.shutDown();
                            lines.stop();
                        },
                        "drain");
        Runtime.getRuntime().addShutdownHook(shutdown);
    }

    private static void start(ProxyServer proxy) throws IOException, InterruptedException {
        try {
            proxy.start();
        } catch (IOException | IllegalArgumentException e) {
            proxy.abandon();
            throw e;
        }
    }

    /**
     * Reads both files again. Each is applied on its own: a file that can't be used leaves its
     * settings unchanged and does not affect the other file.
     *
     * <p>The files are read on the thread of the signal, since the loop would block meanwhile, and
     * by one such thread at a time ({@link ReloadSignal}).
     */
    private static void reload(ProxyServer proxy, String file, ServeOptions options) {
        proxy.reload(() -> readConfiguration(file));
        if (options.operator() != null) {
            try {
                proxy.apply(options.read());
            } catch (InvalidFileException e) {
                proxy.logRejectedOperatorFile(e);
            }
        }
    }

    /**
     * Returns the folder in which this proxy persists its state, named after the address at which
     * its clients connect: several proxies may share a folder for temporary files.
     */
    private static Path stateFolder(ProxyConfiguration configuration) {
        String folder = System.getenv("TMPDIR");
        if (folder == null || folder.isEmpty()) {
            folder = System.getProperty("java.io.tmpdir");
        }
        InetSocketAddress listen = configuration.listen();
        String host = listen.getAddress().getHostAddress().replace(':', '.');
        return Path.of(folder, "cedarrudder-" + host + "-" + listen.getPort());
    }

    private static ProxyConfiguration readConfiguration(String file) throws IOException {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new IOException("can't read the configuration: " + e.getMessage(), e);
        }
        try {
            return ProxyConfiguration.parse(text).withAdmin(System.getenv(ADMIN_ADDRESS_VARIABLE));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("configuration: " + e.getMessage(), e);
        }
    }
}
