/**
 * The HTTP/1.1 decoder and encoder, and the readers of request headers, load reports, endpoint
 * lists and settings.
 *
 * <p>Uses {@code balancer}, {@code budget}, {@code bodyflow}, {@code metrics}, {@code footprint}
 * and Netty's buffers.
 */
package cedarrudder.protocol;
