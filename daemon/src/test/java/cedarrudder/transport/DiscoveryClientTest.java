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

/** Tests calls to discovery, which the test simulates with a socket. */
public class DiscoveryClientTest {

    private static final long STARTED = 1_700_000_000_000L;

    /**
     * The time after which the whole list is requested again if endpoints were left out, in
     * nanoseconds.
     */
    private static final long REFETCH_DELAY_NANOS = 300_000_000L;

    private static final String STREAM = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String FOLLOW = "/catalog/members?follow=1&since=";

    /** A wait so long that a test whose call waits for it fails, in nanoseconds. */
    private static final long NEVER_SOON = 600_000_000_000L;

    private final BlockingQueue<EndpointList> updates = new LinkedBlockingQueue<>();
    private volatile boolean broken;

    /** The capacity for endpoints and their lists, in bytes; 0: all are loaded. */
    private long room;

    private EndpointListReader listReader;

    /** The version of the list with which the client starts. */
    private long initialVersion;

    /** The actions of a test on a client whose watch is open. */
    private interface TestActions {
        void play(ProxyEventLoop loop, DiscoveryClient client, ServerSocket discovery, Socket watch)
                throws Exception;
    }

    private void play(Runnable failed, TestActions actions) throws Exception {
        play(0, failed, actions);
    }

