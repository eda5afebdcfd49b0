package cedarrudder.consensus;

/**
 * One who votes: a replica in one of its incarnations. The same replica in a later one is another,
 * who remembers nothing of it.
 *
 * @param replica its number in the tier
 */
public record Voter(int replica, long incarnation) {}
