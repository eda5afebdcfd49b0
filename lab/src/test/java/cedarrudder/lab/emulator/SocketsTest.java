package cedarrudder.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.Await;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Ports, what connections find at them, and processes that must not outlive this one. */
public class SocketsTest {

    private static final int PATIENCE_SECONDS = 30;

    /** Long for a connection on loopback, which takes microseconds; a silent port never answers. */
    private static final int SILENCE_MILLIS = 300;

    @Test
    public void aHeldPortIsRefusedAndNobodyElsesAndCanBeListenedAt() throws Exception {
        try (Port port = Port.hold("127.0.0.9");
                Port other = Port.hold("127.0.0.9")) {
            assertNotEquals(port.address(), other.address());
            expectThrows(ConnectException.class, () -> connect(port, 0).close());
            ServerSocket rude = new ServerSocket();
            rude.setReuseAddress(false);
            expectThrows(BindException.class, () -> rude.bind(port.address()));
            try (ServerSocket server = new ServerSocket()) {
                server.setReuseAddress(true);
                server.bind(port.address());
                connect(port, 0).close();
            }
        }
    }

    private static Socket connect(Port port, int millis) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(port.address(), millis);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Connects until it ends as wanted: modes change a moment after they are set. */
    private static boolean comesTo(Port port, Class<? extends Exception> wanted)
            throws InterruptedException {
        for (int i = 0; i < PATIENCE_SECONDS * 100; i++) {
            Class<? extends Exception> found = null;
            try {
                connect(port, SILENCE_MILLIS).close();
            } catch (IOException e) {
                found = e.getClass();
            }
            if (found == wanted) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }

    @Test
    public void aPortOpensRefusesAndFallsSilentAgainAndAgain() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        BlockingQueue<String> failures = new LinkedBlockingQueue<>();
        Listening listening =
                new Listening(
                        group.next(),
                        Port.hold("127.0.0.9"),
                        ChannelInboundHandlerAdapter::new,
                        failures::add);
        try {
            for (int i = 0; i < 2; i++) {
                group.next().execute(() -> listening.set(Listening.Mode.OPEN));
                assertTrue(comesTo(listening.port(), null));
                group.next().execute(() -> listening.set(Listening.Mode.SILENT));
                assertTrue(comesTo(listening.port(), SocketTimeoutException.class));
                group.next().execute(() -> listening.set(Listening.Mode.REFUSES));
                assertTrue(comesTo(listening.port(), ConnectException.class));
            }
            assertEquals(failures.size(), 0, failures.toString());
        } finally {
            assertTrue(
                    group.submit(listening::close).await(PATIENCE_SECONDS, TimeUnit.SECONDS),
                    "its close");
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Starts a process under supervision, tells its id, and is killed by the test. */
    static final class Parent {
        private Parent() {}

        public static void main(String[] args) throws Exception {
            SupervisedProcess child =
                    SupervisedProcess.start(
                            List.of("sleep", "1000"),
                            Path.of("."),
                            Map.of(),
                            Files.createTempFile("supervised", ".log"),
                            64);
            System.out.println(child.pid());
            Thread.sleep(1_000_000);
        }
    }

    @Test
    public void aProcessEndsWhenItsParentIsKilled() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process parent =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                Parent.class.getName())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        String pid =
                Await.line(
                                "the child's id",
                                parent,
                                parent.inputReader(StandardCharsets.US_ASCII),
                                line -> true)
                        .strip();
        ProcessHandle child = ProcessHandle.of(Long.parseLong(pid)).orElseThrow();
        parent.destroyForcibly();
        child.onExit().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertEquals(child.isAlive(), false);
    }

    @Test
    public void aProcessThatEndsIsToldWithItsCode() throws Exception {
        Path log = Files.createTempFile("supervised", ".log");
        SupervisedProcess child =
                SupervisedProcess.start(
                        List.of("/bin/sh", "-c", "ulimit -n; echo $X; exit 7"),
                        Path.of("."),
                        Map.of("X", "given"),
                        log,
                        64);
        assertEquals((int) child.onExit().get(PATIENCE_SECONDS, TimeUnit.SECONDS), 7);
        assertEquals(Files.readString(log), "64\ngiven\n");
    }
}
