package cedarrudder.program;

import cedarrudder.logging.Logger;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The proxy as a process: its files, its signals, its end. */
final class ProxyProcess {

    private static final int FAILED = 1;

    private ProxyProcess() {}

    /**
     * Spares Netty what it does for larger programs. Each of these costs start-up time or memory,
     * which count on one core: looking for a hardware address, sizing for all cores of the machine,
     * watching for leaks.
     */
    private static void keepNettySmall() {
        // Guards against Netty trying logging libraries that are not there, which fails slowly.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.availableProcessors", "1");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        // Lets Netty count direct memory itself; the jar's manifest opens the package. Guards
        // against a loop
        // that stands still for half a second at each allocation where none is left: the library
        // sleeps then.
        System.setProperty("io.netty.tryReflectionSetAccessible", "true");
    }

    /**
     * Starts a proxy, which runs on after this returns 0; else the exit code, and one line says
     * why, or one for each problem of the operator's file.
     */
    static int serve(ServeOptions options) throws InterruptedException {
        try {
            OperatorFile operator = options.read();
            String file = System.getenv("BALANCER_CONFIG");
            if (file == null) {
                throw new IllegalArgumentException("BALANCER_CONFIG is not set");
            }
            keepNettySmall(); // first: reading addresses begins Netty
            ProxyConfiguration configuration = read(file);
            AsyncLogWriter lines = AsyncLogWriter.inPlaceOfStandardError();
            ProxyServer proxy =
                    new ProxyServer(
                            configuration, operator, new Logger(lines::take), state(configuration));
            // Before anything listens: guards against the virtual machine's own answers to signals.
            // SIGHUP
            // would end it, and so would SIGTERM: it ends when this hook has, and all taken is
            // answered.
            ReloadSignal hangups = new ReloadSignal();
            Signals.onHangup(
                    () -> hangups.heard(() -> reload(proxy, file, options)), proxy::noHangup);
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        proxy.drain();
                                        lines.end();
                                    },
                                    "drain"));
            return start(proxy);
        } catch (IllegalArgumentException | IOException e) {
            System.err.println(
                    "cedarrudder: " + String.valueOf(e.getMessage()).replaceAll("\\R", " "));
            return FAILED;
        } catch (InvalidFileException e) {
            e.problems().forEach(problem -> System.err.println("cedarrudder: " + problem));
            return FAILED;
        }
    }

    private static int start(ProxyServer proxy) throws IOException, InterruptedException {
        try {
            proxy.start();
            return 0;
        } catch (IOException | IllegalArgumentException e) {
            proxy.abandon();
            throw e;
        }
    }

    /**
     * Reads both files again. Each stands for itself: one that can't be used leaves all as it was
     * that it sets, and keeps nothing from the other.
     *
     * <p>They are read on the thread of the signal, since the loop would stand still meanwhile, and
     * by one of these threads at a time ({@link ReloadSignal}).
     */
    private static void reload(ProxyServer proxy, String file, ServeOptions options) {
        proxy.reload(() -> read(file));
        if (options.operator() != null) {
            try {
                proxy.apply(options.read());
            } catch (InvalidFileException e) {
                proxy.keep(e);
            }
        }
    }

    /**
     * Where this proxy keeps its state, by the address at which its clients find it: guards against
     * proxies that share a folder for temporary files taking up one another's.
     */
    private static Path state(ProxyConfiguration configuration) {
        String folder = System.getenv("TMPDIR");
        return Path.of(
                folder == null || folder.isEmpty() ? System.getProperty("java.io.tmpdir") : folder,
                "cedarrudder-"
                        + configuration.listen().getAddress().getHostAddress().replace(':', '.')
                        + "-"
                        + configuration.listen().getPort());
    }

    private static ProxyConfiguration read(String file) throws IOException {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new IOException("can't read the configuration: " + e.getMessage(), e);
        }
        try {
            return ProxyConfiguration.parse(text).withAdmin(System.getenv("BALANCER_ADMIN_ADDR"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("configuration: " + e.getMessage(), e);
        }
    }
}
