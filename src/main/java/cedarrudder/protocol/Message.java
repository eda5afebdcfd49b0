package cedarrudder.protocol;

/** A whole HTTP/1.1 message. */
public record Message(Head head, byte[] body) { }
