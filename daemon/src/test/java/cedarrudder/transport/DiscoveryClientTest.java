package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import cedarrudder.logging.Logger;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.ResolverResult;
import cedarrudder.protocol.ResolverResultReader;
import cedarrudder.protocol.SettingsReader;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Calls to discovery, played by a socket of the test's. */
public class DiscoveryClientTest {

    private static final long STARTED = 1_700_000_000_000L;

    private static final String STREAM = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final BlockingQueue<ResolverResult> told = new LinkedBlockingQueue<>();
    private volatile boolean broken;

    /** What a test does with a client whose watch is open. */
    private interface Story {
        void play(Loop loop, DiscoveryClient client, ServerSocket discovery, Socket watch) throws Exception;
    }

    private void play(Runnable failed, Story story) throws Exception {
        told.clear();
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        Loop loop = new Loop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            DiscoveryClient client = new DiscoveryClient(loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery.getLocalPort()),
                    DiscoveryLimits.DEFAULT, new ResolverResultReader(SettingsReader.read(
                    example.child("settings")), loop::now, System::currentTimeMillis), 0, this::take, failed);
            loop.run(() -> client.subscribe(true));
            try (Socket watch = discovery.accept()) {
                watch.getOutputStream().write(STREAM.getBytes());
                story.play(loop, client, discovery, watch);
            }
        } finally {
            loop.stop();
        }
    }

    private void take(ResolverResult result) {
        if (broken) {
            throw new IllegalStateException("broken on purpose");
        }
        told.add(result);
    }

    private static void tell(Socket watch, long version, boolean full, String state) throws IOException {
        String line = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[{\"id\":\"n0\","
                + "\"addr\":\"127.0.0.1:9\",\"zone\":\"room\",\"state\":\"" + state + "\","
                + "\"started_ms\":" + STARTED + "}]}\n";
        watch.getOutputStream().write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
                .getBytes());
    }

    /** Guards against a list call that fails being taken for a watch that broke, and is opened anew. */
    @Test
    public void aListCallThatFailsIsNoFailureOfTheWatch() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        play(failures::incrementAndGet, (loop, client, discovery, watch) -> {
            loop.run(client::fetch);
            try (Socket list = discovery.accept()) {
                list.getInputStream().read();
                list.setSoLinger(true, 0);
            }
            loop.run(client::fetch);
            try (Socket second = discovery.accept()) {
                second.getInputStream().read();
                second.getOutputStream().write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes());
                assertEquals(second.getInputStream().readAllBytes().length > 0, true); // its end: told by now
            }
            tell(watch, 1, true, "in_service");
            assertNotNull(told.poll(20, TimeUnit.SECONDS), "the watch stands");
            assertEquals(failures.get(), 0);
        });
    }

    /** Guards against a watch that stands, and is read no more, after a fault with one of its lines. */
    @Test
    public void aFaultWithALineIsToldAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        broken = true;
        play(failures::release, (loop, client, discovery, watch) -> {
            // So long that its silence is not what tells.
            loop.run(() -> client.apply(new DiscoveryLimits(600_000_000_000L, 600_000_000_000L)));
            tell(watch, 1, true, "in_service");
            assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
            watch.getInputStream().readAllBytes(); // the proxy has closed it
        });
        broken = false;
    }

    /** Guards against memory that a line of a list without an end uses up. */
    @Test
    public void aLineWithoutAnEndIsToldAsALostWatch() throws Exception {
        Semaphore failures = new Semaphore(0);
        play(failures::release, (loop, client, discovery, watch) -> {
            loop.run(() -> client.apply(new DiscoveryLimits(600_000_000_000L, 600_000_000_000L)));
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

    /** Guards against a list that stands still for good, since the network to discovery was cut. */
    @Test
    public void aWatchThatFallsSilentIsToldAsLost() throws Exception {
        Semaphore failures = new Semaphore(0);
        play(failures::release, (loop, client, discovery, watch) -> {
            loop.run(() -> client.apply(new DiscoveryLimits(20_000_000_000L, 50_000_000L)));
            tell(watch, 1, true, "in_service");
            assertEquals(failures.tryAcquire(20, TimeUnit.SECONDS), true);
            watch.getInputStream().readAllBytes(); // the proxy has closed it
        });
    }

    /** Guards against a list that stands still, since the new address began with what can't be read. */
    @Test
    public void theFormerWatchTellsOnUntilTheNewOneHasToldWhatCanBeRead() throws Exception {
        play(() -> { }, (loop, client, discovery, watch) -> {
            try (ServerSocket next = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
                tell(watch, 1, true, "in_service");
                assertNotNull(told.poll(20, TimeUnit.SECONDS));
                loop.run(() -> client.moveTo((InetSocketAddress) next.getLocalSocketAddress()));
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
     * Guards against a line that is older than what is known changing what is known of a node: it counted as
     * restarted with the next that told of it, and all that was learnt of it was lost.
     */
    @Test
    public void aLineThatIsOutdatedChangesNothingOfANode() throws Exception {
        play(() -> { }, (loop, client, discovery, watch) -> {
            tell(watch, 5, true, "in_service");
            ResolverResult first = told.poll(20, TimeUnit.SECONDS);
            tell(watch, 4, false, "terminated");
            tell(watch, 6, false, "in_service");
            ResolverResult next = told.poll(20, TimeUnit.SECONDS);
            assertEquals(next.version(), 6);
            assertEquals(next.nodes().get(0).endpoint(), first.nodes().get(0).endpoint());
        });
    }
}
