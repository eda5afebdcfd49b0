package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.HttpMessage;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Datagrams between proxies, with one of them played by the test. */
public class PeerSocketTest {

    private static final int PATIENCE_MILLIS = 20_000;

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    /** A module that only notes the messages it is told of. */
    private LoadBalancer module() {
        return (LoadBalancer)
                Proxy.newProxyInstance(
                        LoadBalancer.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("onPeerMessage")) {
                                told.add(arguments[1] + " " + text((byte[]) arguments[2], 4));
                            }
                            return null;
                        });
    }

    private static String text(byte[] bytes, int length) {
        return new String(bytes, 0, length, StandardCharsets.UTF_8);
    }

    @Test
    public void messagesGoBothWaysAndStrangersAreNotHeard() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(new PrintStream(log, true)));
        InetAddress here = InetAddress.getLoopbackAddress();
        InetSocketAddress own;
        try (DatagramSocket free = new DatagramSocket(0, here)) {
            own = (InetSocketAddress) free.getLocalSocketAddress();
        }
        try (DatagramSocket other = new DatagramSocket(0, here);
                DatagramSocket stranger = new DatagramSocket(0, here)) {
            other.setSoTimeout(PATIENCE_MILLIS);
            RequestForwarder<HttpMessage, HttpMessage> driver =
                    new RequestForwarder<>(actions -> module(), 1, loop, new Logger(System.err));
            PeerSocket socket =
                    new PeerSocket(
                            loop,
                            driver,
                            List.of(own, (InetSocketAddress) other.getLocalSocketAddress()),
                            null);
            socket.listen(own, false);
            loop.run(() -> socket.send(-1, new byte[] {1})); // there is no address for all
            loop.run(() -> socket.send(1, "hello".getBytes(StandardCharsets.UTF_8)));
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            other.receive(packet);
            assertEquals(text(packet.getData(), packet.getLength()), "hello");
            stranger.send(new DatagramPacket("psst".getBytes(StandardCharsets.UTF_8), 4, own));
            other.send(new DatagramPacket(new byte[257], 257, own));
            other.send(new DatagramPacket("back".getBytes(StandardCharsets.UTF_8), 4, own));
            assertEquals(told.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "1 back");
            assertTrue(told.isEmpty());
            BlockingQueue<String> others = new LinkedBlockingQueue<>();
            CountDownLatch heard = new CountDownLatch(1);
            loop.run(
                    () -> {
                        socket.setHandler(
                                (byte) 0xa6,
                                (from, bytes) -> others.add(from + " a6 " + bytes.length));
                        socket.setHandler(
                                (byte) 0xa7,
                                (from, bytes) -> others.add(from + " a7 " + bytes.length));
                        heard.countDown();
                    });
            assertTrue(heard.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
            for (int first : new int[] {0xa6, 'x', 0xa7}) {
                other.send(new DatagramPacket(new byte[] {(byte) first, 1, 2, 3}, 4, own));
            }
            assertEquals(others.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "1 a6 4");
            assertEquals(others.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "1 a7 4");
            assertTrue(told.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS).startsWith("1 x"));
            assertEquals(log.toString(StandardCharsets.UTF_8).lines().count(), 3, log.toString());
        } finally {
            loop.stop();
        }
    }
}
