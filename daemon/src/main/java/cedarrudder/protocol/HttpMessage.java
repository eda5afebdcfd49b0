package cedarrudder.protocol;

import io.netty.buffer.ByteBuf;

/**
 * An HTTP/1.1 message.
 *
 * @param body the body, or its first bytes
 * @param rest the rest of the body, which follows in pieces; null where {@code body} is the whole
 *     body
 */
public record HttpMessage(MessageHead head, byte[] body, BodyRemainder rest) {

    /** Creates a message with a whole body. */
    public HttpMessage(MessageHead head, byte[] body) {
        this(head, body, null);
    }

    /** Parses a request. */
    public static HttpMessage requestOf(ByteBuf bytes) throws MalformedMessageException {
        return HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY).decode(bytes);
    }
}
