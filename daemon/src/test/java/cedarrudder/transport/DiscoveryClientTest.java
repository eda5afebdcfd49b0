package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.ObjectLayout;
import cedarrudder.forwarding.DiscoveryTimeouts;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.SettingsReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Calls to discovery, played by a socket of the test's. */
public class DiscoveryClientTest {

    private static final long STARTED = 1_700_000_000_000L;

    /**
     * The whole list is asked for this long after endpoints of it were left out, in nanoseconds.
     */
    private static final long AGAIN = 300_000_000L;

    private static final String STREAM = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String FOLLOW = "/catalog/members?follow=1&since=";

    /** So long that a test whose call waits for it fails, in nanoseconds. */
    private static final long NEVER_SOON = 600_000_000_000L;

    private final BlockingQueue<EndpointList> told = new LinkedBlockingQueue<>();
    private volatile boolean broken;

    /** Bytes for endpoints and their lists; 0: all are loaded. */
    private long room;

    private EndpointListReader gate;

    /** The version of the list with which the client starts. */
    private long known;

    /** What a test does with a client whose watch is open. */
    private interface Story {
        void play(ProxyEventLoop loop, DiscoveryClient client, ServerSocket discovery, Socket watch)
                throws Exception;
    }

    private void play(Runnable failed, Story story) throws Exception {
        play(0, failed, story);
    }

