package cedarrudder.consensus;

/**
 * A replica that votes, in one of its incarnations. The same replica in a later incarnation is a
 * different voter, which knows nothing of the earlier one's votes.
 *
 * @param replica the replica's number in the tier
 */
public record Voter(int replica, long incarnation) {}
