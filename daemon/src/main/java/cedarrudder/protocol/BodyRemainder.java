package cedarrudder.protocol;

import cedarrudder.bodyflow.BodyFlow;

/**
 * What follows the first bytes of a body that is not held whole.
 *
 * @param length of the whole body, the first bytes with it; -1 where its sender doesn't say
 */
public record BodyRemainder(BodyFlow flow, long length) {}
