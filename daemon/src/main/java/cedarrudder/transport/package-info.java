/**
 * Contains all code that uses Netty's channels: the event loop and its clock, the HTTP server, the
 * endpoint connections, the connection to discovery, the administrative listener, and the datagrams
 * between replicas.
 *
 * <p>One event loop owns all state of this package; there are no locks.
 *
 * <p>Uses {@code forwarding}, {@code protocol}, the packages whose state machines it drives, and
 * Netty.
 */
package cedarrudder.transport;
