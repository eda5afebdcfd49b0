package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.logging.Logger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests a body whose last bytes are still being written. */
public class BodyWriterTest {

    /**
     * A client may disconnect while the last bytes of its response are being written: the result of
     * that write was then reported to a connection that had been cleaned up already, and threw an
     * exception.
     */
    @Test
    public void aStoppedWriterDoesNotReportItsLastWrite() {
        List<ChannelPromise> writes = new ArrayList<>();
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext context,
                                    Object piece,
                                    ChannelPromise wrote) {
                                writes.add(
                                        wrote); // // the write stays pending, as with a peer that
                                // doesn't read
                            }
                        });
        List<String> notifications = new ArrayList<>();
        BodyFlow flow = new BodyFlow(new BufferAccount(BufferAccount.MAX));
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(System.err));
        BodyWriter writer =
                new BodyWriter(
                        loop,
                        channel,
                        flow,
                        true,
                        () -> {},
                        new BodyWriter.CompletionListener() {
                            @Override
                            public void onBodyWritten() {
                                notifications.add("wrote");
                            }

                            @Override
                            public void onBodyFailed() {
                                notifications.add("broke");
                            }
                        });
        flow.put(new byte[10]);
        flow.end();
        writer.stop();
        writes.get(writes.size() - 1).setFailure(new IOException("reset"));
        assertEquals(notifications, List.of());
        loop.stop();
    }
}
