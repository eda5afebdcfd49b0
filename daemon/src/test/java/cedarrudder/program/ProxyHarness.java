package cedarrudder.program;

import cedarrudder.balancer.Await;
import cedarrudder.logging.Logger;
import cedarrudder.operator.OperatorFile;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Runs a proxy under test on loopback sockets, together with the clients, endpoints and discovery
 * that the test plays. Endpoints answer probes automatically; every other message is queued until
 * the test answers it.
 */
final class ProxyHarness implements AutoCloseable {

    /**
     * Limits every wait of a test for an expected event; no result depends on how soon the event
     * occurs.
     */
    private static final int TIMEOUT_MILLIS = 20_000;

    /** The id of a request as {@link #request} returns it. */
    private static final String ID_FIELD = "Req-Id: id-1\r\n";

    private static final AtomicLong IDS = new AtomicLong(1);

    /** The head with which discovery starts its answer to a watch. */
    static final String STREAM = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A received message with the socket on which to answer it. */
    record Received(Socket socket, String head, String body) {

        String first() {
            return head.lines().findFirst().orElseThrow();
        }

        /** Returns the value of a header field, or null if the field is absent. */
        String field(String name) {
            return head.lines()
                    .filter(l -> l.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(l -> l.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse(null);
        }

        void reply(String status, String text, String... fields) throws IOException {
            raw(
                    "HTTP/1.1 "
                            + status
                            + "\r\nContent-Length: "
                            + text.length()
                            + "\r\n"
                            + lines(fields)
                            + "\r\n"
                            + text);
        }

        void raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Sends a chunk of an answer in chunked encoding. */
        void chunk(String text) throws IOException {
            raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the proxy closes the connection. */
        void awaitEnd() throws IOException {
            try {
                if (socket.getInputStream().read() >= 0) {
                    throw new AssertionError("more bytes instead of the end");
                }
            } catch (java.net.SocketException e) {
                // a reset also ends the connection
            }
        }
    }

    /**
     * Listens on a port that may have been closed just now. Retries while a thread inside {@code
     * accept} still uses the old socket for a moment.
     */
    private static ServerSocket listen(int port, int queue) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (true) {
            try {
                return new ServerSocket(port, queue, InetAddress.getLoopbackAddress());
            } catch (BindException e) {
                if (System.nanoTime() - end > 0) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** A server whose requests the test answers. */
    final class Peer implements Closeable {
        final ServerSocket server;
        private final BlockingQueue<Received> received;

        Peer(BlockingQueue<Received> received) throws IOException {
            this(received, 0);
        }

        private Peer(BlockingQueue<Received> received, int port) throws IOException {
            this(received, listen(port, 50));
        }

        private Peer(BlockingQueue<Received> received, ServerSocket server) {
            this.server = server;
            this.received = received;
            daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    accepted.add(socket);
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // closed by the test
            }
        }

        private Received receive(Socket socket) throws IOException {
            Received head = readHead(socket);
            if (head != null) {
                onHead.accept(head);
            }
            return leavesBodies ? head : readBody(head);
        }

        private void serve(Socket socket) {
            try {
                for (Received next = receive(socket); next != null; next = receive(socket)) {
                    if (next.first().startsWith("GET /_load ") && probesWait) {
                        probes.add(next);
                    } else if (next.first().startsWith("GET /_load ")) {
                        next.reply("200 OK", "TEXT latency_ms=5, inflight=0, util=0.1");
                    } else {
                        received.add(next);
                        if (next.first().contains("stays-for-test")) {
                            return; // the test itself watches for the end of this connection
                        }
                    }
                }
            } catch (IOException e) {
                // the peer closed the connection
            }
            ended.add(socket);
        }

        private void daemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /**
     * An endpoint whose accept queue is full. Further connections are established after {@link
     * #open}, when the connecting kernel retransmits its SYN, which it does after 1, 3 and 7 s.
     */
    final class FullQueueEndpoint implements Closeable {
        private static final int FULL_MILLIS = 500;
        private final int endpoint;
        private final ServerSocket server;
        private final List<Socket> fillers = new ArrayList<>();

        /** Closes an endpoint and listens on its port instead. */
        FullQueueEndpoint(int endpoint) throws IOException {
            this.endpoint = endpoint;
            nodes.get(endpoint).close();
            int port = nodes.get(endpoint).server.getLocalPort();
            server = listen(port, 1);
            while (fillQueue(port)) {
                // until its queue is full
            }
        }

        private boolean fillQueue(int port) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FULL_MILLIS);
                fillers.add(socket);
                return true;
            } catch (SocketTimeoutException e) {
                socket.close();
                return false;
            }
        }

        /** Accepts connections from now on and serves them like any endpoint. */
        void open() {
            nodes.set(endpoint, new Peer(requests, server));
        }

        /**
         * Waits until this many connections have been accepted besides those that fill the queue,
         * and returns them.
         */
        List<Socket> awaitConnections(int count) throws Exception {
            Await.until(count + " connections", () -> others().size() >= count);
            return others();
        }

        private List<Socket> others() {
            List<Integer> fillerPorts = fillers.stream().map(Socket::getLocalPort).toList();
            return accepted.stream()
                    .filter(
                            s ->
                                    s.getLocalPort() == server.getLocalPort()
                                            && !fillerPorts.contains(s.getPort()))
                    .toList();
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : fillers) {
                socket.close();
            }
            server.close();
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        private final Socket socket;

        Client(int port) throws IOException {
            this(port, 0);
        }

        /**
         * @param receiveBufferBytes the size of the kernel's receive buffer for unread answers; 0
         *     for the system's default
         */
        Client(int port, int receiveBufferBytes) throws IOException {
            socket = new Socket();
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
        }

        /** Sends a text, with a new id in place of each that {@link ProxyHarness#request} gives. */
        Client send(String text) throws IOException {
            String sent = text;
            while (sent.contains(ID_FIELD)) {
                sent = sent.replaceFirst(ID_FIELD, "Req-Id: new-" + IDS.incrementAndGet() + "\r\n");
            }
            socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Returns the next answer, or null if the proxy has closed the connection. */
        Received read() throws IOException {
            return ProxyHarness.read(socket);
        }

        /** Reads the head of the next answer; the test reads the body itself. */
        Received readHead() throws IOException {
            return ProxyHarness.readHead(socket);
        }

        InputStream in() throws IOException {
            return socket.getInputStream();
        }

        OutputStream out() throws IOException {
            return socket.getOutputStream();
        }

        /** Makes the later close of this connection send a reset. */
        void resetOnClose() throws IOException {
            socket.setSoLinger(true, 0);
        }

        /** Returns whether the proxy has closed the connection, on which no answer is due. */
        boolean hasEnded() throws IOException {
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(TIMEOUT_MILLIS);
            }
        }

        /** Returns all bytes until the proxy closes the connection. */
        String readAll() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    final BlockingQueue<Received> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<Received> lookups = new LinkedBlockingQueue<>();
    final BlockingQueue<Received> probes = new LinkedBlockingQueue<>();

    /** True if probes also wait for the test's answer. */
    volatile boolean probesWait;

    /** Called with each head that an endpoint or discovery receives, as soon as it has come. */
    volatile Consumer<Received> onHead = head -> {};

    /** True if the test reads the bodies of requests to endpoints itself. */
    volatile boolean leavesBodies;

    /**
     * The connections to endpoints and discovery in the order of their accept, except those still
     * in an accept queue.
     */
    final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();

    /** The connections to endpoints and discovery that have ended. */
    final Set<Socket> ended = ConcurrentHashMap.newKeySet();

    final List<Peer> nodes = new ArrayList<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final Map<String, String> changes = new HashMap<>();
    Peer discovery = new Peer(lookups);
    final int port;
    private final Socket reservedPort = new Socket();

    /** The folder for the proxy's persistent state. */
    final Path state = Files.createTempDirectory("world").resolve("state");

    private final Socket reservedAdminPort = new Socket();
    private OperatorFile operator = OperatorFile.NONE;
    private ProxyServer proxy;

    ProxyHarness(int nodeCount) throws IOException {
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Peer(requests));
        }
        // Stays bound without listening until the test ends, so that no other socket gets the port
        // before the proxy does. The proxy may listen on it because both sockets set SO_REUSEADDR.
        reservedPort.setReuseAddress(true);
        reservedPort.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        port = reservedPort.getLocalPort();
    }

