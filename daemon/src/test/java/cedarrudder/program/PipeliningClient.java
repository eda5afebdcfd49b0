package cedarrudder.program;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A client that sends further requests behind one that takes its endpoint long, and then either
 * waits for all answers or leaves within the first request.
 */
final class PipeliningClient {

    /** What stands behind the first request. */
    enum Shape {
        WITHOUT_BODY,
        WITH_BODY,
        ONE_UPLOAD
    }

    /** What the client does after its last byte. */
    enum End {
        STAYS,
        CLOSES,
        RESETS
    }

    /** The prefix of the path of a first request; its service time in milliseconds follows. */
    static final String FIRST_PATH = "/first-";

    /** Follows the service time if the endpoint declines the first attempt after it. */
    static final String DECLINED = "-declined";

    private static final int MIN_BYTES = 1_000;
    private static final int MAX_BYTES = 1_000_000;
    private static final int MIN_REQUEST_BYTES = 220;
    private static final int MAX_REQUEST_BYTES = 3_000;

    /** So few that all have their answers long before the end of a test. */
    private static final int MAX_REQUESTS = 60;

    private static final int READ_AHEAD_BYTES = 32 * 1024;
    private static final int REPEAT_AFTER_MILLIS = 50;
    private static final int BEGIN_CHECK_MILLIS = 5;

    /** How long a client waits for its first request to begin; ids are remembered for longer. */
    private static final long MAX_BEGIN_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * How one client behaves.
     *
     * @param bytes the bytes of all requests behind the first, about
     * @param requestBytes the bytes of each of them
     * @param pieces the number of writes
     * @param firstMillis the service time of the first request
     * @param leavesAfterMillis how long the client waits after its last byte, and after the begin
     *     of its first request
     * @param repeats whether it sends its second request again on a new connection after that
     */
    record Plan(
            Shape shape,
            int bytes,
            int requestBytes,
            int pieces,
            int gapMillis,
            End end,
            boolean firstDeclined,
            int firstMillis,
            int leavesAfterMillis,
            boolean repeats) {

        /** Draws a plan; half of the sizes are near that of the bytes that are read ahead. */
        static Plan draw(Random random, End end) {
            Shape shape = Shape.values()[random.nextInt(Shape.values().length)];
            int requestBytes =
                    MIN_REQUEST_BYTES + random.nextInt(MAX_REQUEST_BYTES - MIN_REQUEST_BYTES);
            int drawn = drawBytes(random);
            int bytes =
                    shape == Shape.WITHOUT_BODY
                            ? Math.min(drawn, requestBytes * MAX_REQUESTS)
                            : drawn;
            return new Plan(
                    shape,
                    bytes,
                    shape == Shape.ONE_UPLOAD
                            ? bytes
                            : Math.max(requestBytes, bytes / MAX_REQUESTS),
                    1 + random.nextInt(8),
                    random.nextInt(5),
                    end,
                    random.nextInt(3) == 0,
                    300 + random.nextInt(300),
                    20 + random.nextInt(130),
                    random.nextBoolean());
        }

        private static int drawBytes(Random random) {
            double factor = random.nextDouble();
            return random.nextBoolean()
                    ? (int) (READ_AHEAD_BYTES * (0.9 + factor))
                    : (int) (MIN_BYTES * Math.pow(MAX_BYTES / MIN_BYTES, factor));
        }

        int requests() {
            return Math.max(1, bytes / requestBytes);
        }
    }

    final Plan plan;
    private final String name;
    private final ProxyHarness harness;
    private final Predicate<String> hasBegun;
    private Client connection;

    /** The instant right before the connection was closed; {@link Long#MAX_VALUE} before that. */
    private volatile long leftAt = Long.MAX_VALUE;

    /** The statuses that a client which stays received, without that of the first request. */
    private final List<String> statuses = new ArrayList<>();

    /**
     * Opens the connection.
     *
     * @param hasBegun returns whether the request with an id has reached an endpoint
     */
    PipeliningClient(ProxyHarness harness, String name, Plan plan, Predicate<String> hasBegun)
            throws IOException {
        this.hasBegun = hasBegun;
        this.harness = harness;
        this.name = name;
        this.plan = plan;
        this.connection = harness.client();
    }

    /** Sends the requests, and waits for the answers or leaves, as planned. */
    void run() throws Exception {
        try (Client open = open()) {
            send();
            if (plan.end == End.STAYS) {
                readAll();
                return;
            }
            awaitFirstBegun();
            Thread.sleep(plan.leavesAfterMillis);
            if (plan.end == End.RESETS) {
                open.resetOnClose();
            }
            leftAt = System.nanoTime();
        }
        if (!plan.repeats) {
            return;
        }
        Thread.sleep(REPEAT_AFTER_MILLIS);
        try (Client again = harness.client()) {
            again.send(request(1)).read();
        }
    }

    /** Returns the connection, or a new one: the proxy may close it until a request comes. */
    private Client open() throws IOException {
        if (connection.hasEnded()) {
            connection.close();
            connection = harness.client();
        }
        return connection;
    }

    /** Waits until the endpoint has the first request, unless the proxy has refused that. */
    private void awaitFirstBegun() throws InterruptedException {
        long waitsUntil = System.nanoTime() + MAX_BEGIN_WAIT_NANOS;
        while (System.nanoTime() < waitsUntil && !hasBegun.test(name + "-first")) {
            Thread.sleep(BEGIN_CHECK_MILLIS);
        }
    }

    private void send() throws Exception {
        String path = FIRST_PATH + plan.firstMillis + (plan.firstDeclined ? DECLINED : "");
        connection.send(ProxyHarness.request("lookup", path, "").replace("id-1", name + "-first"));
        StringBuilder behind = new StringBuilder();
        for (int i = 1; i <= plan.requests(); i++) {
            behind.append(request(i));
        }
        int pieceBytes = behind.length() / plan.pieces + 1;
        for (int at = 0; at < behind.length(); at += pieceBytes) {
            connection.send(behind.substring(at, Math.min(behind.length(), at + pieceBytes)));
            Thread.sleep(plan.gapMillis);
        }
    }

    private String request(int number) {
        String id = name + "-" + number;
        if (plan.shape == Shape.WITHOUT_BODY) {
            String path = "/" + "p".repeat(plan.requestBytes - MIN_REQUEST_BYTES);
            return ProxyHarness.request("order", path, "").replace("id-1", id);
        }
        String body = "x".repeat(plan.requestBytes - MIN_REQUEST_BYTES);
        return ProxyHarness.request("order", "/api", body).replace("id-1", id);
    }

    private void readAll() throws IOException {
        connection.read();
        for (int i = 0; i < plan.requests(); i++) {
            Received answer = connection.read();
            if (answer == null) {
                statuses.add("closed");
                return;
            }
            statuses.add(answer.first().split(" ")[1]);
        }
    }

    /** Returns whether a request with this id is one of this client. */
    boolean sent(String id) {
        return id.startsWith(name + "-");
    }

    long leftAt() {
        return leftAt;
    }

    /** Returns how many answers had this status. */
    long count(String status) {
        return statuses.stream().filter(status::equals).count();
    }

    @Override
    public String toString() {
        return name + " " + plan;
    }
}
