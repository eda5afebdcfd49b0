/**
 * Bytes and what they mean: the HTTP/1.1 decoder and encoder, request headers, load reports,
 * endpoint lists and settings.
 *
 * <p>Uses {@code balancer}, {@code budget}, {@code bodyflow}, {@code metrics}, {@code footprint}
 * and Netty's buffers.
 */
package cedarrudder.protocol;
