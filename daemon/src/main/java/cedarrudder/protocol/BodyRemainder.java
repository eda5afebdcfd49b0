package cedarrudder.protocol;

import cedarrudder.bodyflow.BodyFlow;

/**
 * The part of a body that follows its buffered first bytes.
 *
 * @param length the length of the whole body in bytes, including the first bytes; -1 where the
 *     sender declares none
 */
public record BodyRemainder(BodyFlow flow, long length) {}
