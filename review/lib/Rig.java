import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * What the cases of the review share: discovery, nodes, clients, proxies started with the command of the deploy
 * file, and the record. All addresses are loopback addresses; all ports are free ports.
 */
final class Rig implements AutoCloseable {

    static final long START = System.nanoTime();
    private static final long SPIN_NANOS = 100_000;
    private static final SecureRandom RANDOM = new SecureRandom();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path temp;
    final PrintStream record;
    final Discovery discovery;
    final List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, Rig::daemon);

    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.temp = Files.createTempDirectory("review");
        this.record = new PrintStream(Files.newOutputStream(recordFile), false, StandardCharsets.UTF_8);
        this.discovery = new Discovery(this);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Waits for a time, exact to some microseconds: the class library's sleep takes a whole millisecond at least. */
    static void sleep(double millis) {
        long end = System.nanoTime() + (long) (millis * 1e6);
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            if (left > SPIN_NANOS) {
                LockSupport.parkNanos(left - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
        }
    }

    void note(String line) {
        String text = String.format("%10.4f %s", seconds(), line);
        synchronized (record) {
            record.println(text);
        }
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        for (; ; ) {
            try (ServerSocket probe = new ServerSocket(15_000 + RANDOM.nextInt(17_000), 1, LOOPBACK)) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // in use
            }
        }
    }

    private void killAll() {
        for (Proxy proxy : List.copyOf(proxies)) {
            proxy.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Proxy proxy : List.copyOf(proxies)) {
            try {
                proxy.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        timers.shutdownNow();
        synchronized (record) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    // ---- settings

    /** A class of requests, with the effect in the wire's words and times in milliseconds. */
    record Kind(String name, String effect, String scope, int aim, int giveUp, int window, double worth) {}

    static final Kind STATUS = new Kind("status-check", "retryable", "all", 300, 750, 5000, 5);
    static final Kind SINGLE = new Kind("single-send", "fragile", "all", 1000, 2500, 5000, 2);
    static final Kind BATCH = new Kind("batch-send", "dedup", "cell", 2000, 5000, 7500, 8);

    /** The settings of a proxy of the first tier, with the figures of the site. */
    static String settings(int proxies, int ordinal) {
        StringBuilder classes = new StringBuilder();
        for (Kind kind : List.of(STATUS, SINGLE, BATCH)) {
            classes.append(classes.length() == 0 ? "" : ",").append(String.format(
                    "{\"name\":\"%s\",\"idempotency\":\"%s\",\"key-scope\":\"%s\",\"goal-time-ns\":%d000000,"
                            + "\"give-up-ns\":%d000000,\"value\":%.1f,\"late-worth\":0.0,"
                            + "\"repeat-window-ns\":%d000000,\"stream\":false}",
                    kind.name, kind.effect, kind.scope, kind.aim, kind.giveUp, kind.worth, kind.window));
        }
        return "{\"balancers\":" + proxies + ",\"ordinal\":" + ordinal
                + ",\"layer\":0,\"tiers\":[\"front-api\"],\"zone\":0,\"localities\":[\"diliman-room\"],"
                + "\"kinds\":[\"front-std\"],\"discovery\":\"ask\","
                + "\"tenants\":[{\"name\":\"bayan-clinics\",\"share\":1.0,\"quota-per-s\":300.0}],"
                + "\"request-classes\":[" + classes + "],"
                + "\"costs\":{\"probe\":0.01,\"peer\":0.01,\"waste\":0.02,\"late-fail\":0.03},"
                + "\"limits\":{\"cancel\":true,\"parallel-tries\":true,\"probes\":true,\"retry-after\":true,"
                + "\"max-attempts\":4,\"max-retry-after-ns\":2000000000,\"dial-timeout-ns\":120000000,"
                + "\"conn-idle-ns\":30000000000,\"streams-per-conn\":1},"
                + "\"report\":{\"fields\":[\"latency_ms\",\"inflight\",\"util\"],\"via\":\"probe\"},"
                + "\"safety\":{\"stop-sending-within-ns\":2000000000,\"cold-share\":0.12,"
                + "\"ramp-time-ns\":23000000000,\"fall-multiple\":3.0,\"fall-ns\":3000000000,"
                + "\"ask-within-ns\":10000000000,\"grace-to-answer-ns\":8000000},"
                + "\"worth-by\":\"work\",\"over-share-worth\":0.05,"
                + "\"goal\":{\"whole\":0.6,\"worst-window\":0.1,\"worst-class\":0.2,\"worst-tenant\":0.1}}";
    }

    // ---- the proxy

    /** One process, started with the command of the deploy file from the root. */
    final class Proxy {
        final Process process;
        final int port;
        final int adminPort;
        final Path log;

        Proxy(String name, int port, int adminPort, Path tmp, Path config, Path log) throws IOException {
            this.port = port;
            this.adminPort = adminPort;
            this.log = log;
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            Map<String, String> env = builder.environment();
            env.put("BALANCER_NAME", name);
            env.put("BALANCER_LISTEN", "127.0.0.1:" + port);
            env.put("BALANCER_DISCOVERY", "127.0.0.1:" + discovery.port());
            env.put("BALANCER_CONFIG", config.toString());
            env.put("TMPDIR", tmp.toString());
            if (adminPort > 0) {
                env.put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + adminPort);
            }
            builder.redirectErrorStream(true);
            builder.redirectOutput(log.toFile());
            process = builder.start();
            proxies.add(this);
            note("proxy " + name + " started, pid " + process.pid() + ", port " + port);
        }

        /** Waits until the proxy answers 200 at a path of one of its ports; false after 30 s. */
        boolean awaitYes(int at, String path) {
            long end = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < end && process.isAlive()) {
                try (Socket socket = new Socket(LOOPBACK, at)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(
                            ("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").getBytes());
                    Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), false);
                    if (answer != null && answer.status() == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(20);
            }
            return false;
        }

        boolean awaitReady() {
            return awaitYes(port, "/_health");
        }

        void signal(String name) throws IOException, InterruptedException {
            note("signal " + name + " to pid " + process.pid());
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command 'run' in deploy/balancer.toml");
    }

    Path writeConfig(String name, int port, String settings) throws IOException {
        Path config = temp.resolve(name + ".json");
        Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + discovery.whole() + ",\"settings\":" + settings + "}");
        return config;
    }

    Proxy startProxy(String name) throws IOException {
        int port = freePort();
        Path tmp = Files.createDirectories(temp.resolve("tmp-" + name));
        return new Proxy(name, port, 0, tmp, writeConfig(name, port, settings(1, 0)), temp.resolve(name + ".log"));
    }

    // ---- HTTP

    /** A message that was read whole. */
    static final class Message {
        final String first;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        private Message(String first) {
            this.first = first;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(field("connection"));
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n') {
                    return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                }
                line.write(next);
            }
            return null;
        }

        /** Reads a message; null if the connection ends before its first byte. */
        static Message read(InputStream in, boolean request) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Message message = new Message(first);
            for (String line = line(in); ; line = line(in)) {
                if (line == null) {
                    throw new IOException("the connection ended within a head");
                }
                if (line.isEmpty()) {
                    break;
                }
                int colon = line.indexOf(':');
                message.fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                for (; ; ) {
                    String length = line(in);
                    if (length == null) {
                        throw new IOException("the connection ended within a body");
                    }
                    int size = Integer.parseInt(length.split(";")[0].trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    if (chunk.length < size) {
                        throw new IOException("the connection ended within a body");
                    }
                    body.write(chunk);
                    line(in);
                    if (size == 0) {
                        break;
                    }
                }
                message.body = body.toByteArray();
            } else if (message.field("content-length") != null) {
                int length = Integer.parseInt(message.field("content-length"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    throw new IOException("the connection ended within a body");
                }
            } else if (!request) {
                message.body = in.readAllBytes();
            }
            return message;
        }
    }

    // ---- discovery

    /** Discovery: whole lists and watches, told at once. */
    static final class Discovery {
        private final Rig rig;
        private final ServerSocket server = new ServerSocket(0, 100, LOOPBACK);
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Set<OutputStream> watches = ConcurrentHashMap.newKeySet();
        private int version = 1;

        Discovery(Rig rig) throws IOException {
            this.rig = rig;
            daemon(this::accept).start();
            rig.timers.scheduleAtFixedRate(() -> tell("\n"), 2, 2, TimeUnit.SECONDS);
        }

        int port() {
            return server.getLocalPort();
        }

        private static String entry(String id, int port, int cell, String state, long startedMs) {
            return String.format("{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"diliman-room\","
                            + "\"kind\":\"front-std\",\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                    id, port, cell, state, startedMs);
        }

        synchronized void set(String id, int port, int cell, String state, long startedMs) {
            String entry = entry(id, port, cell, state, startedMs);
            entries.put(id, entry);
            version++;
            if (state.equals("terminated")) {
                entries.remove(id);
            }
            rig.note("discovery tells " + id + " " + state);
            tell("{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n");
        }

        synchronized String whole() {
            return "{\"version\":" + version + ",\"full\":true,\"servers\":["
                    + String.join(",", entries.values()) + "]}";
        }

        private synchronized void tell(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            for (OutputStream watch : List.copyOf(watches)) {
                try {
                    chunk(watch, bytes);
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        private static void chunk(OutputStream out, byte[] bytes) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
            all.write(bytes);
            all.write("\r\n".getBytes());
            out.write(all.toByteArray());
            out.flush();
        }

        private void accept() {
            for (; ; ) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Message call = Message.read(in, true); call != null; call = Message.read(in, true)) {
                    if (call.first.contains("follow=1")) {
                        synchronized (this) {
                            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                            chunk(out, (whole() + "\n").getBytes(StandardCharsets.UTF_8));
                            watches.add(out);
                        }
                    } else {
                        byte[] body = whole().getBytes(StandardCharsets.UTF_8);
                        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
                        out.write(body);
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // the proxy has ended the call
            }
        }
    }

    // ---- nodes

    /** What a node does with a request once its last byte has arrived. */
    interface Handler {
        void handle(Node node, Message request, Wire wire) throws IOException;
    }

    /** The node's side of a connection. */
    static final class Wire {
        final Socket socket;
        private final Node node;
        private final OutputStream out;

        /** A request has arrived, in part or whole, and is not answered yet. */
        volatile boolean waiting;

        Wire(Node node, Socket socket) throws IOException {
            this.node = node;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            node.awaitAwake();
            sleep(node.oneWayMs);
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(int status, String fields, String body) throws IOException {
            waiting = false;
            write("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        }
    }

    /** What a node reads from a connection, at the node's rate. */
    private static final class PacedInput extends InputStream {
        private static final int PIECE = 16 * 1024;
        private final Wire wire;
        private final Node node;
        private final InputStream in;

        PacedInput(Wire wire, InputStream in) {
            this.wire = wire;
            this.node = wire.node;
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] into, int from, int length) throws IOException {
            node.awaitAwake();
            int count = in.read(into, from, Math.min(PIECE, length));
            node.awaitAwake();
            if (count > 0) {
                sleep(node.oneWayMs);
                wire.waiting = true;
                node.received.addAndGet(count);
                sleep(1000 * count / node.rate);
            }
            return count;
        }

        @Override
        public int available() throws IOException {
            return in.available();
        }
    }

    /** A node: one thread a connection, probes and requests. */
    final class Node {
        final String id;
        final int cell;
        final AtomicInteger inFlight = new AtomicInteger();
        final AtomicLong received = new AtomicLong();

        /** The rate at which the node reads a connection, in bytes a second. */
        volatile double rate = Double.MAX_VALUE;

        /** The time that bytes take on the network, each way, in milliseconds. */
        volatile double oneWayMs;

        /** A node that hangs keeps its connections, and reads and writes nothing. */
        volatile boolean hangs;

        private final ServerSocket server = new ServerSocket(0, 200, LOOPBACK);
        private final Handler handler;

        Node(String id, int cell, Handler handler) throws IOException {
            this.id = id;
            this.cell = cell;
            this.handler = handler;
            daemon(this::accept).start();
        }

        int port() {
            return server.getLocalPort();
        }

        void awaitAwake() {
            while (hangs) {
                sleep(20);
            }
        }

        private void accept() {
            for (; ; ) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                Wire wire = new Wire(this, socket);
                InputStream in = new BufferedInputStream(new PacedInput(wire, socket.getInputStream()));
                for (Message request = Message.read(in, true); request != null; request = Message.read(in, true)) {
                    wire.waiting = true;
                    if (request.first.startsWith("GET /_load ")) {
                        wire.answer(200, "", "TEXT latency_ms=30, inflight=" + inFlight.get() + ", util=0.3");
                        continue;
                    }
                    note("node " + id + " got " + request.field("req-id") + " " + request.field("req-kind"));
                    inFlight.incrementAndGet();
                    try {
                        handler.handle(this, request, wire);
                    } finally {
                        inFlight.decrementAndGet();
                    }
                }
            } catch (IOException e) {
                // the proxy has given up, or the connection has ended
            }
        }
    }

    Node addNode(String id, int cell, Handler handler) throws IOException {
        Node node = new Node(id, cell, handler);
        discovery.set(id, node.port(), cell, "in_service", 0);
        return node;
    }

    // ---- clients

    /** What a client saw: a status, or 0 and the reason why there is no whole answer. */
    record Seen(String id, Kind kind, int status, String body, double sentAt, double endedAt, String how) {}

    /** Clients that keep connections and open more when all are busy. */
    final class Clients {
        private final int port;
        private final ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();

        Clients(int port) {
            this.port = port;
        }

        private final class Connection {
            final Socket socket = new Socket(LOOPBACK, port);
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean used;

            Connection() throws IOException {
                socket.setTcpNoDelay(true);
            }
        }

        static String request(Kind kind, String id, int deadlineMs, String body) {
            String head = " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind.name
                    + "\r\nReq-Owner: bayan-clinics\r\nReq-Deadline-Ms: " + deadlineMs + "\r\n";
            if (kind.effect.equals("retryable")) {
                return "GET /api" + head + "\r\n";
            }
            return "POST /api" + head
                    + (kind.effect.equals("dedup") ? "Idempotency-Key: key-" + id + "\r\n" : "")
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /**
         * Sends a request and waits for its answer up to its deadline and {@code graceMs} more. If a kept
         * connection ends without a byte of an answer, the request is sent once more on a new one.
         */
        Seen call(Kind kind, String id, int deadlineMs, int graceMs) {
            double sentAt = seconds();
            byte[] bytes = request(kind, id, deadlineMs, "message " + id).getBytes(StandardCharsets.UTF_8);
            long end = System.nanoTime() + (deadlineMs + graceMs) * 1_000_000L;
            for (boolean again = false; ; again = true) {
                Connection connection = again ? null : idle.pollLast();
                boolean kept = connection != null;
                boolean begun = false;
                try {
                    if (connection == null) {
                        connection = new Connection();
                    }
                    connection.socket.getOutputStream().write(bytes);
                    connection.socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                    connection.in.mark(1);
                    int first = connection.in.read();
                    if (first < 0) {
                        throw new IOException("closed without an answer");
                    }
                    connection.in.reset();
                    begun = true;
                    Message answer = Message.read(new Limited(connection, end), false);
                    if (answer.closes()) {
                        connection.socket.close();
                    } else {
                        idle.addLast(connection);
                    }
                    return new Seen(id, kind, answer.status(), answer.text(), sentAt, seconds(), "answered");
                } catch (SocketTimeoutException e) {
                    closeQuietly(connection);
                    return new Seen(id, kind, 0, "", sentAt, seconds(),
                            begun ? "no whole answer" : "no answer");
                } catch (IOException e) {
                    closeQuietly(connection);
                    if (kept && !begun && !again) {
                        continue;
                    }
                    return new Seen(id, kind, 0, "", sentAt, seconds(),
                            (begun ? "broken answer: " : "ended: ") + e.getMessage());
                }
            }
        }

        private void closeQuietly(Connection connection) {
            try {
                if (connection != null) {
                    connection.socket.close();
                }
            } catch (IOException e) {
                // closed
            }
        }

        /** Ends a read at an instant, however many bytes come meanwhile. */
        private final class Limited extends InputStream {
            private final Connection connection;
            private final long end;

            Limited(Connection connection, long end) {
                this.connection = connection;
                this.end = end;
            }

            @Override
            public int read() throws IOException {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new SocketTimeoutException();
                }
                connection.socket.setSoTimeout((int) left);
                return connection.in.read();
            }
        }
    }
}
