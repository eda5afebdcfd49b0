package cedarrudder.transport;

import cedarrudder.metrics.Violation;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;

/**
 * Counts the requests that were read completely and stay without an answer, as their connection
 * ends. Where the reason owes them one, that is a violation.
 */
final class UnansweredRequests {

    private final ServerContext server;

    UnansweredRequests(ServerContext server) {
        this.server = server;
    }

    /**
     * Records that a connection drops bytes that were read and not decoded.
     *
     * @param bytes null if there are none
     */
    void onBytesDropped(InetSocketAddress client, CloseReason reason, ByteBuf bytes) {
        int requests = bytes == null ? 0 : count(bytes.duplicate());
        if (requests > 0) {
            report(client, reason, requests);
        }
    }

    /** Records that a connection ends whose request is open. */
    void onRequestDropped(InetSocketAddress client, CloseReason reason) {
        report(client, reason, 1);
    }

    private void report(InetSocketAddress client, CloseReason reason, int requests) {
        server.loop()
                .log()
                .debug("client.requests_dropped")
                .with("client", client)
                .with("requests", requests)
                .with("why", reason)
                .write();
        if (reason.owesAnswers()) {
            server.forwarder().violated(Violation.UNANSWERED, requests);
        }
    }

    /** Returns how many complete requests these bytes contain, from their first byte on. */
    private int count(ByteBuf bytes) {
        ClientLimits limits = server.limits();
        HttpDecoder decoder = HttpDecoder.ofRequests(limits.maxHeadBytes(), HttpDecoder.MAX_BODY);
        int requests = 0;
        try {
            while (bytes.isReadable() && decoder.decode(bytes) != null) {
                requests++;
            }
        } catch (MalformedMessageException e) {
            // no further request can be recognized
        }
        return requests;
    }
}