    private void play(long maxBackoffNanos, Runnable failed, TestActions actions) throws Exception {
        updates.clear();
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EndpointListParser reader =
                    new EndpointListParser(
                            SettingsReader.read(example.child("settings")),
                            loop::now,
                            System::currentTimeMillis);
            listReader =
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
                            maxBackoffNanos,
                            new SplittableRandom(1),
                            reader,
                            initialVersion,
                            this::take,
                            failed,
                            listReader,
                            REFETCH_DELAY_NANOS);
            discovery.setSoTimeout(20_000);
            loop.run(() -> client.watch(true));
            try (Socket watch = discovery.accept()) {
                watch.getOutputStream().write(STREAM.getBytes());
                actions.play(loop, client, discovery, watch);
            }
        } finally {
            loop.stop();
        }
    }

    private void take(EndpointList result) {
        if (broken) {
            throw new IllegalStateException("broken on purpose");
        }
        updates.add(result);
    }

    private static DiscoveryTimeouts timeouts(long call, long again, long watch) {
        return new DiscoveryTimeouts(call * 1_000_000, again * 1_000_000, watch * 1_000_000, 0);
    }

    private static void chunk(Socket watch, String text) throws IOException {
        watch.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
    }

    private static void sendList(Socket watch, long version, boolean full, String state)
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

    /** A list call that fails must not count as a failed watch, which would be opened again. */
    @Test
    public void aFailedListCallIsNoFailureOfTheWatch() throws Exception {
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
                                true); // // the end of the call, which has been reported by now
                    }
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS), "the watch is open");
                    assertEquals(failures.get(), 0);
                });
    }

    /**
     * A watch must not stay open without being read after an exception while one of its lines was
     * processed.
     */
    @Test
    public void anExceptionWhileALineIsProcessedIsReportedAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        broken = true;
        play(
                failures::release,
                (loop, client, discovery, watch) -> {
                    // // So long that the failure is not detected by silence.
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 600_000)));
                    sendList(watch, 1, true, "in_service");
                    assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
                    watch.getInputStream().readAllBytes(); // // closed by the proxy
                });
        broken = false;
    }

    /** A line of a list that never ends must not use up the memory. */
    @Test
    public void aLineWithoutAnEndIsReportedAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        play(
                failures::release,
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 600_000)));
                    byte[] piece = ("100000\r\n" + "x".repeat(0x100000) + "\r\n").getBytes();
                    try {
                        for (int i = 0; i < 8; i++) {
                            watch.getOutputStream().write(piece);
                        }
                    } catch (IOException e) {
                        // // closed, as expected
                    }
                    assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
                });
    }

    /**
     * The list must not stay outdated for ever because the network to discovery is cut, or because
     * the pieces of a line that never ends count as heartbeats.
     */
    @Test
    public void aSilentWatchIsOpenedAgainAtOnce() throws Exception {
        for (boolean drips : new boolean[] {false, true}) {
            AtomicInteger failures = new AtomicInteger();
            play(
                    failures::incrementAndGet,
                    (loop, client, discovery, watch) -> {
                        loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 300)));
                        sendList(watch, 1, true, "in_service");
                        assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                        discovery.setSoTimeout(50);
                        Socket again = null;
                        for (int i = 0; i < 200 && again == null; i++) {
                            try {
                                if (drips) {
                                    chunk(watch, i == 0 ? "{" : "\"");
                                }
                                again = discovery.accept();
                            } catch (SocketTimeoutException e) {
                                // // not yet
                            } catch (IOException e) {
                                again = discovery.accept(); // // closed, as expected
                            }
                        }
                        assertNotNull(again, "requested again");
                        again.getOutputStream().write(STREAM.getBytes());
                        sendList(again, 2, false, "terminating");
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                        assertEquals(failures.get(), 0, "the balancer need not poll");
                        again.close();
                    });
        }
    }

    /**
     * A response that is never received, or stops half way, must not be waited for until its
     * timeout.
     */
    @Test
    public void aCallWithoutACompleteResponseIsHedged() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 200, 600_000)));
                    loop.run(client::fetchAll);
                    try (Socket half = discovery.accept()) {
                        half.getOutputStream().write(STREAM.getBytes());
                        chunk(half, "{\"version\":2,\"full\":true,");
                        try (Socket second = discovery.accept()) {
                            chunk(half, "\"servers\":[]}");
                            assertEquals(
                                    updates.poll(20, TimeUnit.SECONDS).version(),
                                    2,
                                    "the first was waited for");
                            second.getInputStream()
                                    .readAllBytes(); // // no longer needed: closed by the proxy
                        }
                    }
                });
    }

    /** An indented list must be parsed, on a watch and in a response. */
    @Test
    public void anIndentedListIsParsed() throws Exception {
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
                    assertEquals(updates.poll(20, TimeUnit.SECONDS).nodes().get(0).name(), "a}{\"");
                    chunk(watch, String.format(indented, 2).substring(40) + "\n");
                    assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
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
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 3);
                    }
                });
    }

    /**
     * The watch must be opened again even if the balancer, which was notified of the failure, waits
     * longer.
     */
    @Test
    public void aLostWatchIsOpenedAgainWithoutAPollOfTheBalancer() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    watch.setSoLinger(true, 0);
                    watch.close();
                    try (Socket again = discovery.accept()) {
                        again.getOutputStream().write(STREAM.getBytes());
                        sendList(again, 1, true, "in_service");
                        assertNotNull(updates.poll(20, TimeUnit.SECONDS));
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
     * Endpoints that were left out must not be lost for ever because discovery assumes that their
     * version is known, and a list that still does not fit must not cause calls without a pause.
     */
    @Test
    public void endpointsThatWereLeftOutAreRequestedAgainAfterADelay() throws Exception {
        room = 2_000_000;
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    assertEquals(asked(watch), "/catalog/members?follow=1&since=0");
                    long from = System.nanoTime();
                    chunk(watch, list(7, "n", 5_000));
                    int held = updates.poll(20, TimeUnit.SECONDS).nodes().size();
                    assertEquals(held > 100 && held < 1_000, true, "held " + held);
                    sendList(
                            watch,
                            8,
                            false,
                            "terminating"); // // frees capacity, and does not list those that were
                    // left out
                    assertEquals(updates.poll(20, TimeUnit.SECONDS).nodes().size(), 1);
                    for (int fits = 0; fits < 2; fits++) {
                        try (Socket list = discovery.accept()) {
                            assertEquals(
                                    System.nanoTime() - from >= REFETCH_DELAY_NANOS,
                                    true,
                                    "not at once");
                            from = System.nanoTime();
                            assertEquals(asked(list), "/catalog/members");
                            loop.run(
                                    () ->
                                            client.moveTo(
                                                    new InetSocketAddress(
                                                            "127.0.0.2",
                                                            discovery.getLocalPort()))); // // no
                            // server:
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
                            assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 9 + fits);
                        }
                    }
                    assertEquals(
                            updates.poll(20, TimeUnit.SECONDS).nodes().size(),
                            500,
                            "in the capacity that was freed");
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

    /** Endpoints that were left out of the configuration's list must be requested. */
    @Test
    public void endpointsLeftOutOfTheCachedListAreRequestedFromVersionZero() throws Exception {
        room = 2_000_000;
        initialVersion = 5;
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(
                            () -> {
                                listReader.read(JsonObject.parse(list(7, "n", 5_000)));
                                client.onCachedListIncomplete();
                                client.moveTo(
                                        new InetSocketAddress(
                                                "127.0.0.2",
                                                discovery.getLocalPort())); // // no server
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
        initialVersion = 0;
    }

    /**
     * The list must not stay outdated because the first response at the new address can't be
     * parsed.
     */
    @Test
    public void theOldWatchIsUsedUntilTheNewOneHasDeliveredAValidList() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    try (ServerSocket next =
                            new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                        sendList(watch, 1, true, "in_service");
                        assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                        loop.run(
                                () ->
                                        client.moveTo(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                        try (Socket second = next.accept()) {
                            second.getOutputStream().write(STREAM.getBytes());
                            sendList(second, 2, true, "nonsense");
                            second.getInputStream().readAllBytes(); // // given up by now
                        }
                        sendList(watch, 3, false, "in_service");
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 3);
                    }
                });
    }

    /**
     * A line that is older than the known version must not change an endpoint: it counted as
     * restarted with the next line that listed it, and all data learnt about it was lost.
     */
    @Test
    public void anOutdatedLineDoesNotChangeAnEndpoint() throws Exception {
        play(
                () -> {},
                (loop, client, discovery, watch) -> {
                    sendList(watch, 5, true, "in_service");
                    EndpointList first = updates.poll(20, TimeUnit.SECONDS);
                    sendList(watch, 4, false, "terminated");
                    sendList(watch, 6, false, "in_service");
                    EndpointList next = updates.poll(20, TimeUnit.SECONDS);
                    assertEquals(next.version(), 6);
                    assertEquals(next.nodes().get(0).endpoint(), first.nodes().get(0).endpoint());
                });
    }

    /**
     * A healthy watch that ends, or is reset, must not be opened again only after a long wait: its
     * end is the first failure, and the next call follows within the jitter.
     */
    @Test
    public void aWatchThatEndsIsOpenedAgainWithinTheJitter() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            play(
                    NEVER_SOON,
                    () -> {},
                    (loop, client, discovery, watch) -> {
                        loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 600_000)));
                        sendList(watch, 1, true, "in_service");
                        assertNotNull(updates.poll(20, TimeUnit.SECONDS));
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

    /**
     * A response with an error status must not be waited for to its end, nor be parsed as a list.
     */
    @Test
    public void anErrorResponseWithABodyIsNoList() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS));
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
                        sendList(again, 2, false, "terminating");
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                    }
                });
    }

    /** Waits until the proxy has closed a connection, possibly with unread bytes. */
    private static void awaitEnd(Socket call) throws IOException {
        call.setSoTimeout(20_000);
        try {
            call.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // // a reset is an end too
        }
    }

    /**
     * A malformed list must not replace the last valid one, and must not be the last that is
     * requested.
     */
    @Test
    public void aMalformedListIsIgnoredAndRequestedAgain() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                    chunk(watch, "{\"version\":2,\"full\":true,\"servers\":}\n");
                    awaitEnd(watch);
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), FOLLOW + 1);
                        again.getOutputStream().write(STREAM.getBytes());
                        sendList(again, 2, false, "terminating");
                        assertEquals(
                                updates.poll(20, TimeUnit.SECONDS).full(),
                                false,
                                "the malformed list was not reported");
                    }
                });
    }

    /**
     * The whole list of a discovery server that was restarted must be applied, although its
     * versions are not newer than the known one: endpoints that it does not list are removed.
     * Changes follow from there.
     */
    @Test
    public void aFullListOnAWatchIsAppliedWhateverItsVersion() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    chunk(watch, list(7, "n", 3));
                    assertEquals(updates.poll(20, TimeUnit.SECONDS).nodes().size(), 3);
                    Socket last = watch;
                    for (long version : new long[] {7, 2}) {
                        last.close();
                        last = discovery.accept();
                        assertEquals(asked(last), FOLLOW + 7);
                        last.getOutputStream().write(STREAM.getBytes());
                        chunk(last, list(version, "n", 2));
                        EndpointList whole = updates.poll(20, TimeUnit.SECONDS);
                        assertEquals(whole.full(), true);
                        assertEquals(whole.nodes().size(), 2);
                    }
                    sendList(last, 3, false, "terminating");
                    EndpointList change = updates.poll(20, TimeUnit.SECONDS);
                    assertEquals(change.version(), 3);
                    assertEquals(change.full(), false);
                    last.close();
                    try (Socket again = discovery.accept()) {
                        assertEquals(asked(again), FOLLOW + 3);
                    }
                });
    }

    /**
     * A list must be parsed wherever the network splits it: here at each byte, with all that HTTP
     * allows.
     */
    @Test
    public void aListThatIsSplitAnywhereIsParsed() throws Exception {
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
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).nodes().size(), 2);
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                        try (Socket next = discovery.accept()) {
                            assertEquals(asked(next), FOLLOW + 2, "the answer had an end");
                        }
                    }
                });
    }

    /**
     * Two consecutive connections may be established late: while a call has no response a spare
     * connection is opened, and the next call is sent on it, whether the first was refused or is
     * silent.
     */
    @Test
    public void theNextCallIsSentOnTheSpareConnection() throws Exception {
        for (boolean refuses : new boolean[] {false, true}) {
            play(
                    300_000_000L,
                    () -> {},
                    (loop, client, discovery, watch) -> {
                        loop.run(
                                () ->
                                        client.setTimeouts(
                                                timeouts(600_000, refuses ? 600_000 : 1_000, 300)));
                        sendList(watch, 1, true, "in_service");
                        assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                        // // The watch is silent now; if it had ended, discovery would count as
                        // reachable.
                        try (Socket first = discovery.accept();
                                Socket spare = discovery.accept()) {
                            assertEquals(asked(first), FOLLOW + 1);
                            if (refuses) {
                                first.getOutputStream().write("HTTP/1.1 503 No\r\n\r\n".getBytes());
                            }
                            assertEquals(asked(spare), FOLLOW + 1);
                            spare.getOutputStream().write(STREAM.getBytes());
                            sendList(spare, 2, false, "terminating");
                            assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                            awaitEnd(first);
                        }
                    });
        }
    }

    /**
     * A spare connection must not stay open without need, and its end must not count as a failure.
     */
    @Test
    public void aSpareConnectionIsClosedOnceTheListIsReceived() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        play(
                300_000_000L,
                failures::incrementAndGet,
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 300)));
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                    Socket again = watch;
                    for (int version = 2; version < 4; version++) {
                        again = discovery.accept(); // // the previous one is silent
                        try (Socket spare = discovery.accept()) {
                            if (version == 3) {
                                spare.shutdownOutput(); // // no request has failed
                            }
                            again.getOutputStream().write(STREAM.getBytes());
                            sendList(again, version, false, "terminating");
                            assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), version);
                            if (version == 2) {
                                spare.setSoTimeout(20_000);
                                assertEquals(
                                        spare.getInputStream().read(),
                                        -1,
                                        "closed without a request");
                            }
                        }
                    }
                    assertEquals(failures.get(), 0, "no request has failed");
                    again.close();
                });
    }

    /** A call must not be sent to the former address of discovery on the spare connection to it. */
    @Test
    public void aSpareConnectionToAFormerAddressIsNotUsed() throws Exception {
        play(
                300_000_000L,
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 600_000, 300)));
                    // // The watch is silent now.
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
     * The list must not be late after discovery has moved because the first call at the new address
     * is refused or silent: it is requested there again, and connections to the old address are not
     * used.
     */
    @Test
    public void aFailedOrSilentFirstCallToTheNewAddressIsRepeatedSoon() throws Exception {
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
                                                    timeouts(
                                                            600_000,
                                                            hangs ? 600 : 600_000,
                                                            600_000)));
                            sendList(watch, 1, true, "in_service");
                            assertNotNull(updates.poll(20, TimeUnit.SECONDS));
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
                                sendList(
                                        watch,
                                        2,
                                        false,
                                        "in_service"); // // the watch at the old address still
                                // reports changes
                                assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                                try (Socket second = next.accept()) {
                                    assertEquals(asked(second).startsWith(FOLLOW), true);
                                    second.getOutputStream().write(STREAM.getBytes());
                                    sendList(second, 3, true, "terminating");
                                    assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 3);
                                    awaitEnd(watch);
                                }
                            }
                        }
                    });
        }
    }

    /**
     * The list must not be late after discovery has moved because discovery had ended a watch at
     * its old address before, and so counts as reachable: nothing is known of the new address.
     */
    @Test
    public void aSilentCallToANewAddressIsHedgedWhateverTheOldWatchDid() throws Exception {
        play(
                NEVER_SOON,
                () -> {},
                (loop, client, discovery, watch) -> {
                    loop.run(() -> client.setTimeouts(timeouts(600_000, 600, 600_000)));
                    sendList(watch, 1, true, "in_service");
                    assertNotNull(updates.poll(20, TimeUnit.SECONDS));
                    watch.close();
                    try (Socket again = discovery.accept();
                            ServerSocket next =
                                    new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                        next.setSoTimeout(20_000);
                        again.getOutputStream().write(STREAM.getBytes());
                        sendList(again, 2, false, "in_service");
                        assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 2);
                        loop.run(
                                () ->
                                        client.moveTo(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                        try (Socket hangs = next.accept()) {
                            assertEquals(asked(hangs), FOLLOW + 2);
                            try (Socket second = next.accept()) {
                                assertEquals(asked(second), FOLLOW + 2);
                                second.getOutputStream().write(STREAM.getBytes());
                                sendList(second, 3, false, "terminating");
                                assertEquals(updates.poll(20, TimeUnit.SECONDS).version(), 3);
                                awaitEnd(hangs);
                            }
                        }
                    }
                });
    }
}