    private void play(long longest, Runnable failed, Story story) throws Exception {
        told.clear();
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EndpointListParser reader =
                    new EndpointListParser(
                            SettingsReader.read(example.child("settings")),
                            loop::now,
                            System::currentTimeMillis);
            gate =
                    room == 0
                            ? null
                            : new EndpointListReader(
                                    new EndpointListFootprint(ObjectLayout.of(true, true, 8)),
                                    reader,
                                    room,
                                    0);
            DiscoveryClient client =
                    new DiscoveryClient(
                            loop,
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), discovery.getLocalPort()),
                            DiscoveryTimeouts.DEFAULT,
                            longest,
                            new SplittableRandom(1),
                            reader,
                            known,
                            this::take,
                            failed,
                            gate,
                            AGAIN);
            discovery.setSoTimeout(20_000);
            loop.run(() -> client.watch(true));
            try (Socket watch = discovery.accept()) {
                watch.getOutputStream().write(STREAM.getBytes());
                story.play(loop, client, discovery, watch);
            }
        } finally {
            loop.stop();
        }
    }

    private void take(EndpointList result) {
        if (broken) {
            throw new IllegalStateException("broken on purpose");
        }
        told.add(result);
    }

    private static DiscoveryTimeouts patience(long call, long again, long watch) {
        return new DiscoveryTimeouts(call * 1_000_000, again * 1_000_000, watch * 1_000_000, 0);
    }

    private static void chunk(Socket watch, String text) throws IOException {
        watch.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    }

    private static void tell(Socket watch, long version, boolean full, String state)
            throws IOException {
        String line =
                "{\"version\":"
                        + version
                        + ",\"full\":"
                        + full
                        + ",\"servers\":[{\"id\":\"n0\","
                        + "\"addr\":\"127.0.0.1:9\",\"zone\":\"room\",\"state\":\""
                        + state
                        + "\","
                        + "\"started_ms\":"
                        + STARTED
                        + "}]}\n";
        chunk(watch, line);
    }

    /** Detects a list call that fails being taken for a watch that broke, and is opened anew. */
    @Test
    public void aListCallThatFailsIsNoFailureOfTheWatch() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        play(
                failures::incrementAndGet,
                (loop, client, discovery, watch) -> {
                    loop.run(client::fetchAll);
                    try (Socket list = discovery.accept()) {
                        list.getInputStream().read();
                        list.setSoLinger(true, 0);
                    }
                    loop.run(client::fetchAll);
                    try (Socket second = discovery.accept()) {
                        second.getInputStream().read();
                        second.getOutputStream()
                                .write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes());
                        assertEquals(
                                second.getInputStream().readAllBytes().length > 0,
                                true); // its end: told by now
                    }
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS), "the watch stands");
                    assertEquals(failures.get(), 0);
                });
    }

    /** Detects a watch that stands, and is read no more, after a fault with one of its lines. */
    @Test
    public void aFaultWithALineIsToldAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        broken = true;
        play(
                failures::release,
                (loop, client, discovery, watch) -> {
                    // So long that its silence is not what tells.
                    loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 600_000)));
                    tell(watch, 1, true, "in_service");
                    assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
                    watch.getInputStream().readAllBytes(); // the proxy has closed it
                });
        broken = false;
    }

    /** Detects memory that a line of a list without an end uses up. */
    @Test
    public void aLineWithoutAnEndIsToldAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        play(
                failures::release,
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 600_000)));
                    byte[] piece = ("100000\r\n" + "x".repeat(0x100000) + "\r\n").getBytes();
                    try {
                        for (int i = 0; i < 8; i++) {
                            watch.getOutputStream().write(piece);
                        }
                    } catch (IOException e) {
                        // closed, as it should be
                    }
                    assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
                });
    }

    /**
     * Detects a list that stands still for good, since the network to discovery was cut, or since
     * the pieces of a line that never ends count as life.
     */
    @Test
    public void aWatchThatFallsSilentIsOpenedAnewAtOnce() throws Exception {
        for (boolean drips : new boolean[] {false, true}) {
            AtomicInteger failures = new AtomicInteger();
            play(
                    failures::incrementAndGet,
                    (loop, client, discovery, watch) -> {
                        loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 300)));
                        tell(watch, 1, true, "in_service");
                        assertNotNull(told.poll(20, TimeUnit.SECONDS));
                        discovery.setSoTimeout(50);
                        Socket again = null;
                        for (int i = 0; i < 200 && again == null; i++) {
                            try {
                                if (drips) {
                                    chunk(watch, i == 0 ? "{" : "\"");
                                }
                                again = discovery.accept();
                            } catch (SocketTimeoutException e) {
                                // not yet
                            } catch (IOException e) {
                                again = discovery.accept(); // closed, as it should be
                            }
                        }
                        assertNotNull(again, "asked anew");
                        again.getOutputStream().write(STREAM.getBytes());
                        tell(again, 2, false, "terminating");
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                        assertEquals(failures.get(), 0, "the module need not ask");
                        again.close();
                    });
        }
    }

    /** Detects waiting for an answer that never comes, or stops half way, until it is given up. */
    @Test
    public void aCallWithoutAWholeAnswerIsMadeASecondTimeBesideTheFirst() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    loop.run(() -> client.setTimeouts(patience(600_000, 200, 600_000)));
                    loop.run(client::fetchAll);
                    try (Socket half = discovery.accept()) {
                        half.getOutputStream().write(STREAM.getBytes());
                        chunk(half, "{\"version\":2,\"full\":true,");
                        try (Socket second = discovery.accept()) {
                            chunk(half, "\"servers\":[]}");
                            assertEquals(
                                    told.poll(20, TimeUnit.SECONDS).version(),
                                    2,
                                    "the first was waited for");
                            second.getInputStream()
                                    .readAllBytes(); // no longer needed: the proxy has closed it
                        }
                    }
                });
    }

    /**
     * Detects a list that is not understood where it comes indented, on a watch or in an answer.
     */
    @Test
    public void aListMayComeIndented() throws Exception {
        String indented =
                "{\n  \"version\": %d,\n  \"full\": true,\n\n  \"servers\": [\n    {\n"
                        + "      \"id\": \"a}{\\\"\",\n      \"addr\": \"127.0.0.1:9\",\n"
                        + "      \"state\": \"in_service\"\n    }\n  ]\n}";
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    chunk(
                            watch,
                            "\n"
                                    + String.format(indented, 1)
                                    + "\n\n"
                                    + String.format(indented, 2).substring(0, 40));
                    assertEquals(told.poll(20, TimeUnit.SECONDS).nodes().get(0).name(), "a}{\"");
                    chunk(watch, String.format(indented, 2).substring(40) + "\n");
                    assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                    loop.run(client::fetchAll);
                    try (Socket list = discovery.accept()) {
                        String text = String.format(indented, 3);
                        list.getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                        + text.length()
                                                        + "\r\n\r\n"
                                                        + text)
                                                .getBytes());
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 3);
                    }
                });
    }

    /**
     * Detects a list that is late since the balancer, which was told of the failure, waits longer.
     */
    @Test
    public void aLostWatchIsOpenedAnewWhereTheModuleDoesNotAsk() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    watch.setSoLinger(true, 0);
                    watch.close();
                    try (Socket again = discovery.accept()) {
                        again.getOutputStream().write(STREAM.getBytes());
                        tell(again, 1, true, "in_service");
                        assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    }
                });
    }

    private static String list(long version, String name, int nodes) {
        StringBuilder text =
                new StringBuilder("{\"version\":" + version + ",\"full\":true,\"servers\":[");
        for (int i = 0; i < nodes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(name)
                    .append(i)
                    .append("\",\"addr\":\"127.0.0.1:9\",\"state\":\"in_service\"}");
        }
        return text.append("]}\n").toString();
    }

    private static String asked(Socket call) throws IOException {
        call.setSoTimeout(20_000);
        byte[] head = new byte[200];
        String text = new String(head, 0, call.getInputStream().read(head));
        return text.substring(text.indexOf(' ') + 1, text.indexOf(" HTTP"));
    }

    /**
     * Detects endpoints that are lost for good, since discovery was told that their version is
     * known, and against calls without a pause for a list that still does not fit.
     */
    @Test
    public void nodesThatWereLeftOutAreAskedForAgainAfterAWhileAndAreNotTakenForKnown()
            throws Exception {
        room = 2_000_000;
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    assertEquals(asked(watch), "/catalog/members?follow=1&since=0");
                    long from = System.nanoTime();
                    chunk(watch, list(7, "n", 5_000));
                    int held = told.poll(20, TimeUnit.SECONDS).nodes().size();
                    assertEquals(held > 100 && held < 1_000, true, "held " + held);
                    tell(
                            watch,
                            8,
                            false,
                            "terminating"); // has room, and says nothing of those that wait
                    assertEquals(told.poll(20, TimeUnit.SECONDS).nodes().size(), 1);
                    for (int fits = 0; fits < 2; fits++) {
                        try (Socket list = discovery.accept()) {
                            assertEquals(System.nanoTime() - from >= AGAIN, true, "not at once");
                            from = System.nanoTime();
                            assertEquals(asked(list), "/catalog/members");
                            loop.run(
                                    () ->
                                            client.moveTo(
                                                    new InetSocketAddress(
                                                            "127.0.0.2",
                                                            discovery
                                                                    .getLocalPort()))); // nobody is
                            // there:
                            // each call
                            // fails
                            loop.run(
                                    () ->
                                            client.moveTo(
                                                    (InetSocketAddress)
                                                            discovery.getLocalSocketAddress()));
                            try (Socket again = discovery.accept()) {
                                assertEquals(asked(again), "/catalog/members?follow=1&since=0");
                            }
                            String text = fits == 0 ? list(9, "n", 5_000) : list(10, "m", 500);
                            list.getOutputStream()
                                    .write(
                                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                            + text.length()
                                                            + "\r\n\r\n"
                                                            + text)
                                                    .getBytes());
                            assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 9 + fits);
                        }
                    }
                    assertEquals(
                            told.poll(20, TimeUnit.SECONDS).nodes().size(),
                            500,
                            "in the room of what has left");
                    loop.run(
                            () ->
                                    client.moveTo(
                                            new InetSocketAddress(
                                                    "127.0.0.2", discovery.getLocalPort())));
                    loop.run(
                            () ->
                                    client.moveTo(
                                            (InetSocketAddress) discovery.getLocalSocketAddress()));
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), "/catalog/members?follow=1&since=10");
                    }
                });
        room = 0;
    }

    /** Detects endpoints of the configuration's list that were left out and are never told. */
    @Test
    public void whatTheStartLeftOutIsAskedForFromTheBeginning() throws Exception {
        room = 2_000_000;
        known = 5;
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(
                            () -> {
                                gate.read(JsonObject.parse(list(7, "n", 5_000)));
                                client.onCachedListIncomplete();
                                client.moveTo(
                                        new InetSocketAddress(
                                                "127.0.0.2",
                                                discovery.getLocalPort())); // nobody there
                                client.moveTo(
                                        (InetSocketAddress) discovery.getLocalSocketAddress());
                            });
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), "/catalog/members?follow=1&since=0");
                    }
                    try (Socket whole = discovery.accept()) {
                        assertEquals(
                                asked(whole),
                                "/catalog/members",
                                "and the whole list after a while");
                    }
                });
        room = 0;
        known = 0;
    }

    /** Detects a list that stands still, since the new address began with what can't be read. */
    @Test
    public void theFormerWatchTellsOnUntilTheNewOneHasToldWhatCanBeRead() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    try (ServerSocket next =
                            new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                        tell(watch, 1, true, "in_service");
                        assertNotNull(told.poll(20, TimeUnit.SECONDS));
                        loop.run(
                                () ->
                                        client.moveTo(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                        try (Socket second = next.accept()) {
                            second.getOutputStream().write(STREAM.getBytes());
                            tell(second, 2, true, "nonsense");
                            second.getInputStream().readAllBytes(); // given up by now
                        }
                        tell(watch, 3, false, "in_service");
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 3);
                    }
                });
    }

    /**
     * Detects a line that is older than what is known changing what is known of an endpoint: it
     * counted as restarted with the next that told of it, and all that was learnt of it was lost.
     */
    @Test
    public void aLineThatIsOutdatedChangesNothingOfANode() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    tell(watch, 5, true, "in_service");
                    EndpointList first = told.poll(20, TimeUnit.SECONDS);
                    tell(watch, 4, false, "terminated");
                    tell(watch, 6, false, "in_service");
                    EndpointList next = told.poll(20, TimeUnit.SECONDS);
                    assertEquals(next.version(), 6);
                    assertEquals(next.nodes().get(0).endpoint(), first.nodes().get(0).endpoint());
                });
    }

    /**
     * Detects a healthy watch that ends, or is reset, being opened anew only after a long wait: its
     * end is the first failure, and the next call comes within the spread.
     */
    @Test
    public void aWatchThatEndsIsOpenedAnewWithinTheSpread() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            play(
                    NEVER_SOON,
                    () -> {},
                    (loop, client, discovery, watch) -> {
                        loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 600_000)));
                        tell(watch, 1, true, "in_service");
                        assertNotNull(told.poll(20, TimeUnit.SECONDS));
                        if (reset) {
                            watch.setSoLinger(true, 0);
                            watch.close();
                        } else {
                            watch.getOutputStream().write("0\r\n\r\n".getBytes());
                        }
                        try (Socket again = discovery.accept()) {
                            assertEquals(asked(again), FOLLOW + 1);
                        }
                    });
        }
    }

    /** Detects a refusal whose body is waited for, or taken for a list. */
    @Test
    public void aRefusalWithABodyIsNoList() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    watch.close();
                    for (String length :
                            new String[] {
                                "Content-Length: 1000\r\n\r\n",
                                "\r\n",
                                "Transfer-Encoding: chunked\r\n\r\n24\r\n"
                            }) {
                        try (Socket busy = discovery.accept()) {
                            assertEquals(asked(busy), FOLLOW + 1);
                            busy.getOutputStream()
                                    .write(
                                            ("HTTP/1.1 503 Busy\r\n"
                                                            + length
                                                            + "{\"version\":9,\"full\":true,\"servers\":[]}")
                                                    .getBytes());
                            awaitEnd(busy);
                        }
                    }
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), FOLLOW + 1);
                        again.getOutputStream().write(STREAM.getBytes());
                        tell(again, 2, false, "terminating");
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                    }
                });
    }

    /** Waits until the proxy has closed a connection on which it may have left bytes unread. */
    private static void awaitEnd(Socket call) throws IOException {
        call.setSoTimeout(20_000);
        try {
            call.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // a reset is an end too
        }
    }

    /**
     * Detects a list that is spoilt taking the place of the last good one, or being the last asked
     * for.
     */
    @Test
    public void aSpoiltListChangesNothingAndIsAskedForAgain() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    chunk(watch, "{\"version\":2,\"full\":true,\"servers\":}\n");
                    awaitEnd(watch);
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), FOLLOW + 1);
                        again.getOutputStream().write(STREAM.getBytes());
                        tell(again, 2, false, "terminating");
                        assertEquals(
                                told.poll(20, TimeUnit.SECONDS).full(),
                                false,
                                "the spoilt one was not told");
                    }
                });
    }

    /**
     * Detects the whole list of a discovery that began anew, whose versions are as old as what is
     * known or older, being passed over: what it doesn't name is gone. Changes follow from there.
     */
    @Test
    public void aWholeListOnAWatchCountsWhateverItsVersion() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    chunk(watch, list(7, "n", 3));
                    assertEquals(told.poll(20, TimeUnit.SECONDS).nodes().size(), 3);
                    Socket last = watch;
                    for (long version : new long[] {7, 2}) {
                        last.close();
                        last = discovery.accept();
                        assertEquals(asked(last), FOLLOW + 7);
                        last.getOutputStream().write(STREAM.getBytes());
                        chunk(last, list(version, "n", 2));
                        EndpointList whole = told.poll(20, TimeUnit.SECONDS);
                        assertEquals(whole.full(), true);
                        assertEquals(whole.nodes().size(), 2);
                    }
                    tell(last, 3, false, "terminating");
                    EndpointList change = told.poll(20, TimeUnit.SECONDS);
                    assertEquals(change.version(), 3);
                    assertEquals(change.full(), false);
                    last.close();
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), FOLLOW + 3);
                    }
                });
    }

    /**
     * Detects a list that is lost where the network cuts it: here at each byte, in all that HTTP
     * allows.
     */
    @Test
    public void aListInPiecesIsRead() throws Exception {
        String text =
                "\n"
                        + list(1, "n", 2)
                        + "\r\n{\n  \"version\": 2,\n  \"full\": false,\n\n"
                        + "  \"servers\": [\n  ]\n}\n";
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    watch.close();
                    try (Socket again = discovery.accept()) {
                        again.setTcpNoDelay(true);
                        StringBuilder answer =
                                new StringBuilder(
                                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                                                + "transfer-encoding: Chunked\r\n\r\n");
                        for (int at = 0; at < text.length(); at += 7) {
                            String piece = text.substring(at, Math.min(at + 7, text.length()));
                            answer.append(Integer.toHexString(piece.length()))
                                    .append(";a=\"b;c\" ; d\r\n")
                                    .append(piece)
                                    .append("\r\n");
                        }
                        answer.append("0;last\r\nTrailer: x\r\n\r\n");
                        for (byte next : answer.toString().getBytes()) {
                            again.getOutputStream().write(next);
                        }
                        assertEquals(told.poll(20, TimeUnit.SECONDS).nodes().size(), 2);
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                        try (Socket next = discovery.accept()) {
                            assertEquals(asked(next), FOLLOW + 2, "the answer had an end");
                        }
                    }
                });
    }

    /**
     * Detects two connections in a row that come up late: while a call has no answer a spare one is
     * dialled, and the next call goes out on it, whether the first was refused or says nothing.
     */
    @Test
    public void theNextCallGoesOutOnTheSpareConnection() throws Exception {
        for (boolean refuses : new boolean[] {false, true}) {
            play(
                    300_000_000L,
                    () -> {},
                    (loop, client, discovery, watch) -> {
                        loop.run(
                                () ->
                                        client.setTimeouts(
                                                patience(600_000, refuses ? 600_000 : 1_000, 300)));
                        tell(watch, 1, true, "in_service");
                        assertNotNull(told.poll(20, TimeUnit.SECONDS));
                        // The watch is silent now; of one that ended, discovery would count as
                        // there.
                        try (Socket first = discovery.accept();
                                Socket spare = discovery.accept()) {
                            assertEquals(asked(first), FOLLOW + 1);
                            if (refuses) {
                                first.getOutputStream().write("HTTP/1.1 503 No\r\n\r\n".getBytes());
                            }
                            assertEquals(asked(spare), FOLLOW + 1);
                            spare.getOutputStream().write(STREAM.getBytes());
                            tell(spare, 2, false, "terminating");
                            assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                            awaitEnd(first);
                        }
                    });
        }
    }

    /** Detects a spare connection that stays open for nothing, or whose end counts as a failure. */
    @Test
    public void aSpareConnectionIsClosedOnceTheListIsTold() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        play(
                300_000_000L,
                failures::incrementAndGet,
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 300)));
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    Socket again = watch;
                    for (int version = 2; version < 4; version++) {
                        again = discovery.accept(); // the one before is silent
                        try (Socket spare = discovery.accept()) {
                            if (version == 3) {
                                spare.shutdownOutput(); // nothing that was asked has failed
                            }
                            again.getOutputStream().write(STREAM.getBytes());
                            tell(again, version, false, "terminating");
                            assertEquals(told.poll(20, TimeUnit.SECONDS).version(), version);
                            if (version == 2) {
                                spare.setSoTimeout(20_000);
                                assertEquals(
                                        spare.getInputStream().read(), -1, "closed, nothing asked");
                            }
                        }
                    }
                    assertEquals(failures.get(), 0, "nothing that was asked has failed");
                    again.close();
                });
    }

    /**
     * Detects a call that goes to the address that discovery has left, on the spare connection
     * there.
     */
    @Test
    public void aSpareConnectionToAFormerAddressIsNotUsed() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(patience(600_000, 600_000, 300)));
                    // The watch is silent now.
                    try (Socket hangs = discovery.accept();
                            Socket spare = discovery.accept();
                            ServerSocket next =
                                    new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                        next.setSoTimeout(20_000);
                        assertEquals(asked(hangs), FOLLOW + 0);
                        loop.run(
                                () ->
                                        client.moveTo(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                        try (Socket moved = next.accept()) {
                            assertEquals(asked(moved), FOLLOW + 0);
                            awaitEnd(spare);
                        }
                    }
                });
    }

    /**
     * Detects a list that is late after discovery has moved, since the first call at the new
     * address is refused or hangs: it is asked again there, and what was dialled to the old address
     * is not used.
     */
    @Test
    public void theNewAddressIsAskedAgainSoonWhereTheFirstCallThereFailsOrHangs() throws Exception {
        for (boolean hangs : new boolean[] {false, true}) {
            play(
                    NEVER_SOON,
                    () -> {},
                    (loop, client, discovery, watch) -> {
                        try (ServerSocket next =
                                new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                            next.setSoTimeout(20_000);
                            loop.run(
                                    () ->
                                            client.setTimeouts(
                                                    patience(
                                                            600_000,
                                                            hangs ? 600 : 600_000,
                                                            600_000)));
                            tell(watch, 1, true, "in_service");
                            assertNotNull(told.poll(20, TimeUnit.SECONDS));
                            loop.run(
                                    () ->
                                            client.moveTo(
                                                    (InetSocketAddress)
                                                            next.getLocalSocketAddress()));
                            try (Socket first = next.accept()) {
                                assertEquals(asked(first), FOLLOW + 1);
                                if (!hangs) {
                                    first.getOutputStream()
                                            .write("HTTP/1.1 503 No\r\n\r\n".getBytes());
                                }
                                tell(watch, 2, false, "in_service"); // the former watch tells on
                                assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                                try (Socket second = next.accept()) {
                                    assertEquals(asked(second).startsWith(FOLLOW), true);
                                    second.getOutputStream().write(STREAM.getBytes());
                                    tell(second, 3, true, "terminating");
                                    assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 3);
                                    awaitEnd(watch);
                                }
                            }
                        }
                    });
        }
    }

    /**
     * Detects a list that is late after discovery has moved, since it had ended a watch at its
     * former address before, and so counts as there: of the new address nothing is known.
     */
    @Test
    public void aCallThatHangsAtANewAddressIsMadeASecondTimeWhateverTheFormerDid()
            throws Exception {
        play(
                NEVER_SOON,
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(patience(600_000, 600, 600_000)));
                    tell(watch, 1, true, "in_service");
                    assertNotNull(told.poll(20, TimeUnit.SECONDS));
                    watch.close();
                    try (Socket again = discovery.accept();
                            ServerSocket next =
                                    new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                        next.setSoTimeout(20_000);
                        again.getOutputStream().write(STREAM.getBytes());
                        tell(again, 2, false, "in_service");
                        assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 2);
                        loop.run(
                                () ->
                                        client.moveTo(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                        try (Socket hangs = next.accept()) {
                            assertEquals(asked(hangs), FOLLOW + 2);
                            try (Socket second = next.accept()) {
                                assertEquals(asked(second), FOLLOW + 2);
                                second.getOutputStream().write(STREAM.getBytes());
                                tell(second, 3, false, "terminating");
                                assertEquals(told.poll(20, TimeUnit.SECONDS).version(), 3);
                                awaitEnd(hangs);
                            }
                        }
                    }
                });
    }
}
