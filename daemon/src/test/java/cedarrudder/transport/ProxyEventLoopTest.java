package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.Await;
import cedarrudder.logging.Logger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

/** Tests that all results are reported on the event loop, and the skewed clock. */
public class ProxyEventLoopTest {

    /**
     * If no descriptor is left, Netty can't create the channel, and reports that on a thread of its
     * own. The balancer, the forwarder and the clients must not be used by two threads at once.
     */
    @Test
    public void aChannelThatCanNotBeCreatedIsReportedOnTheLoop() throws Exception {
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(System.err));
        BlockingQueue<List<Object>> results = new LinkedBlockingQueue<>();
        Bootstrap failingBootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .handler(new ChannelInboundHandlerAdapter())
                        .channelFactory(
                                () -> {
                                    throw new ChannelException("no descriptor");
                                });
        loop.run(
                () ->
                        loop.connect(
                                failingBootstrap,
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                                done ->
                                        results.add(
                                                List.of(
                                                        done.isSuccess(),
                                                        loop.group().next().inEventLoop()))));
        assertEquals(Await.next("the failure", results), List.of(false, true));
        loop.stop();
    }

    /**
     * A timer must not run before it is due on the replica's own clock, nor the clock run at
     * another rate than the given one.
     */
    @Test
    public void aSkewedClockHasTheGivenRateAndNoTimerIsEarly() {
        for (int millionths : new int[] {-1_000, 1, 1_000}) {
            SkewedClock skewedClock = new SkewedClock(millionths);
            long begin = System.nanoTime();
            for (long passed : new long[] {1, 999, 1_000_000_007, 36_000_000_000_000L}) {
                long own = skewedClock.skewed(begin + passed) - skewedClock.skewed(begin);
                assertEquals(
                        own, passed + passed / 1e6 * millionths, 2, millionths + " of " + passed);
                long due =
                        skewedClock.skewed(begin + skewedClock.toMachineNanos(passed))
                                - skewedClock.skewed(begin);
                assertEquals(due, passed + 1.5, 1.5, millionths + ", a timer of " + passed);
            }
        }
        long before = System.nanoTime();
        long now = new ProxyEventLoop(new Logger(System.err), new SkewedClock(-1_000)).now();
        assertEquals(now, before, 1e9);
    }
}