    /** Replaces a text in the configuration by another. */
    ProxyHarness with(String text, String other) {
        changes.put(text, other);
        return this;
    }

    /** Sets the operator's file, or replaces it if the proxy is already running. */
    ProxyHarness with(OperatorFile next) {
        operator = next;
        if (proxy != null) {
            proxy.apply(next);
        }
        return this;
    }

    /** Gives the proxy an address for operators. */
    ProxyHarness withAdmin() throws IOException {
        reservedAdminPort.setReuseAddress(true);
        reservedAdminPort.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return with(
                "\"listen\"",
                "\"admin_addr\":\"127.0.0.1:" + reservedAdminPort.getLocalPort() + "\",\"listen\"");
    }

    /** Opens an operator's connection. */
    Client operator() throws IOException {
        return new Client(reservedAdminPort.getLocalPort());
    }

    /** Returns the proxy's answer to an operator's request. */
    Received operator(String method, String path) throws IOException {
        try (Client client = operator()) {
            return client.send(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n").read();
        }
    }

    /** Returns the status of the proxy's answer to an operator's request. */
    int status(String method, String path) throws IOException {
        return Integer.parseInt(operator(method, path).first().split(" ")[1]);
    }

    /** Waits until an operator's request is answered with this status. */
    void awaitStatus(String method, String path, int status) throws Exception {
        Await.until(status + " of " + path, () -> status(method, path) == status);
    }

    /** Starts a proxy in this process. */
    ProxyHarness start() throws IOException, InterruptedException {
        ProxyConfiguration configuration = ProxyConfiguration.parse(configuration());
        proxy =
                new ProxyServer(
                        configuration, operator, new Logger(new PrintStream(log, true)), state);
        proxy.start();
        return this;
    }

    /** Shuts the proxy down; returns once it has ended. */
    void end() {
        ProxyServer ends = proxy;
        proxy = null;
        ends.shutDown();
    }

    /** Makes the proxy reload its configuration with this text as the new one. */
    void reload(String configuration) {
        proxy.reload(() -> ProxyConfiguration.parse(configuration));
    }

    /**
     * Returns the example configuration with the addresses of this test and all of its endpoints.
     */
    String configuration() throws IOException {
        String text = Files.readString(Path.of("example", "config.json"));
        for (Map.Entry<String, String> change : changes.entrySet()) {
            text = text.replace(change.getKey(), change.getValue());
        }
        return text.replace(":7000", ":" + port)
                .replace(":7100", ":" + discovery.server.getLocalPort())
                .replace("\"ask-within-ns\": 1000000000", "\"ask-within-ns\": 1000000")
                .replace("\"servers\": []", "\"servers\": [" + entries("in_service") + "]");
    }

    /** Returns the entries of all endpoints in discovery's format. */
    String entries(String state) {
        List<String> entries = new ArrayList<>();
        for (Peer node : nodes) {
            entries.add(
                    "{\"id\":\"n"
                            + entries.size()
                            + "\",\"addr\":\"127.0.0.1:"
                            + node.server.getLocalPort()
                            + "\",\"zone\":\"room\",\"kind\":\"standard\",\"cell\":0,"
                            + "\"state\":\""
                            + state
                            + "\",\"weight\":1.0,\"started_ms\":0}");
        }
        return String.join(",", entries);
    }

    /** Restarts a closed endpoint on its former port. */
    void restart(int endpoint) throws IOException {
        nodes.set(endpoint, new Peer(requests, nodes.get(endpoint).server.getLocalPort()));
    }

    Client client() throws IOException {
        return new Client(port);
    }

    /** Returns the next request that reached an endpoint. */
    Received nextRequest() throws InterruptedException {
        return await(requests);
    }

    static Received await(BlockingQueue<Received> queue) throws InterruptedException {
        return Await.next("a request", queue);
    }

    /** Returns a request in the form that a client sends. */
    static String request(String kind, String target, String body, String... fields) {
        return (kind.equals("lookup") ? "GET " : "POST ")
                + target
                + " HTTP/1.1\r\nHost: service.internal\r\n"
                + "Req-Id: id-1\r\nReq-Kind: "
                + kind
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 30000\r\n"
                + (kind.equals("lookup") ? "" : "Content-Length: " + body.length() + "\r\n")
                + lines(fields)
                + "\r\n"
                + body;
    }

    private static String lines(String... fields) {
        StringBuilder lines = new StringBuilder();
        for (String field : fields) {
            lines.append(field).append("\r\n");
        }
        return lines.toString();
    }

    private static Received read(Socket socket) throws IOException {
        return readBody(readHead(socket));
    }

    /** Returns a message with its body; null if there is no head. */
    private static Received readBody(Received head) throws IOException {
        String length = head == null ? null : head.field("Content-Length");
        if (length == null) {
            return head;
        }
        byte[] body = head.socket().getInputStream().readNBytes(Integer.parseInt(length));
        return new Received(
                head.socket(), head.head(), new String(body, StandardCharsets.ISO_8859_1));
    }

    private static Received readHead(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return new Received(socket, head.toString(), "");
    }

    /** Waits until the log contains this text. */
    void awaitLog(String text) throws Exception {
        Await.until(text + " in the log", () -> log.toString().contains(text));
    }

    @Override
    public void close() throws IOException {
        if (proxy != null) {
            proxy.shutDown();
        }
        discovery.close();
        for (Peer node : nodes) {
            node.close();
        }
        reservedPort.close();
        reservedAdminPort.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
