import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Makes the class-data archive with which the proxy starts in half the time: runs the built jar for a moment
 * with a node and a discovery that answer anything, and lets the virtual machine write down what it loaded.
 *
 * <p>Each step is held to its answer, and a training of which one fails is made anew: the archive of one that
 * broke off lacks classes, and each start would read these from the jar. Without an archive, or with one like
 * that, the proxy runs all the same, so whatever goes wrong here is told and fails nothing.
 */
public final class ClassData {

    private static final int RPCS = 40;

    /** A body of this many bytes is not held whole. */
    private static final int LARGE = 200_000;

    /** A port on which nothing listens. */
    private static final int REFUSING = 1;
    private static final long PATIENCE_SECONDS = 30;
    private static final int TRIES = 3;
    private static final int ENDED_BY_SIGTERM = 143;

    private static final AtomicInteger turn = new AtomicInteger();

    private ClassData() { }

    public static void main(String[] args) throws InterruptedException {
        Path archive = Path.of(args[1]);
        try (ServerSocket service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> accept(service), "service");
            answering.setDaemon(true);
            answering.start();
            boolean whole = false;
            for (int i = 1; i <= TRIES && !whole; i++) {
                whole = trained(i, args[0], archive, service.getLocalPort());
            }
        } catch (IOException e) {
            System.err.println("no class data: " + e.getMessage());
        }
        System.exit(0);
    }

    /** Trains once; false where it broke off, which is told with what the proxy wrote. */
    private static boolean trained(int number, String jar, Path archive, int service)
            throws IOException, InterruptedException {
        Files.deleteIfExists(archive);
        Path folder = archive.toAbsolutePath().getParent();
        Path config = Files.createTempFile(folder, "training", ".json");
        Path log = Files.createTempFile(folder, "training", ".log");
        Path state = Files.createTempDirectory(folder, "training");
        try {
            train(jar, archive, config, log, state, service);
            return true;
        } catch (IOException e) {
            System.err.println("class data, training " + number + " of " + TRIES + " broke off: "
                    + e.getMessage() + "; the proxy wrote:\n" + Files.readString(log));
            return false;
        } finally {
            Files.deleteIfExists(config);
            Files.deleteIfExists(log);
            delete(state);
        }
    }

    /** Deletes a folder with all that it holds. */
    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(one);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static void train(String jar, Path archive, Path config, Path log, Path state, int service)
            throws IOException, InterruptedException {
        int listen = freePort();
        int admin = freePort();
        String example = Files.readString(Path.of("example", "config.json"));
        Files.writeString(config, example.replace(":7000", ":" + listen).replace(":7100", ":" + service)
                .replace("\"servers\": []",
                        "\"servers\": [" + node("a", service) + "," + node("b", REFUSING) + "]"));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:ArchiveClassesAtExit=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-jar", jar, "serve"));
        command.addAll(options());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + admin);
        builder.environment().put("TMPDIR", state.toString());
        Process proxy = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        try (Socket caller = connect(listen, proxy)) {
            BufferedReader in = reader(caller);
            for (int i = 0; i < RPCS; i++) {
                String kind = i % 2 == 0 ? "GET /api HTTP/1.1\r\nReq-Kind: lookup\r\n"
                        : "POST /api HTTP/1.1\r\nReq-Kind: order\r\nContent-Length: 2\r\n";
                write(caller, kind + "Host: a\r\nReq-Id: " + i + "\r\nReq-Owner: acme\r\n"
                        + "Req-Deadline-Ms: 900\r\n\r\n" + (i % 2 == 0 ? "" : "{}"));
                answer(in, "RPC " + i);
            }
            write(caller, "POST /api HTTP/1.1\r\nReq-Kind: order\r\nContent-Length: " + LARGE + "\r\nHost: a\r\n"
                    + "Req-Id: large\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n\r\n" + "x".repeat(LARGE));
            answer(in, "the large RPC");
            for (String call : new String[] {"GET /-/ready", "GET /-/metrics", "POST /-/nodes/a/disable",
                    "POST /-/nodes/a/enable", "POST /-/drain", "POST /-/resume"}) {
                try (Socket operator = connect(admin, proxy)) {
                    write(operator, call + " HTTP/1.1\r\nHost: a\r\n\r\n");
                    String first = answer(reader(operator), call);
                    if (!first.contains(" 200 ")) {
                        throw new IOException(call + " gave " + first);
                    }
                }
            }
            write(caller, "nonsense\r\n\r\n");
            // What a signal loads, so that it takes little of a core that serves.
            new ProcessBuilder("kill", "-HUP", Long.toString(proxy.pid())).start().waitFor();
            answer(in, "nonsense");
        } finally {
            proxy.destroy();
            if (!proxy.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
                proxy.destroyForcibly().waitFor();
            }
        }
        if (proxy.exitValue() != ENDED_BY_SIGTERM) {
            throw new IOException("the proxy ended with " + proxy.exitValue());
        }
    }

    /**
     * What the platform's command says behind {@code serve}. With an operator's file in it the archive holds
     * what reads that, too, and an eighth of the start is saved; without one, that would cost a twentieth.
     */
    private static List<String> options() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"exec (?:env \\S+ )?java .* -jar \\S+ serve *(.*)\"$")
                .matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        return run.find() && !run.group(1).isEmpty() ? List.of(run.group(1).split(" +")) : List.of();
    }

    private static String node(String id, int port) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"room\",\"kind\":\"standard\","
                + "\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";
    }

    private static Socket connect(int port, Process proxy) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (proxy.isAlive() && System.nanoTime() < until) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException("the proxy did not start");
    }

    private static void accept(ServerSocket service) {
        try {
            while (true) {
                Socket socket = service.accept();
                Thread connection = new Thread(() -> answer(socket, service.getLocalPort()), "connection");
                connection.setDaemon(true);
                connection.start();
            }
        } catch (IOException e) {
            // closed: the training is over
        }
    }

    private static void answer(Socket socket, int port) {
        try (socket) {
            BufferedReader in = reader(socket);
            for (String first = readMessage(in); first != null; first = readMessage(in)) {
                if (first.contains("/catalog/members")) {
                    String list = "{\"version\":1,\"full\":true,\"servers\":[" + node("a", port) + "]}\n";
                    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
                } else if (!first.contains("/_load") && turn.incrementAndGet() % 5 == 0) {
                    // Some of what goes wrong in service, so that its classes are at hand too.
                    if (turn.get() % 2 == 0) {
                        return;
                    }
                    write(socket, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    String body = first.contains("/_load") || turn.get() % 7 > 0 ? "TEXT latency_ms=5, inflight=1, util=0.1"
                            : "x".repeat(LARGE);
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                }
            }
        } catch (IOException e) {
            // the proxy closed it
        }
    }

    /** Reads an answer that must come, and returns its first line. */
    private static String answer(BufferedReader in, String to) throws IOException {
        String first = readMessage(in);
        if (first == null) {
            throw new IOException("no answer to " + to);
        }
        return first;
    }

    /** Reads a message and returns its first line; null at the end. */
    private static String readMessage(BufferedReader in) throws IOException {
        String first = in.readLine();
        int length = 0;
        for (String line = first; line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring(16));
            }
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
        return first;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
