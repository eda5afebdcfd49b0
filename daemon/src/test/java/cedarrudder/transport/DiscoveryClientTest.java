package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.logging.Logger;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.ResolverResultReader;
import cedarrudder.protocol.SettingsReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Calls to discovery, played by a socket of the test's. */
public class DiscoveryClientTest {

    private static final int PATIENCE_SECONDS = 2;

    /**
     * Expected to fail, as finding 23 of docs/audit-findings.md: a list call that fails is reported like a
     * watch that broke, so that the module opens the watch anew though it stands. It turns red once that is
     * mended; the expectation then goes.
     */
    @Test(expectedExceptions = AssertionError.class)
    public void aListCallThatFailsIsNoFailureOfTheWatch() throws Exception {
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        Loop loop = new Loop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        Semaphore failures = new Semaphore(0);
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            DiscoveryClient client = new DiscoveryClient(loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery.getLocalPort()),
                    DiscoveryLimits.DEFAULT, new ResolverResultReader(SettingsReader.read(
                    example.child("settings")), loop::now, System::currentTimeMillis), 0, result -> { },
                    failures::release);
            loop.run(() -> client.subscribe(true));
            try (Socket watch = discovery.accept()) {
                watch.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes());
                loop.run(client::fetch);
                discovery.accept().close();
                assertEquals(failures.tryAcquire(PATIENCE_SECONDS, TimeUnit.SECONDS), false);
            }
        } finally {
            loop.stop();
        }
    }
}
