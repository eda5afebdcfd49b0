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

/** A body whose last bytes are still on their way. */
public class BodyWriterTest {

    /**
     * Detects a client that leaves as the last of its answer is written: the news of that write
     * came to a connection that had been cleared away already, and threw there.
     */
    @Test
    public void oneThatWasStoppedTellsNobodyOfItsLastWrite() {
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
                                        wrote); // it stays there, as with a peer that doesn't read
                            }
                        });
        List<String> told = new ArrayList<>();
        BodyFlow flow = new BodyFlow(new BufferAccount(BufferAccount.MAX));
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(System.err));
        BodyWriter pump =
                new BodyWriter(
                        loop,
                        channel,
                        flow,
                        true,
                        () -> {},
                        new BodyWriter.CompletionListener() {
                            @Override
                            public void onBodyWritten() {
                                told.add("wrote");
                            }

                            @Override
                            public void onBodyFailed() {
                                told.add("broke");
                            }
                        });
        flow.put(new byte[10]);
        flow.end();
        pump.stop();
        writes.get(writes.size() - 1).setFailure(new IOException("reset"));
        assertEquals(told, List.of());
        loop.stop();
    }
}
