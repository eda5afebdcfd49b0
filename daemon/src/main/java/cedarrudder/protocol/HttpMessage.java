package cedarrudder.protocol;

import io.netty.buffer.ByteBuf;

/**
 * An HTTP/1.1 message.
 *
 * @param body the body, or the first bytes of it
 * @param rest how the rest of it comes; null where the body is whole
 */
public record HttpMessage(MessageHead head, byte[] body, BodyRemainder rest) {

    /** A whole message. */
    public HttpMessage(MessageHead head, byte[] body) {
        this(head, body, null);
    }

    /** The request that these bytes hold. */
    public static HttpMessage requestOf(ByteBuf bytes) throws MalformedMessageException {
        return HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY).decode(bytes);
    }
}
